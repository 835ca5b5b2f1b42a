// Package claim ensures that a non-idempotent request runs at most once.
//
// Before a router dispatches such a request, it records a claim for the
// request's scope key (team, service, Idempotency-Key) in the platform's object
// API. Each scope key belongs to one partition, and every claim in a partition
// is a conditional update of that partition's head object. The version check on
// the head is the only fencing: any router may write any partition, and may
// pause and resume at any time with a stale view of it.
//
// Partition is a state machine that decides what to read and write. It does no
// I/O and has no clock. Committer connects partitions to a platform.Store.
// ResponseCache keeps the responses of this router's attempts in memory, and
// Decide determines how to handle a request whose key already has a claim.
package claim
