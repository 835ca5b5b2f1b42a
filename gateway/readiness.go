package gateway

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/overload"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// readinessInterval is the time between two checks for overload.
const readinessInterval = 100 * time.Millisecond

// readiness reports this process unready while it is overloaded.
type readiness struct {
	gateway *Gateway
	// unready is set while this process is overloaded.
	unready atomic.Bool

	mu           sync.Mutex
	state        *overload.Readiness
	unreadySince time.Time
}

func newReadiness(g *Gateway) *readiness {
	return &readiness{gateway: g, state: overload.New(g.options.Overload)}
}

// observe records whether connections are waiting to be accepted.
func (r *readiness) observe(waiting bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Observe(time.Now(), waiting)
}

// run updates the readiness until ctx is canceled. When connections have waited too
// long, it calls resetPending, which resets all waiting connections: their callers have
// disconnected or are about to.
func (r *readiness) run(ctx context.Context, callers *callerListener, resetPending func() error) error {
	for ctx.Err() == nil {
		r.observe(hasPendingConnections(callers.Listener))
		r.update(r.gateway.peers.domainStatus())
		if r.overloadDuration() > 0 {
			r.logOverload(callers)
			if err := resetPending(); err != nil {
				return err
			}
			r.observe(false)
		}
		node.Pause(ctx, readinessInterval)
	}
	return nil
}

// overloadDuration returns how long connections have been waiting without interruption
// if that is too long, else zero.
func (r *readiness) overloadDuration() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.OverloadDuration(time.Now())
}

func (r *readiness) update(domain overload.DomainStatus) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	behind := r.state.OverloadDuration(now)
	unready := !r.state.Ready(now, domain)
	if r.unready.Swap(unready) == unready {
		return
	}
	fields := []zap.Field{zap.Duration("behind", behind), zap.Int("others", domain.Others), zap.Int("others_unready", domain.Unready),
		zap.Float64("others_processors", domain.ReadyProcessors)}
	if unready {
		r.unreadySince = now
		unreadySpells.Add(1)
		r.gateway.log.Warn("turned unready: connections wait", fields...)
	} else {
		r.gateway.log.Info("ready again", append(fields, zap.Duration("unready", now.Sub(r.unreadySince)))...)
	}
	r.gateway.loadChanged.Store(true)
	notify(r.gateway.reportNow)
}

// logOverload logs how long connections have been waiting, since connections that are
// never read produce no log line of their own. As the waiting connections are reset
// afterwards, it logs at most once per MaxBacklogTime.
func (r *readiness) logOverload(callers *callerListener) {
	r.gateway.log.Warn("behind: waiting connections turned away", zap.Duration("behind", r.overloadDuration()), zap.Bool("ready", !r.unready.Load()),
		zap.Int64("accepted", callers.accepted.Load()), zap.Int64("left_unread", closedUnread.Value()),
		zap.Int("open", len(callers.connectionSlots)), zap.Int("entering", len(callers.undecidedSlots)),
		zap.Int64("requests", r.gateway.inFlight.Load()), zap.Int("goroutines", runtime.NumGoroutine()))
}

// domainStatus returns the state of the other routers in this failure domain.
func (p *peers) domainStatus() overload.DomainStatus {
	// Other routers announce their CPU time as a float32.
	d := overload.DomainStatus{Processors: float64(float32(p.gateway.options.Processors))}
	all := p.sessions.ByRole(peerpb.Role_ROLE_ROUTER)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range all {
		if !p.sameDomain(s) {
			continue
		}
		d.Others++
		if p.unready[s.ID()] || p.draining[s.ID()] {
			d.Unready++
			continue
		}
		if s.Processors() <= 0 {
			d.ReadyUnknown++
		}
		d.ReadyProcessors += s.Processors()
	}
	return d
}
