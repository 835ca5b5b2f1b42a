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

	// maxTries bounds the head writes of one batch.
	maxTries = 16
	// maxSegments bounds the sealed segments of a head, which must stay far
	// below the store's limit of an object's value.
	maxSegments = 4096
	// maxParallelReads bounds the segment reads in flight.
	maxParallelReads = 8
)

// Config sets the limits of a Partition. Zero fields take the defaults.
type Config struct {
	// Partition is the index of the partition.
	Partition int
	// SegmentBytes is the size at which the current segment is sealed.
	SegmentBytes int
	// Retention is the age at which a sealed segment is dropped.
	Retention time.Duration
	// MaxBatch bounds the operations of one write, MaxPending those that wait
	// for the next ones, and MaxOrphans the releases kept through an outage.
	MaxBatch, MaxPending, MaxOrphans int
	// MinBackoff and MaxBackoff bound the time between two tries of a store
	// that is unavailable.
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
	// suspect is set when a write that held this claim had an unknown outcome.
	suspect bool
}

// Partition decides how the operations of one partition reach the store. At
// most one batch is in flight; operations submitted meanwhile form the next.
//
// Invariants:
//   - StatusClaimed is replied only after a confirmed write, or a read, of a
//     head that holds the attempt's claim.
//   - Every head write is conditional on the version whose records decided it.
//   - An attempt that got another reply than StatusClaimed and may be recorded
//     is an orphan until a head with another version than that of the unknown
//     write was seen; a claim found for it is released.
type Partition struct {
	cfg Config
	out []Action

	phase   phase
	batch   []entry
	pending []entry
	orphans []orphan
	// batchOrphans counts the orphans that belong to the batch, from the
	// oldest. Later ones may have held a claim after the batch's last read.
	batchOrphans int

	head     Head
	version  Version
	modified time.Time
	// loaded is set once a head was read, current while the version is known
	// to have been the newest since the batch began, and modifiedKnown while
	// modified belongs to version.
	loaded, current, modifiedKnown bool

	index    map[ScopeKey]int
	segments segmentCache
	garbage  []garbage

	plan    plan
	tries   int
	backoff time.Duration
	retryAt time.Time
}

// NewPartition returns a Partition that knows nothing of the store yet.
func NewPartition(cfg Config) *Partition {
	return &Partition{cfg: cfg.withDefaults(), segments: newSegmentCache()}
}

// Step handles an event at time now and returns the actions to take, in order.
func (p *Partition) Step(now time.Time, ev Event) []Action {
	p.out = nil
	switch ev := ev.(type) {
	case Submit:
		p.submit(now, ev)
	case SetRetention:
		p.setRetention(ev.Retention)
	case Tick:
		p.start(now)
	case ReadDone:
		p.adopt(ev)
		p.proceed(now)
	case ReadFailed, WriteUnavailable:
		p.fail(now)
	case SegmentRead, SegmentMissing, SegmentReadFailed:
		p.segmentAnswered(now, ev)
	case SegmentWritten:
		p.writeHead()
	case SegmentWriteFailed:
		p.retry(now)
	case WriteDone:
		p.writeDone(now, ev.Version)
	case WriteConflict:
		p.retry(now)
	case WriteUnknown:
		p.markSuspects()
		p.addGarbage(p.plan.dropped...)
		p.retry(now)
	}
	return p.out
}

func (p *Partition) setRetention(d time.Duration) {
	if d > 0 {
		p.cfg.Retention = d
	}
}

// NextWake returns when the next Tick is due, if one is.
func (p *Partition) NextWake() (time.Time, bool) {
	if p.phase != phaseIdle || len(p.orphans) == 0 {
		return time.Time{}, false
	}
	return p.retryAt, true
}

func (p *Partition) emit(a Action) {
	p.out = append(p.out, a)
}

func (p *Partition) reply(e entry, r Result) {
	if e.waiter != 0 {
		p.emit(Reply{Waiter: e.waiter, Result: r})
	}
}

// submit queues an operation, or refuses it at once while the store is
// unavailable or the queue is full.
func (p *Partition) submit(now time.Time, s Submit) {
	e := entry{op: s.Op, record: s.Record, waiter: s.Waiter}
	down := p.phase == phaseIdle && now.Before(p.retryAt)
	if down || len(p.pending) >= p.cfg.MaxPending {
		p.refuse(e, p.retryAfter(now))
		return
	}
	p.pending = append(p.pending, e)
	p.start(now)
}

func (p *Partition) retryAfter(now time.Time) time.Duration {
	return max(p.retryAt.Sub(now), p.cfg.MinBackoff)
}

// refuse replies that the store is unavailable. What may be recorded, or is to
// be released, is kept as an orphan.
func (p *Partition) refuse(e entry, retryAfter time.Duration) {
	if e.suspect || e.op == OpRelease {
		p.addOrphan(e)
	}
	p.reply(e, Result{Status: StatusUnavailable, RetryAfter: retryAfter})
}

// start begins the next batch, if none is in flight and there is work.
func (p *Partition) start(now time.Time) {
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
	p.current = false
	p.proceed(now)
}

// proceed takes the next step of the batch in flight.
func (p *Partition) proceed(now time.Time) {
	if !p.loaded {
		p.readHead()
		return
	}
	if p.readSegments() {
		return
	}
	p.plan = p.makePlan()
	switch {
	case !p.plan.write && p.current:
		p.finish(now)
	case !p.plan.write, p.plan.seal && !p.modifiedKnown:
		p.readHead()
	case p.plan.full:
		p.fail(now)
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
	p.addGarbage(garbage{key: p.plan.sealed.Key, version: p.version})
	p.emit(WriteSegment{Key: p.plan.sealed.Key, Records: p.head.Records})
}

func (p *Partition) writeHead() {
	p.phase = phaseWriting
	p.emit(WriteHead{Head: p.plan.head, IfVersion: p.version})
}

// retry reads the head back after a write that was not confirmed. A write with
// an unknown outcome can still be applied while the head has the version that
// the write is conditional on. No reply is given at that version: the batch is
// written again, and that write, or the one that beats it, moves the version.
func (p *Partition) retry(now time.Time) {
	p.tries++
	if p.tries >= maxTries {
		p.fail(now)
		return
	}
	p.readHead()
}

// adopt takes over a head that was read.
func (p *Partition) adopt(r ReadDone) {
	p.loaded, p.current, p.modifiedKnown = true, true, true
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
	p.collectGarbage()
}

// writeDone takes over the head that was written and ends the batch.
func (p *Partition) writeDone(now time.Time, v Version) {
	p.addGarbage(p.plan.dropped...)
	if p.plan.seal {
		p.segments.put(p.plan.sealed.Key, p.head.Records)
	}
	p.modifiedKnown = false
	p.setHead(p.plan.head, v)
	p.finish(now)
}

// finish gives the replies of the plan, which the store has confirmed.
func (p *Partition) finish(now time.Time) {
	for i, e := range p.batch {
		p.reply(e, p.plan.results[i])
	}
	p.orphans = p.orphans[p.batchOrphans:]
	p.batchOrphans = 0
	p.backoff = 0
	p.retryAt = time.Time{}
	p.idle(now)
}

// fail refuses everything that waits and backs off.
func (p *Partition) fail(now time.Time) {
	p.backoff = min(max(2*p.backoff, p.cfg.MinBackoff), p.cfg.MaxBackoff)
	p.retryAt = now.Add(p.backoff)
	refused := slices.Concat(p.batch, p.pending)
	p.pending = nil
	for _, e := range refused {
		p.refuse(e, p.backoff)
	}
	p.idle(now)
}

func (p *Partition) idle(now time.Time) {
	p.batch = nil
	p.plan = plan{}
	p.segments.trim()
	p.phase = phaseIdle
	p.start(now)
}
