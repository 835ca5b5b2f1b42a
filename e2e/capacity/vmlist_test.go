package capacity

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
)

// TestVMListReads checks that six routers of a region share their reads of the VM
// list. Without sharing they would read it 60 times in ten seconds.
func TestVMListReads(t *testing.T) {
	g := NewWithT(t)
	const minReads = 10
	shape := harness.Topology{Regions: 1, Routers: 6, Engines: 1, Slots: 2, Teams: 1}
	f, err := harness.NewFleet(t.Context(), shape.Inventory(), harness.Options{})
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	g.Expect(f.Start(t.Context())).To(Succeed())
	reads := func() float64 { return vmListReads(t, f) }
	// The first reads precede the peer sessions, and so save no other router a read.
	updates := func() float64 { return vmListUpdates(t, f) }
	g.Eventually(updates, "30s").Should(BeNumerically(">=", 3*len(f.Routers)))
	start, startReads := time.Now(), reads()
	g.Eventually(reads, "30s").Should(BeNumerically(">=", startReads+minReads))
	g.Expect(time.Since(start)).To(BeNumerically(">", minReads/2*time.Second))

	vms := f.LiveVMs()
	for i := range vms {
		if vms[i].ID == string(f.Upstreams[0].VM.ID) {
			vms[i].State = "leaving"
		}
	}
	g.Expect(f.Platform.SetVMs(t.Context(), vms)).To(Succeed())
	// Every router learns of the change, most of them from the read of another one.
	for _, r := range f.Routers {
		g.Eventually(r.Process().Log, maxLeavingDelay).Should(ContainSubstring("leaving-vm"), string(r.ID))
	}
}

// maxLeavingDelay is how long a router may still dispatch requests to a VM that the
// list shows as leaving.
const maxLeavingDelay = 3 * time.Second

// vmListReads returns the number of reads of the VM list by all routers.
func vmListReads(t testing.TB, f *harness.Fleet) float64 {
	sum := 0.0
	for _, r := range f.Routers {
		sum += readUsage(t, r.Process(), r.AdminURL()).expvars.Platform["vms"]
	}
	return sum
}

// vmListUpdates returns the number of messages that passed a read of the VM list to
// another router.
func vmListUpdates(t testing.TB, f *harness.Fleet) float64 {
	sum := 0.0
	for _, r := range f.Routers {
		sum += readUsage(t, r.Process(), r.AdminURL()).expvars.Messages["vm_list"]
	}
	return sum
}
