package dispatch

import "time"

func (sim *simulation) stepSidecar(s *simulatedSidecar, ev SidecarEvent) {
	for _, action := range s.machine.Step(sim.now, ev) {
		sim.sidecarAction(s, action)
	}
	sim.checkSidecar(s)
	if wake, ok := s.machine.NextWake(); ok && !wake.Equal(s.wakeAt) {
		s.wakeAt = wake
		sim.after(wake.Sub(sim.now), func() {
			if s.wakeAt.Equal(wake) {
				s.wakeAt = time.Time{}
				sim.stepSidecar(s, TickSidecar{})
			}
		})
	}
}

func (sim *simulation) sidecarAction(s *simulatedSidecar, action SidecarAction) {
	switch a := action.(type) {
	case SendGrant:
		l := sim.links[a.Router][s.id]
		sim.send(l, 1, func() {
			sim.stepRouter(l.router, GrantReceived{
				Sidecar: s.id, GrantID: a.GrantID, Team: a.Team, Expires: sim.now.Add(a.Expires),
			})
		})
	case StartRequest:
		sim.startRequest(s, sim.requests[RequestID(a.RequestID)])
	case RejectRequest:
		q := sim.requests[RequestID(a.RequestID)]
		s.accounts.charged[q.Team] -= q.work.Seconds()
		sim.notRun(s, q)
	}
}

func (sim *simulation) startRequest(s *simulatedSidecar, q *simulatedRequest) {
	if q.started || q.state != stateBound {
		sim.t.Fatalf("request %d started in state %d, started before: %v", q.ID, q.state, q.started)
	}
	q.started = true
	q.state = stateRunning
	s.running++
	sim.busyTime += q.work
	sim.onStart(q)
	l := sim.links[q.router.id][s.id]
	sim.after(q.work, func() {
		s.running--
		delete(l.streams, q.ID)
		q.state = stateEnded
		sim.deliver(l, l.delay, func() { sim.stepRouter(q.router, RequestEnded{Sidecar: s.id}) })
		sim.stepSidecar(s, RequestFinished{RequestID: uint64(q.ID)})
	})
}

// notRun reports a rejected request to its router, which requeues it.
func (sim *simulation) notRun(s *simulatedSidecar, q *simulatedRequest) {
	l := sim.links[q.router.id][s.id]
	if _, sent := l.streams[q.ID]; !sent {
		return // the session broke, which ended the request
	}
	sim.deliver(l, l.delay+sim.jitter(), func() {
		delete(l.streams, q.ID)
		q.state = stateWaiting
		sim.stepRouter(q.router, Requeue{Request: q.Request})
	})
}

func (sim *simulation) checkSidecar(s *simulatedSidecar) {
	m := s.machine
	if s.running > m.slots {
		sim.t.Fatalf("%s runs %d requests on %d slots", s.id, s.running, m.slots)
	}
	for team, n := range s.accounts.reserved {
		if n < 0 {
			sim.t.Fatalf("%s released a charge of %s that was not reserved", s.id, team)
		}
	}
	if !s.accepting || m.soloPending() || m.committed() >= m.slots+m.stagingDepth() {
		return
	}
	for _, peer := range m.routers {
		for team, d := range peer.demands {
			if d.waiting > d.outstanding && !peer.unresponsive {
				sim.t.Fatalf("%s has free capacity while %s waits at %s", s.id, team, peer.id)
			}
		}
	}
}
