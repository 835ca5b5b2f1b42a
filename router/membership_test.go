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

// flakyVMs fails every second read of the VM list.
type flakyVMs struct {
	platform.Store
	reads chan int
	count int
}

func (s *flakyVMs) VMs(context.Context) ([]platform.VMStatus, error) {
	s.count++
	s.reads <- s.count
	if s.count%2 == 0 {
		return nil, errors.New("outage")
	}
	return []platform.VMStatus{{ID: "vm-1", Incarnation: uint64(s.count), State: platform.VMLive}}, nil
}

func TestFollowGoesOnAfterAFailedRead(t *testing.T) {
	g := NewWithT(t)
	m := newTestMembership()
	f := newVMListFollower(node.NewSessions(), "randstad", m)
	store := &flakyVMs{reads: make(chan int)}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.follow(ctx, store)
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

func TestReadDelay(t *testing.T) {
	g := NewWithT(t)
	g.Expect(readDelay(0, 0.9)).To(BeZero())
	g.Expect(readDelay(2, 0.5)).To(Equal(vmListSpread))
	g.Expect(readDelay(50, 0.999999)).To(BeNumerically("<=", maxVMListSpread))
}

// An update makes the receiver's list the sender's, or is told not to have.
func TestVMListUpdate(t *testing.T) {
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
				receiver.setVMs(lists.Draw(t, "received list"))
			}
			update := sender.setVMs(lists.Draw(t, "list"))
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			same := receiver.updateVMs(update)
			g.Expect(same).To(Equal(equalVMs(sender, receiver)))
		}
	})
}

func equalVMs(a, b *membership) bool {
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
	first := m.setVMs(list)
	g.Expect(first.GetChanges()).To(BeEmpty())
	g.Expect(m.setVMs(list).GetChanges()).To(BeEmpty())
	next := m.setVMs([]platform.VMStatus{{ID: "b", Incarnation: 1, State: platform.VMLeaving}})
	g.Expect(next.GetChanges()).To(HaveLen(2))
	g.Expect(next.GetChanges()[0].GetRemoved()).To(BeTrue())
	g.Expect(next.GetChanges()[1].GetState()).To(Equal(string(platform.VMLeaving)))
	behind := newTestMembership()
	g.Expect(behind.updateVMs(next)).To(BeTrue())
	g.Expect(behind.updateVMs(&peerpb.VMListUpdate{Digest: first.GetDigest()})).To(BeFalse())
}

func TestShownReason(t *testing.T) {
	g := NewWithT(t)
	state := &sidecarState{}
	g.Expect(state.shownReason()).To(Equal(fleet.ReasonNone))
	state.load = &peerpb.Load{Reason: "unhealthy"}
	g.Expect(state.shownReason()).To(Equal(fleet.ReasonUnhealthy))
	state.reason = fleet.ReasonLeavingVM
	g.Expect(state.shownReason()).To(Equal(fleet.ReasonLeavingVM))
}
