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

// The seeds of a run by hand: go test ./e2e/soak -args -first-seed 1 -seeds 50.
var (
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the random faults")
	seeds     = flag.Int("seeds", 2, "number of seeds")
	span      = flag.Duration("span", 12*time.Second, "how long each seed makes faults")
	keep      = flag.String("keep", "", "directory for the logs of failed seeds")
)

// everyone is callers of all kinds at all gateways, one team far over its share.
func everyone(w *World) []*Source {
	all := w.Callers(0, 1, 2, 3)
	desk := func(team, path string, rate float64) *Source {
		return &Source{
			Service: deskService, Team: team, Path: path, Rate: rate, Gateways: all,
			Objective: 200 * time.Millisecond, Deadline: 2 * time.Second, Patience: time.Second,
		}
	}
	model := func(team string, rate float64) *Source {
		s := drafts(w, team, rate, 0)
		s.Gateways = all
		return s
	}
	return []*Source{
		desk("team-1", "/lookup/1", 60), desk("team-2", "/order/1", 30),
		model("team-1", 60), model("team-2", 8), model("team-3", 8),
	}
}

// expectPromises checks what callers and upstreams saw of a run.
func (w *World) expectPromises(what string) {
	GinkgoHelper()
	asks, arrivals := w.Record.Seen()
	Expect(asks).NotTo(BeEmpty())
	for _, service := range []string{deskService, modelService} {
		Expect(budget.Overspent(service, asks, arrivals)).To(BeEmpty(), what)
	}
	Expect(OrderedTwice(arrivals)).To(BeEmpty(), what)
	Expect(FalseRefusal(asks, arrivals)).To(BeEmpty(), what)
}

var _ = Describe("gateways under random faults", func() {
	It("keep their promises", func() {
		for n := range *seeds {
			seed := *firstSeed + uint64(n)
			w := newWorld(Shape{
				Gateways: 4, Plain: 4, Engines: 3, Teams: []string{"team-1", "team-2", "team-3"},
				Settings: budgetSettings, PrefillRate: 60_000, Objective: fairObjective,
			})
			w.Load(seed, everyone(w)...)
			ctx, cancel := context.WithTimeout(context.Background(), *span)
			done, err := w.Faults(ctx, seed)
			cancel()
			w.StopLoad()
			what := fmt.Sprintf("seed %d\n%s", seed, done)
			w.keepLogs(seed, what)
			Expect(err).NotTo(HaveOccurred(), what)
			w.expectPromises(what)
			w.Close()
		}
	})
})

// keepLogs writes the faults and the gateways' logs of a seed where asked for.
func (w *World) keepLogs(seed uint64, what string) {
	GinkgoHelper()
	if *keep == "" {
		return
	}
	dir := filepath.Join(*keep, fmt.Sprint("seed-", seed))
	Expect(os.MkdirAll(dir, 0o750)).To(Succeed())
	Expect(os.WriteFile(filepath.Join(dir, "faults.txt"), []byte(what), 0o600)).To(Succeed())
	for _, g := range w.Gateways {
		Expect(os.WriteFile(filepath.Join(dir, g.Name+".log"), []byte(g.Log()), 0o600)).To(Succeed())
	}
}
