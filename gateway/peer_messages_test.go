package gateway

import (
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/admission"
)

// Guards against accounts of one team that are merged or mistaken for another team's when
// they are reported, whatever the names contain.
func TestAccountsKeepTeamAndHomeRegionsInReports(t *testing.T) {
	teams := admission.Usage{
		{Team: "a"}:                           {Requested: 8, Served: 4},
		{Team: "a", Regions: "r1"}:            {Requested: 4, Served: 2},
		{Team: "a", Regions: "r1,r2"}:         {Requested: 2, Served: 1},
		{Team: "a\x1fr1", Regions: "r1\x1fr"}: {Requested: 1, Served: 1},
	}
	report := reportFromWire(reportToWire("service", admission.Report{Full: true, Teams: teams}))
	NewWithT(t).Expect(report.Teams).To(Equal(teams))
}
