package gateway

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/slowcaller"
)

// Metrics of callers that read slowly.
var (
	// slowCallerBytes is the number of bytes held for callers that read slowly.
	slowCallerBytes = expvar.NewInt("gateway_slow_caller_bytes")
	// slowCallerAborts counts responses that were aborted because their callers read
	// slowly, by cause.
	slowCallerAborts = expvar.NewMap("gateway_slow_caller_aborts")
)

// codeSlowCaller is the code of responses that were aborted because their callers read
// slowly.
const codeSlowCaller = "slow_caller"

// SlowCallers describes the responses whose callers read slowly.
type SlowCallers struct {
	// Responses is the number of responses for which bytes are held.
	Responses int `json:"responses"`
	// HeldBytes is the total of the held bytes. LargestBytes is the part of the
	// response that holds most.
	HeldBytes    int64 `json:"held_bytes"`
	LargestBytes int64 `json:"largest_bytes"`
}

// slowCallers holds the budget that the send queues of all connections share.
type slowCallers struct {
	options slowcaller.Options
	// buffered is the total size of everything that the gateway buffers.
	buffered *atomic.Int64
	lastID   atomic.Uint64

	mu     sync.Mutex
	budget *slowcaller.Budget
	// queues holds the queues with bytes in the budget.
	queues map[slowcaller.ResponseID]*sendQueue
}

func newSlowCallers(options slowcaller.Options, buffered *atomic.Int64) *slowCallers {
	return &slowCallers{
		options: options, buffered: buffered, budget: slowcaller.NewBudget(options),
		queues: make(map[slowcaller.ResponseID]*sendQueue),
	}
}

func (s *slowCallers) nextID() slowcaller.ResponseID {
	return slowcaller.ResponseID(s.lastID.Add(1))
}

// hold counts bytes to be queued and aborts the responses that exceed a bound.
func (s *slowCallers) hold(q *sendQueue, bytes int) {
	for victim, decision := range s.decide(q, bytes) {
		if victim == q {
			q.abort(decision)
			continue
		}
		victim.abortQueued(decision)
	}
}

// decide counts bytes to be queued and returns the responses to abort.
func (s *slowCallers) decide(q *sendQueue, bytes int) map[*sendQueue]slowcaller.Abort {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.countChange(s.budget.HeldBytes())
	s.queues[q.id] = q
	var victims map[*sendQueue]slowcaller.Abort
	for _, decision := range s.budget.Hold(q.id, int64(bytes)) {
		if victims == nil {
			victims = make(map[*sendQueue]slowcaller.Abort)
		}
		victims[s.queues[decision.ID]] = decision
		delete(s.queues, decision.ID)
	}
	return victims
}

// release counts bytes that were written.
func (s *slowCallers) release(q *sendQueue, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.countChange(s.budget.HeldBytes())
	if s.budget.Release(q.id, int64(bytes)) == 0 {
		delete(s.queues, q.id)
	}
}

// end removes a response from the budget and returns the bytes that were held for it.
func (s *slowCallers) end(q *sendQueue) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.countChange(s.budget.HeldBytes())
	delete(s.queues, q.id)
	return s.budget.End(q.id)
}

// countChange updates the totals after a change of the budget. The caller holds mu.
func (s *slowCallers) countChange(before int64) {
	change := s.budget.HeldBytes() - before
	s.buffered.Add(change)
	slowCallerBytes.Add(change)
}

func (s *slowCallers) view() SlowCallers {
	s.mu.Lock()
	defer s.mu.Unlock()
	return SlowCallers{Responses: len(s.queues), HeldBytes: s.budget.HeldBytes(), LargestBytes: s.budget.LargestBytes()}
}

// queueUnsent makes the writes to a caller queue what its socket does not accept, until
// awaitSent is called.
func (g *Gateway) queueUnsent(ctx context.Context, j *job) {
	conn, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok || j.response.conn != nil || !g.slowCallers.options.Enabled() {
		return
	}
	if conn.enableQueue(g.slowCallers) {
		j.response.conn = conn
	}
}

// awaitSent waits until all that was written is accepted by the caller's socket, and
// makes further writes wait for it again. It returns why that failed; the connection is
// not usable then.
func (rw *responseWriter) awaitSent() error {
	if rw.conn == nil {
		return nil
	}
	if err := rw.conn.queue.awaitDrained(rw.request); err != nil {
		return err
	}
	rw.conn.queue = nil
	rw.conn = nil
	return nil
}

// slowCallerAbort returns why the response was aborted for its caller's slow reading; nil
// if it was not.
func (rw *responseWriter) slowCallerAbort() *slowcaller.Abort {
	if rw.unread {
		return &slowcaller.Abort{Cause: slowcaller.CauseUnread}
	}
	if rw.conn == nil {
		return nil
	}
	_, err := rw.conn.queue.state()
	var aborted *slowCallerError
	if !errors.As(err, &aborted) {
		return nil
	}
	return &aborted.Abort
}

// slowCallerFields counts the abort of a slow caller's response and returns its log
// fields.
func slowCallerFields(aborted *slowcaller.Abort) []zap.Field {
	slowCallerAborts.Add(string(aborted.Cause), 1)
	return []zap.Field{zap.String("bound", string(aborted.Cause)), zap.Int64("held_bytes", aborted.HeldBytes)}
}

// concludeComplete ends a request whose whole response was received. Its caller may not
// have read all of it.
func (g *Gateway) concludeComplete(j *job, last result) {
	g.releaseBuffered(j)
	if err := j.response.awaitSent(); err != nil {
		g.breakOff(j, "caller_gone")
	}
	j.service.recordDuration(j.route.Name, time.Since(j.arrived))
	j.countCompleteMetrics(last)
}
