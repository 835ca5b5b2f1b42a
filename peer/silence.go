package peer

// maxSilentChecks is the number of checks in a row without a message after which a
// peer has lost its session.
const maxSilentChecks = int(heartbeatTimeout / heartbeatInterval)

// silence finds a peer that says nothing. It counts this process's own checks and no
// time: a step of the clock, or a pause of this process, in which messages wait to be
// read, is one check at most.
type silence struct {
	// heard is the count of messages at the last check.
	heard  uint64
	silent int
}

// check takes the count of messages so far and reports whether the peer has been
// silent for too long.
func (s *silence) check(messages uint64) bool {
	if messages != s.heard {
		s.heard = messages
		s.silent = 0
		return false
	}
	s.silent++
	return s.silent > maxSilentChecks
}
