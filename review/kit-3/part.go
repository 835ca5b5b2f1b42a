//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// crashingPartID is the first part of the prompts that crash servers, soundPartID that of the
	// others. All have commonPartID as their second part.
	crashingPartID = "7a10c0de"
	soundPartID    = "5c1e07a2"
	commonPartID   = "91bd3f06"
	// firstTokens, commonTokens and ownTokens are the sizes of the parts.
	firstTokens, commonTokens, ownTokens = 2520, 3780, 600
	// partPrefill is how long a server reads such a prompt, at 49.6 tokens a millisecond.
	partPrefill = (firstTokens + commonTokens + ownTokens) * 10 / 496 * time.Millisecond
	// batchGap is how often a batch of batchSize sound requests comes.
	batchGap  = 5 * time.Second
	batchSize = 6
	// calmBatches are the batches before the first crashing request, and allBatches all of them.
	calmBatches, allBatches = 5, 20
	// crashingGap is how often a crashing request comes at each machine.
	crashingGap = 300 * time.Millisecond
	// countedPartCrash is the crash after which sound requests are counted, if there are so many.
	countedPartCrash = 5
	// countedRequests is the number of sound requests that the rule needs of each kind.
	countedRequests = 20
)

func partPrompt(first, own string) map[string]string {
	return map[string]string{
		"Model": "m", "Token-Counts": fmt.Sprintf("%d,20", firstTokens+commonTokens+ownTokens),
		"Prompt-Prefix": fmt.Sprintf("%s:%d,%s:%d,%s:%d", first, firstTokens, commonPartID, commonTokens, own, ownTokens),
	}
}

// crashingPart checks that sound requests are still served while requests come of which a part
// crashes the servers: those that share their caller and another part with them.
func crashingPart(o *testFleetOptions) (bool, error) {
	f, err := startEngineFleet(o, func(s *serverStandIn) { s.poisonPart, s.prefill = crashingPartID, partPrefill })
	if err != nil {
		return false, err
	}
	defer f.close()
	time.Sleep(f.bounds.stable)
	clients := make([]*client, len(f.gateways))
	for i, g := range f.gateways {
		clients[i] = f.newClient(g)
	}
	begun := time.Now()
	end := begun.Add(allBatches * batchGap)
	var wg sync.WaitGroup
	sound := &soundRequests{fleet: f, begun: map[string]time.Time{}}
	wg.Go(func() { sound.send(clients, begun, end) })
	for i, c := range clients {
		first := begun.Add(calmBatches*batchGap + batchGap/2 + time.Duration(i)*crashingGap/time.Duration(len(clients)))
		wg.Go(func() { f.sendCrashingPart(c, first, end, i) })
	}
	wg.Wait()
	return sound.check()
}

// sendCrashingPart sends requests with the crashing part to a machine, no two alike.
func (f *testFleet) sendCrashingPart(c *client, first, end time.Time, sender int) {
	var wg sync.WaitGroup
	for n, at := 0, first; at.Before(end); n, at = n+1, at.Add(crashingGap) {
		time.Sleep(time.Until(at))
		own := fmt.Sprintf("c%03x%04x", sender+1, n)
		wg.Go(func() {
			c.send("POST", enginePath+"advice", engineKey, 6*time.Second, strings.NewReader(`{"heater":"`+own+`"}`), partPrompt(crashingPartID, own))
		})
	}
	wg.Wait()
}

// soundRequests are the requests without the crashing part.
type soundRequests struct {
	fleet *testFleet

	mu sync.Mutex
	// begun holds when each was sent.
	begun map[string]time.Time
}

// send sends batches of sound requests, spread over the machines.
func (s *soundRequests) send(clients []*client, begun, end time.Time) {
	var wg sync.WaitGroup
	for n, at := 0, begun; at.Before(end); n, at = n+1, at.Add(batchGap) {
		time.Sleep(time.Until(at))
		for i := range batchSize {
			own := fmt.Sprintf("a%03x%04x", i+1, n)
			wg.Go(func() {
				c := clients[(n+i)%len(clients)]
				a := c.send("POST", enginePath+"advice", engineKey, 6*time.Second, strings.NewReader(`{"heater":"`+own+`"}`), partPrompt(soundPartID, own))
				s.mu.Lock()
				s.begun[a.id] = a.sent
				s.mu.Unlock()
			})
		}
	}
	wg.Wait()
}

func (s *soundRequests) check() (bool, error) {
	ran := map[string]bool{}
	var crashes []time.Time
	reached := 0
	for _, a := range s.fleet.arrivals.all() {
		ran[a.id] = ran[a.id] || a.ran
		if a.crashing {
			reached++
		}
	}
	s.fleet.crashMu.Lock()
	crashes = append(crashes, s.fleet.crashes...)
	s.fleet.crashMu.Unlock()
	calmEnd := time.Now()
	counted := calmEnd
	if len(crashes) > 0 {
		calmEnd = crashes[0].Add(-s.fleet.bounds.stable)
		counted = crashes[min(len(crashes), countedPartCrash)-1].Add(2 * s.fleet.bounds.stable)
	}
	var calm, calmRan, late, lateRan int
	for id, sent := range s.begun {
		switch {
		case sent.Before(calmEnd):
			calm++
			if ran[id] {
				calmRan++
			}
		case sent.After(counted):
			late++
			if ran[id] {
				lateRan++
			}
		}
	}
	s.fleet.rec.summary("%d crashes, %d requests with the crashing part reached servers; sound requests that began at their first attempt: %d of %d before, %d of %d later than %v after the crash that counts",
		len(crashes), reached, calmRan, calm, lateRan, late, 2*s.fleet.bounds.stable)
	if calm < countedRequests || calmRan < calm/2 {
		return false, errNotServed
	}
	return late >= countedRequests && 2*lateRan*calm < calmRan*late, nil
}
