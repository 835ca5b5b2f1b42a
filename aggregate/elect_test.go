package aggregate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/aggregate"
	"fulmarspindle.example/fulmarspindle/fleet"
)

const silence = 2 * time.Second

var now = time.Unix(1000, 0)

func TestElect(t *testing.T) {
	strong := aggregate.Candidate{ID: "c", Domain: "d1", Processors: 0.8, LastHeard: now}
	weak := aggregate.Candidate{ID: "a", Domain: "d1", Processors: 0.1, LastHeard: now}
	other := aggregate.Candidate{ID: "b", Domain: "d1", Processors: 0.8, LastHeard: now}
	silent := strong
	silent.LastHeard = now.Add(-silence - time.Millisecond)
	leaving := strong
	leaving.Leaving = true
	for name, c := range map[string]struct {
		candidates []aggregate.Candidate
		want       fleet.NodeID
	}{
		"most processor time":       {[]aggregate.Candidate{weak, strong}, "c"},
		"breaks ties by identifier": {[]aggregate.Candidate{strong, other}, "b"},
		"skips a silent gateway":    {[]aggregate.Candidate{weak, silent}, "a"},
		"skips a leaving gateway":   {[]aggregate.Candidate{leaving, weak}, "a"},
		"no eligible gateway":       {[]aggregate.Candidate{leaving, silent}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(aggregate.Elect(now, silence, c.candidates)["d1"]).To(Equal(c.want))
		})
	}
}

// The result must not depend on the order in which a gateway learned of the candidates:
// otherwise gateways with the same candidates would elect different aggregators.
func TestElectIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) aggregate.Candidate {
			return aggregate.Candidate{
				ID:         fleet.NodeID(rapid.StringMatching(`[a-z]{1,3}`).Draw(t, "id")),
				Domain:     rapid.SampledFrom([]fleet.FailureDomainID{"d1", "d2"}).Draw(t, "domain"),
				Processors: rapid.SampledFrom([]float64{0.1, 0.8}).Draw(t, "processors"),
				LastHeard:  now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond),
				Leaving:    rapid.Bool().Draw(t, "draining"),
			}
		}), 0, 12, func(c aggregate.Candidate) fleet.NodeID { return c.ID }).Draw(t, "candidates")
		shuffled := rapid.Permutation(candidates).Draw(t, "shuffled")
		NewWithT(t).Expect(aggregate.Elect(now, silence, shuffled)).To(Equal(aggregate.Elect(now, silence, candidates)))
	})
}
