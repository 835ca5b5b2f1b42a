//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	engineService = "spindle-fleet"
	enginePath    = "/triage/"
	engineKey     = "asnmgkcuyj8pjbvk9m68"
	// crashPath is part of the path of the request that crashes each server that runs it.
	crashPath = "crash-me"
	// sharedTokens is the size of the first part of all prompts, and crashTokens that of the own
	// part of the crashing request.
	sharedTokens, crashTokens = 6300, 39600
	// crashPrefill is how long a server reads that prompt before it begins to run it, at 49.6
	// tokens a millisecond.
	crashPrefill = (sharedTokens + crashTokens) * 10 / 496 * time.Millisecond
	// repeatGap is how often the crashing request comes at each machine.
	repeatGap = 500 * time.Millisecond
	// crashingLength is for how long it comes.
	crashingLength = 85 * time.Second
)

func engineConfig() map[string]any {
	return map[string]any{
		"routes": []map[string]any{{
			"name": "fault-triage", "host": "review.example", "pathPrefix": enginePath, "kind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 600, "targetGapMs": 250,
			"priority": 1, "service": engineService, "maxAttempts": 1, "allowAnonymous": false, "stickySessions": true, "resumeStreams": false,
		}},
		"services": []map[string]any{{
			"name": engineService, "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kvCapacityTokens": 531289, "kvTokenBytes": 163840, "linkMbps": 550000.0, "models": []map[string]any{{"name": "m"}}},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 370000},
		"tenants": []map[string]any{{"name": "hule930", "apiKeys": []string{engineKey}, "priority": 1}},
	}
}

var (
	engineZones = map[string]any{"randstad-a": "randstad", "noord-a": "noord", "zuid-a": "zuid"}
	engineOrder = []string{"randstad-a", "noord-a", "zuid-a"}
)

// startEngineFleet starts four gateways and three model servers in each of three zones. poison
// makes a server crash on some requests.
func startEngineFleet(o *testFleetOptions, poison func(*serverStandIn)) (*testFleet, error) {
	f, err := newFleet(o.root, o.rec, bounds{
		stable: 3 * time.Second, drain: 2500 * time.Millisecond, configApply: 2500 * time.Millisecond, grace: 8, ratio: 0.2, slack: 52,
	})
	if err != nil {
		return nil, err
	}
	f.operator = newOperator(f.store, f.rec, engineConfig())
	f.operator.newVersion(0)
	for _, zone := range engineOrder {
		for range 3 {
			s := f.addServer(engineService, zone, 64, 60*time.Millisecond)
			s.engine = true
			if o.trouble {
				poison(s)
			}
			if err = s.start(); err != nil {
				f.close()
				return nil, err
			}
		}
	}
	if err = f.addGateways(engineZones, []string{engineOrder[0], engineOrder[0], engineOrder[1], engineOrder[2]}); err == nil {
		err = f.awaitReady()
	}
	if err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// prompt returns the headers of a request whose last part is its own.
func prompt(own string, tokens int) map[string]string {
	return map[string]string{
		"Model": "m", "Token-Counts": fmt.Sprintf("%d,20", sharedTokens+tokens),
		"Prompt-Prefix": fmt.Sprintf("5c1e07a2:%d,%s:%d", sharedTokens, own, tokens),
	}
}

// crashingRequest checks that a request that crashes the servers that run it, and that comes again
// and again at all machines, reaches servers three times at most once the third crash is long past.
func crashingRequest(o *testFleetOptions) (bool, error) {
	f, err := startEngineFleet(o, func(s *serverStandIn) { s.poison, s.prefill = crashPath, crashPrefill })
	if err != nil {
		return false, err
	}
	defer f.close()
	time.Sleep(f.bounds.stable)
	var wg sync.WaitGroup
	begun := time.Now()
	for i, g := range f.gateways {
		c := f.newClient(g)
		wg.Go(func() { f.sendTriage(c, begun.Add(crashingLength), i) })
		first := begun.Add(time.Duration(i) * repeatGap / time.Duration(len(f.gateways)))
		wg.Go(func() { f.repeatCrashing(c, first, begun.Add(crashingLength)) })
	}
	wg.Wait()
	return f.checkCrashing()
}

// sendTriage sends sound requests with the same shared part, of which each has a part of its own.
func (f *testFleet) sendTriage(c *client, end time.Time, sender int) {
	var wg sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		own := fmt.Sprintf("%04x%04x", sender+1, n)
		wg.Go(func() {
			c.send("POST", enginePath+"advice", engineKey, 6*time.Second, strings.NewReader(`{"heater":"`+own+`"}`), prompt(own, 600))
		})
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
}

// repeatCrashing sends the crashing request to a machine once in each interval.
func (f *testFleet) repeatCrashing(c *client, first, end time.Time) {
	var wg sync.WaitGroup
	for at := first; at.Before(end); at = at.Add(repeatGap) {
		time.Sleep(time.Until(at))
		wg.Go(func() {
			c.send("POST", enginePath+crashPath, engineKey, 6*time.Second, strings.NewReader(`{"heater":"crash"}`), prompt("e4402b7d", crashTokens))
		})
	}
	wg.Wait()
}

// maxLateCrashes is the number of retries that may still reach servers, and countedCrash the crash
// after which they are counted.
const (
	maxLateCrashes = 3
	countedCrash   = 3
)

func (f *testFleet) checkCrashing() (bool, error) {
	var crashing []arrival
	for _, a := range f.arrivals.all() {
		if a.crashing {
			crashing = append(crashing, a)
		}
	}
	served, all := f.served()
	late := 0
	if len(crashing) >= countedCrash {
		counted := crashing[countedCrash-1].at.Add(crashPrefill + f.bounds.stable)
		for _, a := range crashing {
			if a.at.After(counted) {
				late++
			}
		}
	}
	f.rec.summary("%d of %d requests served; the crashing request reached servers %d times, %d of them later than %v after the third crash", served, all, len(crashing), late, f.bounds.stable)
	if served < all/2 {
		return false, errNotServed
	}
	return late > maxLateCrashes, nil
}
