// Package warmup decides which router may send a request to an upstream that takes few
// requests per second from all routers together, and when: to a cold one, which has just
// started, and to one that names such a limit in its responses. A few routers, the senders,
// are chosen for each such upstream by rendezvous hashing, and each of them spaces its sends,
// so that the limit holds without messages between routers. The package has no I/O and no
// clock. It addresses four load scenarios: a whole failure domain that returns under full
// load, a release that replaces engines one after the other, upstreams in need that name
// limits under load, and routers that disagree on which routers exist.
package warmup

import (
	"math"
	"time"
)

const (
	// maxSenders is the number of routers that send to a cold upstream. With several of
	// them, the loss of one leaves the upstream most of its requests.
	maxSenders = 3
	// window is the time over which the requests to a cold upstream are limited.
	window = time.Second
	// sendJitter is by how much the time between a send's slot and its arrival at the
	// upstream may vary.
	sendJitter = 50 * time.Millisecond
)

// Limits are the limits on requests to the cold upstreams of a service.
type Limits struct {
	// Rate is the number of requests per second that a cold upstream tolerates. Zero
	// means no limit.
	Rate float64
	// Overage and Slack define the number of requests that all routers together may
	// send to a cold upstream within a second: Rate times Overage, plus Slack.
	Overage float64
	Slack   float64
	// ColdStart is how long an upstream is cold after a start.
	ColdStart time.Duration
}

// Bound returns the number of requests that all routers together may send to a cold
// upstream within a second.
func (l Limits) Bound() float64 { return l.Rate*l.Overage + l.Slack }

// Plan is how the requests to a cold upstream are divided among the routers.
type Plan struct {
	// Senders is the number of routers that send to the upstream.
	Senders int
	// Interval is the time between two sends of one sender.
	Interval time.Duration
}

// NewPlan returns the plan with the most senders that keeps the bound if one more router
// than planned sends, because routers may disagree on a new member for a moment. If the
// bound is too small for that, there is one sender, which keeps the bound alone. A bound
// below one request still lets that sender send at the tolerated rate.
func NewPlan(l Limits) Plan {
	if l.Rate <= 0 {
		return Plan{}
	}
	for senders := maxSenders; senders > 0; senders-- {
		plan := Plan{Senders: senders, Interval: seconds(float64(senders) / l.Rate)}
		if float64((senders+1)*plan.sendsPerWindow()) <= l.Bound() {
			return plan
		}
	}
	sends := max(math.Floor(l.Bound()), 1)
	return Plan{Senders: 1, Interval: max(seconds(1/l.Rate), seconds((window+sendJitter).Seconds()/sends))}
}

// sendsPerWindow returns the maximum number of requests of one sender that arrive within
// any window.
func (p Plan) sendsPerWindow() int { return int((window+sendJitter)/p.Interval) + 1 }

// seconds converts seconds to a duration, rounded up so that the spacing of sends is never
// shorter than planned.
func seconds(s float64) time.Duration {
	return time.Duration(min(math.Ceil(s*float64(time.Second)), float64(maxInterval)))
}

// maxInterval bounds the time between two sends of one sender at very low rates.
const maxInterval = time.Hour
