package claim

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/platform"
)

// DefaultCallTimeout bounds one call of the store.
const DefaultCallTimeout = time.Second

// CommitterConfig sets up a Committer. Zero fields take the defaults.
type CommitterConfig struct {
	// Partitions is the partition count of the fleet.
	Partitions int
	// Partition holds the limits of each partition. Its index is not used.
	Partition Config
	// CallTimeout bounds one call of the store.
	CallTimeout time.Duration
	// Now returns the present time. The default is time.Now.
	Now func() time.Time
	Log *zap.Logger
}

// Committer records claims in a platform.Store. It is safe for concurrent use.
type Committer struct {
	cfg   CommitterConfig
	store platform.Store

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	drivers map[int]*driver
}

// NewCommitter returns a Committer. Close must be called to stop it.
func NewCommitter(store platform.Store, cfg CommitterConfig) *Committer {
	setDefault(&cfg.Partitions, DefaultPartitions)
	setDefault(&cfg.CallTimeout, DefaultCallTimeout)
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Committer{cfg: cfg, store: store, ctx: ctx, cancel: cancel, drivers: map[int]*driver{}}
}

// Claim records a claim. Only a result of StatusClaimed lets the attempt be
// dispatched. The other results are StatusAlreadyClaimed, with the record that
// holds the key, and StatusUnavailable with ErrUnavailable. The errors are
// ErrKeyReused, ErrUnavailable, ErrInvalidRecord, ErrClosed and the context's
// error. After any error the attempt must not be dispatched and its ID must not
// be used again; if it was recorded all the same, it is released later, unless
// the Committer was closed: then the key stays claimed by a lost attempt.
func (c *Committer) Claim(ctx context.Context, r Record) (Result, error) {
	if err := r.Validate(); err != nil {
		return Result{}, err
	}
	res, err := c.do(ctx, OpClaim, r)
	if err != nil {
		return res, err
	}
	switch res.Status {
	case StatusKeyReused:
		return res, eris.Wrapf(ErrKeyReused, "by attempt %s", res.Record.Attempt)
	case StatusUnavailable, StatusReleased:
		return res, eris.Wrapf(ErrUnavailable, "claim of attempt %s", r.Attempt)
	default:
		return res, nil
	}
}

// Release records that an attempt did not run and never will, so that its key
// can be claimed anew. After ErrUnavailable the release is tried again in the
// background while this process lives. It has no effect on other attempts.
func (c *Committer) Release(ctx context.Context, scope ScopeKey, id AttemptID) error {
	res, err := c.do(ctx, OpRelease, Record{Scope: scope, Attempt: id})
	if err == nil && res.Status == StatusUnavailable {
		err = eris.Wrapf(ErrUnavailable, "release of attempt %s", id)
	}
	return err
}

// Lookup returns the newest record of a key, or ErrNotClaimed. It reads the
// store.
func (c *Committer) Lookup(ctx context.Context, scope ScopeKey) (Record, error) {
	res, err := c.do(ctx, OpLookup, Record{Scope: scope})
	switch {
	case err != nil:
		return Record{}, err
	case res.Status == StatusNotFound:
		return Record{}, ErrNotClaimed
	case res.Status == StatusUnavailable:
		return Record{}, eris.Wrap(ErrUnavailable, "lookup")
	default:
		return res.Record, nil
	}
}

// SetRetention changes how long claims are kept, of all partitions. A value that
// is not positive is ignored.
func (c *Committer) SetRetention(d time.Duration) {
	if d <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg.Partition.Retention = d
	for _, d := range c.drivers {
		d.step(SetRetention{Retention: c.cfg.Partition.Retention})
	}
}

// Close stops the Committer and waits for its goroutines. Operations that wait
// end with ErrClosed.
func (c *Committer) Close() {
	c.mu.Lock()
	c.closed = true
	drivers := c.drivers
	c.mu.Unlock()
	c.cancel()
	for _, d := range drivers {
		d.close()
	}
	c.wg.Wait()
}

// do submits an operation and waits for its result.
func (c *Committer) do(ctx context.Context, op Op, r Record) (Result, error) {
	d, err := c.driver(r.Scope)
	if err != nil {
		return Result{}, err
	}
	id, result := d.submit(op, r)
	select {
	case res := <-result:
		return res, nil
	case <-c.ctx.Done():
		return Result{}, ErrClosed
	case <-ctx.Done():
	}
	if d.forget(id) {
		if op == OpClaim {
			d.step(Submit{Op: OpRelease, Record: r})
		}
		return Result{}, ctx.Err()
	}
	// The result came first.
	return <-result, nil
}

func (c *Committer) driver(scope ScopeKey) (*driver, error) {
	index := PartitionOf(scope, c.cfg.Partitions)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	d, ok := c.drivers[index]
	if !ok {
		d = newDriver(c, index)
		c.drivers[index] = d
	}
	return d, nil
}
