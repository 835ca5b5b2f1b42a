package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/latency"
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/retry"
	"fulmarspindle.example/fulmarspindle/route"
)

// service holds the admission scheduler and the retry budget of one service and passes
// them the current time.
type service struct {
	id  fleet.ServiceID
	log *zap.Logger
	// loadChanged is set when the load changes.
	loadChanged *atomic.Bool
	// reportNow is signaled when the other routers need a report before its regular
	// interval has passed.
	reportNow chan struct{}

	mu        sync.Mutex
	scheduler *admission.Scheduler
	budget    *retry.Budget
	// durations are the estimates of how long the requests of each route take.
	durations map[string]latency.Estimator
}

// report returns this router's load; full selects all of it, not only changes.
func (s *service) report(full bool) admission.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Report(time.Now(), full)
}

// domainReport returns the combined load of this router's failure domain.
func (s *service) domainReport(members []fleet.NodeID, full bool) admission.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.DomainReport(time.Now(), members, full)
}

// recordDomainPrompts stores prompts for the failure domain's next report.
func (s *service) recordDomainPrompts(prompts []admission.SentPrompt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.RecordDomainPrompts(prompts)
}

func (s *service) view(now time.Time) admission.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.View(now)
}

func (s *service) applyPeerReport(node fleet.NodeID, r admission.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.ApplyPeerReport(time.Now(), node, r)
}

func (s *service) removePeer(node fleet.NodeID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.RemovePeer(node)
}

func newService(id fleet.ServiceID, policy *Policy, started time.Time, capacity admission.Capacity, loadChanged *atomic.Bool, reportNow chan struct{}, log *zap.Logger) *service {
	return &service{
		id:          id,
		log:         log,
		loadChanged: loadChanged,
		reportNow:   reportNow,
		scheduler:   admission.NewScheduler(policy.Admission, capacity),
		budget:      retry.NewBudget(policy.Retry, started),
		durations:   make(map[string]latency.Estimator),
	}
}

func capacityOf(s *route.Service) admission.Capacity {
	capacity := admission.Capacity{Connections: s.MaxConnections, ColdStart: s.ColdStart, ColdRate: s.ColdRate}
	if s.Engine != nil {
		capacity.Slots = s.Engine.Slots
		capacity.MemoryTokens = s.Engine.MemoryTokens
		capacity.TransferRate = s.Engine.TransferRate
	}
	return capacity
}

// notify sends on c without blocking. c has a capacity of one, so that repeated
// notifications coalesce.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (s *service) setPolicy(policy *Policy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetOptions(policy.Admission)
	s.budget.SetOptions(time.Now(), policy.Retry)
}

func (s *service) setCapacity(capacity admission.Capacity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetCapacity(capacity)
}

func (s *service) setUpstreams(list []registry.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetUpstreams(list)
	s.scheduler.RegisterLimited(time.Now())
	s.logEndedReports()
	s.markRegisteredCold()
}

// recordRequest counts a caller's request towards the retry budget.
func (s *service) recordRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordRequest(time.Now())
}

// takeRetry tries to take a retry from the budget and returns the budget's usage.
func (s *service) takeRetry(routers int) (bool, retry.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	taken := s.budget.TryAcquire(now, routers)
	return taken, s.budget.Usage(now, routers)
}

// retryUsage returns the budget's usage and whether a retry is available.
func (s *service) retryUsage(now time.Time, routers int) (retry.Usage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Usage(now, routers), s.budget.Available(now, routers)
}

func (s *service) admit(r admission.Request) admission.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadChanged.Store(true)
	d := s.scheduler.Admit(time.Now(), r)
	s.countCold(d)
	s.countOverLimit(d)
	s.countPaused(d)
	if s.scheduler.ReportUrgent() {
		notify(s.reportNow)
	}
	return d
}

func (s *service) recordFirstEvent(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadChanged.Store(true)
	s.scheduler.FirstEvent(time.Now(), id)
}

func (s *service) endAttempt(id string, outcome outlier.Outcome) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadChanged.Store(true)
	defer s.logColdPeriods()
	return s.scheduler.End(time.Now(), id, outcome)
}

func (s *service) markUnreachable(id fleet.UpstreamID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.logColdPeriods()
	return s.scheduler.Unreachable(time.Now(), id)
}

func (s *service) cancelAttempt(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadChanged.Store(true)
	s.scheduler.Cancel(time.Now(), id)
}
