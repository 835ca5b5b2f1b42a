package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/follower"
	"fulmarspindle.example/fulmarspindle/node"
)

// watchBatchPause is the delay after a change, so that the changes that follow soon
// after it arrive in one call.
const watchBatchPause = 300 * time.Millisecond

// storePart is a part of the store that this router keeps a copy of.
type storePart interface {
	// read reads the whole part and applies it. outageEnd is as in follower.Follower.
	read(ctx context.Context, outageEnd time.Time) error
	// watch waits for changes after the last answer, applies them and reports whether there
	// were any.
	watch(ctx context.Context) (changed bool, err error)
	// mustReread reports whether what is in force may not be the store's, which a watch
	// does not show.
	mustReread() bool
}

// follow keeps a part of the store up to date until ctx is canceled. It records contact with
// the store at contact.
func (g *Gateway) follow(ctx context.Context, name string, contact *time.Time, part storePart) {
	dep := dependency{name: name, log: g.log}
	f := follower.New(follower.Options{RetryDelay: g.options.StoreRetry, BatchPause: watchBatchPause})
	for ctx.Err() == nil {
		if !g.shouldWatchStore() {
			f.Reread()
			node.Pause(ctx, watchCheckInterval)
			continue
		}
		changed, err := callStore(ctx, f, part)
		result := g.options.Store.Classify(err)
		dep.reportResult(result, err)
		// A report must not claim contact with the store before it has the change.
		g.storeContact.recordWatch(contact, result)
		pause := f.Record(time.Now(), result, changed)
		if part.mustReread() {
			f.Reread()
		}
		if pause > 0 {
			node.Pause(ctx, pause)
		}
	}
}

// callStore makes the follower's next call. It reports whether the answer changed the copy.
func callStore(ctx context.Context, f *follower.Follower, part storePart) (bool, error) {
	if f.Next() == follower.Watch {
		return part.watch(ctx)
	}
	err := part.read(ctx, f.OutageEnd())
	return err == nil, err
}

// dependency logs when something that this process depends on is lost and regained.
type dependency struct {
	name string
	log  *zap.Logger
	lost bool
}

// reportResult is report for a call whose result is known. That a connection was lost or the
// history is gone does not show that the store is.
func (d *dependency) reportResult(result follower.Result, err error) {
	if result == follower.ConnectionLost || result == follower.HistoryGone {
		d.log.Info("store read again", zap.String("dependency", d.name), zap.Error(err))
		return
	}
	d.report(err)
}

func (d *dependency) report(err error) {
	switch {
	case err != nil && !d.lost:
		d.lost = true
		d.log.Warn("dependency lost", zap.String("dependency", d.name), zap.Error(err))
	case err == nil && d.lost:
		d.lost = false
		d.log.Info("dependency regained", zap.String("dependency", d.name))
	}
}
