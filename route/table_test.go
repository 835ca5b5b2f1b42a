package route_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/route"
)

func table(t *testing.T, d route.Definition) *route.Table {
	t.Helper()
	out, err := route.NewTable(d)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return out
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	g := NewWithT(t)
	x := table(t, route.Definition{Routes: []route.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}})
	for path, want := range map[string]string{"/x/": "short", "/x/1": "short", "/x/y": "short", "/x/y/z/1": "long"} {
		found, ok := x.Lookup("A.example:8080", path)
		g.Expect(ok).To(BeTrue(), path)
		g.Expect(found.Name).To(Equal(want), path)
	}
	for _, path := range []string{"/x", "/", "/z/"} {
		_, ok := x.Lookup("a.example", path)
		g.Expect(ok).To(BeFalse(), path)
	}
	_, ok := x.Lookup("c.example", "/x/")
	g.Expect(ok).To(BeFalse())
}

func TestTeamByKey(t *testing.T) {
	g := NewWithT(t)
	x := table(t, route.Definition{Teams: []route.Team{{ID: "t1", Keys: []string{"k1", "k2"}}, {ID: "t2", Keys: nil}}})
	team, ok := x.Team("k2")
	g.Expect(ok).To(BeTrue())
	g.Expect(team).To(Equal(fleet.TeamID("t1")))
	_, ok = x.Team("")
	g.Expect(ok).To(BeFalse())
	g.Expect(x.HasTeams()).To(BeTrue())
}

func TestRequestsSplitByWeightDeterministically(t *testing.T) {
	g := NewWithT(t)
	r := route.Route{Split: []route.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[fleet.ServiceID]int{}
	const requests = 20000
	for i := range requests {
		id := fmt.Sprint("request-", i)
		first, ok := r.SelectService(id)
		g.Expect(ok).To(BeTrue())
		again, _ := r.SelectService(id)
		g.Expect(again).To(Equal(first))
		counts[first]++
	}
	g.Expect(float64(counts["b"]) / requests).To(BeNumerically("~", 0.1, 0.01))
}

func TestRouteWithoutWeightsHasNoService(t *testing.T) {
	g := NewWithT(t)
	_, ok := (&route.Route{}).SelectService("x")
	g.Expect(ok).To(BeFalse())
	_, ok = (&route.Route{Split: []route.WeightedService{{Service: "a"}}}).SelectService("x")
	g.Expect(ok).To(BeFalse())
}

func TestInvalidRoutesAreRejected(t *testing.T) {
	g := NewWithT(t)
	for _, bad := range []route.Route{
		{Prefix: "x/"},
		{Prefix: "/x"},
		{Prefix: "/x/", Split: []route.WeightedService{{Service: "a", Weight: -1}}},
	} {
		_, err := route.NewTable(route.Definition{Routes: []route.Route{bad}})
		g.Expect(err).To(MatchError(route.ErrInvalid))
	}
}

func TestOnlySafeAndResumableRoutesAreRepeatable(t *testing.T) {
	g := NewWithT(t)
	g.Expect((&route.Route{Kind: route.Safe}).Repeatable()).To(BeTrue())
	g.Expect((&route.Route{Kind: route.Unsafe, Resumable: true}).Repeatable()).To(BeFalse())
	g.Expect((&route.Route{Kind: route.Stream}).Repeatable()).To(BeFalse())
	g.Expect((&route.Route{Kind: route.Stream, Resumable: true}).Repeatable()).To(BeTrue())
}
