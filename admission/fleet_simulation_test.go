package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/placement"
	"fulmarspindle.example/fulmarspindle/registry"
)

const (
	simulationStep      = 5 * time.Millisecond
	reportInterval      = 100 * time.Millisecond
	reportsPerFull      = 8
	fleetPromptTokens   = 8000
	fleetSharedTopics   = 40
	sharedPromptPercent = 50
)

// fleetSimulation drives several routers that share engines of different speeds. Routers
// learn of each other's requests by periodic reports only.
type fleetSimulation struct {
	*GomegaWithT
	now     time.Time
	random  *rand.Rand
	routers []*simulatedRouter
	engines map[fleet.UpstreamID]*simulatedEngine
	list    []registry.Upstream
	events  []fleetEvent
	reports int
	// sent counts the requests.
	sent int
	// results counts the admitted requests by engine, and late those whose first token
	// exceeded the objective.
	results, late map[fleet.UpstreamID]int
	refused       int
}

type simulatedRouter struct {
	id        fleet.NodeID
	scheduler *admission.Scheduler
	// lateness delays all events of this router.
	lateness   time.Duration
	reportedAt time.Time
	// load is the share of the requests that this router gets.
	load float64
}

type simulatedEngine struct {
	// speed is relative to rate.
	speed  float64
	idleAt time.Time
	// slowUntil is the end of a period in which the engine takes slowdown times as long.
	slowUntil time.Time
	slowdown  float64
}

type fleetEvent struct {
	at     time.Time
	router *simulatedRouter
	id     string
}

func newFleetSimulation(t *testing.T, routers int, speeds ...float64) *fleetSimulation {
	sim := &fleetSimulation{
		GomegaWithT: NewWithT(t), now: start, random: rand.New(rand.NewPCG(7, 11)),
		engines: map[fleet.UpstreamID]*simulatedEngine{}, list: upstreams(len(speeds)),
	}
	for i, speed := range speeds {
		sim.engines[sim.list[i].ID] = &simulatedEngine{speed: speed}
	}
	for i := range routers {
		scheduler := admission.NewScheduler(options(), engineCapacity())
		scheduler.SetUpstreams(sim.list)
		sim.routers = append(sim.routers, &simulatedRouter{id: fleet.NodeID(fmt.Sprint("router-", i)), scheduler: scheduler, load: 1})
	}
	sim.resetCounts()
	return sim
}

func (sim *fleetSimulation) resetCounts() {
	sim.results, sim.late, sim.refused = map[fleet.UpstreamID]int{}, map[fleet.UpstreamID]int{}, 0
}

// run simulates a period with the given number of requests per second.
func (sim *fleetSimulation) run(period time.Duration, perSecond float64) {
	for end := sim.now.Add(period); sim.now.Before(end); {
		sim.now = sim.now.Add(simulationStep)
		sim.deliver()
		if sim.now.Sub(start) >= time.Duration(sim.reports+1)*reportInterval {
			sim.exchangeReports()
		}
		sim.exchangeUrgentReports()
		for due := perSecond * simulationStep.Seconds(); sim.random.Float64() < due; due-- {
			sim.send()
		}
	}
}

// deliver passes the events that are due to their routers.
func (sim *fleetSimulation) deliver() {
	sim.events = slices.DeleteFunc(sim.events, func(e fleetEvent) bool {
		if e.at.After(sim.now) {
			return false
		}
		e.router.scheduler.FirstEvent(e.at, e.id)
		e.router.scheduler.End(e.at, e.id, outlier.Success)
		return true
	})
}

// exchangeReports sends the periodic reports of all routers.
func (sim *fleetSimulation) exchangeReports() {
	sim.reports++
	for _, router := range sim.routers {
		sim.sendReport(router, sim.reports%reportsPerFull == 0)
	}
}

// exchangeUrgentReports sends reports of the routers that sent much work.
func (sim *fleetSimulation) exchangeUrgentReports() {
	for _, router := range sim.routers {
		if router.scheduler.ReportUrgent() && sim.now.Sub(router.reportedAt) >= reportInterval/5 {
			sim.sendReport(router, false)
		}
	}
}

func (sim *fleetSimulation) sendReport(from *simulatedRouter, full bool) {
	from.reportedAt = sim.now
	report := from.scheduler.Report(sim.now, full)
	for _, to := range sim.routers {
		if to != from {
			to.scheduler.ApplyPeerReport(sim.now, from.id, report)
		}
	}
}

// send has one router decide on a request and, if it is admitted, simulates its prefill.
func (sim *fleetSimulation) send() {
	sim.sent++
	router := sim.pickRouter()
	id := fmt.Sprint("request-", sim.sent)
	d := router.scheduler.Admit(sim.now, admission.Request{
		ID: id, Team: fleet.TeamID(fmt.Sprint("team-", sim.sent%20)), Prompt: sim.prompt(), OutputTokens: 50, Objective: objective,
	})
	if !d.Admitted {
		sim.refused++
		return
	}
	engine := sim.engines[d.Upstream.ID]
	first := engine.prefill(sim.now, d.Prefill).Add(overhead)
	sim.results[d.Upstream.ID]++
	if first.Sub(sim.now) > objective {
		sim.late[d.Upstream.ID]++
	}
	sim.events = append(sim.events, fleetEvent{at: first.Add(router.lateness), router: router, id: id})
}

func (sim *fleetSimulation) pickRouter() *simulatedRouter {
	total := 0.0
	for _, r := range sim.routers {
		total += r.load
	}
	at := sim.random.Float64() * total
	for _, r := range sim.routers {
		if at -= r.load; at < 0 {
			return r
		}
	}
	return sim.routers[len(sim.routers)-1]
}

// prompt returns a prompt with a long part that others share, or one without.
func (sim *fleetSimulation) prompt() placement.Prompt {
	own := placement.Part{ID: uint64(5_000_000 + sim.sent), Tokens: fleetPromptTokens / 2}
	if sim.random.IntN(100) >= sharedPromptPercent {
		return placement.Prompt{own}
	}
	return placement.Prompt{{ID: uint64(1 + sim.random.IntN(fleetSharedTopics)), Tokens: fleetPromptTokens}, own}
}

// prefill queues tokens of work and returns when they are done.
func (e *simulatedEngine) prefill(now time.Time, tokens int) time.Time {
	begin := e.idleAt
	if begin.Before(now) {
		begin = now
	}
	took := time.Duration(float64(tokens) / (rate * e.speed) * float64(time.Second))
	if begin.Before(e.slowUntil) {
		took = time.Duration(float64(took) * e.slowdown)
	}
	e.idleAt = begin.Add(took)
	return e.idleAt
}

// assignDomains puts the engines and routers into two failure domains of two regions.
func (sim *fleetSimulation) assignDomains() {
	for i := range sim.list {
		sim.list[i].Domain = fleet.FailureDomainID(fmt.Sprint("d", 1+i%2))
	}
	for i, router := range sim.routers {
		local := options()
		domain := 1 + i*2/len(sim.routers)
		local.Local = fleet.Location{Region: fleet.RegionID(fmt.Sprint("r", domain)), FailureDomain: fleet.FailureDomainID(fmt.Sprint("d", domain))}
		local.RemoteCost = 120 * time.Millisecond
		router.scheduler.SetOptions(local)
		router.scheduler.SetUpstreams(sim.list)
	}
}

// view returns a router's estimates of an engine.
func (sim *fleetSimulation) view(router, engine int) admission.UpstreamView {
	return sim.routers[router].scheduler.View(sim.now).Upstreams[sim.list[engine].ID]
}
