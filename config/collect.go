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
	// historyKept is the count of superseded generations that conflicts can be
	// explained from.
	historyKept = 64
	// shardGrace is the least age of a shard that is deleted. It is longer
	// than any Apply takes between its shards and its head.
	shardGrace = time.Hour
	// collectRate bounds the deletions a second of one Collect, and
	// collectBurst those that follow each other at once.
	collectRate  = 50
	collectBurst = 50
)

// collector is one run of Collect.
type collector struct {
	store   platform.Store
	limiter *rate.Limiter
}

// Collect deletes superseded heads beyond those that are kept, and the shards
// that neither the head in force nor a kept one names. A shard that an Apply
// is about to name is never deleted: it is younger than the grace period, or
// was written again and no longer has the version that the deletion demands.
// Collect may run in several processes at once.
func (p *Publisher) Collect(ctx context.Context) error {
	c := &collector{store: p.store, limiter: rate.NewLimiter(collectRate, collectBurst)}
	current, err := p.readHead(ctx)
	if err != nil || current.head.Generation == 0 {
		return err
	}
	shards, _, err := p.store.List(ctx, ShardPrefix)
	if err != nil {
		return eris.Wrap(err, "config: cannot list shards")
	}
	named, err := p.collectHistory(ctx, c, current.head.Generation)
	if err != nil {
		return err
	}
	addHashes(named, current.head)
	deadline := p.now().Add(-shardGrace)
	for _, entry := range shards {
		hash := Hash(strings.TrimPrefix(entry.Key, ShardPrefix))
		if named[hash] || entry.Modified.After(deadline) {
			continue
		}
		if err := c.remove(ctx, entry); err != nil {
			return err
		}
	}
	return nil
}

// collectHistory deletes old superseded heads and returns the shards that the
// kept ones name.
func (p *Publisher) collectHistory(ctx context.Context, c *collector, current uint64) (map[Hash]bool, error) {
	entries, _, err := p.store.List(ctx, HistoryPrefix)
	if err != nil {
		return nil, eris.Wrap(err, "config: cannot list the history")
	}
	named := make(map[Hash]bool)
	for _, entry := range entries {
		generation, err := strconv.ParseUint(strings.TrimPrefix(entry.Key, HistoryPrefix), 10, 64)
		if err != nil {
			continue
		}
		if generation+historyKept < current {
			err = c.remove(ctx, entry)
		} else {
			err = p.nameHistory(ctx, generation, named)
		}
		if err != nil {
			return nil, err
		}
	}
	return named, nil
}

func (p *Publisher) nameHistory(ctx context.Context, generation uint64, named map[Hash]bool) error {
	head, err := p.readHistory(ctx, generation)
	if err != nil {
		return err
	}
	addHashes(named, head)
	return nil
}

func (c *collector) remove(ctx context.Context, entry platform.Entry) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return eris.Wrap(err, "config: collection stopped")
	}
	err := c.store.Delete(ctx, entry.Key, platform.IfVersion(entry.Version))
	if err == nil || errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return eris.Wrapf(err, "config: cannot delete %s", entry.Key)
}

func addHashes(named map[Hash]bool, head Head) {
	for _, hash := range head.Shards {
		named[hash] = true
	}
}
