package gateway

import (
	"context"
	"net"
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

	mu    sync.Mutex
	state *overload.Readiness
	since time.Time
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
func (r *readiness) follow(ctx context.Context, callers net.Listener) {
	for ctx.Err() == nil {
		r.observe(connectionsWait(callers))
		r.decide(r.gateway.peers.domain())
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
