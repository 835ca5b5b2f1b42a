package admission

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/placement"
	"fulmarspindle.example/fulmarspindle/registry"
)

// attempt is a request that was sent to an upstream and has not ended.
type attempt struct {
	id       string
	upstream *upstream
	sent     time.Time
	team     fleet.TeamID
	// served is what the team's account has for it.
	served float64
	// prefill is the prompt tokens that the engine has to read for it.
	prefill int
	// workAhead is the prompt tokens, its own included, that were to be read
	// before its first token.
	workAhead float64
	// memory is the tokens that it takes beside shared parts.
	memory int
	// copyTokens is the tokens that the engine copies for it from another one, and
	// copiedOver how far that is.
	copyTokens   int
	copyDistance fleet.Distance
	// started is set at the first event.
	started bool
}

// UpstreamLoad is what one router has at an upstream.
type UpstreamLoad struct {
	// Prefill is the prompt tokens sent whose first token has not come.
	Prefill int
	Running int
	// Memory is the tokens that its requests take.
	Memory int
}

// peerLoad is another router's load at an upstream.
type peerLoad struct {
	UpstreamLoad
	at time.Time
}

// upstream is what is known of one upstream.
type upstream struct {
	registry.Upstream
	detector *outlier.Detector
	cache    *placement.Cache
	// pending is the requests without a first event, in the order of sending.
	pending []*attempt
	load    UpstreamLoad
	// reportedLoad is the load that the other routers know.
	reportedLoad UpstreamLoad
	// reportedDomainLoad is the load of this router's failure domain that the others
	// know.
	reportedDomainLoad UpstreamLoad
	// peers is the load of each other router, and peerSum that of all.
	peers     map[fleet.NodeID]peerLoad
	peerTotal UpstreamLoad
	// prefillStarted is when the engine began with the first of pending.
	prefillStarted time.Time
}

// backlog returns the prompt tokens that the engine has to read before those of a
// request that is sent now. Engines read prompts in order of arrival.
func (u *upstream) backlog(now time.Time, rate float64) float64 {
	own := float64(u.load.Prefill)
	if len(u.pending) > 0 {
		done := rate * now.Sub(u.prefillStarted).Seconds()
		// The first one has tokens left until its first event says otherwise.
		own -= min(done, float64(u.pending[0].prefill))
	}
	// The progress of other routers' requests is not known: the engine reads for
	// one at a time.
	return own + float64(u.peerTotal.Prefill)
}

// total returns the load of all routers.
func (u *upstream) total() UpstreamLoad { return u.load.plus(u.peerTotal) }

func (l UpstreamLoad) plus(other UpstreamLoad) UpstreamLoad {
	return UpstreamLoad{Prefill: l.Prefill + other.Prefill, Running: l.Running + other.Running, Memory: l.Memory + other.Memory}
}

func (l UpstreamLoad) minus(other UpstreamLoad) UpstreamLoad {
	return UpstreamLoad{Prefill: l.Prefill - other.Prefill, Running: l.Running - other.Running, Memory: l.Memory - other.Memory}
}

// setPeer takes another router's load.
func (u *upstream) setPeer(now time.Time, node fleet.NodeID, load UpstreamLoad) {
	u.removePeer(node)
	u.peers[node] = peerLoad{UpstreamLoad: load, at: now}
	u.peerTotal = u.peerTotal.plus(load)
}

func (u *upstream) removePeer(node fleet.NodeID) {
	u.peerTotal = u.peerTotal.minus(u.peers[node].UpstreamLoad)
	delete(u.peers, node)
}

// expirePeers drops the loads that are older than ttl.
func (u *upstream) expirePeers(now time.Time, ttl time.Duration) {
	for node, peer := range u.peers {
		if now.Sub(peer.at) >= ttl {
			u.removePeer(node)
		}
	}
}

func (u *upstream) begin(now time.Time, r *attempt) {
	if len(u.pending) == 0 {
		u.prefillStarted = now
	}
	u.pending = append(u.pending, r)
	u.load.Prefill += r.prefill
	u.load.Running++
	u.load.Memory += r.memory
}

// firstEvent takes a request off the backlog. Progress counts from now on.
func (u *upstream) firstEvent(now time.Time, r *attempt) {
	if r.started {
		return
	}
	r.started = true
	for i, pending := range u.pending {
		if pending == r {
			u.pending = append(u.pending[:i], u.pending[i+1:]...)
			break
		}
	}
	u.load.Prefill -= r.prefill
	u.prefillStarted = now
}

func (u *upstream) end(now time.Time, r *attempt) {
	u.firstEvent(now, r)
	u.load.Running--
	u.load.Memory -= r.memory
}
