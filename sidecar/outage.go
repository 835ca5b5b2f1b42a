package sidecar

import "time"

// outage tells which calls broke off in one crash of the upstream. A call that
// started after the first one of them had broken off met an upstream that was
// down already, and is not suspected of the crash.
type outage struct {
	// since is when a call first broke off and no later probe was answered.
	since time.Time
	// id names the crash once a probe has confirmed it.
	id string
}

// brokeOff records a call that broke off.
func (o *outage) brokeOff(now time.Time) {
	if o.since.IsZero() {
		o.since = now
	}
}

// answered records the answer to a probe. One that was sent before the outage
// says nothing of it.
func (o *outage) answered(sent time.Time) {
	if sent.Before(o.since) {
		return
	}
	*o = outage{}
}

// confirm names the crash for a call that broke off in it. The result is empty
// if the call started later.
func (o *outage) confirm(upstream string, started time.Time) string {
	if o.since.IsZero() || started.After(o.since) {
		return ""
	}
	if o.id == "" {
		o.id = upstream + "/" + o.since.UTC().Format(time.RFC3339Nano)
	}
	return o.id
}
