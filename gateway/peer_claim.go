package gateway

import "time"

// peerClaim is the state of what another router claimed to be in the store: the configuration
// in force or the evacuated domains. The store's answers are linearizable, so one that was
// requested after the claim and is older than it refutes the claim. Without this a corrupted
// router's claim with a revision far in the future would keep all later changes out.
type peerClaim struct {
	// open is set while another router's claim is in force that the store has not confirmed.
	open bool
	// since is when the claim was applied.
	since time.Time
	// refuted is the lowest revision that was refuted; zero if there is none.
	refuted uint64
}

// accepts reports whether a claim of a revision may be applied: the store has not refuted one
// as low.
func (c *peerClaim) accepts(revision uint64) bool { return c.refuted == 0 || revision < c.refuted }

// apply records that a claim is in force.
func (c *peerClaim) apply(now time.Time) { c.open, c.since = true, now }

// refutedBy reports whether the store's answer to a request that was sent at a time refutes
// the claim in force, given that it is older.
func (c *peerClaim) refutedBy(sent time.Time) bool { return c.open && c.since.Before(sent) }

// refute records that the claim of a revision is wrong.
func (c *peerClaim) refute(revision uint64) {
	c.open = false
	if c.accepts(revision) {
		c.refuted = revision
	}
}

// confirm records that what is in force is the store's, at a revision.
func (c *peerClaim) confirm(revision uint64) {
	c.open = false
	if !c.accepts(revision) {
		c.refuted = 0
	}
}
