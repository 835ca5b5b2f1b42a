package fleet_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// reason returns the reason of Eligible and checks that both of its results agree.
func reason(in fleet.EligibilityInputs) fleet.Reason {
	ok, why := fleet.Eligible(in)
	Expect(ok).To(Equal(why == fleet.ReasonNone))
	return why
}

// running returns the inputs of a healthy upstream on the given incarnation of its VM.
func running(vm uint64) fleet.EligibilityInputs {
	return fleet.EligibilityInputs{
		Entry:   &fleet.VMEntry{Incarnation: vm},
		Sidecar: fleet.SidecarState{Incarnation: fleet.Incarnation(1000 + vm), VMIncarnation: vm},
		Healthy: true,
	}
}

var _ = Describe("Eligible", func() {
	DescribeTable("depends only on the current inputs", func(change func(*fleet.EligibilityInputs), want fleet.Reason) {
		in := running(5)
		change(&in)
		Expect(reason(in)).To(Equal(want))
	},
		Entry("healthy upstream", func(*fleet.EligibilityInputs) {}, fleet.ReasonNone),
		Entry("VM list never read", func(in *fleet.EligibilityInputs) { in.Entry = nil }, fleet.ReasonNone),
		Entry("no session", func(in *fleet.EligibilityInputs) { in.Sidecar.Incarnation = 0 }, fleet.ReasonNotConnected),
		Entry("unhealthy", func(in *fleet.EligibilityInputs) { in.Healthy = false }, fleet.ReasonUnhealthy),
		Entry("VM list shows leaving", func(in *fleet.EligibilityInputs) { in.Entry.Leaving = true }, fleet.ReasonLeavingVM),
		Entry("VM list shows leaving, sidecar does not know the VM's incarnation", func(in *fleet.EligibilityInputs) {
			in.Entry.Leaving = true
			in.Sidecar.VMIncarnation = 0
		}, fleet.ReasonLeavingVM),
		Entry("VM list shows an older incarnation leaving", func(in *fleet.EligibilityInputs) {
			*in.Entry = fleet.VMEntry{Incarnation: 4, Leaving: true}
		}, fleet.ReasonNone),
		Entry("VM list shows a newer incarnation", func(in *fleet.EligibilityInputs) { in.Entry.Incarnation = 6 }, fleet.ReasonReplaced),
		Entry("rule for any incarnation", func(in *fleet.EligibilityInputs) { in.Rule = &fleet.LeavingRule{} }, fleet.ReasonLeavingRule),
		Entry("rule for this incarnation", func(in *fleet.EligibilityInputs) { in.Rule = &fleet.LeavingRule{Incarnation: 5} }, fleet.ReasonLeavingRule),
		Entry("rule for an older incarnation", func(in *fleet.EligibilityInputs) { in.Rule = &fleet.LeavingRule{Incarnation: 4} }, fleet.ReasonNone),
		Entry("rule for an incarnation while the current one is unknown", func(in *fleet.EligibilityInputs) {
			in.Rule = &fleet.LeavingRule{Incarnation: 4}
			in.Entry = nil
			in.Sidecar.VMIncarnation = 0
		}, fleet.ReasonLeavingRule),
		Entry("rule for an older incarnation than the VM list shows, sidecar does not know it", func(in *fleet.EligibilityInputs) {
			in.Rule = &fleet.LeavingRule{Incarnation: 4}
			in.Sidecar.VMIncarnation = 0
		}, fleet.ReasonNone),
		Entry("process is draining", func(in *fleet.EligibilityInputs) { in.Sidecar.DrainingIncarnation = in.Sidecar.Incarnation }, fleet.ReasonDraining),
		Entry("previous process was draining", func(in *fleet.EligibilityInputs) {
			in.Sidecar.DrainingIncarnation = in.Sidecar.Incarnation - 1
		}, fleet.ReasonNone),
	)

	It("brings an upstream back ten times, whatever the lagging sources show", func() {
		var drained fleet.Incarnation
		for vm := uint64(1); vm <= 10; vm++ {
			in := running(vm)
			in.Sidecar.DrainingIncarnation = drained

			By("returning while the VM list and the rules still name the previous incarnation")
			for _, entry := range []*fleet.VMEntry{nil, {Incarnation: vm - 1, Leaving: true}, {Incarnation: vm - 1}, {Incarnation: vm}} {
				for _, rule := range []*fleet.LeavingRule{nil, {Incarnation: vm - 1}} {
					if rule != nil && rule.Incarnation == 0 {
						continue
					}
					in.Entry, in.Rule = entry, rule
					Expect(reason(in)).To(Equal(fleet.ReasonNone))
				}
			}

			By("leaving by any single source while the others contradict it")
			in.Entry, in.Rule = &fleet.VMEntry{Incarnation: vm}, &fleet.LeavingRule{Incarnation: vm}
			Expect(reason(in)).To(Equal(fleet.ReasonLeavingRule))
			in.Entry, in.Rule = &fleet.VMEntry{Incarnation: vm, Leaving: true}, nil
			Expect(reason(in)).To(Equal(fleet.ReasonLeavingVM))
			in.Entry = &fleet.VMEntry{Incarnation: vm - 1}
			drained = in.Sidecar.Incarnation
			in.Sidecar.DrainingIncarnation = drained
			Expect(reason(in)).To(Equal(fleet.ReasonDraining))
		}
	})
})
