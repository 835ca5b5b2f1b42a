package warmup

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// NamedLimit is a limit that an upstream names in its responses: on the requests per second
// that it takes from all routers together.
type NamedLimit struct {
	Upstream Upstream
	// Rate is in requests per second.
	Rate float64
	// Ended is set once the upstream names no limit any more.
	Ended bool
	// Version orders the changes that routers have heard.
	Version uint64
}

const (
	// minNamedRate is the lowest rate that is paced, in requests per second. An upstream
	// that names less, or zero, still gets a request now and then, as only its responses
	// show when the limit ends.
	minNamedRate = 0.25
	// rateTolerance is the fraction by which a rate may differ from the one known without
	// counting as a change, so that small variations are not told to all routers.
	rateTolerance = 0.05
	// limitRetention is how long the limit of an upstream that is not registered, or one
	// that has ended, is remembered.
	limitRetention = time.Minute
	// maxNamedLimits bounds the limits in a Tracker.
	maxNamedLimits = 4096
)

// limited is the limit of one upstream at this router.
type limited struct {
	NamedLimit
	sender   bool
	interval time.Duration
	// lastSend is when this router last sent a request; zero if it has not.
	lastSend time.Time
	// changedAt is when this router learned of the last change.
	changedAt time.Time
	// goneAt is when the upstream was first found not to be registered; zero while it is.
	goneAt time.Time
}

// ObserveLimit records what a response of an upstream names to a request that was sent at a
// time; a nil rate means no limit. It returns the limit and whether that changed it. The end
// of a limit is concluded only from requests that were sent after the limit was known.
func (t *Tracker) ObserveLimit(now, sent time.Time, u Upstream, rate *float64) (NamedLimit, bool) {
	l := t.limited[u.ID]
	next := NamedLimit{Upstream: u, Ended: rate == nil, Version: 1}
	if l != nil {
		next.Version = l.Version + 1
	}
	if rate != nil {
		next.Rate = *rate
	}
	active := l != nil && !l.Ended && l.Upstream.StartedUnixMs == u.StartedUnixMs
	switch {
	case rate == nil && (!active || !sent.After(l.changedAt)):
		return NamedLimit{}, false
	case rate != nil && active && math.Abs(*rate-l.Rate) <= rateTolerance*l.Rate:
		return NamedLimit{}, false
	}
	return next, t.setLimit(now, next)
}

// MergeLimit applies a limit that another router has heard of. It reports whether that changed
// anything: the higher version counts, and of two equal ones the lower rate.
func (t *Tracker) MergeLimit(now time.Time, n NamedLimit) bool {
	l := t.limited[n.Upstream.ID]
	if l != nil && l.Upstream.StartedUnixMs > n.Upstream.StartedUnixMs && !t.isAhead(l.Upstream) {
		return false
	}
	if l != nil && t.isAhead(n.Upstream) && !t.isAhead(l.Upstream) {
		return false
	}
	if l != nil && l.Upstream.StartedUnixMs == n.Upstream.StartedUnixMs && !n.supersedes(l.NamedLimit) {
		return false
	}
	return t.setLimit(now, n)
}

// isAhead reports whether an incarnation is later than the registered one. Its limit does not
// bind: no response of the registered one would end it.
func (t *Tracker) isAhead(u Upstream) bool {
	started, ok := t.registered[u.ID]
	return ok && u.StartedUnixMs > started
}

// supersedes reports whether a limit replaces another one of the same incarnation.
func (n NamedLimit) supersedes(other NamedLimit) bool {
	if n.Version != other.Version {
		return n.Version > other.Version
	}
	return !n.Ended && (other.Ended || n.Rate < other.Rate)
}

// setLimit replaces the limit of an upstream. It reports whether there was room for it.
func (t *Tracker) setLimit(now time.Time, n NamedLimit) bool {
	l := t.limited[n.Upstream.ID]
	if l == nil {
		if len(t.limited) >= maxNamedLimits {
			return false
		}
		l = &limited{}
		t.limited[n.Upstream.ID] = l
	}
	l.NamedLimit, l.changedAt = n, now
	t.planLimit(l)
	return true
}

// planLimit derives whether this router sends to a limited upstream, and how often. One
// sender for each request per second, and three at least, leave the sum of all within the
// limit and one request of each, and let callers use the upstream through many routers.
func (t *Tracker) planLimit(l *limited) {
	rate := max(l.Rate, minNamedRate)
	senders := int(min(max(rate, maxSenders), math.MaxInt32))
	candidates := t.fleet.candidates(l.Upstream.Region, senders)
	senders = min(senders, max(len(candidates), 1))
	l.interval = seconds(float64(senders) / rate)
	l.sender = t.fleet.isSenderAmong(candidates, l.Upstream.ID, senders)
}

// RegisterUpstreams adapts what upstreams say of themselves to the registered ones: what earlier
// incarnations and upstreams that are gone have said is forgotten.
func (t *Tracker) RegisterUpstreams(now time.Time, list []Upstream) {
	t.registered = make(map[fleet.UpstreamID]int64, len(list))
	for _, u := range list {
		t.registered[u.ID] = u.StartedUnixMs
		l := t.limited[u.ID]
		switch {
		case l == nil:
		case l.Upstream.StartedUnixMs < u.StartedUnixMs:
			delete(t.limited, u.ID)
		default:
			l.Upstream.Region = u.Region
			t.planLimit(l)
		}
	}
	t.expireLimits(now)
	t.expireLeaving()
	t.expirePauses(now)
}

// expireLimits forgets the limits that no longer bind and have not changed for a while, and those
// of upstreams that have been gone for as long.
func (t *Tracker) expireLimits(now time.Time) {
	for id, l := range t.limited {
		_, registered := t.registered[id]
		switch {
		case registered:
			l.goneAt = time.Time{}
		case l.goneAt.IsZero():
			l.goneAt = now
		}
		unbinding := (l.Ended || t.isAhead(l.Upstream)) && now.Sub(l.changedAt) > limitRetention
		if unbinding || !registered && now.Sub(l.goneAt) > limitRetention {
			delete(t.limited, id)
		}
	}
}

// activeLimit returns the limit of an upstream; nil if it has none.
func (t *Tracker) activeLimit(id fleet.UpstreamID) *limited {
	l := t.limited[id]
	if l == nil || l.Ended || t.isAhead(l.Upstream) {
		return nil
	}
	return l
}

// Limit returns the limit that an upstream names, whether this router may send to it at all,
// and whether there is a limit.
func (t *Tracker) Limit(id fleet.UpstreamID) (limit NamedLimit, sender, ok bool) {
	l := t.activeLimit(id)
	if l == nil {
		return NamedLimit{}, false, false
	}
	return l.NamedLimit, l.sender, true
}

// WithinLimit reports whether the limit that an upstream names lets this router send a request
// to it now. holdback is for how many of the router's intervals the request leaves each slot
// to others; if none of them takes it, it is the request's.
func (t *Tracker) WithinLimit(now time.Time, id fleet.UpstreamID, holdback float64) bool {
	l := t.activeLimit(id)
	return l == nil || l.sender && !now.Before(t.nextLimitSlot(l).Add(l.held(holdback)))
}

func (l *limited) held(holdback float64) time.Duration {
	return time.Duration(holdback * float64(l.interval))
}

// nextLimitSlot returns the earliest time of a sender's next send.
func (t *Tracker) nextLimitSlot(l *limited) time.Time {
	next := t.fleet.firstSlot(l.interval)
	if spaced := l.lastSend.Add(l.interval); spaced.After(next) {
		return spaced
	}
	return next
}

// NextWithinLimit returns the earliest time at which the limit lets a request with a holdback
// be sent: this router's next slot or, if it is no sender, when the next one of all senders is
// expected.
func (t *Tracker) NextWithinLimit(now time.Time, id fleet.UpstreamID, holdback float64) time.Time {
	l := t.activeLimit(id)
	switch {
	case l == nil:
		return now
	case !l.sender:
		return now.Add(seconds(1 / max(l.Rate, minNamedRate)))
	}
	if next := t.nextLimitSlot(l).Add(l.held(holdback)); next.After(now) {
		return next
	}
	return now
}

// NamedLimits returns all limits, also those that have ended a short time ago, sorted by
// upstream.
func (t *Tracker) NamedLimits() []NamedLimit {
	out := make([]NamedLimit, 0, len(t.limited))
	for _, l := range t.limited {
		out = append(out, l.NamedLimit)
	}
	slices.SortFunc(out, func(a, b NamedLimit) int { return cmp.Compare(a.Upstream.ID, b.Upstream.ID) })
	return out
}
