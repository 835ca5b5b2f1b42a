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
//
// # Lift and virtual time
//
// An account is the sum of the regions' totals plus a lift. When a team asks
// for service again after none of its requests waited anywhere for an activity
// TTL, the lift raises its account to the virtual time, so that idleness earns
// no credit. A team whose requests keep waiting is never lifted: it is owed the
// difference.
//
// The ledger's virtual time is that of start-time fair queueing: the account
// of the team that was last granted, before the grant was charged, and the
// largest account served once nothing waits or runs. It equals the least
// account of the waiting teams whenever the least is granted. A team that has
// requests in flight but none waiting does not hold it back; else a trickle of
// requests would hold it back for everybody.
package fairness
