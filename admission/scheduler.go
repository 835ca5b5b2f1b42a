package admission

import (
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/placement"
	"fulmarspindle.example/fulmarspindle/registry"
)

// Reason tells why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// NoUpstream means that no upstream of the service may get work.
	NoUpstream Reason = "no_upstream"
	// Overloaded means that no upstream would answer on time.
	Overloaded Reason = "overloaded"
	// OverShare means that the team received more than its share while there
	// is more work than capacity.
	OverShare Reason = "over_share"
)

// Options set up a Scheduler.
type Options struct {
	Local fleet.Location
	// Regions maps the failure domains to their regions.
	Regions map[fleet.FailureDomainID]fleet.RegionID
	// Replicas is how many engines may get prompts with the same shared parts.
	Replicas int
	// PrefillRate is the initial estimate of an engine's rate in tokens per
	// second, and Overhead that of the time beside it.
	PrefillRate float64
	Overhead    time.Duration
	// AttentionTokens is the length of context at which reading a token takes
	// twice as long as at the start of a prompt.
	AttentionTokens float64
	// MaxWait is the part of the objective that the predicted time to the
	// first token may take, OverShareWait the same for teams over their share.
	MaxWait       float64
	OverShareWait float64
	// ReturnWait is the same for callers that come back after a refusal.
	ReturnWait float64
	// SlotLimit and MemoryLimit are the parts of an engine's slots and memory
	// that may be taken.
	SlotLimit   float64
	MemoryLimit float64
	// RemoteCost is added to the predicted time at upstreams of other regions.
	RemoteCost time.Duration
	// Window is the span of the teams' accounts.
	Window time.Duration
	// PeerTTL is how long another router's report holds.
	PeerTTL time.Duration
	Outlier outlier.Options
}

// Capacity is what the configuration says of a service's upstreams.
type Capacity struct {
	// Slots is the number of requests that an engine runs at once; zero for
	// plain services, whose upstreams tell it themselves.
	Slots int
	// MemoryTokens is an engine's memory; zero for plain services.
	MemoryTokens int
	// TransferRate is the cached tokens that an engine copies from another one
	// in a second; zero if it can't.
	TransferRate float64
	// Connections is what an upstream accepts from all routers; zero means no
	// limit.
	Connections int
}

// Request is what a decision is made from.
type Request struct {
	ID           string
	Team         fleet.TeamID
	Prompt       placement.Prompt
	OutputTokens int
	Objective    time.Duration
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	// Waited is how long the caller has waited in earlier requests for the same
	// answer; zero if this is the first.
	Waited time.Duration
	// AlreadyCharged is set if an earlier attempt of the same request counts as served.
	AlreadyCharged bool
	// Exclude is the upstreams that the request was sent to before.
	Exclude []fleet.UpstreamID
}

// Decision is the answer to a Request.
type Decision struct {
	Admitted bool
	Upstream registry.Upstream
	// CopyFrom is the address of the engine from which the chosen one is to
	// copy cached parts; empty if it is not worth it.
	CopyFrom string
	// Reason and RetryAfter tell of a refusal.
	Reason     Reason
	RetryAfter time.Duration
	// Predicted is the time to the first token at the chosen upstream.
	Predicted time.Duration
	// Prefill is the prompt tokens that it has to read for the request.
	Prefill int
	// ShareRatio is what the team was served relative to its share; zero while
	// there is no contention.
	ShareRatio float64
}

// Scheduler decides for the requests of one service at one router.
type Scheduler struct {
	options     Options
	capacity    Capacity
	model       prefillModel
	speeds      speedPool
	transfers   transferModel
	service     serviceTime
	upstreams   map[fleet.UpstreamID]*upstream
	ids         []fleet.UpstreamID
	inFlight    map[string]*attempt
	usageWindow *usageWindow
	shares      shareSnapshot
	// lastExpiry is when old loads were dropped last.
	lastExpiry time.Time
	// peerUsage is the accounts of the other routers.
	peerUsage map[fleet.NodeID]peerUsage
	// unreportedPrompts is the prompts that the other routers have not been told of.
	unreportedPrompts []SentPrompt
	// unreportedDomainPrompts is the prompts that the other failure domains have not been told
	// of.
	unreportedDomainPrompts []SentPrompt
	// unreportedTokens is the tokens to read that the other routers have not been
	// told of.
	unreportedTokens int
}

// urgentPrefill is the work that other routers should hear of before the next report
// is due.
const urgentPrefill = 50 * time.Millisecond

// ReportUrgent reports whether the other routers should hear of this one's load soon.
func (s *Scheduler) ReportUrgent() bool {
	return float64(s.unreportedTokens) >= s.speed().Rate*urgentPrefill.Seconds()
}

// maxUnreportedPrompts bounds the prompts that are kept for the next report.
const maxUnreportedPrompts = 512

// NewScheduler returns a scheduler that knows no upstream.
func NewScheduler(options Options, capacity Capacity) *Scheduler {
	s := &Scheduler{
		options:     options,
		model:       newPrefillModel(options.PrefillRate, options.Overhead),
		speeds:      newSpeedPool(),
		upstreams:   make(map[fleet.UpstreamID]*upstream),
		inFlight:    make(map[string]*attempt),
		usageWindow: newUsageWindow(options.Window),
		peerUsage:   make(map[fleet.NodeID]peerUsage),
	}
	s.SetCapacity(capacity)
	return s
}

// SetOptions takes new settings. What was learnt and counted stays, but for the
// accounts if their window changes; upstreams that are known keep their detectors.
func (s *Scheduler) SetOptions(options Options) {
	if options.Window != s.options.Window {
		s.usageWindow = newUsageWindow(options.Window)
	}
	s.options = options
}

// SetCapacity takes a new configuration of the service.
func (s *Scheduler) SetCapacity(capacity Capacity) {
	s.capacity = capacity
	s.transfers.setRate(capacity.TransferRate)
}

// SetUpstreams replaces the upstreams that may get work. An upstream that started
// again is a new one.
func (s *Scheduler) SetUpstreams(list []registry.Upstream) {
	next := make(map[fleet.UpstreamID]*upstream, len(list))
	s.ids = s.ids[:0]
	for _, entry := range list {
		known := s.upstreams[entry.ID]
		if known == nil || known.StartedUnixMs != entry.StartedUnixMs || known.Address != entry.Address {
			known = s.newUpstream()
		}
		known.Upstream = entry
		next[entry.ID] = known
		s.ids = append(s.ids, entry.ID)
	}
	slices.Sort(s.ids)
	s.upstreams = next
}

func (s *Scheduler) newUpstream() *upstream {
	return &upstream{
		detector: outlier.NewDetector(s.options.Outlier),
		cache:    placement.NewCache(s.capacity.MemoryTokens),
		peers:    make(map[fleet.NodeID]peerLoad),
	}
}

// CachesPrompts reports whether the upstreams are engines that keep prompt parts.
func (s *Scheduler) CachesPrompts() bool { return s.capacity.MemoryTokens > 0 }

// RestoreCache takes what an engine says that it keeps.
func (s *Scheduler) RestoreCache(id fleet.UpstreamID, parts []placement.Part) {
	if u := s.upstreams[id]; u != nil {
		u.cache.Restore(parts)
	}
}

// Admit decides on a request. An admitted one counts as sent until End.
func (s *Scheduler) Admit(now time.Time, r Request) Decision {
	cost := s.cost(r)
	if len(r.Exclude) == 0 {
		s.usageWindow.add(now, r.Team, cost, 0)
	}
	s.expirePeers(now)
	ratio := s.shareRatio(now, r.Team)
	best, refused := s.choose(now, r, ratio)
	if best == nil {
		refused.ShareRatio = ratio
		return refused
	}
	if r.AlreadyCharged {
		cost = 0
	}
	s.usageWindow.add(now, r.Team, 0, cost)
	s.begin(now, r, best, cost)
	return Decision{
		Admitted: true, Upstream: best.upstream.Upstream, CopyFrom: best.copyFrom,
		Predicted: best.predicted, Prefill: best.prefill, ShareRatio: ratio,
	}
}

// cost is the tokens that a request counts for in its team's account: each prompt
// token once, each generated one twice.
func (s *Scheduler) cost(r Request) float64 {
	if len(r.Prompt) == 0 {
		return 1
	}
	return float64(r.Prompt.Tokens()) + 2*float64(r.OutputTokens)
}

func (s *Scheduler) begin(now time.Time, r Request, c *candidate, served float64) {
	own := r.Prompt.Tokens() - r.Prompt.SharedTokens()
	sent := &attempt{
		id: r.ID, upstream: c.upstream, sent: now, prefill: c.prefill, team: r.Team, served: served,
		workAhead: c.backlog + float64(c.prefill), memory: own + r.OutputTokens,
		copyTokens: c.copyTokens, copyDistance: c.copyDistance,
	}
	s.inFlight[r.ID] = sent
	c.upstream.begin(now, sent)
	if s.capacity.MemoryTokens > 0 {
		s.unreportedTokens += c.prefill
		c.upstream.cache.Add(r.Prompt)
		sent := SentPrompt{Upstream: c.upstream.ID, Prompt: r.Prompt}
		if len(s.unreportedPrompts) < maxUnreportedPrompts {
			s.unreportedPrompts = append(s.unreportedPrompts, sent)
		}
		s.queueDomainPrompts(sent)
	}
}

// FirstEvent notes that the first token of a request has come.
func (s *Scheduler) FirstEvent(now time.Time, id string) {
	r := s.inFlight[id]
	if r == nil || r.started {
		return
	}
	s.observeFirstToken(r, now.Sub(r.sent))
	r.upstream.firstEvent(now, r)
}

// speed returns what is known of the engines.
func (s *Scheduler) speed() EngineSpeed { return s.speeds.get(&s.model) }

// observeFirstToken takes the time to the first token of a run.
func (s *Scheduler) observeFirstToken(r *attempt, took time.Duration) {
	switch {
	case s.capacity.MemoryTokens == 0:
	case r.copyTokens == 0:
		s.model.observe(r.workAhead, took)
		s.speeds.stale = true
	case s.capacity.TransferRate > 0:
		s.transfers.observe(r.copyDistance, r.copyTokens, took-s.model.predict(r.workAhead))
	}
}

// End notes that an attempt has ended. It reports whether its upstream was
// ejected by the outcome.
func (s *Scheduler) End(now time.Time, id string, outcome outlier.Outcome) bool {
	r := s.inFlight[id]
	if r == nil {
		return false
	}
	delete(s.inFlight, id)
	if s.capacity.MemoryTokens == 0 && outcome == outlier.Success {
		s.service.observe(now.Sub(r.sent))
	}
	if outcome == outlier.Unreachable || s.capacity.MemoryTokens > 0 {
		s.refundUnstarted(now, r)
	}
	r.upstream.end(now, r)
	return s.observe(now, r.sent, r.upstream, outcome)
}

// Unreachable notes that an upstream accepts no connection. It reports whether the
// upstream was ejected by that.
func (s *Scheduler) Unreachable(now time.Time, id fleet.UpstreamID) bool {
	u := s.upstreams[id]
	return u != nil && s.observe(now, now, u, outlier.Unreachable)
}

// observe takes an outcome at an upstream. An ejected one comes back with an empty
// cache.
func (s *Scheduler) observe(now, started time.Time, u *upstream, outcome outlier.Outcome) bool {
	ejected := u.detector.Observe(now, started, outcome)
	if ejected {
		u.cache = placement.NewCache(s.capacity.MemoryTokens)
	}
	return ejected
}

// Cancel notes that an attempt ended without an outcome of its upstream.
func (s *Scheduler) Cancel(now time.Time, id string) {
	if r := s.inFlight[id]; r != nil {
		delete(s.inFlight, id)
		s.refundUnstarted(now, r)
		r.upstream.end(now, r)
	}
}

// refundUnstarted takes a run that ended before its first token off its team's account: the
// team got nothing by it.
func (s *Scheduler) refundUnstarted(now time.Time, r *attempt) {
	if !r.started {
		s.usageWindow.refund(now, r.sent, r.team, r.served)
	}
}
