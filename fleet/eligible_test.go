package fleet_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// reason returns the reason of a decision and checks that both results agree.
func reason(in fleet.Inputs) fleet.Reason {
	ok, why := fleet.Eligible(in)
	Expect(ok).To(Equal(why == fleet.ReasonNone))
	return why
}

// running returns the inputs of a healthy upstream on an incarnation of its VM.
func running(vm uint64) fleet.Inputs {
	return fleet.Inputs{
		Entry:   &fleet.VMEntry{Incarnation: vm},
		Sidecar: fleet.SidecarState{Incarnation: fleet.Incarnation(1000 + vm), VMIncarnation: vm},
		Healthy: true,
	}
}

var _ = Describe("Eligible", func() {
	DescribeTable("derives from the present inputs", func(change func(*fleet.Inputs), want fleet.Reason) {
		in := running(5)
		change(&in)
		Expect(reason(in)).To(Equal(want))
	},
		Entry("all well", func(*fleet.Inputs) {}, fleet.ReasonNone),
		Entry("VM list never read", func(in *fleet.Inputs) { in.Entry = nil }, fleet.ReasonNone),
		Entry("no session", func(in *fleet.Inputs) { in.Sidecar.Incarnation = 0 }, fleet.ReasonNotConnected),
		Entry("unhealthy", func(in *fleet.Inputs) { in.Healthy = false }, fleet.ReasonUnhealthy),
		Entry("list shows leaving", func(in *fleet.Inputs) { in.Entry.Leaving = true }, fleet.ReasonLeavingVM),
		Entry("list shows leaving, VM's incarnation unknown", func(in *fleet.Inputs) {
			in.Entry.Leaving = true
			in.Sidecar.VMIncarnation = 0
		}, fleet.ReasonLeavingVM),
		Entry("list shows an older one leaving", func(in *fleet.Inputs) {
			*in.Entry = fleet.VMEntry{Incarnation: 4, Leaving: true}
		}, fleet.ReasonNone),
		Entry("list shows a newer one", func(in *fleet.Inputs) { in.Entry.Incarnation = 6 }, fleet.ReasonReplaced),
		Entry("rule for any incarnation", func(in *fleet.Inputs) { in.Rule = &fleet.LeavingRule{} }, fleet.ReasonLeavingRule),
		Entry("rule for this incarnation", func(in *fleet.Inputs) { in.Rule = &fleet.LeavingRule{Incarnation: 5} }, fleet.ReasonLeavingRule),
		Entry("rule for an older incarnation", func(in *fleet.Inputs) { in.Rule = &fleet.LeavingRule{Incarnation: 4} }, fleet.ReasonNone),
		Entry("rule for an incarnation while none is known", func(in *fleet.Inputs) {
			in.Rule = &fleet.LeavingRule{Incarnation: 4}
			in.Entry = nil
			in.Sidecar.VMIncarnation = 0
		}, fleet.ReasonLeavingRule),
		Entry("rule outranked by the list alone", func(in *fleet.Inputs) {
			in.Rule = &fleet.LeavingRule{Incarnation: 4}
			in.Sidecar.VMIncarnation = 0
		}, fleet.ReasonNone),
		Entry("own drain", func(in *fleet.Inputs) { in.Sidecar.DrainingIncarnation = in.Sidecar.Incarnation }, fleet.ReasonDraining),
		Entry("drain of the process before", func(in *fleet.Inputs) {
			in.Sidecar.DrainingIncarnation = in.Sidecar.Incarnation - 1
		}, fleet.ReasonNone),
	)

	It("brings an upstream back ten times, whatever the lagging sources show", func() {
		var drained fleet.Incarnation
		for vm := uint64(1); vm <= 10; vm++ {
			in := running(vm)
			in.Sidecar.DrainingIncarnation = drained

			By("coming back while the list and the rules still speak of the VM before")
			for _, entry := range []*fleet.VMEntry{nil, {Incarnation: vm - 1, Leaving: true}, {Incarnation: vm - 1}, {Incarnation: vm}} {
				for _, rule := range []*fleet.LeavingRule{nil, {Incarnation: vm - 1}} {
					if rule != nil && rule.Incarnation == 0 {
						continue
					}
					in.Entry, in.Rule = entry, rule
					Expect(reason(in)).To(Equal(fleet.ReasonNone))
				}
			}

			By("leaving by any one source, while the others contradict it")
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
