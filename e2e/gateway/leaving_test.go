package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

// entryDisturbances is how often the entries of leaving servers are disturbed, and
// entryDisturbanceGap the time between two steps of that.
const (
	entryDisturbances   = 4
	entryDisturbanceGap = 700 * time.Millisecond
)

// entryChange changes the entry of a server that has said that it leaves.
type entryChange func(s *serverSite, t *talker, sound standin.Registration)

// entryChanges leave an entry that says less than the server itself did: none shows that it started
// again.
var entryChanges = map[string]entryChange{
	"states no start": func(s *serverSite, t *talker, sound standin.Registration) {
		s.putEntry(t.id, sound, func(fields map[string]any) { delete(fields, "born") })
	},
	"states an earlier start": func(s *serverSite, t *talker, sound standin.Registration) {
		s.putEntry(t.id, sound, func(fields map[string]any) { fields["born"] = sound.StartedUnixMs - 5000 })
	},
	"is removed": func(s *serverSite, t *talker, _ standin.Registration) {
		Expect(s.Delete(context.Background(), standin.ServersKind, t.id)).To(Succeed())
	},
	"drains": func(s *serverSite, t *talker, sound standin.Registration) {
		s.putEntry(t.id, sound, func(fields map[string]any) { fields["state"] = "draining" })
	},
	"lacks its address": func(s *serverSite, t *talker, sound standin.Registration) {
		s.putEntry(t.id, sound, func(fields map[string]any) { delete(fields, "address") })
	},
	"is renewed": func(s *serverSite, t *talker, sound standin.Registration) {
		s.putEntry(t.id, sound, func(fields map[string]any) { fields["sequence"] = sound.Sequence + 1 })
	},
}

// putEntry writes the entry of a server with some fields changed.
func (s *serverSite) putEntry(id string, sound standin.Registration, change func(fields map[string]any)) {
	GinkgoHelper()
	encoded, err := json.Marshal(sound)
	Expect(err).NotTo(HaveOccurred())
	fields := map[string]any{}
	Expect(json.Unmarshal(encoded, &fields)).To(Succeed())
	fields["born"] = sound.StartedUnixMs
	change(fields)
	changed, err := json.Marshal(fields)
	Expect(err).NotTo(HaveOccurred())
	Expect(s.PutVerbatim(context.Background(), standin.ServersKind, id, string(changed), "")).To(Succeed())
}

// newLeavingSite starts five gateways and servers that have told each of them that they leave, longer
// than leaveWithin ago.
func newLeavingSite() (*serverSite, []*talker) {
	GinkgoHelper()
	s, _ := newServerSite(harness.GatewayFleetOptions{Gateways: 5, FailureDomains: 3, Proxied: true},
		standin.ServiceConfig{Name: deskService, MaxConnections: 90}, 1)
	list := s.startTalkers()
	s.startLoad(loadInterval)
	for _, t := range list {
		Eventually(func() int { served, _, _ := t.state(); return served }, specTimeout).Should(Equal(len(s.Gateways)), t.id)
	}
	for _, t := range list {
		t.set(true, false)
	}
	for _, t := range list {
		Eventually(func() int { _, told, _ := t.state(); return told }, specTimeout).Should(Equal(len(s.Gateways)), t.id)
	}
	time.Sleep(leaveWithin)
	return s, list
}

// expectNoViolation checks what the servers have received.
func expectNoViolation(list []*talker) {
	GinkgoHelper()
	for _, t := range list {
		_, _, violation := t.state()
		Expect(violation).To(BeEmpty())
	}
}

var _ = Describe("servers that say that they leave", func() {
	for _, name := range slices.Sorted(maps.Keys(entryChanges)) {
		// Guards against a notice of an upstream that its entry takes back by saying less (DRAIN).
		It("get no new requests of five gateways while their entry "+name+" and is sound again", func() {
			s, list := newLeavingSite()
			for range entryDisturbances {
				for _, t := range list {
					entryChanges[name](s, t, t.registration)
				}
				time.Sleep(entryDisturbanceGap)
				expectNoViolation(list)
				for _, t := range list {
					s.putEntry(t.id, t.registration, func(map[string]any) {})
				}
				time.Sleep(entryDisturbanceGap)
				expectNoViolation(list)
			}
			s.expectUsed(s.startServer("s-2", "z1", 0))
		})
	}

	// Guards against a server that is lost for good because the one before it under its id left.
	It("are used again by five gateways once they have started again under their ids", func() {
		s, list := newLeavingSite()
		for _, t := range list {
			t.restart()
			t.registration.StartedUnixMs = time.Now().UnixMilli()
			s.putEntry(t.id, t.registration, func(map[string]any) {})
		}
		for _, t := range list {
			Eventually(func() int { served, _, _ := t.state(); return served }, specTimeout).Should(Equal(len(s.Gateways)), t.id)
		}
	})
})
