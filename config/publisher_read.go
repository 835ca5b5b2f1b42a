package config

import (
	"context"
	"errors"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"fulmarspindle.example/fulmarspindle/platform"
)

// readHead reads the head object. It returns the zero value if there is none, and
// ErrNotAccepted if the read fails, because nothing has been written at that point.
func (p *Publisher) readHead(ctx context.Context) (storedHead, error) {
	object, err := p.store.Get(ctx, HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return storedHead{}, nil
	}
	if err != nil {
		return storedHead{}, eris.Wrapf(ErrNotAccepted, "reading the head: %v", err)
	}
	head, err := ParseHead(object.Value)
	if err != nil {
		return storedHead{}, err
	}
	return storedHead{head: head, raw: object.Value, version: object.Version}, nil
}

// readHistory reads the head of a superseded generation. The head of generation zero is
// the zero value.
func (p *Publisher) readHistory(ctx context.Context, generation uint64) (Head, error) {
	if generation == 0 {
		return Head{}, nil
	}
	object, err := p.store.Get(ctx, historyKey(generation))
	if err != nil {
		return Head{}, eris.Wrapf(err, "config: history of generation %d", generation)
	}
	return ParseHead(object.Value)
}

// readInventory reads and joins the shards of a head. The inventory of the zero head is
// empty.
func (p *Publisher) readInventory(ctx context.Context, head Head) (Inventory, error) {
	var mu sync.Mutex
	shards := make(map[Hash][]byte, len(head.Shards))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(shardConcurrency)
	for _, hash := range head.Shards {
		group.Go(func() error {
			object, err := p.store.Get(ctx, shardKey(hash))
			if err != nil {
				return eris.Wrapf(ErrNotAccepted, "reading shard %s: %v", hash, err)
			}
			mu.Lock()
			defer mu.Unlock()
			shards[hash] = object.Value
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return Inventory{}, err
	}
	return Join(head, shards)
}
