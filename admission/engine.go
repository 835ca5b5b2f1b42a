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
	upstream *upstream
	sent     time.Time
	// account is the account of its team, and served the number of tokens charged to it.
	account Account
	served  float64
	// prefill is the prefill work of its own prompt in tokens.
	prefill int
	// workAhead is the prefill work in tokens before its first token, its own
	// included, at the time of sending.
	workAhead float64
	// memory is the number of tokens it occupies in the engine's memory, without
	// shared parts.
	memory int
	// copyTokens is the number of cached tokens that the engine copies for it from
	// another engine, and copyDistance the distance between the two.
	copyTokens   int
	copyDistance fleet.Distance
	// started is set at the first event of the answer.
	started bool
}

// UpstreamLoad is the load that one router puts on an upstream.
type UpstreamLoad struct {
	// Prefill is the prefill work in tokens of requests without a first token.
	Prefill int
	// Running is the number of requests that have not ended.
	Running int
	// Memory is the number of tokens that its requests occupy in the engine's memory, without shared parts.
	Memory int
}

// peerLoad is another router's load at an upstream.
type peerLoad struct {
	UpstreamLoad
	at time.Time
}

// upstream is the scheduler's state of one upstream.
type upstream struct {
	registry.Upstream
	detector *outlier.Detector
	cache    *placement.Cache
	// pending lists the attempts without a first event in the order of sending.
	pending []*attempt
	load    UpstreamLoad
	// evacuated is set while the upstream's failure domain is evacuated.
	evacuated bool
	// reportedLoad is the load as last reported to the other routers.
	reportedLoad UpstreamLoad
	// reportedDomainLoad is the load of this router's failure domain as last
	// reported to the other domains.
	reportedDomainLoad UpstreamLoad
	// peers is the load reported by each other router, and peerTotal their sum.
	peers     map[fleet.NodeID]peerLoad
	peerTotal UpstreamLoad
	// prefillStarted is the estimated time at which the engine started on the
	// first pending attempt.
	prefillStarted time.Time
	// ownFactor is this router's estimate of the engine's factor, and pooledFactor that
	// of all routers at the last refresh.
	ownFactor    factorEstimate
	pooledFactor EngineFactor
	// factor is the engine's prefill rate relative to the service's, derived from
	// pooledFactor.
	factor float64
	// weight is the engine's weight in the placement of prompts.
	weight placementWeight
	// serviceTime is this router's estimate of a plain upstream's service time.
	serviceTime upstreamServiceTime
	// startedAnew is set if the engine replaced an earlier one of the same identifier.
	startedAnew bool
}

// backlog returns the prefill work in tokens that is ahead of a request sent now. Engines
// prefill prompts in order of arrival.
func (u *upstream) backlog(now time.Time, rate float64) float64 {
	own := float64(u.load.Prefill)
	if len(u.pending) > 0 {
		done := rate * now.Sub(u.prefillStarted).Seconds()
		// Progress is credited to the first pending attempt only: later attempts
		// count in full until its first event arrives.
		own -= min(done, float64(u.pending[0].prefill))
	}
	// The progress of other routers' requests is unknown, so they count in full. The
	// engine prefills one prompt at a time.
	return own + float64(u.peerTotal.Prefill)
}

// total returns the load summed over all routers.
func (u *upstream) total() UpstreamLoad { return u.load.plus(u.peerTotal) }

func (l UpstreamLoad) plus(other UpstreamLoad) UpstreamLoad {
	return UpstreamLoad{Prefill: l.Prefill + other.Prefill, Running: l.Running + other.Running, Memory: l.Memory + other.Memory}
}

func (l UpstreamLoad) minus(other UpstreamLoad) UpstreamLoad {
	return UpstreamLoad{Prefill: l.Prefill - other.Prefill, Running: l.Running - other.Running, Memory: l.Memory - other.Memory}
}

// setPeer replaces the load reported by another router.
func (u *upstream) setPeer(now time.Time, node fleet.NodeID, load UpstreamLoad) {
	u.removePeer(node)
	u.peers[node] = peerLoad{UpstreamLoad: load, at: now}
	u.peerTotal = u.peerTotal.plus(load)
}

func (u *upstream) removePeer(node fleet.NodeID) {
	u.peerTotal = u.peerTotal.minus(u.peers[node].UpstreamLoad)
	delete(u.peers, node)
}

// expirePeers removes the loads of other routers that are ttl old or older.
func (u *upstream) expirePeers(now time.Time, ttl time.Duration) {
	for node, peer := range u.peers {
		if now.Sub(peer.at) >= ttl {
			u.removePeer(node)
		}
	}
}

func (u *upstream) begin(now time.Time, a *attempt) {
	if len(u.pending) == 0 {
		u.prefillStarted = now
	}
	u.pending = append(u.pending, a)
	u.load.Prefill += a.prefill
	u.load.Running++
	u.load.Memory += a.memory
}

// firstEvent removes an attempt from the backlog. The engine is taken to start on the next
// pending attempt now.
func (u *upstream) firstEvent(now time.Time, a *attempt) {
	if a.started {
		return
	}
	a.started = true
	for i, pending := range u.pending {
		if pending == a {
			u.pending = append(u.pending[:i], u.pending[i+1:]...)
			break
		}
	}
	u.load.Prefill -= a.prefill
	u.prefillStarted = now
}

func (u *upstream) end(now time.Time, a *attempt) {
	u.firstEvent(now, a)
	u.load.Running--
	u.load.Memory -= a.memory
}
