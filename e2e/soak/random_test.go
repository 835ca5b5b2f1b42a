package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Flags of a longer run: go test ./e2e/soak -args -first-seed 1 -seeds 50.
var (
	firstSeed     = flag.Uint64("first-seed", 1, "first seed of the random faults")
	seeds         = flag.Int("seeds", 2, "number of seeds")
	faultDuration = flag.Duration("span", 12*time.Second, "how long faults are injected for each seed")
	logDir        = flag.String("keep", "", "directory for the logs of all seeds")
)

const (
	// homeTeam has the home region homeTeamRegion.
	homeTeam       = "team-home"
	homeTeamRegion = "r2"
	// evacuateWithin leaves time to check evacuations within maxFaultDuration.
	evacuateWithin = 3 * time.Second
)

// mixedWorkloads loads every route through all gateways. One team demands far more
// than its share; one team and one route have home regions.
func mixedWorkloads(env *Environment) []*Workload {
	addresses := env.CallerAddresses(0, 1, 2, 3)
	desk := func(team, path string, rate float64) *Workload {
		return &Workload{
			Service: deskService, Team: team, Path: path, Rate: rate, Gateways: addresses,
			Objective: 200 * time.Millisecond, Deadline: 2 * time.Second, FirstByteTimeout: time.Second,
		}
	}
	model := func(team string, rate float64) *Workload {
		w := draftWorkload(env, team, rate, 0)
		w.Gateways = addresses
		return w
	}
	long := desk("team-1", longPath+"1", 3)
	long.Objective, long.Deadline, long.FirstByteTimeout = longTimeout, longTimeout+time.Second, longTimeout+time.Second
	return []*Workload{
		desk("team-1", lookupPath+"1", 60), desk("team-2", orderPath+"1", 30),
		long, desk("team-3", homePath+"1", 20), desk(homeTeam, lookupPath+"1", 20), desk(homeTeam, orderPath+"1", 10),
		model("team-1", 60), model("team-2", 8), model("team-3", 8), model(homeTeam, 8),
	}
}

// coldSettings sets the bound of the requests to cold upstreams.
const coldSettings = `
admission: {cold_overage: 1.5, cold_slack: 5}
`

// expectGuarantees checks the recorded requests of a run.
func (env *Environment) expectGuarantees(description string) {
	GinkgoHelper()
	requests, arrivals := env.Recorder.Snapshot()
	Expect(requests).NotTo(BeEmpty())
	Expect(env.Rules.Violation()).To(BeEmpty(), description)
	for _, service := range []string{deskService, modelService} {
		Expect(budget.Violation(service, requests, arrivals)).To(BeEmpty(), description)
	}
	Expect(DuplicateExecution(arrivals)).To(BeEmpty(), description)
	Expect(FalseRefusal(requests, arrivals)).To(BeEmpty(), description)
	Expect(AnswerViolation(requests, arrivals)).To(BeEmpty(), description)
	Expect(LostRequest(requests, arrivals, env.calmStops())).To(BeEmpty(), description)
}

var _ = Describe("gateways under random faults", func() {
	It("keep their guarantees", func() {
		for n := range *seeds {
			seed := *firstSeed + uint64(n)
			env := newEnvironment(Options{
				Gateways: 4, PlainServers: 4, Engines: 3, Teams: []string{"team-1", "team-2", "team-3", homeTeam},
				FailureDomains: 3, Regions: 2, HomeRegions: map[string]string{homeTeam: homeTeamRegion}, EvacuateWithin: evacuateWithin,
				Settings: budgetSettings + coldSettings, PrefillRate: 60_000, Objective: streamObjective,
			})
			for _, g := range env.Gateways {
				env.watchExits(g)
			}
			env.StartLoad(seed, mixedWorkloads(env)...)
			ctx, cancel := context.WithTimeout(context.Background(), *faultDuration)
			faults, err := env.InjectFaults(ctx, seed)
			cancel()
			if err == nil {
				err = env.InjectUpstreamFaults(context.Background(), seed)
			}
			env.StopLoad()
			description := fmt.Sprintf("seed %d\n%s", seed, faults)
			env.saveLogs(seed, description)
			Expect(err).NotTo(HaveOccurred(), description)
			env.expectGuarantees(description)
			env.Close()
		}
	})
})

// saveLogs writes the faults and the gateways' logs of a seed below the directory of
// -keep, if it is set.
func (env *Environment) saveLogs(seed uint64, description string) {
	GinkgoHelper()
	if *logDir == "" {
		return
	}
	dir := filepath.Join(*logDir, fmt.Sprint("seed-", seed))
	Expect(os.MkdirAll(dir, 0o750)).To(Succeed())
	Expect(os.WriteFile(filepath.Join(dir, "faults.txt"), []byte(description), 0o600)).To(Succeed())
	for _, g := range env.Gateways {
		Expect(os.WriteFile(filepath.Join(dir, g.Name+".log"), []byte(g.Log()), 0o600)).To(Succeed())
	}
}
