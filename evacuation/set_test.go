package evacuation_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/evacuation"
	"fulmarspindle.example/fulmarspindle/fleet"
)

type domains = []fleet.FailureDomainID

// Guards against an older set replacing a newer one, and against missed or repeated
// transitions while evacuations overlap.
func TestSetOfTheHigherRevisionWins(t *testing.T) {
	steps := []struct {
		name     string
		revision uint64
		domains  domains
		begun    domains
		ended    domains
		after    domains
	}{
		{"empty at first", 3, nil, nil, nil, nil},
		{"one begins", 5, domains{"d1"}, domains{"d1"}, nil, domains{"d1"}},
		{"older set is ignored", 4, nil, nil, nil, domains{"d1"}},
		{"another set of the same revision is ignored", 5, domains{"d2"}, nil, nil, domains{"d1"}},
		{"two at once, with a repeated name", 6, domains{"d2", "d1", "d2"}, domains{"d2"}, nil, domains{"d1", "d2"}},
		{"no change at a later revision", 7, domains{"d1", "d2"}, nil, nil, domains{"d1", "d2"}},
		{"one ends while others begin", 9, domains{"d4", "d2", "d3"}, domains{"d3", "d4"}, domains{"d1"}, domains{"d2", "d3", "d4"}},
		{"all end", 10, nil, nil, domains{"d2", "d3", "d4"}, nil},
		{"evacuated anew", 11, domains{"d1"}, domains{"d1"}, nil, domains{"d1"}},
	}
	g := NewWithT(t)
	var set evacuation.Set
	g.Expect(set.Known()).To(BeFalse())
	g.Expect(set.Evacuated("d1")).To(BeFalse())
	newest := uint64(0)
	for _, step := range steps {
		transition := set.Replace(step.revision, step.domains)
		newest = max(newest, step.revision)
		g.Expect(transition).To(Equal(evacuation.Transition{Begun: step.begun, Ended: step.ended}), step.name)
		g.Expect(transition.Empty()).To(Equal(step.begun == nil && step.ended == nil), step.name)
		g.Expect(set.Domains()).To(Equal(step.after), step.name)
		g.Expect(set.Revision()).To(Equal(newest), step.name)
		g.Expect(set.Known()).To(BeTrue())
		for _, d := range []fleet.FailureDomainID{"d1", "d2", "d3", "d4"} {
			g.Expect(set.Evacuated(d)).To(Equal(slices.Contains(step.after, d)), step.name)
		}
	}
}

// Guards against a store without any write: its empty set at revision 0 is a known one.
func TestEmptySetOfRevisionZeroIsKnown(t *testing.T) {
	g := NewWithT(t)
	var set evacuation.Set
	g.Expect(set.Replace(0, nil).Empty()).To(BeTrue())
	g.Expect(set.Known()).To(BeTrue())
}

func knownDomain(d fleet.FailureDomainID) bool { return strings.HasPrefix(string(d), "zone") }

// Guards against losing the evacuation of a real failure domain among many objects of
// another writer, and against sets that grow without bound.
func TestNamesOfOtherWritersDoNotDisplaceKnownDomains(t *testing.T) {
	g := NewWithT(t)
	list := []evacuation.Change{{Domain: ""}, {Domain: fleet.FailureDomainID(strings.Repeat("x", evacuation.MaxNameBytes+1))}, {Domain: "zone-z"}}
	for i := range 2 * evacuation.MaxDomains {
		list = append(list, evacuation.Change{Domain: fleet.FailureDomainID(fmt.Sprintf("junk-%03d", i))})
	}
	listing, dropped := evacuation.NewListing(list, knownDomain)
	g.Expect(listing.Domains()).To(HaveLen(evacuation.MaxDomains))
	g.Expect(listing.Domains()).To(ContainElement(fleet.FailureDomainID("zone-z")))
	g.Expect(dropped).To(Equal(len(list) - evacuation.MaxDomains))
	g.Expect(listing.Apply([]evacuation.Change{{Domain: "junk-000", Removed: true}})).To(BeFalse(), "a dropped name may have to take its place")
}

// Guards against changes of a watch that are applied out of order or beyond the bound.
func TestListingAppliesChangesInOrder(t *testing.T) {
	g := NewWithT(t)
	listing, dropped := evacuation.NewListing([]evacuation.Change{{Domain: "zone-a"}, {Domain: "zone-b", Removed: true}}, knownDomain)
	g.Expect(dropped).To(BeZero())
	g.Expect(listing.Domains()).To(Equal(domains{"zone-a"}))
	changes := []evacuation.Change{{Domain: "zone-c"}, {Domain: "zone-a", Removed: true}, {Domain: "zone-c", Removed: true}, {Domain: "zone-c"}, {Domain: ""}}
	g.Expect(listing.Apply(changes)).To(BeTrue())
	g.Expect(listing.Domains()).To(Equal(domains{"zone-c"}))
	for i := range evacuation.MaxDomains - 1 {
		g.Expect(listing.Apply([]evacuation.Change{{Domain: fleet.FailureDomainID(fmt.Sprint("junk-", i))}})).To(BeTrue())
	}
	g.Expect(listing.Apply([]evacuation.Change{{Domain: "zone-c"}})).To(BeTrue(), "already held")
	g.Expect(listing.Apply([]evacuation.Change{{Domain: "zone-d"}})).To(BeFalse(), "it may have to displace another name")
	g.Expect(listing.Domains()).To(HaveLen(evacuation.MaxDomains))
}
