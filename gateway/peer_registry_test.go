package gateway

import (
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/registry"
)

// peerRegistration returns a registration of another router that names an upstream to use.
func peerRegistration(id string, revision uint64) *peerpb.Registration {
	return &peerpb.Registration{Upstream: id, Service: "s", Address: "10.0.0.9:8080", FailureDomain: "z", Slots: 4, Revision: revision}
}

// oddPeerRegistrations change a registration so that it names no upstream to use. A
// registration whose identifier or revision is unusable is unnamed.
func oddPeerRegistrations() (named, unnamed map[string]func(*peerpb.Registration)) {
	named = map[string]func(*peerpb.Registration){
		"port 0":              func(m *peerpb.Registration) { m.Address = "10.0.0.9:0" },
		"port out of range":   func(m *peerpb.Registration) { m.Address = "10.0.0.9:65536" },
		"host name":           func(m *peerpb.Registration) { m.Address = "localhost:80" },
		"unspecified address": func(m *peerpb.Registration) { m.Address = "0.0.0.0:80" },
		"no address":          func(m *peerpb.Registration) { m.Address = "" },
		"no service":          func(m *peerpb.Registration) { m.Service = "" },
		"service too long":    func(m *peerpb.Registration) { m.Service = strings.Repeat("s", 1000) },
		"no failure domain":   func(m *peerpb.Registration) { m.FailureDomain = "" },
		"replaced bytes":      func(m *peerpb.Registration) { m.FailureDomain = "z\ufffd" },
		"no slots":            func(m *peerpb.Registration) { m.Slots = 0 },
		"too many slots":      func(m *peerpb.Registration) { m.Slots = math.MaxUint32 },
		"negative start":      func(m *peerpb.Registration) { m.StartedUnixMs = -1 },
		"start too late":      func(m *peerpb.Registration) { m.StartedUnixMs = math.MaxInt64 },
		"cold for too long":   func(m *peerpb.Registration) { m.ColdRemainingMs = math.MaxUint32 },
	}
	unnamed = map[string]func(*peerpb.Registration){
		"no identifier":             func(m *peerpb.Registration) { m.Upstream = "" },
		"identifier with a break":   func(m *peerpb.Registration) { m.Upstream = "i\r\nA: b" },
		"identifier too long":       func(m *peerpb.Registration) { m.Upstream = strings.Repeat("i", 1000) },
		"revision 0":                func(m *peerpb.Registration) { m.Revision = 0 },
		"revision over the newest":  func(m *peerpb.Registration) { m.Revision = math.MaxUint64 },
		"removed, but no revision":  func(m *peerpb.Registration) { m.Removed, m.Revision = true, 0 },
		"removed at a later change": func(m *peerpb.Registration) { m.Removed, m.Revision = true, math.MaxUint64 },
	}
	return named, unnamed
}

// usableIDs returns the upstreams that a gateway may use.
func usableIDs(g *Gateway) []fleet.UpstreamID {
	var out []fleet.UpstreamID
	for _, u := range g.registry.Usable(time.Now()) {
		out = append(out, u.ID)
	}
	return out
}

// newRegistryGateway returns a gateway that knows the upstream known at revision 1.
func newRegistryGateway(t *testing.T) *Gateway {
	g := New(t.Context(), Options{ID: "g1", Log: zap.NewNop()})
	g.registry.Apply(time.Now(), registry.Entry{Upstream: registry.Upstream{ID: "known", Service: "s"}, Revision: 1})
	return g
}

// Guards against registrations of another router that name no upstream to use but are used,
// hide the sound ones beside them, or outrank all later changes.
func TestOddRegistrationOfAnotherRouterNamesNoUpstream(t *testing.T) {
	named, unnamed := oddPeerRegistrations()
	check := func(name string, change func(*peerpb.Registration), expected ...fleet.UpstreamID) {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			gateway := newRegistryGateway(t)
			odd := peerRegistration("known", 3)
			change(odd)
			gateway.applyPeerRegistry("g2", &peerpb.RegistryUpdate{
				Revision: 4, Registrations: []*peerpb.Registration{peerRegistration("a", 2), odd, peerRegistration("b", 4)},
			})
			g.Expect(usableIDs(gateway)).To(Equal(expected))
			g.Expect(gateway.registry.Revision()).To(BeEquivalentTo(4))
			g.Expect(gateway.registry.LatestRevision()).To(BeEquivalentTo(4))
			gateway.applyPeerRegistry("g2", &peerpb.RegistryUpdate{Revision: 5, Registrations: []*peerpb.Registration{peerRegistration("known", 5)}})
			g.Expect(usableIDs(gateway)).To(ContainElement(fleet.UpstreamID("known")), "registered later")
		})
	}
	for name, change := range named {
		check(name, change, "a", "b")
	}
	for name, change := range unnamed {
		check(name, change, "a", "b", "known")
	}
}

// Guards against a revision that no store reaches, from another router, after which lists
// of the store would be ignored.
func TestUpdateAtAnImpossibleRevisionIsIgnored(t *testing.T) {
	g := NewWithT(t)
	gateway := newRegistryGateway(t)
	gateway.applyPeerRegistry("g2", &peerpb.RegistryUpdate{
		Revision: math.MaxUint64, Registrations: []*peerpb.Registration{peerRegistration("a", 2)},
	})
	g.Expect(usableIDs(gateway)).To(Equal([]fleet.UpstreamID{"known"}))
	g.Expect(gateway.registry.Revision()).To(BeZero())
}

// Guards against removals by another router that are lost, with and without the fields of
// the upstream.
func TestRemovalByAnotherRouterIsApplied(t *testing.T) {
	for _, m := range []*peerpb.Registration{
		{Upstream: "known", Revision: 3, Removed: true},
		{Upstream: "known", Service: "s", Address: "10.0.0.9:8080", FailureDomain: "z", Slots: 4, Revision: 3, Removed: true},
		{Upstream: "known", Service: "s", Address: "here", Revision: 3, Removed: true},
	} {
		g := NewWithT(t)
		gateway := newRegistryGateway(t)
		gateway.applyPeerRegistry("g2", &peerpb.RegistryUpdate{Revision: 3, Registrations: []*peerpb.Registration{m}})
		g.Expect(usableIDs(gateway)).To(BeEmpty())
		g.Expect(gateway.registry.Entries()[0].Upstream.Service).To(BeEquivalentTo("s"))
	}
}
