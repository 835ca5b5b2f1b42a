package sidecar

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/telemetry"
	"fulmarspindle.example/fulmarspindle/upstream"
)

// receiveTimeout bounds how long a router may take to send a request.
const receiveTimeout = 30 * time.Second

// accrueAhead is the ratio of a charge to the cost so far.
const accrueAhead = 1.25

// execution is one dispatched request at this sidecar.
type execution struct {
	sidecar  *Sidecar
	stream   *peer.Stream
	dispatch *peerpb.Dispatch
	service  config.Service
	body     []byte
	id       uint64
	meter    *upstream.Meter
	started  time.Time
	// charged is the cost charged for what was streamed, in cost units.
	charged float64
	sent    uint64
}

// Stream implements peer.Handler: it serves one dispatched request.
func (s *Sidecar) Stream(session *peer.Session, st *peer.Stream) {
	defer st.Close()
	s.active.Add(1)
	defer s.active.Add(-1)
	x, err := s.receive(st)
	if err != nil {
		s.log.Info("request not received", zap.String("router", string(session.ID())), zap.Error(err))
		return
	}
	ctx, cancel := context.WithCancel(telemetry.WithTraceparent(s.ctx, x.dispatch.GetTraceparent()))
	defer cancel()
	go func() {
		// The router closes its side early to cancel.
		st.WaitClosed()
		cancel()
	}()
	x.serve(ctx, session)
}

func (s *Sidecar) receive(st *peer.Stream) (*execution, error) {
	if err := st.SetDeadline(time.Now().Add(receiveTimeout)); err != nil {
		return nil, err
	}
	open, err := st.ReceiveOpen()
	if err != nil {
		return nil, err
	}
	d := open.GetDispatch()
	service, ok := s.service()
	if d == nil || !ok || d.GetService() != string(service.ID) {
		return nil, errors.Join(ErrDispatch, st.SendEnd(notRun("wrong service")))
	}
	body, err := st.ReceiveBody(uint64(service.MaxBodyBytes))
	if err != nil {
		return nil, err
	}
	if err := st.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return &execution{sidecar: s, stream: st, dispatch: d, service: service, body: body}, nil
}

func notRun(reason string) *peerpb.End {
	return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Reason: reason}
}

// serve waits for the request's slot and runs it.
func (x *execution) serve(ctx context.Context, session *peer.Session) {
	ctx, span := telemetry.StartSpan(ctx, "sidecar.admit", attribute.String("team", x.dispatch.GetTeam()))
	defer span.End()
	if x.dispatch.GetTimeoutMs() > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(x.dispatch.GetTimeoutMs())*time.Millisecond)
		defer cancel()
	}
	id, decided := x.sidecar.scheduler.admit(session.ID(), x.dispatch)
	x.id = id
	select {
	case d := <-decided:
		if d.admitted {
			x.run(ctx)
			return
		}
		x.sidecar.scheduler.cancel(id, decided)
		x.end(notRun(d.reason.String()))
	case <-ctx.Done():
		x.sidecar.scheduler.cancel(id, decided)
		x.end(notRun("canceled"))
	}
}

// run hands the request to the upstream and relays the answer.
func (x *execution) run(ctx context.Context) {
	ctx, span := telemetry.StartSpan(ctx, "upstream.call", attribute.String("upstream", string(x.sidecar.settings.ID)))
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, x.service.MaxDuration.Std())
	defer cancel()
	x.started = time.Now()
	x.meter = x.newMeter(false)
	err := x.sidecar.client.Do(ctx, x.call(), x)
	x.conclude(ctx, err)
}

func (x *execution) newMeter(stream bool) *upstream.Meter {
	prices := upstream.Prices{
		PromptToken:    x.service.PromptTokenPrice,
		GeneratedToken: x.service.GeneratedTokenPrice,
		Second:         x.service.SecondPrice,
	}
	return upstream.NewMeter(prices, len(x.body), stream)
}

func (x *execution) call() *upstream.Call {
	header := make(http.Header, len(x.dispatch.GetHeaders()))
	for _, h := range x.dispatch.GetHeaders() {
		header[h.GetName()] = h.GetValues()
	}
	return &upstream.Call{
		Method:       x.dispatch.GetMethod(),
		Path:         x.dispatch.GetPath(),
		Header:       header,
		Body:         x.body,
		Idempotent:   x.dispatch.GetIdempotent(),
		IdleTimeout:  x.service.IdleTimeout.Std(),
		ResumeOffset: x.dispatch.GetResumeOffset(),
	}
}

// Head implements upstream.Sink.
func (x *execution) Head(status int, header http.Header) error {
	stream := strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
	x.meter = x.newMeter(stream)
	head := &peerpb.ResponseHead{Status: int32(status)}
	for name, values := range header {
		head.Headers = append(head.Headers, &peerpb.Header{Name: name, Values: values})
	}
	return x.stream.Send(&peerpb.Frame{Body: &peerpb.Frame_Head{Head: head}})
}

// Data implements upstream.Sink.
func (x *execution) Data(p []byte) error {
	x.sent += uint64(len(p))
	x.meter.Data(p)
	x.accrue()
	return x.stream.SendData(p)
}

// accrue charges a request that costs more than was charged for it. The charge
// runs ahead of the cost, so that a long request is charged a few times only.
func (x *execution) accrue() {
	cost := x.meter.Accrued(time.Since(x.started))
	if cost <= x.charged {
		return
	}
	x.charged = cost * accrueAhead
	x.sidecar.scheduler.accrue(x.id, x.charged)
}

// conclude settles the request's cost and tells the router how it ended.
func (x *execution) conclude(ctx context.Context, err error) {
	elapsed := time.Since(x.started)
	if errors.Is(err, upstream.ErrNotSent) {
		x.sidecar.scheduler.finish(x.id, 0, elapsed)
		if ctx.Err() == nil {
			// A caller that leaves says nothing of the upstream.
			x.sidecar.health.recordRequest(x.sidecar.ctx, false)
		}
		x.end(notRun("upstream refused the connection"))
		return
	}
	crashID := ""
	if err != nil && ctx.Err() == nil {
		// The slot stays taken until it is known whether the upstream
		// crashed: no request should start on one that is down.
		crashID = x.sidecar.health.crashID(x.sidecar.ctx, x.started)
	}
	cost := x.meter.Final(elapsed)
	x.sidecar.scheduler.finish(x.id, cost, elapsed)
	if err == nil {
		x.sidecar.health.recordRequest(x.sidecar.ctx, true)
		x.end(&peerpb.End{Outcome: peerpb.Outcome_OUTCOME_COMPLETE, BodyBytes: x.sent, Cost: cost})
		return
	}
	x.end(&peerpb.End{
		Outcome:   peerpb.Outcome_OUTCOME_UNKNOWN,
		BodyBytes: x.sent,
		Cost:      cost,
		Reason:    err.Error(),
		CrashId:   crashID,
	})
}

func (x *execution) end(end *peerpb.End) {
	if err := x.stream.SendEnd(end); err != nil {
		x.sidecar.log.Debug("end of request not delivered", zap.Error(err))
	}
}
