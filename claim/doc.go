// Package claim makes non-idempotent requests run at most once.
//
// Before a router dispatches such a request, it records a claim for the
// request's scope key (team, service, Idempotency-Key) in the platform's object
// API. Each scope key belongs to one partition, and every claim of a partition
// is a conditional update of that partition's head object. The version check
// of the head is the only fence: owners may disagree, pause and resume.
//
// Partition is the state machine that decides what to read and write. It has
// no I/O and no clock. Committer binds partitions to a platform.Store. Answers
// keeps the answers of this router's attempts in memory, and Decide tells what
// becomes of a repeated key.
package claim
