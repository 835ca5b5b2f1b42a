package fairness_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fairness"
	"fulmarspindle.example/fulmarspindle/fleet"
)

const epsilon = 1e-6

var epoch = time.Unix(1_000_000, 0)

func TestFairness(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "fairness")
}

func after(d time.Duration) time.Time { return epoch.Add(d) }

func newKeeper(inc fleet.Incarnation) *fairness.Keeper {
	return fairness.NewKeeper(fairness.KeeperConfig{}, "noord", inc, epoch)
}

// entry returns a report of one active team, a, without an echo.
func entry(seq uint64, virtualTime, charged float64) fairness.Report {
	teams := []fairness.TeamReport{{Team: "a", Charged: charged, Active: true}}
	return fairness.Report{Seq: seq, VirtualTime: virtualTime, Teams: teams}
}

// echoed returns a report like that of entry, with an echo.
func echoed(seq uint64, charged float64, echo fairness.Echo) fairness.Report {
	r := entry(seq, 0, charged)
	r.Teams[0].Echo = echo
	return r
}

func account(k *fairness.Keeper, team fleet.TeamID) float64 {
	GinkgoHelper()
	value, ok := k.Account(team)
	Expect(ok).To(BeTrue())
	return value
}
