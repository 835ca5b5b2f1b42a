package router

import (
	"context"
	"errors"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/platform"
)

func newTestMembership() *membership {
	return newMembership(nil, func() *config.Index { return nil }, zap.NewNop())
}

// flakyStore fails every second read of the VM list. It sends the number of each
// read to reads.
type flakyStore struct {
	platform.Store
	reads chan int
	count int
}

func (s *flakyStore) VMs(context.Context) ([]platform.VMStatus, error) {
	s.count++
	s.reads <- s.count
	if s.count%2 == 0 {
		return nil, errors.New("outage")
	}
	return []platform.VMStatus{{ID: "vm-1", Incarnation: uint64(s.count), State: platform.VMLive}}, nil
}

func TestVMListPollerContinuesAfterAFailedRead(t *testing.T) {
	g := NewWithT(t)
	m := newTestMembership()
	poller := newVMListPoller(node.NewSessions(), "randstad", m)
	store := &flakyStore{reads: make(chan int)}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		poller.run(ctx, store)
	}()
	for range 3 {
		g.Eventually(store.reads, 3*vmListInterval).Should(Receive())
	}
	g.Eventually(func() uint64 {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.vms.byID["vm-1"].Incarnation
	}).Should(Equal(uint64(3)))
	cancel()
	g.Eventually(done).Should(BeClosed())
}

func TestReadJitter(t *testing.T) {
	g := NewWithT(t)
	g.Expect(readJitter(0, 0.9)).To(BeZero())
	g.Expect(readJitter(2, 0.5)).To(Equal(vmListJitterPerRouter))
	g.Expect(readJitter(50, 0.999999)).To(BeNumerically("<=", maxVMListJitter))
}

// The receiver of an update must report a match exactly if its list equals the
// sender's, also after lost updates and its own reads. A false match would delay
// its next read while its list is wrong.
func TestVMListUpdateReportsWhetherListsMatch(t *testing.T) {
	lists := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) platform.VMStatus {
		return platform.VMStatus{
			ID:          fleet.VMID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "vm")),
			Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
			State:       rapid.SampledFrom([]platform.VMState{platform.VMLive, platform.VMLeaving}).Draw(t, "state"),
		}
	}), 0, 4, func(vm platform.VMStatus) fleet.VMID { return vm.ID })
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		sender, receiver := newTestMembership(), newTestMembership()
		for range 10 {
			if rapid.Bool().Draw(t, "receiver reads") {
				receiver.replaceVMs(lists.Draw(t, "received list"))
			}
			update := sender.replaceVMs(lists.Draw(t, "list"))
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			same := receiver.applyVMUpdate(update)
			g.Expect(same).To(Equal(sameVMs(sender, receiver)))
		}
	})
}

func sameVMs(a, b *membership) bool {
	if len(a.vms.byID) != len(b.vms.byID) {
		return false
	}
	for id, vm := range a.vms.byID {
		if b.vms.byID[id] != vm {
			return false
		}
	}
	return true
}

func TestVMListUpdateCarriesOnlyChanges(t *testing.T) {
	g := NewWithT(t)
	m := newTestMembership()
	list := []platform.VMStatus{{ID: "a", Incarnation: 1, State: platform.VMLive}, {ID: "b", Incarnation: 1, State: platform.VMLive}}
	first := m.replaceVMs(list)
	g.Expect(first.GetChanges()).To(BeEmpty())
	g.Expect(m.replaceVMs(list).GetChanges()).To(BeEmpty())
	next := m.replaceVMs([]platform.VMStatus{{ID: "b", Incarnation: 1, State: platform.VMLeaving}})
	g.Expect(next.GetChanges()).To(HaveLen(2))
	g.Expect(next.GetChanges()[0].GetRemoved()).To(BeTrue())
	g.Expect(next.GetChanges()[1].GetState()).To(Equal(string(platform.VMLeaving)))
	receiver := newTestMembership()
	g.Expect(receiver.applyVMUpdate(next)).To(BeTrue())
	g.Expect(receiver.applyVMUpdate(&peerpb.VMListUpdate{Digest: first.GetDigest()})).To(BeFalse())
}

func TestStatusReason(t *testing.T) {
	g := NewWithT(t)
	state := &sidecarState{}
	g.Expect(state.statusReason()).To(Equal(fleet.ReasonNone))
	state.load = &peerpb.Load{Reason: "unhealthy"}
	g.Expect(state.statusReason()).To(Equal(fleet.ReasonUnhealthy))
	state.reason = fleet.ReasonLeavingVM
	g.Expect(state.statusReason()).To(Equal(fleet.ReasonLeavingVM))
}
