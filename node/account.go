package node

import (
	"fulmarspindle.example/fulmarspindle/fairness"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// AccountReportToProto converts a sidecar's account report to its message.
func AccountReportToProto(r fairness.Report) *peerpb.AccountReport {
	out := &peerpb.AccountReport{Seq: r.Seq, VirtualTime: r.VirtualTime}
	for _, t := range r.Teams {
		entry := &peerpb.AccountEntry{
			Team:    string(t.Team),
			Charged: t.Charged,
			Active:  t.Active,
		}
		if t.Echo != (fairness.Echo{}) {
			entry.Echo = accountEchoToProto(t.Echo)
		}
		out.Entries = append(out.Entries, entry)
	}
	return out
}

func accountEchoToProto(e fairness.Echo) *peerpb.AccountEcho {
	return &peerpb.AccountEcho{
		KeeperIncarnation: uint64(e.Keeper),
		RegionTotal:       e.RegionTotal,
		FleetTotal:        e.FleetTotal,
		ChargedIncluded:   e.ChargedIncluded,
		Lift:              e.Lift,
		Waived:            e.Waived,
		Stale:             e.Stale,
	}
}

// AccountReportFromProto converts a message to a sidecar's account report.
func AccountReportFromProto(m *peerpb.AccountReport) fairness.Report {
	r := fairness.Report{Seq: m.GetSeq(), VirtualTime: m.GetVirtualTime()}
	for _, e := range m.GetEntries() {
		r.Teams = append(r.Teams, fairness.TeamReport{
			Team:    fleet.TeamID(e.GetTeam()),
			Charged: e.GetCharged(),
			Active:  e.GetActive(),
			Echo: fairness.Echo{
				Keeper:          fleet.Incarnation(e.GetEcho().GetKeeperIncarnation()),
				RegionTotal:     e.GetEcho().GetRegionTotal(),
				FleetTotal:      e.GetEcho().GetFleetTotal(),
				ChargedIncluded: e.GetEcho().GetChargedIncluded(),
				Lift:            e.GetEcho().GetLift(),
				Waived:          e.GetEcho().GetWaived(),
				Stale:           e.GetEcho().GetStale(),
			},
		})
	}
	return r
}

// AccountTotalsToProto converts a keeper's account totals to their message.
func AccountTotalsToProto(t fairness.Totals) *peerpb.AccountTotals {
	out := &peerpb.AccountTotals{
		ReportSeq:         t.ReportSeq,
		KeeperIncarnation: uint64(t.Keeper),
		VirtualTime:       t.VirtualTime,
	}
	for _, team := range t.Teams {
		out.Totals = append(out.Totals, &peerpb.AccountTotal{
			Team:        string(team.Team),
			RegionTotal: team.RegionTotal,
			Lift:        team.Lift,
			Waived:      team.Waived,
			FleetTotal:  team.FleetTotal,
		})
	}
	return out
}

// AccountTotalsFromProto converts a message to a keeper's account totals.
func AccountTotalsFromProto(m *peerpb.AccountTotals) fairness.Totals {
	t := fairness.Totals{
		ReportSeq:   m.GetReportSeq(),
		Keeper:      fleet.Incarnation(m.GetKeeperIncarnation()),
		VirtualTime: m.GetVirtualTime(),
	}
	for _, team := range m.GetTotals() {
		t.Teams = append(t.Teams, fairness.TeamTotal{
			Team:        fleet.TeamID(team.GetTeam()),
			RegionTotal: team.GetRegionTotal(),
			Lift:        team.GetLift(),
			Waived:      team.GetWaived(),
			FleetTotal:  team.GetFleetTotal(),
		})
	}
	return t
}

// RegionSumsToProto converts a region's sums of one service to their message.
func RegionSumsToProto(service fleet.ServiceID, s fairness.RegionSums) *peerpb.RegionSums {
	out := &peerpb.RegionSums{
		Region:            string(s.Region),
		Service:           string(service),
		Seq:               s.Seq,
		VirtualTime:       s.VirtualTime,
		KeeperIncarnation: uint64(s.Keeper),
	}
	for _, t := range s.Teams {
		out.Sums = append(out.Sums, &peerpb.RegionSum{
			Team:   string(t.Team),
			Total:  t.Total,
			Lift:   t.Lift,
			Waived: t.Waived,
			Active: t.Active,
		})
	}
	return out
}

// RegionSumsFromProto converts a message to a region's sums.
func RegionSumsFromProto(m *peerpb.RegionSums) fairness.RegionSums {
	s := fairness.RegionSums{
		Region:      fleet.RegionID(m.GetRegion()),
		Keeper:      fleet.Incarnation(m.GetKeeperIncarnation()),
		Seq:         m.GetSeq(),
		VirtualTime: m.GetVirtualTime(),
	}
	for _, t := range m.GetSums() {
		s.Teams = append(s.Teams, fairness.RegionSum{
			Team:   fleet.TeamID(t.GetTeam()),
			Total:  t.GetTotal(),
			Lift:   t.GetLift(),
			Waived: t.GetWaived(),
			Active: t.GetActive(),
		})
	}
	return s
}

// AccountUpdateToProto converts a keeper's account update to its message.
func AccountUpdateToProto(u fairness.Update) *peerpb.AccountUpdate {
	out := &peerpb.AccountUpdate{VirtualTime: u.VirtualTime}
	for _, t := range u.Teams {
		out.Bases = append(out.Bases, &peerpb.AccountBase{Team: string(t.Team), Base: t.Base, Seq: t.Seq})
	}
	return out
}

// AccountUpdateFromProto converts a message to a keeper's account update.
func AccountUpdateFromProto(m *peerpb.AccountUpdate) fairness.Update {
	u := fairness.Update{VirtualTime: m.GetVirtualTime()}
	for _, b := range m.GetBases() {
		u.Teams = append(u.Teams, fairness.TeamUpdate{
			Team: fleet.TeamID(b.GetTeam()),
			Base: b.GetBase(),
			Seq:  b.GetSeq(),
		})
	}
	return u
}
