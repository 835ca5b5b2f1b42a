package router

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"

	"fulmarspindle.example/fulmarspindle/caller"
	"fulmarspindle.example/fulmarspindle/dispatch"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/telemetry"
)

// sendTimeout bounds how long a sidecar may take to accept a request.
const sendTimeout = 30 * time.Second

// attempt is one dispatch of a job to one sidecar.
type attempt struct {
	id      string
	job     *job
	bind    *dispatch.Bind
	w       caller.Responder
	session *peer.Session
}

// result tells how an attempt ended.
type result struct {
	outcome peerpb.Outcome
	reason  string
	// crashID identifies the upstream's crash, if it crashed.
	crashID string
	sidecar fleet.NodeID
	// callerGone is set when the caller's connection failed.
	callerGone bool
	// streaming is set when the answer is a stream that may be resumed.
	streaming bool
}

func unknown(reason string) result {
	return result{outcome: peerpb.Outcome_OUTCOME_UNKNOWN, reason: reason}
}

// run dispatches the request and relays the answer. A result is NOT_RUN only
// if the sidecar says so, or nothing was sent.
func (a *attempt) run(ctx context.Context) result {
	ctx, span := telemetry.StartSpan(ctx, "router.dispatch", attribute.String("sidecar", string(a.bind.Sidecar)))
	defer span.End()
	st, err := a.session.OpenStream()
	if err != nil {
		return result{outcome: peerpb.Outcome_OUTCOME_NOT_RUN, reason: err.Error()}
	}
	defer st.Close()
	// Closing the stream cancels the request at the sidecar.
	stop := context.AfterFunc(ctx, func() {
		st.Close()
		_ = st.SetDeadline(time.Now())
	})
	defer stop()
	a.job.dispatched = true
	if err := a.send(ctx, st); err != nil {
		return unknown(err.Error())
	}
	return a.relay(st)
}

func (a *attempt) send(ctx context.Context, st *peer.Stream) error {
	if err := st.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	open := &peerpb.StreamOpen{Body: &peerpb.StreamOpen_Dispatch{Dispatch: a.message(ctx)}}
	if err := st.SendOpen(open); err != nil {
		return err
	}
	if err := st.SendData(a.job.req.Body); err != nil {
		return err
	}
	return st.SendEnd(&peerpb.End{BodyBytes: uint64(len(a.job.req.Body))})
}

func (a *attempt) message(ctx context.Context) *peerpb.Dispatch {
	req := a.job.req
	d := &peerpb.Dispatch{
		GrantId:      a.bind.GrantID,
		AttemptId:    a.id,
		Team:         string(req.Team),
		Service:      string(req.Service),
		Method:       req.Method,
		Path:         req.Path,
		BodyBytes:    uint64(len(req.Body)),
		Idempotent:   !req.NonIdempotent,
		Traceparent:  telemetry.Traceparent(ctx),
		Digest:       req.Digest,
		ResumeOffset: a.job.relayed,
		Solo:         a.job.solo,
	}
	for name, values := range req.Header {
		d.Headers = append(d.Headers, &peerpb.Header{Name: name, Values: values})
	}
	if deadline, ok := ctx.Deadline(); ok {
		d.TimeoutMs = uint32(max(time.Until(deadline).Milliseconds(), 1))
	}
	return d
}

// relay copies frames to the caller until the end frame.
func (a *attempt) relay(st *peer.Stream) result {
	var received uint64
	for {
		f, err := st.Receive()
		if err != nil {
			return a.broken(err.Error())
		}
		switch b := f.Body.(type) {
		case *peerpb.Frame_Head:
			err = a.start(b.Head)
		case *peerpb.Frame_Data:
			received += uint64(len(b.Data))
			err = a.w.Write(b.Data)
			a.job.relayed += uint64(len(b.Data))
		case *peerpb.Frame_End:
			return a.finish(b.End, received)
		default:
			return a.broken("unexpected frame")
		}
		if err != nil {
			return result{outcome: peerpb.Outcome_OUTCOME_UNKNOWN, reason: err.Error(), callerGone: true}
		}
	}
}

func (a *attempt) broken(reason string) result {
	res := unknown(reason)
	res.streaming = a.w.Started()
	return res
}

// start passes the answer's head on. A resumed stream has its head already.
func (a *attempt) start(head *peerpb.ResponseHead) error {
	if a.w.Started() {
		return nil
	}
	a.job.relayed = 0
	header := make(http.Header, len(head.GetHeaders()))
	for _, h := range head.GetHeaders() {
		header[h.GetName()] = h.GetValues()
	}
	for _, name := range answerHopHeaders {
		header.Del(name)
	}
	return a.w.Start(int(head.GetStatus()), header)
}

// answerHopHeaders are headers of the upstream's connection.
var answerHopHeaders = []string{
	"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade",
	caller.HeaderOutcome,
}

func (a *attempt) finish(end *peerpb.End, received uint64) result {
	res := result{outcome: end.GetOutcome(), reason: end.GetReason(), crashID: end.GetCrashId()}
	switch end.GetOutcome() {
	case peerpb.Outcome_OUTCOME_COMPLETE:
		if end.GetBodyBytes() != received {
			return a.broken(eris.Wrapf(peer.ErrTruncated, "got %d of %d bytes", received, end.GetBodyBytes()).Error())
		}
		return res
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		return res
	default:
		res.outcome = peerpb.Outcome_OUTCOME_UNKNOWN
		res.streaming = a.w.Started()
		return res
	}
}
