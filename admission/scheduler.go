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
	// Begun is set if an earlier attempt of the same request counts as served.
	Begun bool
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
	options   Options
	capacity  Capacity
	model     prefillModel
	speeds    speeds
	transfers transferModel
	service   serviceTime
	upstreams map[fleet.UpstreamID]*upstream
	ids       []fleet.UpstreamID
	runs      map[string]*run
	accounts  *accounts
	shares    shares
	// lapsedAt is when old loads were dropped last.
	lapsedAt time.Time
	// peerUsage is the accounts of the other routers.
	peerUsage map[fleet.NodeID]peerUsage
	// sent is the prompts that the other routers have not been told of.
	sent []SentPrompt
	// domainSent is the prompts that the other failure domains have not been told
	// of.
	domainSent []SentPrompt
	// unreported is the tokens to read that the other routers have not been
	// told of.
	unreported int
}

// urgentWork is the work that other routers should hear of before the next report
// is due.
const urgentWork = 50 * time.Millisecond

// Urgent reports whether the other routers should hear of this one's load soon.
func (s *Scheduler) Urgent() bool {
	return float64(s.unreported) >= s.speed().Rate*urgentWork.Seconds()
}

// maxUnreported bounds the prompts that are kept for the next report.
const maxUnreported = 512

// NewScheduler returns a scheduler that knows no upstream.
func NewScheduler(options Options, capacity Capacity) *Scheduler {
	s := &Scheduler{
		options:   options,
		model:     newPrefillModel(options.PrefillRate, options.Overhead),
		speeds:    newSpeeds(),
		upstreams: make(map[fleet.UpstreamID]*upstream),
		runs:      make(map[string]*run),
		accounts:  newAccounts(options.Window),
		peerUsage: make(map[fleet.NodeID]peerUsage),
	}
	s.SetCapacity(capacity)
	return s
}

// SetOptions takes new settings. What was learnt and counted stays, but for the
// accounts if their window changes; upstreams that are known keep their detectors.
func (s *Scheduler) SetOptions(options Options) {
	if options.Window != s.options.Window {
		s.accounts = newAccounts(options.Window)
	}
	s.options = options
}

// SetCapacity takes a new configuration of the service.
func (s *Scheduler) SetCapacity(capacity Capacity) {
	s.capacity = capacity
	s.transfers.configure(capacity.TransferRate)
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

// KeepsPrompts reports whether the upstreams are engines that keep prompt parts.
func (s *Scheduler) KeepsPrompts() bool { return s.capacity.MemoryTokens > 0 }

// CacheListed takes what an engine says that it keeps.
func (s *Scheduler) CacheListed(id fleet.UpstreamID, parts []placement.Part) {
	if u := s.upstreams[id]; u != nil {
		u.cache.Restore(parts)
	}
}

// Admit decides on a request. An admitted one counts as sent until End.
func (s *Scheduler) Admit(now time.Time, r Request) Decision {
	cost := s.cost(r)
	if len(r.Exclude) == 0 {
		s.accounts.add(now, r.Team, cost, 0)
	}
	s.lapse(now)
	ratio := s.shareRatio(now, r.Team)
	best, refused := s.choose(now, r, ratio)
	if best == nil {
		refused.ShareRatio = ratio
		return refused
	}
	if r.Begun {
		cost = 0
	}
	s.accounts.add(now, r.Team, 0, cost)
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
	sent := &run{
		id: r.ID, upstream: c.upstream, sent: now, prefill: c.prefill, team: r.Team, served: served,
		ahead: c.backlog + float64(c.prefill), memory: own + r.OutputTokens,
		copied: c.copied, copiedOver: c.copiedOver,
	}
	s.runs[r.ID] = sent
	c.upstream.begin(now, sent)
	if s.capacity.MemoryTokens > 0 {
		s.unreported += c.prefill
		c.upstream.cache.Add(r.Prompt)
		sent := SentPrompt{Upstream: c.upstream.ID, Prompt: r.Prompt}
		if len(s.sent) < maxUnreported {
			s.sent = append(s.sent, sent)
		}
		s.noteDomainSent(sent)
	}
}

// FirstEvent notes that the first token of a request has come.
func (s *Scheduler) FirstEvent(now time.Time, id string) {
	r := s.runs[id]
	if r == nil || r.started {
		return
	}
	s.learn(r, now.Sub(r.sent))
	r.upstream.firstEvent(now, r)
}

// speed returns what is known of the engines.
func (s *Scheduler) speed() Speed { return s.speeds.get(&s.model) }

// learn takes the time to the first token of a run.
func (s *Scheduler) learn(r *run, took time.Duration) {
	switch {
	case s.capacity.MemoryTokens == 0:
	case r.copied == 0:
		s.model.observe(r.ahead, took)
		s.speeds.changed = true
	case s.capacity.TransferRate > 0:
		s.transfers.observe(r.copiedOver, r.copied, took-s.model.predict(r.ahead))
	}
}

// End notes that an attempt has ended. It reports whether its upstream was
// ejected by the outcome.
func (s *Scheduler) End(now time.Time, id string, outcome outlier.Outcome) bool {
	r := s.runs[id]
	if r == nil {
		return false
	}
	delete(s.runs, id)
	if s.capacity.MemoryTokens == 0 && outcome == outlier.Success {
		s.service.observe(now.Sub(r.sent))
	}
	if outcome == outlier.Unreachable || s.capacity.MemoryTokens > 0 {
		s.unserved(now, r)
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
	if r := s.runs[id]; r != nil {
		delete(s.runs, id)
		s.unserved(now, r)
		r.upstream.end(now, r)
	}
}

// unserved takes a run that ended before its first token off its team's account: the
// team got nothing by it.
func (s *Scheduler) unserved(now time.Time, r *run) {
	if !r.started {
		s.accounts.takeBack(now, r.sent, r.team, r.served)
	}
}
