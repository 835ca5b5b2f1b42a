package fairness

import "fulmarspindle.example/fulmarspindle/fleet"

// Echo is the last total of a team that a reporter received. The zero value means
// that it has received none.
type Echo struct {
	// Keeper is the incarnation of the keeper that sent the total.
	Keeper fleet.Incarnation
	// RegionTotal is the region's total, in normalized service.
	RegionTotal float64
	// FleetTotal is the total over all regions, without the lift.
	FleetTotal float64
	// ChargedIncluded is the part of the reporter's own charges that
	// RegionTotal includes.
	ChargedIncluded float64
	// Lift is the lift of the account, and Waived the amount deducted from it.
	Lift   float64
	Waived float64
	// Stale is false only if the team had waiting requests in the report that
	// the total answers and has not been idle since.
	Stale bool
}

// TeamReport is the state of one team at a reporter.
type TeamReport struct {
	Team fleet.TeamID
	// Charged is the cumulative normalized service that this incarnation of the
	// reporter has charged.
	Charged float64
	// Active is set if the team has waiting requests.
	Active bool
	// Echo is the last total that a keeper sent for this team.
	Echo Echo
}

// Report carries the charges of one sidecar.
type Report struct {
	// Seq increases with every report of an incarnation.
	Seq uint64
	// VirtualTime is the reporter's virtual time; 0 means unknown.
	VirtualTime float64
	Teams       []TeamReport
}

// TeamTotal is a keeper's total for one team.
type TeamTotal struct {
	Team        fleet.TeamID
	RegionTotal float64
	Lift        float64
	Waived      float64
	FleetTotal  float64
}

// account returns the team's account in normalized service.
func (t TeamTotal) account() float64 { return t.FleetTotal + t.Lift - t.Waived }

// Totals answers a Report.
type Totals struct {
	ReportSeq uint64
	// Keeper is the incarnation of the keeper that answers.
	Keeper      fleet.Incarnation
	VirtualTime float64
	Teams       []TeamTotal
}

// RegionSum is one region's total for one team.
type RegionSum struct {
	Team   fleet.TeamID
	Total  float64
	Lift   float64
	Waived float64
	Active bool
}

// RegionSums carries region totals to the keepers of other regions.
type RegionSums struct {
	Region fleet.RegionID
	// Keeper is the incarnation of the sending keeper.
	Keeper fleet.Incarnation
	// Seq increases with every message of an incarnation.
	Seq uint64
	// VirtualTime is the virtual time of the sending keeper.
	VirtualTime float64
	Teams       []RegionSum
}
