package dispatch

import "time"

func (w *world) stepSidecar(s *worldSidecar, ev SidecarEvent) {
	for _, action := range s.machine.Step(w.now, ev) {
		w.sidecarAction(s, action)
	}
	w.checkSidecar(s)
	if wake, ok := s.machine.NextWake(); ok && !wake.Equal(s.wakeAt) {
		s.wakeAt = wake
		w.after(wake.Sub(w.now), func() {
			if s.wakeAt.Equal(wake) {
				s.wakeAt = time.Time{}
				w.stepSidecar(s, TickSidecar{})
			}
		})
	}
}

func (w *world) sidecarAction(s *worldSidecar, action SidecarAction) {
	switch a := action.(type) {
	case SendGrant:
		l := w.links[a.Router][s.id]
		w.send(l, 1, func() {
			w.stepRouter(l.router, GrantReceived{
				Sidecar: s.id, GrantID: a.GrantID, Team: a.Team, Expires: w.now.Add(a.Expires),
			})
		})
	case StartRequest:
		w.startRequest(s, w.requests[RequestID(a.RequestID)])
	case RejectRequest:
		q := w.requests[RequestID(a.RequestID)]
		s.ledger.charged[q.Team] -= q.work.Seconds()
		w.notRun(s, q)
	}
}

func (w *world) startRequest(s *worldSidecar, q *worldRequest) {
	if q.started || q.state != stateBound {
		w.t.Fatalf("request %d started in state %d, started before: %v", q.ID, q.state, q.started)
	}
	q.started = true
	q.state = stateRunning
	s.running++
	w.busyTime += q.work
	w.onStart(q)
	l := w.links[q.router.id][s.id]
	w.after(q.work, func() {
		s.running--
		delete(l.streams, q.ID)
		q.state = stateEnded
		w.deliver(l, l.delay, func() { w.stepRouter(q.router, RequestEnded{Sidecar: s.id}) })
		w.stepSidecar(s, RequestFinished{RequestID: uint64(q.ID)})
	})
}

// notRun tells the router, which queues the request again.
func (w *world) notRun(s *worldSidecar, q *worldRequest) {
	l := w.links[q.router.id][s.id]
	if _, sent := l.streams[q.ID]; !sent {
		return // the session broke; the request has ended
	}
	w.deliver(l, l.delay+w.jitter(), func() {
		delete(l.streams, q.ID)
		q.state = stateWaiting
		w.stepRouter(q.router, Requeue{Request: q.Request})
	})
}

func (w *world) checkSidecar(s *worldSidecar) {
	m := s.machine
	if s.running > m.slots {
		w.t.Fatalf("%s runs %d requests on %d slots", s.id, s.running, m.slots)
	}
	for team, n := range s.ledger.reserved {
		if n < 0 {
			w.t.Fatalf("%s released a charge of %s that was not reserved", s.id, team)
		}
	}
	if !s.accepting || m.soloPending() || m.committed() >= m.slots+m.stagingDepth() {
		return
	}
	for _, peer := range m.routers {
		for team, d := range peer.demands {
			if d.waiting > d.outstanding && !peer.unresponsive {
				w.t.Fatalf("%s has free capacity while %s waits at %s", s.id, team, peer.id)
			}
		}
	}
}
