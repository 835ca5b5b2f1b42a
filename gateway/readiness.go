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

// readinessInterval is the time between two looks whether this process keeps up.
const readinessInterval = 100 * time.Millisecond

// readiness binds the decision whether this process wants connections to its socket.
type readiness struct {
	gateway *Gateway
	// unready is set while this process can't keep up.
	unready atomic.Bool

	mu           sync.Mutex
	state        *overload.Readiness
	unreadySince time.Time
}

func newReadiness(g *Gateway) *readiness {
	return &readiness{gateway: g, state: overload.New(g.options.Overload)}
}

// observe notes whether connections wait to be accepted.
func (r *readiness) observe(waiting bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Observe(time.Now(), waiting)
}

// run decides again and again until ctx ends. Connections that have waited for too
// long are turned away: their callers have left or are about to.
func (r *readiness) run(ctx context.Context, callers *callerListener, turnAway func() error) error {
	for ctx.Err() == nil {
		r.observe(hasPendingConnections(callers.Listener))
		r.update(r.gateway.peers.domainStatus())
		if r.overloadDuration() > 0 {
			r.logOverload(callers)
			if err := turnAway(); err != nil {
				return err
			}
			r.observe(false)
		}
		node.Pause(ctx, readinessInterval)
	}
	return nil
}

// overloadDuration returns how long connections have waited without a pause, if that is too long.
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
	fields := []zap.Field{zap.Duration("behind", behind), zap.Int("others", domain.Others), zap.Int("others_unready", domain.Unready)}
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

// logOverload logs how far this process is behind: what it never reads leaves no line of its
// own. As those that wait are turned away then, there is no more than one line each
// Standing.
func (r *readiness) logOverload(callers *callerListener) {
	r.gateway.log.Warn("behind: waiting connections turned away", zap.Duration("behind", r.overloadDuration()), zap.Bool("ready", !r.unready.Load()),
		zap.Int64("accepted", callers.accepted.Load()), zap.Int64("left_unread", closedUnread.Value()),
		zap.Int("open", len(callers.connectionSlots)), zap.Int("entering", len(callers.undecidedSlots)),
		zap.Int64("requests", r.gateway.inFlight.Load()), zap.Int("goroutines", runtime.NumGoroutine()))
}

// domainStatus returns what is known of the other routers of this one's failure domainStatus.
func (p *peers) domainStatus() overload.DomainStatus {
	var d overload.DomainStatus
	all := p.sessions.All(peerpb.Role_ROLE_ROUTER)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range all {
		if !p.sameDomain(s) {
			continue
		}
		d.Others++
		if p.unready[s.ID()] || p.draining[s.ID()] {
			d.Unready++
		}
	}
	return d
}
