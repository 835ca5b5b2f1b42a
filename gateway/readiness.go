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

const (
	// readinessInterval is the time between two looks whether this process keeps up.
	readinessInterval = 100 * time.Millisecond
	// behindInterval is the time between two log lines while it does not.
	behindInterval = time.Second
)

// readiness binds the decision whether this process wants connections to its socket.
type readiness struct {
	gateway *Gateway
	// unready is set while this process can't keep up.
	unready atomic.Bool

	mu    sync.Mutex
	state *overload.Readiness
	since time.Time
	// toldAt is when a line last told that this process is behind.
	toldAt time.Time
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

// follow decides again and again until ctx ends.
func (r *readiness) follow(ctx context.Context, callers *callerListener) {
	for ctx.Err() == nil {
		r.observe(connectionsWait(callers.Listener))
		r.decide(r.gateway.peers.domain())
		r.tell(callers)
		node.Pause(ctx, readinessInterval)
	}
}

func (r *readiness) decide(domain overload.Domain) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	behind := r.state.Behind(now)
	unready := !r.state.Ready(now, domain)
	if r.unready.Swap(unready) == unready {
		return
	}
	fields := []zap.Field{zap.Duration("behind", behind), zap.Int("others", domain.Others), zap.Int("others_unready", domain.Unready)}
	if unready {
		r.since = now
		unreadySpells.Add(1)
		r.gateway.log.Warn("turned unready: connections wait", fields...)
	} else {
		r.gateway.log.Info("ready again", append(fields, zap.Duration("unready", now.Sub(r.since)))...)
	}
	r.gateway.changed.Store(true)
	signal(r.gateway.urgent)
}

// tell logs now and then how far this process is behind: requests that it never reads
// leave no line of their own.
func (r *readiness) tell(callers *callerListener) {
	now := time.Now()
	r.mu.Lock()
	behind := r.state.Behind(now)
	due := behind > 0 && now.Sub(r.toldAt) >= behindInterval
	if due {
		r.toldAt = now
	}
	r.mu.Unlock()
	if !due {
		return
	}
	r.gateway.log.Warn("behind: connections wait", zap.Duration("behind", behind), zap.Bool("ready", !r.unready.Load()),
		zap.Int64("accepted", callers.taken.Load()), zap.Int64("left_unread", leftUnread.Value()),
		zap.Int("open", len(callers.free)), zap.Int("entering", len(callers.entering)),
		zap.Int64("requests", r.gateway.inFlight.Load()), zap.Int("goroutines", runtime.NumGoroutine()))
}

// domain returns what is known of the other routers of this one's failure domain.
func (p *peers) domain() overload.Domain {
	var d overload.Domain
	own := p.gateway.options.Location.FailureDomain
	all := p.sessions.All(peerpb.Role_ROLE_ROUTER)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range all {
		if s.Location().FailureDomain != own {
			continue
		}
		d.Others++
		if p.unready[s.ID()] || p.draining[s.ID()] {
			d.Unready++
		}
	}
	return d
}
