package sidecar

import "time"

// outage attributes calls that failed midway to one crash of the upstream. A call
// that started after the first of them had failed reached an upstream that was
// already down, and is not suspected of having caused the crash.
type outage struct {
	// since is the time of the first call that failed midway since the last
	// successful probe.
	since time.Time
	// crashID identifies the crash once a failed probe has confirmed it.
	crashID string
}

// recordFailedCall records a call that failed midway.
func (o *outage) recordFailedCall(now time.Time) {
	if o.since.IsZero() {
		o.since = now
	}
}

// recordProbeSuccess ends the outage, unless the probe was sent before it began.
func (o *outage) recordProbeSuccess(sent time.Time) {
	if sent.Before(o.since) {
		return
	}
	*o = outage{}
}

// confirmCrash is called when a probe has failed after a call that failed midway.
// It returns the crash's identifier, empty if the call started after the outage
// began.
func (o *outage) confirmCrash(upstream string, started time.Time) string {
	if o.since.IsZero() || started.After(o.since) {
		return ""
	}
	if o.crashID == "" {
		o.crashID = upstream + "/" + o.since.UTC().Format(time.RFC3339Nano)
	}
	return o.crashID
}
