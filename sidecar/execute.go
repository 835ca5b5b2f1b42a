package sidecar

import (
	"context"
	"errors"
	"expvar"
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

// requestReceiveTimeout bounds the time in which a router has to send a request.
const requestReceiveTimeout = 30 * time.Second

// chargeAheadFactor is the ratio of the charge for a running request to its cost at
// the time of the charge.
const chargeAheadFactor = 1.25

// unsoundStreams counts the streams in which the upstream sent something other than events.
var unsoundStreams = expvar.NewInt("sidecar_unsound_streams")

// execution is the state of one request that was dispatched to this sidecar.
type execution struct {
	sidecar  *Sidecar
	stream   *peer.Stream
	dispatch *peerpb.Dispatch
	service  config.Service
	body     []byte
	id       uint64
	meter    *upstream.Meter
	started  time.Time
	// charged is the last cost charged during the response, in cost units.
	charged   float64
	sentBytes uint64
}

// Stream implements peer.Handler. It serves one dispatched request.
func (s *Sidecar) Stream(session *peer.Session, st *peer.Stream) {
	defer st.Close()
	s.activeRequests.Add(1)
	defer s.activeRequests.Add(-1)
	x, err := s.receive(st)
	if err != nil {
		s.log.Info("request not received", zap.String("router", string(session.ID())), zap.Error(err))
		return
	}
	ctx, cancel := context.WithCancel(telemetry.WithTraceparent(s.ctx, x.dispatch.GetTraceparent()))
	defer cancel()
	go func() {
		// The router cancels a request by closing its side of the stream early.
		st.WaitClosed()
		cancel()
	}()
	x.serve(ctx, session)
}

func (s *Sidecar) receive(st *peer.Stream) (*execution, error) {
	if err := st.SetDeadline(time.Now().Add(requestReceiveTimeout)); err != nil {
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

// serve waits for a slot and runs the request.
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
		x.sendEnd(notRun(d.reason.String()))
	case <-ctx.Done():
		x.sidecar.scheduler.cancel(id, decided)
		x.sendEnd(notRun("canceled"))
	}
}

// run sends the request to the upstream and relays the response to the router.
func (x *execution) run(ctx context.Context) {
	ctx, span := telemetry.StartSpan(ctx, "upstream.call", attribute.String("upstream", string(x.sidecar.settings.ID)))
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, x.service.MaxDuration.Std())
	defer cancel()
	x.started = time.Now()
	x.meter = x.newMeter(false)
	err := x.sidecar.client.Do(ctx, x.call(), x)
	if errors.Is(err, upstream.ErrUnsound) {
		unsoundStreams.Add(1)
		x.sidecar.log.Warn("unsound stream of the upstream", zap.String("attempt", x.dispatch.GetAttemptId()), zap.Uint64("bytes", x.sentBytes), zap.Error(err))
	}
	x.finish(ctx, err)
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
		IdleTimeout:  x.service.IdleTimeout.Std(),
		ResumeOffset: x.dispatch.GetResumeOffset(),
	}
}

// Head implements upstream.Sink.
func (x *execution) Head(status int, header http.Header) error {
	stream := strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
	x.meter = x.newMeter(stream)
	return x.stream.Send(&peerpb.Frame{Body: &peerpb.Frame_Head{Head: responseHead(status, header)}})
}

// responseHead encodes the head of a response. Messages carry valid UTF-8 only; other bytes of
// header values are replaced.
func responseHead(status int, header http.Header) *peerpb.ResponseHead {
	head := &peerpb.ResponseHead{Status: int32(status)}
	for name, values := range header {
		text := make([]string, len(values))
		for i, value := range values {
			text[i] = strings.ToValidUTF8(value, "\uFFFD")
		}
		head.Headers = append(head.Headers, &peerpb.Header{Name: name, Values: text})
	}
	return head
}

// Data implements upstream.Sink.
func (x *execution) Data(p []byte) error {
	x.sentBytes += uint64(len(p))
	x.meter.Data(p)
	x.chargeAccrued()
	return x.stream.SendData(p)
}

// chargeAccrued raises the charge if the cost so far exceeds it. Each new charge is
// chargeAheadFactor times the cost, so that a long request is charged only a few
// times.
func (x *execution) chargeAccrued() {
	cost := x.meter.Accrued(time.Since(x.started))
	if cost <= x.charged {
		return
	}
	x.charged = cost * chargeAheadFactor
	x.sidecar.scheduler.accrue(x.id, x.charged)
}

// finish settles the request's cost, records the result for the upstream's health
// and sends the outcome to the router.
func (x *execution) finish(ctx context.Context, err error) {
	elapsed := time.Since(x.started)
	if errors.Is(err, upstream.ErrNotSent) {
		x.sidecar.scheduler.finish(x.id, 0, elapsed)
		if ctx.Err() == nil {
			// An error that is due to cancellation or a deadline is no sign of an
			// unhealthy upstream.
			x.sidecar.health.recordRequest(x.sidecar.ctx, false)
		}
		x.sendEnd(notRun("upstream refused the connection"))
		return
	}
	crashID := ""
	if err != nil && ctx.Err() == nil {
		// The slot stays occupied until it is known whether the upstream crashed,
		// so that no request starts on an upstream that is down.
		crashID = x.sidecar.health.crashID(x.sidecar.ctx, x.started, err)
	}
	cost := x.meter.Final(elapsed)
	x.sidecar.scheduler.finish(x.id, cost, elapsed)
	if err == nil {
		x.sidecar.health.recordRequest(x.sidecar.ctx, true)
		x.sendEnd(&peerpb.End{Outcome: peerpb.Outcome_OUTCOME_COMPLETE, BodyBytes: x.sentBytes, Cost: cost})
		return
	}
	x.sendEnd(&peerpb.End{
		Outcome:   peerpb.Outcome_OUTCOME_UNKNOWN,
		BodyBytes: x.sentBytes,
		Cost:      cost,
		Reason:    err.Error(),
		CrashId:   crashID,
	})
}

func (x *execution) sendEnd(end *peerpb.End) {
	if err := x.stream.SendEnd(end); err != nil {
		x.sidecar.log.Debug("sending the end of a request failed", zap.Error(err))
	}
}
