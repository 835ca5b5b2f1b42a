package router

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/platform"
)

func TestVMListPeriodBoundsTheReadsOfTheFleet(t *testing.T) {
	g := NewWithT(t)
	g.Expect(vmListPeriod(0)).To(Equal(time.Second))
	g.Expect(vmListPeriod(3)).To(Equal(time.Second))
	g.Expect(vmListPeriod(200)).To(Equal(time.Second))
	g.Expect(vmListPeriod(410)).To(Equal(2050 * time.Millisecond))
	for _, routers := range []int{201, 410, 10_000} {
		// Routers over period are reads a second.
		atMost := maxVMListReads * vmListPeriod(routers)
		g.Expect(time.Duration(routers)*time.Second).To(BeNumerically("<=", atMost), "%d routers", routers)
	}
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

func TestFollowVMsGoesOnAfterAFailedRead(t *testing.T) {
	g := NewWithT(t)
	m := newMembership(nil, func() *config.Index { return nil }, zap.NewNop())
	store := &flakyVMs{reads: make(chan int)}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.followVMs(ctx, store, func() time.Duration { return time.Millisecond })
	}()
	for range 4 {
		g.Eventually(store.reads).Should(Receive())
	}
	incarnation := func() uint64 {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.vms["vm-1"].Incarnation
	}
	g.Eventually(incarnation).Should(Equal(uint64(3)))
	g.Eventually(store.reads).Should(Receive())
	cancel()
	g.Eventually(func() bool {
		select {
		case <-store.reads:
		case <-done:
			return true
		default:
		}
		return false
	}).Should(BeTrue())
}
