package gateway

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/standin"
	"fulmarspindle.example/fulmarspindle/fleet"
)

// serveSound answers each request.
func serveSound(c net.Conn, next func() (*http.Request, error)) error {
	for {
		r, err := next()
		if err != nil {
			return err
		}
		if err := writeResponse(c, r, "Content-Length: 0", ""); err != nil {
			return err
		}
	}
}

// reached returns the number of requests that named an upstream.
func (s *scriptedSite) reached(instance string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances[instance]
}

// putOdd writes an odd object among those of servers.
func (s *scriptedSite) putOdd(name string, odd standin.OddRegistration) {
	GinkgoHelper()
	Expect(s.PutVerbatim(context.Background(), standin.ServersKind, name, odd.Spec, odd.Revision)).To(Succeed())
}

// expectUnused checks that the gateway takes an entry for none of a server.
func (s *scriptedSite) expectUnused(name string, odd standin.OddRegistration) {
	GinkgoHelper()
	Expect(s.registered(s.gateway, fleet.UpstreamID(name))()).To(BeFalse(), "%s names no server: %s", name, odd.Name)
}

// oddByKind returns the odd registrations of each kind.
func oddByKind() map[string][]standin.OddRegistration {
	kinds := map[string][]standin.OddRegistration{}
	for _, odd := range standin.OddRegistrations(scriptedRegistration("127.0.0.1:9")) {
		kinds[odd.Kind] = append(kinds[odd.Kind], odd)
	}
	return kinds
}

func (s *scriptedSite) remove(name string) {
	GinkgoHelper()
	Expect(s.Delete(context.Background(), standin.ServersKind, name)).To(Succeed())
}

// expectUseOf waits until a further request reaches an upstream.
func (s *scriptedSite) expectUseOf(id string) {
	GinkgoHelper()
	before := s.reached(id)
	Eventually(func() int {
		s.post(unsafePath)
		return s.reached(id)
	}, useTimeout).Should(BeNumerically(">", before), id)
	Expect(s.gateway.Running()).To(BeTrue(), s.gateway.Log())
}

// useTimeout is a multiple of what a gateway takes to follow the store and to use an upstream.
const useTimeout = specTimeout / 3

// Guards against an odd entry of kind servers that hides sound ones from the gateway, is used
// as a server, or ends the process.
var _ = Describe("an entry of kind servers from another writer", func() {
	kinds := oddByKind()
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		entries := kinds[kind]
		It("leaves sound servers in use, with "+kind, func() {
			s := newScriptedSite()
			addresses := map[string]string{}
			for _, id := range []string{"first", "second", "third"} {
				addresses[id] = s.startUpstream(serveSound)
			}
			s.register("first", addresses["first"])
			s.expectUseOf("first")

			// New entries are odd.
			for i, odd := range entries {
				s.putOdd(fmt.Sprint("odd-", i), odd)
			}
			s.register("second", addresses["second"])
			s.remove("first")
			s.expectUseOf("second")
			for i, odd := range entries {
				s.expectUnused(fmt.Sprint("odd-", i), odd)
			}

			// The entry of a server that is in use becomes odd, and sound again.
			for _, odd := range entries {
				s.putOdd("second", odd)
			}
			s.register("third", addresses["third"])
			s.expectUseOf("third")
			s.expectUnused("second", entries[len(entries)-1])
			s.register("second", addresses["second"])
			s.remove("third")
			s.expectUseOf("second")

			// A gateway that starts reads the list, not its changes.
			s.gateway.Kill()
			Eventually(s.gateway.Done(), specTimeout).Should(BeClosed())
			Expect(s.Start(s.gateway)).To(Succeed())
			Expect(s.AwaitReady(context.Background(), s.gateway)).To(Succeed(), s.gateway.Log())
			s.expectUseOf("second")

			for i := range entries {
				s.remove(fmt.Sprint("odd-", i))
			}
			s.register("first", addresses["first"])
			s.remove("second")
			s.expectUseOf("first")
		})
	}
})
