package peer

// maxMissedChecks is the number of consecutive checks without a new message that a
// session survives. It is closed at the next one.
const maxMissedChecks = int(heartbeatTimeout / heartbeatInterval)

// livenessMonitor detects a peer that no longer sends messages. It counts its own checks
// rather than elapsed time: a clock step, or a pause of this process during which
// received messages stay unread, counts as at most one missed check.
type livenessMonitor struct {
	// lastCount is the number of messages received up to the last check.
	lastCount uint64
	// missedChecks is the number of consecutive checks without a new message.
	missedChecks int
}

// check runs one check with the total number of messages received. It reports whether
// more than maxMissedChecks consecutive checks have seen no new message.
func (m *livenessMonitor) check(messages uint64) bool {
	if messages != m.lastCount {
		m.lastCount = messages
		m.missedChecks = 0
		return false
	}
	m.missedChecks++
	return m.missedChecks > maxMissedChecks
}
