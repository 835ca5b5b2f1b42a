// Package fairness maintains the fleet-wide accounts of the service that each
// team received. It does no I/O, starts no goroutines and reads no clock; the
// caller passes the current time with every call.
//
// Each sidecar holds one Ledger for its service. The ledger charges every request
// to its team in normalized service (cost divided by the team's weight) and
// reports cumulative charges to the team's Keeper: the router that AssignKeeper
// selects within the region. The Keeper answers with totals and exchanges region
// sums with the keepers of the same team in other regions.
//
// Every message is cumulative, so that lost, duplicated and delayed messages do
// no lasting harm. A keeper that starts empty restores its totals from the next
// reports, each of which carries an echo of the last total that its sender
// received. Between reports the Keeper sends changed accounts in an Update, so
// that the accounts of all sidecars lag by the update interval only.
//
// A sidecar grants by a Lottery rather than to the team with the least account:
// until a new charge has propagated, all sidecars would grant to the same team.
// A team's probability is proportional to what the fleet owes it.
//
// # Lift, floor, ceiling and virtual time
//
// An account is the sum of the regions' totals plus a lift, minus a waived
// amount. When a team becomes backlogged again after none of its requests waited
// anywhere for an activity TTL, the lift raises its account to the virtual time,
// so that idle time earns no credit. A team that stays backlogged is owed the
// difference. A floor still bounds its credit: a team that uses less than its
// share but sends requests often is never idle, and would accumulate credit
// without bound.
//
// The debt ceiling is the opposite bound. A team that received more service than
// the others during a partition between regions has to wait until they have
// caught up; the part of its account above the ceiling is waived, so that the
// wait is bounded by the configured window.
//
// The ledger's virtual time is that of start-time fair queueing: the account
// at which the last granted request began, or the least account of the waiting
// teams if that is smaller, since the lottery does not always pick the least; and
// the largest account served once no request waits or runs. A team with requests
// in flight but none waiting does not hold it back; otherwise a low rate of
// requests by one team would hold it back for all teams.
package fairness
