package config

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"fulmarspindle.example/fulmarspindle/platform"
)

const (
	// historyLimit is the number of superseded heads that are retained. A conflict with
	// an older base is reported without the changes since.
	historyLimit = 64
	// shardGracePeriod is the minimum age of a shard before it is deleted. It is longer
	// than any call of Apply takes from writing its shards to writing its head.
	shardGracePeriod = time.Hour
	// collectRate and collectBurst limit the deletions per second of one call of
	// Collect and their burst size.
	collectRate  = 50
	collectBurst = 50
)

// deleter deletes objects at a limited rate for one call of Collect.
type deleter struct {
	store   platform.Store
	limiter *rate.Limiter
}

// Collect deletes the oldest superseded heads, and the shards that neither the head in
// force nor a retained one references. It never deletes a shard that a running call of
// Apply is about to reference: that shard is younger than the grace period, or has been
// rewritten and no longer has the version on which the deletion is conditional. Several
// processes may run Collect at once.
func (p *Publisher) Collect(ctx context.Context) error {
	d := &deleter{store: p.store, limiter: rate.NewLimiter(collectRate, collectBurst)}
	current, err := p.readHead(ctx)
	if err != nil || current.head.Generation == 0 {
		return err
	}
	shards, _, err := p.store.List(ctx, ShardPrefix)
	if err != nil {
		return eris.Wrap(err, "config: cannot list shards")
	}
	referenced, err := p.collectHistory(ctx, d, current.head.Generation)
	if err != nil {
		return err
	}
	addReferences(referenced, current.head)
	cutoff := p.now().Add(-shardGracePeriod)
	for _, entry := range shards {
		hash := Hash(strings.TrimPrefix(entry.Key, ShardPrefix))
		if referenced[hash] || entry.Modified.After(cutoff) {
			continue
		}
		if err := d.remove(ctx, entry); err != nil {
			return err
		}
	}
	return nil
}

// collectHistory deletes old superseded heads and returns the shards that the retained
// ones reference.
func (p *Publisher) collectHistory(ctx context.Context, d *deleter, current uint64) (map[Hash]bool, error) {
	entries, _, err := p.store.List(ctx, HistoryPrefix)
	if err != nil {
		return nil, eris.Wrap(err, "config: cannot list the history")
	}
	referenced := make(map[Hash]bool)
	for _, entry := range entries {
		generation, err := strconv.ParseUint(strings.TrimPrefix(entry.Key, HistoryPrefix), 10, 64)
		if err != nil {
			continue
		}
		if generation+historyLimit < current {
			err = d.remove(ctx, entry)
		} else {
			err = p.addHistoryReferences(ctx, generation, referenced)
		}
		if err != nil {
			return nil, err
		}
	}
	return referenced, nil
}

func (p *Publisher) addHistoryReferences(ctx context.Context, generation uint64, referenced map[Hash]bool) error {
	head, err := p.readHistory(ctx, generation)
	if err != nil {
		return err
	}
	addReferences(referenced, head)
	return nil
}

func (d *deleter) remove(ctx context.Context, entry platform.Entry) error {
	if err := d.limiter.Wait(ctx); err != nil {
		return eris.Wrap(err, "config: collection interrupted")
	}
	err := d.store.Delete(ctx, entry.Key, platform.IfVersion(entry.Version))
	if err == nil || errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return eris.Wrapf(err, "config: cannot delete %s", entry.Key)
}

func addReferences(referenced map[Hash]bool, head Head) {
	for _, hash := range head.Shards {
		referenced[hash] = true
	}
}
