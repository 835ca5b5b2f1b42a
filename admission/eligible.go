package admission

import (
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// usable returns the eligible upstreams that are not ejected and are open to this router. If
// there are none, it returns those that name limits and leave their requests to other
// routers, or else the ejected ones, because the outcomes then say nothing about which
// upstream to prefer.
func (s *Scheduler) usable(now time.Time, r Request) []fleet.UpstreamID {
	var healthy, closed, ejected []fleet.UpstreamID
	for _, id := range s.ids {
		u := s.upstreams[id]
		if !s.eligible(u, r) {
			continue
		}
		if u.detector.Ejected(now) {
			ejected = append(ejected, id)
			continue
		}
		if s.closedToRouter(id) {
			closed = append(closed, id)
			continue
		}
		healthy = append(healthy, id)
	}
	if len(healthy) == 0 && len(closed) == 0 {
		return ejected
	}
	if len(healthy) == 0 {
		return closed
	}
	return healthy
}

// eligible reports whether a request may be sent to an upstream at all, whatever its load
// and health. It also decides which engines cached parts may be copied from.
func (s *Scheduler) eligible(u *upstream, r Request) bool {
	return !u.evacuated && !s.leaving(u.ID) && s.inHomeRegion(u, r) && !slices.Contains(r.Exclude, u.ID)
}

// inHomeRegion reports whether an upstream is in a home region of a request. An upstream
// whose failure domain has no known region is in none.
func (s *Scheduler) inHomeRegion(u *upstream, r Request) bool {
	return r.Regions.All() || r.Regions.Contains(s.options.Regions[u.Domain])
}

// unavailable returns the reason for which a request has no upstream that it may be sent
// to.
func (s *Scheduler) unavailable(r Request) Reason {
	if r.Regions.All() {
		return NoUpstream
	}
	for _, u := range s.upstreams {
		if s.inHomeRegion(u, r) {
			return NoUpstream
		}
	}
	return NoHomeRegion
}
