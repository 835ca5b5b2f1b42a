package dispatch

import "slices"

// stagedRequest is a request that has arrived and not been started.
type stagedRequest struct {
	id   uint64
	solo bool
}

// requestArrived stages a request that uses a valid grant and rejects any other.
func (s *Sidecar) requestArrived(ev RequestArrived) {
	peer, ok := s.routers[ev.Router]
	if ok {
		s.markResponsive(peer)
	}
	switch {
	case !s.accepting:
		s.emit(RejectRequest{RequestID: ev.RequestID, Reason: ReasonNotAccepting})
	case !ok || !s.consumeGrant(peer, ev.GrantID):
		s.emit(RejectRequest{RequestID: ev.RequestID, Reason: ReasonGrantUnknown})
	default:
		s.staged = append(s.staged, stagedRequest{id: ev.RequestID, solo: ev.Solo})
	}
}

// requestFinished frees the slot of a running request or removes a staged one.
func (s *Sidecar) requestFinished(id uint64) {
	if _, found := s.running[id]; !found {
		s.staged = slices.DeleteFunc(s.staged, func(r stagedRequest) bool { return r.id == id })
		return
	}
	delete(s.running, id)
	s.soloRunning = false
	s.completions.add(s.now)
	if len(s.running) == 0 {
		s.completions.stop(s.now)
	}
}

// startStaged starts staged requests, oldest first, while slots are free.
func (s *Sidecar) startStaged() {
	for len(s.staged) > 0 && len(s.running) < s.slots && !s.soloRunning {
		next := s.staged[0]
		if next.solo && len(s.running) > 0 {
			return
		}
		s.staged = s.staged[1:]
		s.start(next)
	}
}

func (s *Sidecar) start(r stagedRequest) {
	if len(s.running) == 0 {
		s.completions.start(s.now)
	}
	s.running[r.id] = struct{}{}
	s.soloRunning = r.solo
	s.emit(StartRequest{RequestID: r.id})
}

// soloPending reports whether a solo request is running or staged; no grants are
// sent meanwhile.
func (s *Sidecar) soloPending() bool {
	if s.soloRunning {
		return true
	}
	return slices.ContainsFunc(s.staged, func(r stagedRequest) bool { return r.solo })
}
