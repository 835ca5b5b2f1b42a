package fleet_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
)

var _ = DescribeTable("DistanceBetween",
	func(other fleet.Location, want fleet.Distance) {
		here := fleet.Location{Region: "r1", FailureDomain: "d1"}
		Expect(fleet.DistanceBetween(here, other)).To(Equal(want))
		Expect(fleet.DistanceBetween(other, here)).To(Equal(want))
	},
	Entry("the same failure domain", fleet.Location{Region: "r1", FailureDomain: "d1"}, fleet.SameFailureDomain),
	Entry("the same region", fleet.Location{Region: "r1", FailureDomain: "d2"}, fleet.SameRegion),
	Entry("another region", fleet.Location{Region: "r2", FailureDomain: "d3"}, fleet.OtherRegion),
)
