package admission

import (
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/placement"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/warmup"
)

// Reason is the reason for which a request was refused.
type Reason string

// Reasons of refusals.
const (
	// NoUpstream means that no upstream of the service is available to the request.
	NoUpstream Reason = "no_upstream"
	// NoHomeRegion means that the service has no upstream in the home regions of the
	// request.
	NoHomeRegion Reason = "no_home_region"
	// Overloaded means that no upstream is predicted to answer on time.
	Overloaded Reason = "overloaded"
	// OverShare means that the request was refused because its team was served too
	// much relative to its share while there is more work than capacity.
	OverShare Reason = "over_share"
)

// Options configures a Scheduler.
type Options struct {
	Local fleet.Location
	// Regions maps each failure domain to its region.
	Regions map[fleet.FailureDomainID]fleet.RegionID
	// Replicas is the number of preferred engines for prompts with the same shared parts.
	Replicas int
	// PrefillRate is the initial estimate of an engine's prefill rate in tokens per
	// second, and Overhead that of the fixed time per request.
	PrefillRate float64
	Overhead    time.Duration
	// AttentionTokens is the context length at which prefilling a token takes twice
	// as long as at the start of a prompt.
	AttentionTokens float64
	// MaxWait is the fraction of the objective that the predicted time to first
	// token may take. OverShareWait is the same for teams over their share.
	MaxWait       float64
	OverShareWait float64
	// ReturnWait is the same for callers that retry after a refusal.
	ReturnWait float64
	// SlotLimit and MemoryLimit are the fractions of an engine's slots and memory
	// that may be used.
	SlotLimit   float64
	MemoryLimit float64
	// RemoteCost is added to the cost of upstreams in other regions.
	RemoteCost time.Duration
	// Window is the length of the teams' usage window.
	Window time.Duration
	// PeerTTL is the time for which a report from another router is valid.
	PeerTTL time.Duration
	// ColdOverage and ColdSlack define how many requests all routers together may send
	// to a cold upstream within a second: its tolerated rate times ColdOverage, plus
	// ColdSlack.
	ColdOverage float64
	ColdSlack   float64
	Outlier     outlier.Options
}

// Capacity is the configured capacity of a service's upstreams.
type Capacity struct {
	// Slots is the number of requests that an engine runs concurrently. It is zero
	// for plain services, whose upstreams report their own slots.
	Slots int
	// MemoryTokens is an engine's memory in tokens. It is zero for plain services.
	MemoryTokens int
	// TransferRate is the rate in tokens per second at which engines copy cached
	// tokens from each other. It is zero if they can't copy.
	TransferRate float64
	// Connections is the number of connections that an upstream accepts from all
	// routers together. Zero means no limit.
	Connections int
	// ColdStart is how long an upstream is cold after a start, and ColdRate the number
	// of requests per second that a cold upstream tolerates from all routers together.
	// Zero ColdRate means no limit.
	ColdStart time.Duration
	ColdRate  float64
}

// Request is a request for admission.
type Request struct {
	ID           string
	Team         fleet.TeamID
	Prompt       placement.Prompt
	OutputTokens int
	// Objective is the target time to the answer or, for a stream, to its first
	// event.
	Objective time.Duration
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	// Waited is the time that the caller has already spent on earlier requests for
	// the same answer. It is zero for the first request.
	Waited time.Duration
	// AlreadyCharged is set if an earlier attempt of the same request was charged to
	// the team as served.
	AlreadyCharged bool
	// Exclude lists the upstreams that the request was already sent to.
	Exclude []fleet.UpstreamID
	// Regions are the home regions of the request: the only ones whose upstreams it may
	// be sent to.
	Regions fleet.RegionSet
}

// Decision is the answer to a Request.
type Decision struct {
	Admitted bool
	Upstream registry.Upstream
	// CopyFrom is the address of the engine that the chosen one copies cached parts
	// from. It is empty if a copy is not worthwhile.
	CopyFrom string
	// Reason and RetryAfter are set if the request is refused.
	Reason     Reason
	RetryAfter time.Duration
	// Predicted is the predicted time to first token at the chosen upstream. If no
	// upstream would be on time, it is that at the cheapest one.
	Predicted time.Duration
	// Prefill is the prefill work of the request at the chosen upstream in tokens.
	Prefill int
	// SpeedFactor is the speed of the engine that Predicted is for, relative to the
	// service's.
	SpeedFactor float64
	// ShareRatio is the tokens served to the team relative to its share. It is zero
	// without contention.
	ShareRatio float64
	// Cold is set if the chosen upstream is cold.
	Cold bool
	// PassedOver is the number of cold upstreams that were acceptable, but to which this
	// router may not send now.
	PassedOver int
	// OverLimit is the number of upstreams that were acceptable, but name a limit that does
	// not let this router send to them now.
	OverLimit int
	// Paused is the number of upstreams that were acceptable, but have asked for a pause.
	Paused int
}

// Scheduler decides on the admission of requests to one service at one router.
type Scheduler struct {
	options     Options
	capacity    Capacity
	model       prefillModel
	speeds      speedPool
	factors     factorPool
	transfers   transferModel
	serviceTime serviceTime
	upstreams   map[fleet.UpstreamID]*upstream
	ids         []fleet.UpstreamID
	// evacuated holds the evacuated failure domains.
	evacuated   map[fleet.FailureDomainID]bool
	inFlight    map[string]*attempt
	usageWindow *usageWindow
	shares      shareSnapshot
	// lastExpiry is the time of the last check for expired loads.
	lastExpiry time.Time
	// peerUsage is the team usage reported by each other router.
	peerUsage map[fleet.NodeID]peerUsage
	// unreportedPrompts lists the prompts not yet reported to the other routers.
	unreportedPrompts []SentPrompt
	// unreportedDomainPrompts lists the prompts not yet reported to the other failure
	// domains.
	unreportedDomainPrompts []SentPrompt
	// unreportedTokens is the prefill work in tokens not yet reported to the other
	// routers.
	unreportedTokens int
	// warming holds what upstreams say of themselves that limits the requests to them.
	warming *warmup.Tracker
}

// urgentPrefill is the unreported prefill time from which on a report is sent before the
// next regular one.
const urgentPrefill = 50 * time.Millisecond

// ReportUrgent reports whether this router's load should be reported before the next
// regular report.
func (s *Scheduler) ReportUrgent() bool {
	return float64(s.unreportedTokens) >= s.speed().Rate*urgentPrefill.Seconds()
}

// maxUnreportedPrompts bounds the number of prompts queued for the next report.
const maxUnreportedPrompts = 512

// NewScheduler returns a scheduler without upstreams.
func NewScheduler(options Options, capacity Capacity) *Scheduler {
	s := &Scheduler{
		options:     options,
		model:       newPrefillModel(options.PrefillRate, options.Overhead),
		speeds:      newSpeedPool(),
		factors:     newFactorPool(),
		upstreams:   make(map[fleet.UpstreamID]*upstream),
		inFlight:    make(map[string]*attempt),
		usageWindow: newUsageWindow(options.Window),
		peerUsage:   make(map[fleet.NodeID]peerUsage),
		warming:     warmup.NewTracker(coldLimits(options, capacity)),
	}
	s.SetCapacity(capacity)
	return s
}

// SetOptions replaces the options. Estimates and counters are kept, except for the usage
// window if its length changes. Existing upstreams keep their outlier detectors.
func (s *Scheduler) SetOptions(options Options) {
	if options.Window != s.options.Window {
		s.usageWindow = newUsageWindow(options.Window)
	}
	s.options = options
	s.warming.SetLimits(coldLimits(options, s.capacity))
}

// SetCapacity replaces the configured capacity of the service's upstreams.
func (s *Scheduler) SetCapacity(capacity Capacity) {
	s.capacity = capacity
	s.transfers.setRate(capacity.TransferRate)
	s.warming.SetLimits(coldLimits(s.options, capacity))
}

// SetUpstreams replaces the list of available upstreams. An upstream whose start time or
// address changed is treated as a new one.
func (s *Scheduler) SetUpstreams(list []registry.Upstream) {
	next := make(map[fleet.UpstreamID]*upstream, len(list))
	s.ids = s.ids[:0]
	for _, entry := range list {
		known := s.upstreams[entry.ID]
		if known == nil || known.StartedUnixMs != entry.StartedUnixMs || known.Address != entry.Address {
			startedAnew := known != nil
			known = s.newUpstream()
			known.startedAnew = startedAnew
		}
		known.Upstream = entry
		known.evacuated = s.evacuated[entry.Domain]
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
		factor:   1,
		weight:   placementWeight{value: 1},
	}
}

// Admit decides on a request. An admitted request counts towards the upstream's load until
// End or Cancel.
func (s *Scheduler) Admit(now time.Time, r Request) Decision {
	cost := s.cost(r)
	if len(r.Exclude) == 0 {
		s.usageWindow.add(now, accountOf(r), cost, 0)
	}
	s.expirePeers(now)
	s.refreshFactors(now)
	ratio := s.shareRatio(now, r)
	best, refused := s.choose(now, r, ratio)
	if best == nil {
		refused.ShareRatio = ratio
		return refused
	}
	if r.AlreadyCharged {
		cost = 0
	}
	s.usageWindow.add(now, accountOf(r), 0, cost)
	s.begin(now, r, best, cost)
	return Decision{
		Admitted: true, Upstream: best.upstream.Upstream, CopyFrom: best.copyFrom,
		Predicted: best.predicted, Prefill: best.prefill, SpeedFactor: best.upstream.factor, ShareRatio: ratio,
		Cold: s.cold(now, best.upstream.ID), PassedOver: refused.PassedOver, OverLimit: refused.OverLimit, Paused: refused.Paused,
	}
}

// cost returns the tokens that a request is charged to its team: prompt tokens count once,
// generated tokens twice. A request without a prompt counts as one token.
func (s *Scheduler) cost(r Request) float64 {
	if len(r.Prompt) == 0 {
		return 1
	}
	return float64(r.Prompt.Tokens()) + 2*float64(r.OutputTokens)
}

func (s *Scheduler) begin(now time.Time, r Request, c *candidate, served float64) {
	own := r.Prompt.Tokens() - r.Prompt.SharedTokens()
	a := &attempt{
		upstream: c.upstream, sent: now, prefill: c.prefill, account: accountOf(r), served: served,
		workAhead: c.backlog + float64(c.prefill), memory: own + r.OutputTokens,
		copyTokens: c.copyTokens, copyDistance: c.copyDistance,
	}
	s.inFlight[r.ID] = a
	c.upstream.begin(now, a)
	s.warming.RecordSend(now, c.upstream.ID)
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

// FirstEvent records that the first token of a request arrived.
func (s *Scheduler) FirstEvent(now time.Time, id string) {
	a := s.inFlight[id]
	if a == nil || a.started {
		return
	}
	s.observeFirstToken(now, a, now.Sub(a.sent))
	a.upstream.firstEvent(now, a)
}

// speed returns the speed estimate pooled over all routers.
func (s *Scheduler) speed() EngineSpeed { return s.speeds.get(&s.model) }

// observeFirstToken updates the prefill model and the engine's factor, or the transfer
// model, with the time to first token of an attempt.
func (s *Scheduler) observeFirstToken(now time.Time, a *attempt, took time.Duration) {
	factor := a.upstream.factor
	switch {
	case s.capacity.MemoryTokens == 0:
	case a.copyTokens == 0:
		s.observeFactor(now, a, took)
		s.model.observe(a.workAhead, factor, took)
		s.speeds.stale = true
	case s.capacity.TransferRate > 0:
		s.transfers.observe(a.copyDistance, a.copyTokens, took-s.model.estimate().scaledBy(factor).predict(a.workAhead))
	}
}

// End records that an attempt ended. It reports whether the outcome caused its upstream to
// be ejected.
func (s *Scheduler) End(now time.Time, id string, outcome outlier.Outcome) bool {
	a := s.inFlight[id]
	if a == nil {
		return false
	}
	delete(s.inFlight, id)
	if s.capacity.MemoryTokens == 0 && outcome == outlier.Success {
		s.observeServiceTime(now, a.upstream, now.Sub(a.sent))
	}
	if outcome == outlier.Unreachable || s.capacity.MemoryTokens > 0 {
		s.refundUnstarted(now, a)
	}
	a.upstream.end(now, a)
	s.warming.RecordEnd(a.upstream.ID, a.sent)
	return s.observe(now, a.sent, a.upstream, outcome)
}

// Unreachable records that an upstream accepts no connections. It reports whether this
// caused the upstream to be ejected.
func (s *Scheduler) Unreachable(now time.Time, id fleet.UpstreamID) bool {
	u := s.upstreams[id]
	return u != nil && s.observe(now, now, u, outlier.Unreachable)
}

// observe passes an outcome to the upstream's outlier detector. An ejected upstream is
// assumed to return with an empty cache, unless it was ejected for corrupt or cut responses.
func (s *Scheduler) observe(now, started time.Time, u *upstream, outcome outlier.Outcome) bool {
	ejected := u.detector.Observe(now, started, outcome)
	if ejected && outcome != outlier.Corrupt && outcome != outlier.Cut {
		u.cache = placement.NewCache(s.capacity.MemoryTokens)
		s.markEjectedCold(now, u)
	}
	return ejected
}

// Cancel records that an attempt ended without an outcome at its upstream.
func (s *Scheduler) Cancel(now time.Time, id string) {
	if a := s.inFlight[id]; a != nil {
		delete(s.inFlight, id)
		s.refundUnstarted(now, a)
		a.upstream.end(now, a)
		s.warming.RecordEnd(a.upstream.ID, a.sent)
	}
}

// refundUnstarted subtracts an attempt that ended before its first token from its team's
// usage, because the team received nothing for it.
func (s *Scheduler) refundUnstarted(now time.Time, a *attempt) {
	if !a.started {
		s.usageWindow.refund(now, a.sent, a.account, a.served)
	}
}
