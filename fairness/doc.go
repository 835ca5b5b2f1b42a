// Package fairness keeps the fleet-wide accounts of the service that each team
// received. It is pure: times go in with every call, and no call does I/O,
// starts a goroutine or reads a clock.
//
// A sidecar holds one Ledger for its service. It charges each request to its
// team, in normalized service (cost divided by the team's weight), and reports
// cumulative charges to the team's Keeper: the router that Assign chooses
// within the region. The Keeper answers with totals, and exchanges region sums
// with the keepers of the same team in other regions.
//
// Every message is cumulative, so that a lost, doubled or late one does no
// lasting harm. A keeper that starts empty is refilled by the next reports,
// because each carries an echo of the last total that its sender was told.
// Between two reports the Keeper tells of changed accounts by an Update, so that
// the accounts of all sidecars lag by the interval of the updates.
//
// A sidecar grants by a Draw instead of to the least account: until a new charge
// has reached them, all sidecars would grant to the same team. The odds are what
// the fleet owes each team.
//
// # Lift, floor, ceiling and virtual time
//
// An account is the sum of the regions' totals plus a lift, less what was
// waived. When a team asks for service again after none of its requests waited
// anywhere for an activity TTL, the lift raises its account to the virtual time,
// so that idleness earns no credit. A team whose requests keep waiting is owed
// the difference. A floor bounds its credit all the same: a team that uses less
// than its share and asks often is never idle, and would save it up without
// bound.
//
// The debt ceiling bounds the other side. A team that received more than the
// others while regions were cut from each other makes up for it by waiting; what
// puts its account above the ceiling is waived, so that the wait is bounded by
// the configured window.
//
// The ledger's virtual time is that of start-time fair queueing: the account
// at which the last granted request began, or the least account of the waiting
// teams if that is less, since a draw does not always grant to the least; and
// the largest account served once nothing waits or runs. A team that has
// requests in flight but none waiting does not hold it back; else a trickle of
// requests would hold it back for everybody.
package fairness
