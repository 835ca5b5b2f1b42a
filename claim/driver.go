package claim

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/platform"
)

// driver connects one Partition to the store. Each store call runs in its own
// goroutine and passes its result to step. The Partition bounds the number of
// calls in flight.
type driver struct {
	committer *Committer
	index     int

	mu      sync.Mutex
	part    *Partition
	waiters map[WaiterID]chan Result
	lastID  WaiterID
	timer   *time.Timer
	closed  bool
}

func newDriver(c *Committer, index int) *driver {
	cfg := c.cfg.Partition
	cfg.Partition = index
	return &driver{committer: c, index: index, part: NewPartition(cfg), waiters: map[WaiterID]chan Result{}}
}

// submit starts an operation. Its result is sent to the returned channel, which
// is buffered so that the send never blocks.
func (d *driver) submit(op Op, r Record) (WaiterID, <-chan Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	id := d.lastID
	result := make(chan Result, 1)
	d.waiters[id] = result
	d.stepLocked(Submit{Op: op, Record: r, Waiter: id})
	return id, result
}

// cancelWait removes a waiter. It returns false if the result has already been
// sent.
func (d *driver) cancelWait(id WaiterID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.waiters[id]
	delete(d.waiters, id)
	return ok
}

func (d *driver) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.timer != nil {
		d.timer.Stop()
	}
}

func (d *driver) step(ev Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stepLocked(ev)
}

func (d *driver) stepLocked(ev Event) {
	if d.closed {
		return
	}
	now := d.committer.cfg.Now()
	for _, a := range d.part.Step(now, ev) {
		d.execute(a)
	}
	d.scheduleTick(now)
}

// scheduleTick sets the timer for the next Tick.
func (d *driver) scheduleTick(now time.Time) {
	if d.timer != nil {
		d.timer.Stop()
	}
	at, ok := d.part.NextWake()
	if !ok {
		return
	}
	d.timer = time.AfterFunc(at.Sub(now), func() { d.step(Tick{}) })
}

// execute performs an action.
func (d *driver) execute(a Action) {
	switch a := a.(type) {
	case Reply:
		if result, ok := d.waiters[a.Waiter]; ok {
			delete(d.waiters, a.Waiter)
			result <- a.Result
		}
	case DeleteSegment:
		d.callStore(func(ctx context.Context) Event { return d.deleteSegment(ctx, a) })
	case ReadHead:
		d.callStore(d.readHead)
	case WriteHead:
		d.callStore(func(ctx context.Context) Event { return d.writeHead(ctx, a) })
	case ReadSegment:
		d.callStore(func(ctx context.Context) Event { return d.readSegment(ctx, a) })
	case WriteSegment:
		d.callStore(func(ctx context.Context) Event { return d.writeSegment(ctx, a) })
	}
}

// callStore runs a store call in a goroutine and passes the resulting event, if
// any, to step.
func (d *driver) callStore(f func(context.Context) Event) {
	d.committer.wg.Go(func() {
		ctx, cancel := context.WithTimeout(d.committer.ctx, d.committer.cfg.CallTimeout)
		defer cancel()
		if ev := f(ctx); ev != nil {
			d.step(ev)
		}
	})
}

func (d *driver) readHead(ctx context.Context) Event {
	obj, err := d.committer.store.Get(ctx, HeadKey(d.index))
	if eris.Is(err, platform.ErrNotFound) {
		return ReadDone{}
	}
	if err != nil {
		d.warn("reading the head failed", HeadKey(d.index), err)
		return ReadFailed{}
	}
	head, err := DecodeHead(obj.Value)
	if err != nil {
		d.warn("the head is corrupt", HeadKey(d.index), err)
		return ReadFailed{}
	}
	return ReadDone{Head: head, Version: Version(obj.Version), Modified: obj.Modified}
}

func (d *driver) writeHead(ctx context.Context, a WriteHead) Event {
	value, err := EncodeHead(a.Head)
	if err != nil {
		d.warn("encoding the head failed", HeadKey(d.index), err)
		return WriteUnavailable{}
	}
	v, err := d.committer.store.Put(ctx, HeadKey(d.index), value, platform.IfVersion(platform.Version(a.IfVersion)))
	switch {
	case err == nil:
		return WriteDone{Version: Version(v)}
	case eris.Is(err, platform.ErrConflict):
		return WriteConflict{}
	case notApplied(err):
		d.warn("writing the head failed", HeadKey(d.index), err)
		return WriteUnavailable{}
	default:
		d.warn("the outcome of a head write is unknown", HeadKey(d.index), err)
		return WriteUnknown{}
	}
}

// notApplied reports whether an error proves that a write was not applied. Any
// other error, including an unrecognized one, leaves the outcome unknown.
func notApplied(err error) bool {
	return eris.Is(err, platform.ErrUnavailable) || eris.Is(err, platform.ErrTooLarge)
}

func (d *driver) readSegment(ctx context.Context, a ReadSegment) Event {
	obj, err := d.committer.store.Get(ctx, a.Key)
	if eris.Is(err, platform.ErrNotFound) {
		return SegmentMissing(a)
	}
	if err != nil {
		d.warn("reading a segment failed", a.Key, err)
		return SegmentReadFailed(a)
	}
	records, err := DecodeSegment(a.Key, obj.Value)
	if err != nil {
		d.warn("a segment is corrupt", a.Key, err)
		return SegmentReadFailed(a)
	}
	return SegmentRead{Key: a.Key, Records: records}
}

func (d *driver) writeSegment(ctx context.Context, a WriteSegment) Event {
	value, err := EncodeSegment(a.Records)
	if err != nil {
		d.warn("encoding a segment failed", a.Key, err)
		return SegmentWriteFailed{Key: a.Key}
	}
	_, err = d.committer.store.Put(ctx, a.Key, value, platform.IfAbsent())
	if err == nil || eris.Is(err, platform.ErrConflict) {
		return SegmentWritten{Key: a.Key}
	}
	d.warn("writing a segment failed", a.Key, err)
	return SegmentWriteFailed{Key: a.Key}
}

// deleteSegment deletes an unreferenced segment. A failed delete is not retried:
// the segment only takes up space.
func (d *driver) deleteSegment(ctx context.Context, a DeleteSegment) Event {
	err := d.committer.store.Delete(ctx, a.Key, platform.Condition{})
	if err != nil && !eris.Is(err, platform.ErrNotFound) {
		d.warn("deleting a segment failed", a.Key, err)
	}
	return nil
}

func (d *driver) warn(msg, key string, err error) {
	if d.committer.ctx.Err() != nil {
		return
	}
	d.committer.cfg.Log.Warn(msg, zap.String("key", key), zap.Error(err))
}
