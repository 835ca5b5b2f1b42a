package config

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"fulmarspindle.example/fulmarspindle/platform"
)

const (
	// shardConcurrency bounds the calls about shards that run at once.
	shardConcurrency = 8
	// settleAttempts bounds the tries to settle an unknown outcome.
	settleAttempts = 8
	// settleDelay is the pause before the second try; it doubles.
	settleDelay = 50 * time.Millisecond
)

// Proposal is a configuration that an operator wants to put in force.
type Proposal struct {
	Inventory Inventory
	// Base is the generation that the proposal was edited from; zero for the
	// first configuration.
	Base   uint64
	Author string
	// ChangeID identifies the proposal. A repeated Apply with the same
	// ChangeID is accepted at most once. Empty makes Apply choose one.
	ChangeID string
}

// Publisher accepts configurations through the platform. It is safe for
// concurrent use, also by different processes.
type Publisher struct {
	store platform.Store
	now   func() time.Time
}

// NewPublisher returns a publisher that stamps heads with the given clock.
func NewPublisher(store platform.Store, now func() time.Time) *Publisher {
	return &Publisher{store: store, now: now}
}

// storedHead is the head object as it was read.
type storedHead struct {
	head    Head
	raw     []byte
	version platform.Version
}

// Apply puts a configuration in force and returns its head. Shards are written
// first; the conditional update of the head object is the acceptance. Errors:
// *InvalidError, *ConflictError if the base is not in force, ErrNotAccepted if
// the configuration surely is not in force, and ErrOutcomeUnknown. A proposal
// that changes nothing returns the head in force.
func (p *Publisher) Apply(ctx context.Context, proposal Proposal) (Head, error) {
	proposal.Inventory = withDefaults(proposal.Inventory)
	if proposal.ChangeID == "" {
		proposal.ChangeID = uuid.NewString()
	}
	current, err := p.readHead(ctx)
	if err != nil {
		return Head{}, err
	}
	if accepted, ok := p.acceptedBefore(ctx, proposal, current.head); ok {
		return accepted, nil
	}
	changes, err := p.check(ctx, proposal, current.head)
	if err != nil {
		return Head{}, err
	}
	if len(changes) == 0 && current.head.Generation > 0 {
		return current.head, nil
	}
	return p.publish(ctx, proposal, current)
}

// publish writes all that the head refers to, then the head.
func (p *Publisher) publish(ctx context.Context, proposal Proposal, current storedHead) (Head, error) {
	head, shards, err := Split(proposal.Inventory)
	if err != nil {
		return Head{}, err
	}
	head.Generation = current.head.Generation + 1
	head.ChangeID = proposal.ChangeID
	head.Author = proposal.Author
	head.Accepted = p.now().UTC()
	if err := p.keepHistory(ctx, current); err != nil {
		return Head{}, err
	}
	if err := p.writeShards(ctx, shards, current.head); err != nil {
		return Head{}, err
	}
	return p.accept(ctx, current, head)
}

// DryRun checks a proposal like Apply and returns what it would change.
func (p *Publisher) DryRun(ctx context.Context, proposal Proposal) ([]Change, error) {
	proposal.Inventory = withDefaults(proposal.Inventory)
	current, err := p.readHead(ctx)
	if err != nil {
		return nil, err
	}
	return p.check(ctx, proposal, current.head)
}

// Current returns the configuration in force, or ErrNoConfiguration.
func (p *Publisher) Current(ctx context.Context) (Head, Inventory, error) {
	current, err := p.readHead(ctx)
	if err != nil {
		return Head{}, Inventory{}, err
	}
	if current.head.Generation == 0 {
		return Head{}, Inventory{}, ErrNoConfiguration
	}
	inv, err := p.readInventory(ctx, current.head)
	return current.head, inv, err
}

// acceptedBefore finds the head of a proposal that an earlier Apply put in
// force, also when another has superseded it since.
func (p *Publisher) acceptedBefore(ctx context.Context, proposal Proposal, current Head) (Head, bool) {
	generation := proposal.Base + 1
	if current.Generation < generation {
		return Head{}, false
	}
	head := current
	if current.Generation > generation {
		kept, err := p.readHistory(ctx, generation)
		if err != nil {
			return Head{}, false
		}
		head = kept
	}
	return head, head.ChangeID == proposal.ChangeID
}

// check validates a proposal and returns what it changes.
func (p *Publisher) check(ctx context.Context, proposal Proposal, current Head) ([]Change, error) {
	if err := Validate(proposal.Inventory); err != nil {
		return nil, err
	}
	inv, err := p.readInventory(ctx, current)
	if err != nil {
		return nil, err
	}
	if current.Generation != proposal.Base {
		return nil, p.conflict(ctx, proposal.Base, current, inv)
	}
	return Diff(inv, proposal.Inventory), nil
}

// conflict returns a *ConflictError with what was accepted since the base. It
// leaves the changes out if the base is no longer kept.
func (p *Publisher) conflict(ctx context.Context, generation uint64, current Head, inv Inventory) error {
	conflict := &ConflictError{Current: current.Generation}
	base, err := p.readHistory(ctx, generation)
	if err != nil {
		return conflict
	}
	before, err := p.readInventory(ctx, base)
	if err != nil {
		return conflict
	}
	conflict.Changes = Diff(before, inv)
	return conflict
}

// accept updates the head object and settles a lost answer: the change id
// tells whether the update, or a later one on top of it, was applied. While
// the head is unchanged the update is repeated under the same condition, so a
// delayed first try cannot be applied as well.
func (p *Publisher) accept(ctx context.Context, current storedHead, head Head) (Head, error) {
	raw, err := formatHead(head)
	if err != nil {
		return Head{}, err
	}
	unknown := false
	delay := settleDelay
	for range settleAttempts {
		_, err = p.store.Put(ctx, HeadKey, raw, platform.IfVersion(current.version))
		switch {
		case err == nil:
			return head, nil
		case errors.Is(err, platform.ErrConflict):
			return p.settle(ctx, current.head, head, unknown)
		case errors.Is(err, platform.ErrOutcomeUnknown):
			unknown = true
		case !unknown:
			return Head{}, eris.Wrapf(ErrNotAccepted, "head: %v", err)
		}
		if !sleep(ctx, delay) {
			break
		}
		delay *= 2
	}
	return Head{}, eris.Wrapf(ErrOutcomeUnknown, "head: %v", err)
}

// settle finds out who changed the head object. Without an unknown outcome
// the change was not accepted, whatever can be read.
func (p *Publisher) settle(ctx context.Context, before, head Head, unknown bool) (Head, error) {
	failure := ErrNotAccepted
	if unknown {
		failure = ErrOutcomeUnknown
	}
	now, err := p.readHead(ctx)
	if err != nil {
		return Head{}, eris.Wrapf(failure, "reading the head back: %v", err)
	}
	winner := now.head
	if winner.Generation > head.Generation {
		winner, err = p.readHistory(ctx, head.Generation)
		if err != nil {
			return Head{}, eris.Wrapf(failure, "reading generation %d back: %v", head.Generation, err)
		}
	}
	if winner.ChangeID == head.ChangeID {
		return winner, nil
	}
	inv, err := p.readInventory(ctx, now.head)
	if err != nil {
		return Head{}, &ConflictError{Current: now.head.Generation}
	}
	return Head{}, p.conflict(ctx, before.Generation, now.head, inv)
}

// keepHistory stores a head that is about to be superseded. Each head in
// force is stored before its successor is accepted.
func (p *Publisher) keepHistory(ctx context.Context, current storedHead) error {
	if current.head.Generation == 0 {
		return nil
	}
	_, err := p.store.Put(ctx, historyKey(current.head.Generation), current.raw, platform.IfAbsent())
	if err == nil || errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return eris.Wrapf(ErrNotAccepted, "history: %v", err)
}

func (p *Publisher) writeShards(ctx context.Context, shards []Shard, current Head) error {
	held := make(map[Hash]bool, len(current.Shards))
	for _, hash := range current.Shards {
		held[hash] = true
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(shardConcurrency)
	for _, shard := range shards {
		if held[shard.Hash] {
			continue
		}
		group.Go(func() error { return p.writeShard(ctx, shard) })
	}
	return group.Wait()
}

// writeShard stores a shard. One that is there already is written again, which
// renews its time and version: Collect then leaves it alone.
func (p *Publisher) writeShard(ctx context.Context, shard Shard) error {
	_, err := p.store.Put(ctx, shardKey(shard.Hash), shard.Data, platform.IfAbsent())
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrOutcomeUnknown) {
		err = p.renewShard(ctx, shard)
	}
	if err == nil {
		return nil
	}
	return eris.Wrapf(ErrNotAccepted, "shard %s: %v", shard.Hash, err)
}

// renewShard writes a shard that is there already. Another renewal that comes
// first serves as well.
func (p *Publisher) renewShard(ctx context.Context, shard Shard) error {
	held, err := p.store.Get(ctx, shardKey(shard.Hash))
	if err != nil {
		return err
	}
	_, err = p.store.Put(ctx, shardKey(shard.Hash), shard.Data, platform.IfVersion(held.Version))
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
