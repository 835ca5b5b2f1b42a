package claim

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/platform"
)

// DefaultCallTimeout is the default timeout of one store call.
const DefaultCallTimeout = time.Second

// CommitterConfig configures a Committer. Fields that are zero take the defaults.
type CommitterConfig struct {
	// Partitions is the number of partitions. It must be the same on all routers
	// of the fleet.
	Partitions int
	// Partition holds the limits of each partition. Its Partition field, the
	// index, is ignored.
	Partition Config
	// CallTimeout is the timeout of one store call.
	CallTimeout time.Duration
	// Now returns the current time. The default is time.Now.
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

// Claim records a claim. The attempt may be dispatched only if the result is
// StatusClaimed. The other results are StatusAlreadyClaimed, with the record that
// holds the key, and StatusUnavailable with ErrUnavailable. The errors are
// ErrKeyReused, ErrUnavailable, ErrInvalidRecord, ErrClosed and the context's
// error. After any error the attempt must not be dispatched and its ID must not
// be used again. If the claim was recorded despite the error, it is released
// later, unless the Committer was closed: then the key stays claimed by an
// attempt that was never dispatched.
func (c *Committer) Claim(ctx context.Context, r Record) (Result, error) {
	if err := r.Validate(); err != nil {
		return Result{}, err
	}
	res, err := c.submitAndWait(ctx, OpClaim, r)
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
// can be claimed again. After ErrUnavailable the release is retried in the
// background until the Committer is closed. It has no effect on the claims of
// other attempts.
func (c *Committer) Release(ctx context.Context, scope ScopeKey, id AttemptID) error {
	res, err := c.submitAndWait(ctx, OpRelease, Record{Scope: scope, Attempt: id})
	if err == nil && res.Status == StatusUnavailable {
		err = eris.Wrapf(ErrUnavailable, "release of attempt %s", id)
	}
	return err
}

// Lookup reads the newest record of a key from the store. It returns
// ErrNotClaimed if there is none.
func (c *Committer) Lookup(ctx context.Context, scope ScopeKey) (Record, error) {
	res, err := c.submitAndWait(ctx, OpLookup, Record{Scope: scope})
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

// SetRetention changes how long claims are kept in all partitions. A value that
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

// Close stops the Committer and waits for its goroutines. Pending operations
// return ErrClosed.
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

// submitAndWait submits an operation and waits for its result.
func (c *Committer) submitAndWait(ctx context.Context, op Op, r Record) (Result, error) {
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
	if d.cancelWait(id) {
		if op == OpClaim {
			d.step(Submit{Op: OpRelease, Record: r})
		}
		return Result{}, ctx.Err()
	}
	// The result was sent before the context ended.
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
