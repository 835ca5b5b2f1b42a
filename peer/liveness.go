package peer

// maxMissedChecks is the number of checks in a row without a message after which a
// peer has lost its session.
const maxMissedChecks = int(heartbeatTimeout / heartbeatInterval)

// livenessMonitor finds a peer that says nothing. It counts this process's own checks and no
// time: a step of the clock, or a pause of this process, in which messages wait to be
// read, is one check at most.
type livenessMonitor struct {
	// lastCount is the count of messages at the last check.
	lastCount    uint64
	missedChecks int
}

// timedOut takes the count of messages so far and reports whether the peer has been
// silent for too long.
func (s *livenessMonitor) timedOut(messages uint64) bool {
	if messages != s.lastCount {
		s.lastCount = messages
		s.missedChecks = 0
		return false
	}
	s.missedChecks++
	return s.missedChecks > maxMissedChecks
}
