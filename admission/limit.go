package admission

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/warmup"
)

// LimitView is the limit that an upstream names.
type LimitView struct {
	// Rate is the number of requests per second that it takes from all routers together.
	Rate float64 `json:"rate"`
	// Sender is set if this router may send to the upstream.
	Sender bool `json:"sender"`
}

// ObserveLimit records what a response of an upstream names to a request that was sent at a
// time; a nil rate means no limit. It returns the limit and whether that changed it.
func (s *Scheduler) ObserveLimit(now, sent time.Time, id fleet.UpstreamID, rate *float64) (warmup.NamedLimit, bool) {
	u := s.upstreams[id]
	if u == nil {
		return warmup.NamedLimit{}, false
	}
	return s.warming.ObserveLimit(now, sent, s.incarnation(u.Upstream), rate)
}

// MergeLimit applies a limit that another router has heard of, and reports whether that
// changed anything.
func (s *Scheduler) MergeLimit(now time.Time, l warmup.NamedLimit) bool {
	if u := s.upstreams[l.Upstream.ID]; u != nil {
		if u.StartedUnixMs > l.Upstream.StartedUnixMs {
			return false
		}
		l.Upstream.Region = s.options.Regions[u.Domain]
	}
	return s.warming.MergeLimit(now, l)
}

// NamedLimits returns the limits that upstreams name.
func (s *Scheduler) NamedLimits() []warmup.NamedLimit { return s.warming.NamedLimits() }

// RegisterLimited adapts the limits to the upstreams passed to SetUpstreams.
func (s *Scheduler) RegisterLimited(now time.Time) {
	list := make([]warmup.Upstream, 0, len(s.ids))
	for _, id := range s.ids {
		list = append(list, s.incarnation(s.upstreams[id].Upstream))
	}
	s.warming.RegisterUpstreams(now, list)
}

func (s *Scheduler) incarnation(u registry.Upstream) warmup.Upstream {
	return warmup.Upstream{ID: u.ID, Region: s.options.Regions[u.Domain], StartedUnixMs: u.StartedUnixMs}
}

// limited reports whether an upstream names a limit.
func (s *Scheduler) limited(id fleet.UpstreamID) bool {
	_, _, limited := s.warming.Limit(id)
	return limited
}

// limitHoldback returns for how many intervals a request of a team with a share ratio leaves a
// slot of a limited upstream to other teams. The prefill queues of such engines are short, so
// the waiting limits, which hold teams to their shares elsewhere, hardly differ there.
func limitHoldback(ratio float64) float64 {
	return min(max(ratio-1, 0), maxLimitHoldback)
}

// maxLimitHoldback bounds the time that a slot stays unused for teams that have nothing to
// send.
const maxLimitHoldback = 4

// closedToRouter reports whether an upstream names a limit and this router is none of its
// senders.
func (s *Scheduler) closedToRouter(id fleet.UpstreamID) bool {
	_, sender, limited := s.warming.Limit(id)
	return limited && !sender
}

func (s *Scheduler) limitView(id fleet.UpstreamID) *LimitView {
	limit, sender, limited := s.warming.Limit(id)
	if !limited {
		return nil
	}
	return &LimitView{Rate: limit.Rate, Sender: sender}
}
