package peer

import "fulmarspindle.example/fulmarspindle/peer/peerpb"

// checkAccounts checks the messages between account keepers and sidecars. Entries are relative
// to the virtual time of their message, so an unsound one voids them all.
func (o leftOut) checkAccounts(env *peerpb.Envelope) {
	virtualTime := 0.0
	switch b := env.Body.(type) {
	case *peerpb.Envelope_AccountReport:
		virtualTime = b.AccountReport.GetVirtualTime()
		b.AccountReport.Entries = keep(o, "account_entry", b.AccountReport.Entries, soundEntry)
	case *peerpb.Envelope_AccountTotals:
		virtualTime = b.AccountTotals.GetVirtualTime()
		b.AccountTotals.Totals = keep(o, "account_total", b.AccountTotals.Totals, soundTotal)
	case *peerpb.Envelope_AccountUpdate:
		virtualTime = b.AccountUpdate.GetVirtualTime()
		b.AccountUpdate.Bases = keep(o, "account_base", b.AccountUpdate.Bases, soundBase)
	case *peerpb.Envelope_RegionSums:
		virtualTime = b.RegionSums.GetVirtualTime()
		b.RegionSums.Sums = keep(o, "region_sum", b.RegionSums.Sums, soundSum)
		if !isName(b.RegionSums.GetRegion()) || !isName(b.RegionSums.GetService()) {
			o.dropBody(env)
		}
	}
	if env.Body != nil && !isAmount(virtualTime) {
		o.dropBody(env)
	}
}

func areAmounts(values ...float64) bool {
	for _, v := range values {
		if !isAmount(v) {
			return false
		}
	}
	return true
}

func soundEntry(e *peerpb.AccountEntry) bool {
	echo := e.GetEcho()
	return isName(e.GetTeam()) && isCount(e.GetCharged()) &&
		areAmounts(echo.GetRegionTotal(), echo.GetFleetTotal(), echo.GetChargedIncluded(), echo.GetLift(), echo.GetWaived())
}

func soundTotal(t *peerpb.AccountTotal) bool {
	return isName(t.GetTeam()) && areAmounts(t.GetRegionTotal(), t.GetFleetTotal(), t.GetLift(), t.GetWaived())
}

func soundBase(b *peerpb.AccountBase) bool { return isName(b.GetTeam()) && isAmount(b.GetBase()) }

func soundSum(s *peerpb.RegionSum) bool {
	return isName(s.GetTeam()) && areAmounts(s.GetTotal(), s.GetLift(), s.GetWaived())
}
