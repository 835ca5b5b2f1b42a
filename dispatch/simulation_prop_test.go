package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// TestSimulationKeepsInvariants runs random load and faults, ends the faults and
// checks that every request ends and that no slot stays idle while a request waits
// that it could run.
func TestSimulationKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(label string, lo, hi int) time.Duration {
			return time.Duration(rapid.IntRange(lo, hi).Draw(t, label)) * time.Millisecond
		}
		sim := newSimulation(t,
			rapid.IntRange(1, 3).Draw(t, "routers"), rapid.IntRange(1, 3).Draw(t, "sidecars"),
			rapid.IntRange(1, 3).Draw(t, "slots"), ms("delay", 0, 8), rapid.Bool().Draw(t, "staging"))
		seed := rapid.Uint64().Draw(t, "jitter")
		sim.jitter = func() time.Duration {
			seed = mixHashes(seed, 1)
			return time.Duration(seed%5) * time.Millisecond
		}
		steps := rapid.IntRange(10, 120).Draw(t, "steps")
		for i := range steps {
			sim.run(sim.now.Add(ms("pause", 0, 30)))
			router := sim.routers[rapid.IntRange(0, len(sim.routers)-1).Draw(t, "router")]
			sidecar := sim.sidecars[rapid.IntRange(0, len(sim.sidecars)-1).Draw(t, "sidecar")]
			l := sim.links[router.id][sidecar.id]
			switch op := rapid.IntRange(0, 15).Draw(t, "op"); op {
			case 0:
				sim.disconnect(l)
			case 1, 2:
				if !l.up {
					sim.connect(l, fleet.Location{Region: fleet.RegionID(rapid.SampledFrom([]string{"noord", "zuid"}).Draw(t, "region"))})
				}
			case 3:
				sim.pause(router, ms("freeze", 1, 700))
			case 4, 5:
				sidecar.accepting = op == 4
				sim.stepSidecar(sidecar, SetAccepting{Accepting: sidecar.accepting})
				sim.broadcastLoad(sidecar)
			case 6:
				if ids := sim.unfinished(); len(ids) > 0 {
					sim.cancel(rapid.SampledFrom(ids).Draw(t, "cancel"))
				}
			default:
				req := Request{
					ID:    RequestID(i + 1),
					Team:  fleet.TeamID(fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "team"))),
					Bytes: 100, Solo: rapid.IntRange(0, 9).Draw(t, "solo") == 0,
				}
				if rapid.Bool().Draw(t, "hasDeadline") {
					req.Deadline = sim.now.Add(ms("deadline", 1, 2000))
				}
				if rapid.IntRange(0, 4).Draw(t, "excludes") == 0 && len(sim.sidecars) > 1 {
					req.Exclude = []fleet.NodeID{sidecar.id}
				}
				req.SpillAfter = ms("spill", 0, 100)
				sim.arrive(router, req, ms("work", 1, 200))
			}
		}
		sim.endFaults()
		sim.run(sim.now.Add(30 * time.Second))
		if left := sim.unfinished(); len(left) > 0 {
			t.Fatalf("requests %v did not end", left)
		}
		for _, r := range sim.routers {
			if len(r.machine.waiting) != 0 || r.machine.bytes != 0 || len(r.machine.teams) != 0 {
				t.Fatalf("%s still counts waiting work", r.id)
			}
		}
		for _, s := range sim.sidecars {
			for team, n := range s.accounts.reserved {
				if n != 0 || s.machine.committed() != 0 {
					t.Fatalf("%s still holds %d reserved charges of %s", s.id, n, team)
				}
			}
		}
	})
}

// broadcastLoad sends all routers a sidecar's load.
func (sim *simulation) broadcastLoad(s *simulatedSidecar) {
	for _, r := range sim.routers {
		if l := sim.links[r.id][s.id]; l.up {
			sim.sendLoad(l)
		}
	}
}

// endFaults reconnects all sessions, makes all sidecars accept and starts a check,
// every 100 ms, that no slot is without work or a grant for more than 200 ms while a
// request waits that it could run. The check starts after 800 ms, when the longest
// pause of a router, 700 ms, is over.
func (sim *simulation) endFaults() {
	for _, s := range sim.sidecars {
		s.accepting = true
		sim.stepSidecar(s, SetAccepting{Accepting: true})
		for _, r := range sim.routers {
			if l := sim.links[r.id][s.id]; !l.up {
				sim.connect(l, fleet.Location{Region: "noord"})
			}
		}
		sim.broadcastLoad(s)
		s.idleSince = sim.now.Add(800 * time.Millisecond)
	}
	sim.after(800*time.Millisecond, sim.checkIdle)
}

func (sim *simulation) checkIdle() {
	for _, s := range sim.sidecars {
		if s.machine.committed() >= s.machine.slots || s.machine.soloPending() || !sim.hasWorkFor(s) {
			s.idleSince = sim.now
		}
		if sim.now.Sub(s.idleSince) > 200*time.Millisecond {
			sim.t.Fatalf("%s idles since %v while work waits", s.id, s.idleSince)
		}
	}
	if len(sim.unfinished()) > 0 {
		sim.after(100*time.Millisecond, sim.checkIdle)
	}
}

func (sim *simulation) hasWorkFor(s *simulatedSidecar) bool {
	for _, q := range sim.requests {
		p := pendingRequest{Request: q.Request}
		if q.state == stateWaiting && !p.excludes(s.id) && q.router.pausedUntil.IsZero() {
			return true
		}
	}
	return false
}
