package capacity

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
)

// TestVMListReads has six routers of a region share their reads of the VM list.
// Without sharing they read it 60 times in ten seconds.
func TestVMListReads(t *testing.T) {
	g := NewWithT(t)
	const reads = 10
	shape := harness.Topology{Regions: 1, Routers: 6, Engines: 1, Slots: 2, Teams: 1}
	f, err := harness.NewFleet(t.Context(), shape.Inventory(), harness.Options{})
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	g.Expect(f.Start(t.Context())).To(Succeed())
	count := func() float64 { return vmListReads(t, f) }
	// The first reads come ahead of the sessions and put nobody off.
	shared := func() float64 { return vmListUpdates(t, f) }
	g.Eventually(shared, "30s").Should(BeNumerically(">=", 3*len(f.Routers)))
	began, start := time.Now(), count()
	g.Eventually(count, "30s").Should(BeNumerically(">=", start+reads))
	g.Expect(time.Since(began)).To(BeNumerically(">", reads/2*time.Second))

	vms := f.LiveVMs()
	for i := range vms {
		if vms[i].ID == string(f.Upstreams[0].VM.ID) {
			vms[i].State = "leaving"
		}
	}
	g.Expect(f.Platform.SetVMs(t.Context(), vms)).To(Succeed())
	// Each router learns of it, most from another one's read.
	for _, r := range f.Routers {
		g.Eventually(r.Process().Log, leavingBound).Should(ContainSubstring("leaving-vm"), string(r.ID))
	}
}

// leavingBound is how long a router may give work to a VM that the list shows
// as leaving.
const leavingBound = 3 * time.Second

func vmListReads(t testing.TB, f *harness.Fleet) float64 {
	sum := 0.0
	for _, r := range f.Routers {
		sum += read(t, r.Process(), r.AdminURL()).vars.Platform["vms"]
	}
	return sum
}

// vmListUpdates returns the count of messages that shared a read.
func vmListUpdates(t testing.TB, f *harness.Fleet) float64 {
	sum := 0.0
	for _, r := range f.Routers {
		sum += read(t, r.Process(), r.AdminURL()).vars.Messages["vm_list"]
	}
	return sum
}
