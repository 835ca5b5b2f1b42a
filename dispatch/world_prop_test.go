package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// TestWorldKeepsInvariants runs random load and faults, lets the fleet heal and
// checks that every request ended and no slot idled beside waiting work.
func TestWorldKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(label string, lo, hi int) time.Duration {
			return time.Duration(rapid.IntRange(lo, hi).Draw(t, label)) * time.Millisecond
		}
		w := newWorld(t,
			rapid.IntRange(1, 3).Draw(t, "routers"), rapid.IntRange(1, 3).Draw(t, "sidecars"),
			rapid.IntRange(1, 3).Draw(t, "slots"), ms("delay", 0, 8), rapid.Bool().Draw(t, "staging"))
		seed := rapid.Uint64().Draw(t, "jitter")
		w.jitter = func() time.Duration {
			seed = mixHashes(seed, 1)
			return time.Duration(seed%5) * time.Millisecond
		}
		steps := rapid.IntRange(10, 120).Draw(t, "steps")
		for i := range steps {
			w.run(w.now.Add(ms("pause", 0, 30)))
			router := w.routers[rapid.IntRange(0, len(w.routers)-1).Draw(t, "router")]
			sidecar := w.sidecars[rapid.IntRange(0, len(w.sidecars)-1).Draw(t, "sidecar")]
			l := w.links[router.id][sidecar.id]
			switch op := rapid.IntRange(0, 15).Draw(t, "op"); op {
			case 0:
				w.disconnect(l)
			case 1, 2:
				if !l.up {
					w.connect(l, fleet.Location{Region: fleet.RegionID(rapid.SampledFrom([]string{"noord", "zuid"}).Draw(t, "region"))})
				}
			case 3:
				w.freeze(router, ms("freeze", 1, 700))
			case 4, 5:
				sidecar.accepting = op == 4
				w.stepSidecar(sidecar, SetAccepting{Accepting: sidecar.accepting})
				w.reload(sidecar)
			case 6:
				if ids := w.unfinished(); len(ids) > 0 {
					w.cancel(rapid.SampledFrom(ids).Draw(t, "cancel"))
				}
			default:
				req := Request{
					ID:    RequestID(i + 1),
					Team:  fleet.TeamID(fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "team"))),
					Bytes: 100, Solo: rapid.IntRange(0, 9).Draw(t, "solo") == 0,
				}
				if rapid.Bool().Draw(t, "hasDeadline") {
					req.Deadline = w.now.Add(ms("deadline", 1, 2000))
				}
				if rapid.IntRange(0, 4).Draw(t, "excludes") == 0 && len(w.sidecars) > 1 {
					req.Exclude = []fleet.NodeID{sidecar.id}
				}
				req.SpillAfter = ms("spill", 0, 100)
				w.arrive(router, req, ms("work", 1, 200))
			}
		}
		w.heal()
		w.run(w.now.Add(30 * time.Second))
		if left := w.unfinished(); len(left) > 0 {
			t.Fatalf("requests %v did not end", left)
		}
		for _, r := range w.routers {
			if len(r.machine.waiting) != 0 || r.machine.bytes != 0 || len(r.machine.teams) != 0 {
				t.Fatalf("%s still counts waiting work", r.id)
			}
		}
		for _, s := range w.sidecars {
			for team, n := range s.ledger.reserved {
				if n != 0 || s.machine.committed() != 0 {
					t.Fatalf("%s still holds %d reserved charges of %s", s.id, n, team)
				}
			}
		}
	})
}

// reload tells all routers a sidecar's load.
func (w *world) reload(s *worldSidecar) {
	for _, r := range w.routers {
		if l := w.links[r.id][s.id]; l.up {
			w.sendLoad(l)
		}
	}
}

// heal ends all faults and checks from then on, every 100 ms, that no slot
// has neither work nor a grant for long while a request waits that it could run.
func (w *world) heal() {
	for _, s := range w.sidecars {
		s.accepting = true
		w.stepSidecar(s, SetAccepting{Accepting: true})
		for _, r := range w.routers {
			if l := w.links[r.id][s.id]; !l.up {
				w.connect(l, fleet.Location{Region: "noord"})
			}
		}
		w.reload(s)
		s.idleSince = w.now.Add(800 * time.Millisecond)
	}
	w.after(800*time.Millisecond, w.checkIdle)
}

func (w *world) checkIdle() {
	for _, s := range w.sidecars {
		if s.machine.committed() >= s.machine.slots || s.machine.soloPending() || !w.hasWorkFor(s) {
			s.idleSince = w.now
		}
		if w.now.Sub(s.idleSince) > 200*time.Millisecond {
			w.t.Fatalf("%s idles since %v while work waits", s.id, s.idleSince)
		}
	}
	if len(w.unfinished()) > 0 {
		w.after(100*time.Millisecond, w.checkIdle)
	}
}

func (w *world) hasWorkFor(s *worldSidecar) bool {
	for _, q := range w.requests {
		p := pendingRequest{Request: q.Request}
		if q.state == stateWaiting && !p.excludes(s.id) && q.router.frozenUntil.IsZero() {
			return true
		}
	}
	return false
}
