package claim

import (
	"slices"
	"time"
)

// Defaults and limits of a Partition.
const (
	DefaultSegmentBytes = 64 << 10
	DefaultRetention    = 24 * time.Hour
	DefaultMaxBatch     = 128
	DefaultMaxPending   = 1024
	DefaultMaxOrphans   = 256
	DefaultMinBackoff   = 50 * time.Millisecond
	DefaultMaxBackoff   = 2 * time.Second

	// maxTries bounds the tries of one batch. A try ends with a head or segment
	// write that was not confirmed, or with a segment that no longer exists.
	maxTries = 16
	// maxSegments bounds the sealed segments of a head. It keeps the head far
	// below the store's size limit for a value.
	maxSegments = 4096
	// maxParallelReads bounds the segment reads in flight.
	maxParallelReads = 8
)

// Config sets the index and the limits of a Partition. Limits that are zero take
// the defaults.
type Config struct {
	// Partition is the index of the partition.
	Partition int
	// SegmentBytes is the size at which the current segment is sealed.
	SegmentBytes int
	// Retention is the age at which a sealed segment is dropped.
	Retention time.Duration
	// MaxBatch bounds the operations of one batch, MaxPending the operations
	// queued for later batches, and MaxOrphans the attempts to release that are
	// kept during an outage.
	MaxBatch, MaxPending, MaxOrphans int
	// MinBackoff and MaxBackoff bound the exponential backoff while the store is
	// unavailable.
	MinBackoff, MaxBackoff time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.SegmentBytes, DefaultSegmentBytes)
	setDefault(&c.Retention, DefaultRetention)
	setDefault(&c.MaxBatch, DefaultMaxBatch)
	setDefault(&c.MaxPending, DefaultMaxPending)
	setDefault(&c.MaxOrphans, DefaultMaxOrphans)
	setDefault(&c.MinBackoff, DefaultMinBackoff)
	setDefault(&c.MaxBackoff, DefaultMaxBackoff)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

type phase int

const (
	phaseIdle phase = iota
	phaseReadingHead
	phaseReadingSegments
	phaseSealing
	phaseWriting
)

// entry is a submitted operation.
type entry struct {
	op     Op
	record Record
	waiter WaiterID
	// mayBeRecorded is set when a head write that contains this claim had an
	// unknown outcome.
	mayBeRecorded bool
}

// Partition is the state machine that applies the operations of one partition to
// the store. It groups operations into batches. At most one batch is in flight;
// operations submitted meanwhile are queued for the next one.
//
// Invariants:
//   - StatusClaimed is replied only after a confirmed write, or a read, of a
//     head that contains the attempt's claim.
//   - Every head write is conditional on the version whose records it is based on.
//   - An attempt that may be recorded but got a reply other than StatusClaimed is
//     an orphan until a head with a version other than that of the write of
//     unknown outcome is seen. A claim found for an orphan is released.
type Partition struct {
	cfg     Config
	actions []Action

	phase   phase
	batch   []entry
	pending []entry
	orphans []orphan
	// batchOrphans counts the oldest orphans, which the batch processes. Orphans
	// added later wait for the next batch: their claims may have been recorded
	// after this batch last read the head.
	batchOrphans int

	head     Head
	version  Version
	modified time.Time
	// loaded is set once a head has been read. headIsNewest is set while version is
	// known to have been the newest at some time since the batch started.
	// modifiedKnown is set while modified belongs to version.
	loaded, headIsNewest, modifiedKnown bool

	index              map[ScopeKey]int
	segments           segmentCache
	deletionCandidates []deletionCandidate

	plan    plan
	tries   int
	backoff time.Duration
	retryAt time.Time
}

// NewPartition returns a Partition that has not read the store yet.
func NewPartition(cfg Config) *Partition {
	return &Partition{cfg: cfg.withDefaults(), segments: newSegmentCache()}
}

// Step handles an event at time now and returns the actions to perform, in order.
func (p *Partition) Step(now time.Time, ev Event) []Action {
	p.actions = nil
	switch ev := ev.(type) {
	case Submit:
		p.submit(now, ev)
	case SetRetention:
		p.setRetention(ev.Retention)
	case Tick:
		p.startBatch(now)
	case ReadDone:
		p.applyHeadRead(ev)
		p.advanceBatch(now)
	case ReadFailed, WriteUnavailable:
		p.failBatch(now)
	case SegmentRead, SegmentMissing, SegmentReadFailed:
		p.segmentReadDone(now, ev)
	case SegmentWritten:
		p.writeHead()
	case SegmentWriteFailed:
		p.rereadHead(now)
	case WriteDone:
		p.writeDone(now, ev.Version)
	case WriteConflict:
		p.rereadHead(now)
	case WriteUnknown:
		p.markClaimsUncertain()
		p.addDeletionCandidates(p.plan.dropped...)
		p.rereadHead(now)
	}
	return p.actions
}

func (p *Partition) setRetention(d time.Duration) {
	if d > 0 {
		p.cfg.Retention = d
	}
}

// NextWake returns the time at which the next Tick is due. It reports false if
// none is due.
func (p *Partition) NextWake() (time.Time, bool) {
	if p.phase != phaseIdle || len(p.orphans) == 0 {
		return time.Time{}, false
	}
	return p.retryAt, true
}

func (p *Partition) emit(a Action) {
	p.actions = append(p.actions, a)
}

func (p *Partition) reply(e entry, r Result) {
	if e.waiter != 0 {
		p.emit(Reply{Waiter: e.waiter, Result: r})
	}
}

// submit queues an operation. It rejects the operation immediately during backoff
// or if the queue is full.
func (p *Partition) submit(now time.Time, s Submit) {
	e := entry{op: s.Op, record: s.Record, waiter: s.Waiter}
	down := p.phase == phaseIdle && now.Before(p.retryAt)
	if down || len(p.pending) >= p.cfg.MaxPending {
		p.reject(e, p.backoffRemaining(now))
		return
	}
	p.pending = append(p.pending, e)
	p.startBatch(now)
}

func (p *Partition) backoffRemaining(now time.Time) time.Duration {
	return max(p.retryAt.Sub(now), p.cfg.MinBackoff)
}

// reject replies that the store is unavailable. An operation that may be recorded,
// or is a release, is kept as an orphan.
func (p *Partition) reject(e entry, retryAfter time.Duration) {
	if e.mayBeRecorded || e.op == OpRelease {
		p.addOrphan(e)
	}
	p.reply(e, Result{Status: StatusUnavailable, RetryAfter: retryAfter})
}

// startBatch starts the next batch if none is in flight, the backoff is over and
// there is work.
func (p *Partition) startBatch(now time.Time) {
	if p.phase != phaseIdle || now.Before(p.retryAt) {
		return
	}
	if len(p.pending) == 0 && len(p.orphans) == 0 {
		return
	}
	n := min(len(p.pending), p.cfg.MaxBatch)
	p.batch = slices.Clone(p.pending[:n])
	p.pending = slices.Clone(p.pending[n:])
	p.batchOrphans = len(p.orphans)
	p.tries = 0
	p.headIsNewest = false
	p.advanceBatch(now)
}

// advanceBatch performs the next step of the batch in flight.
func (p *Partition) advanceBatch(now time.Time) {
	if !p.loaded {
		p.readHead()
		return
	}
	if p.readSegments() {
		return
	}
	p.plan = p.buildPlan()
	switch {
	case !p.plan.write && p.headIsNewest:
		p.completeBatch(now)
	case !p.plan.write, p.plan.seal && !p.modifiedKnown:
		p.readHead()
	case p.plan.full:
		p.failBatch(now)
	case p.plan.seal:
		p.sealSegment()
	default:
		p.writeHead()
	}
}

func (p *Partition) readHead() {
	p.phase = phaseReadingHead
	p.emit(ReadHead{})
}

func (p *Partition) sealSegment() {
	p.phase = phaseSealing
	p.addDeletionCandidates(deletionCandidate{key: p.plan.sealed.Key, version: p.version})
	p.emit(WriteSegment{Key: p.plan.sealed.Key, Records: p.head.Records})
}

func (p *Partition) writeHead() {
	p.phase = phaseWriting
	p.emit(WriteHead{Head: p.plan.head, IfVersion: p.version})
}

// rereadHead reads the head again after a write that was not confirmed. A write of
// unknown outcome can still be applied while the head has the version that the
// write is conditional on, so the batch gets no reply at that version. It is
// written again, and either that write or a concurrent one changes the version.
func (p *Partition) rereadHead(now time.Time) {
	p.tries++
	if p.tries >= maxTries {
		p.failBatch(now)
		return
	}
	p.readHead()
}

// applyHeadRead makes the head that was read current.
func (p *Partition) applyHeadRead(r ReadDone) {
	p.loaded, p.headIsNewest, p.modifiedKnown = true, true, true
	p.setHead(r.Head, r.Version)
	p.modified = r.Modified
}

func (p *Partition) setHead(h Head, v Version) {
	p.head, p.version = h, v
	p.index = make(map[ScopeKey]int, len(h.Records))
	for i, r := range h.Records {
		p.index[r.Scope] = i
	}
	p.segments.retain(h)
	p.deleteUnreferenced()
}

// writeDone makes the written head current and completes the batch.
func (p *Partition) writeDone(now time.Time, v Version) {
	p.addDeletionCandidates(p.plan.dropped...)
	if p.plan.seal {
		p.segments.put(p.plan.sealed.Key, p.head.Records)
	}
	p.modifiedKnown = false
	p.setHead(p.plan.head, v)
	p.completeBatch(now)
}

// completeBatch sends the results of the plan, which the store has confirmed.
func (p *Partition) completeBatch(now time.Time) {
	for i, e := range p.batch {
		p.reply(e, p.plan.results[i])
	}
	p.orphans = p.orphans[p.batchOrphans:]
	p.batchOrphans = 0
	p.backoff = 0
	p.retryAt = time.Time{}
	p.endBatch(now)
}

// failBatch rejects the operations of the batch and the queue, and starts a
// backoff.
func (p *Partition) failBatch(now time.Time) {
	p.backoff = min(max(2*p.backoff, p.cfg.MinBackoff), p.cfg.MaxBackoff)
	p.retryAt = now.Add(p.backoff)
	rejected := slices.Concat(p.batch, p.pending)
	p.pending = nil
	for _, e := range rejected {
		p.reject(e, p.backoff)
	}
	p.endBatch(now)
}

func (p *Partition) endBatch(now time.Time) {
	p.batch = nil
	p.plan = plan{}
	p.segments.evictDecoded()
	p.phase = phaseIdle
	p.startBatch(now)
}
