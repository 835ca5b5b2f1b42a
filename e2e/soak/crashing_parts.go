package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// stableWindow is how long after the fifth crash, or after a disruption of its own, a
	// gateway may still send requests with a part that crashes upstreams.
	stableWindow = 4 * time.Second
	// crashesUntilBlamed is the number of crashes from which on the requests with a part
	// must be refused, and maxLateArrivals how many may arrive all the same.
	crashesUntilBlamed = 5
	maxLateArrivals    = 3
	// crashPartPrefix is the prefix of the parts that crash engines.
	crashPartPrefix = "crash-"
	// crashPartTokens is the size of such a part.
	crashPartTokens = 50
	// crashPartRate is the number of requests with such a part per second.
	crashPartRate = 25
)

// crashPart returns the part of a prompt that crashes engines; empty if there is none.
func crashPart(prompt string) string {
	for part := range strings.SplitSeq(prompt, ",") {
		if id, _, _ := strings.Cut(part, ":"); strings.HasPrefix(id, crashPartPrefix) {
			return id
		}
	}
	return ""
}

// partCrashes are the crashes of a part and what arrived with it since.
type partCrashes struct {
	crashes int
	// fifthAt is when the part crashed the fifth upstream.
	fifthAt time.Time
	late    int
}

// recordCrash records that an upstream crashed on a part.
func (r *Rules) recordCrash(part string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.part(part)
	if p.crashes++; p.crashes == crashesUntilBlamed {
		p.fifthAt = time.Now()
	}
}

// part returns the record of a part. The caller holds mu.
func (r *Rules) part(id string) *partCrashes {
	if r.parts == nil {
		r.parts = make(map[string]*partCrashes)
	}
	if r.parts[id] == nil {
		r.parts[id] = &partCrashes{}
	}
	return r.parts[id]
}

// checkPart checks an arrival with a part that crashes upstreams.
func (r *Rules) checkPart(a Arrival, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.part(id)
	if p.fifthAt.IsZero() || a.ReceivedAt.Sub(p.fifthAt) < stableWindow || r.disrupted(a.Gateway, a.ReceivedAt) {
		return
	}
	p.late++
	if p.late > maxLateArrivals && r.violation == "" {
		r.violation = fmt.Sprintf("%s with the part %s is number %d to arrive %v after the fifth of %d crashes; allowed %d",
			a.AttemptID, id, p.late, a.ReceivedAt.Sub(p.fifthAt), p.crashes, maxLateArrivals)
	}
}

// disrupted reports whether a gateway was disrupted within the stable window before a time.
// The caller holds mu.
func (r *Rules) disrupted(gateway string, at time.Time) bool {
	for _, g := range r.disruptions[gateway] {
		if g.end.IsZero() || at.Sub(g.end) < stableWindow {
			return true
		}
	}
	return false
}

// beginDisruption begins a disruption of a gateway. The returned function ends it.
func (r *Rules) beginDisruption(gateway string) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.disruptions == nil {
		r.disruptions = make(map[string][]*gap)
	}
	g := &gap{begin: time.Now()}
	r.disruptions[gateway] = append(r.disruptions[gateway], g)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		g.end = time.Now()
	}
}

// sendCrashPart sends requests with a new part that crashes engines, no two alike, to all
// gateways. Their callers and first parts are those of sound requests.
func (env *Environment) sendCrashPart(ctx context.Context, seed uint64, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, stableWindow+duration)
	defer cancel()
	w := draftWorkload(env, "team-2", crashPartRate, 0)
	w.Key, w.CrashPart = apiKey(w.Team), fmt.Sprint(crashPartPrefix, seed)
	gateways := make([]int, len(env.Gateways))
	for i := range gateways {
		gateways[i] = i
	}
	w.Gateways = env.CallerAddresses(gateways...)
	random := rand.New(rand.NewPCG(seed, 1))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	var requests sync.WaitGroup
	defer requests.Wait()
	for sleep(ctx, time.Duration(random.ExpFloat64()/w.Rate*float64(time.Second))) {
		gateway := w.Gateways[random.IntN(len(w.Gateways))]
		requests.Go(func() { w.attempt(client, gateway, 0, time.Now().Add(w.Deadline), env.Recorder) })
	}
}
