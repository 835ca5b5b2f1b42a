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
	// shardConcurrency limits the concurrent reads or writes of shards.
	shardConcurrency = 8
	// acceptAttempts limits the attempts to write the head if the outcome is unknown.
	acceptAttempts = 8
	// acceptRetryDelay is the delay before the second attempt. It doubles with each
	// attempt.
	acceptRetryDelay = 50 * time.Millisecond
)

// Proposal is a configuration that an operator proposes to put in force.
type Proposal struct {
	Inventory Inventory
	// Base is the generation that the proposal is based on; zero for the first
	// configuration.
	Base   uint64
	Author string
	// ChangeID identifies the proposal. Repeated calls of Apply with the same
	// ChangeID are accepted at most once. If empty, Apply generates one.
	ChangeID string
}

// Publisher puts configurations in force through the platform's object API. It is safe
// for concurrent use, also by several processes.
type Publisher struct {
	store platform.Store
	now   func() time.Time
}

// NewPublisher returns a Publisher. It uses now as the clock for the acceptance time of
// heads and the age of shards.
func NewPublisher(store platform.Store, now func() time.Time) *Publisher {
	return &Publisher{store: store, now: now}
}

// storedHead is a head object as read from the store.
type storedHead struct {
	head    Head
	raw     []byte
	version platform.Version
}

// Apply puts a configuration in force and returns its head. It writes the shards first;
// the conditional update of the head object accepts the configuration. A proposal
// without changes returns the head in force.
//
// Apply returns an *InvalidError, a *ConflictError if the base is not in force,
// ErrNotAccepted if the configuration is known not to be in force, or ErrOutcomeUnknown.
func (p *Publisher) Apply(ctx context.Context, proposal Proposal) (Head, error) {
	proposal.Inventory = withDefaults(proposal.Inventory)
	if proposal.ChangeID == "" {
		proposal.ChangeID = uuid.NewString()
	}
	current, err := p.readHead(ctx)
	if err != nil {
		return Head{}, err
	}
	if accepted, ok := p.findAccepted(ctx, proposal, current.head); ok {
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

// publish writes everything that the new head depends on, and then the head.
func (p *Publisher) publish(ctx context.Context, proposal Proposal, current storedHead) (Head, error) {
	head, shards, err := Split(proposal.Inventory)
	if err != nil {
		return Head{}, err
	}
	head.Generation = current.head.Generation + 1
	head.ChangeID = proposal.ChangeID
	head.Author = proposal.Author
	head.Accepted = p.now().UTC()
	if err := p.storeHistory(ctx, current); err != nil {
		return Head{}, err
	}
	if err := p.writeShards(ctx, shards, current.head); err != nil {
		return Head{}, err
	}
	return p.accept(ctx, current, head)
}

// DryRun validates a proposal like Apply and returns the changes it would make.
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

// findAccepted returns the head of a proposal that an earlier call of Apply put in force,
// even if it has been superseded since.
func (p *Publisher) findAccepted(ctx context.Context, proposal Proposal, current Head) (Head, bool) {
	generation := proposal.Base + 1
	if current.Generation < generation {
		return Head{}, false
	}
	head := current
	if current.Generation > generation {
		superseded, err := p.readHistory(ctx, generation)
		if err != nil {
			return Head{}, false
		}
		head = superseded
	}
	return head, head.ChangeID == proposal.ChangeID
}

// check validates a proposal and returns its changes.
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

// conflict returns a *ConflictError with the changes accepted since the base generation.
// It omits the changes if the base is no longer stored.
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

// accept updates the head object. If the response is lost, it retries the update under
// the same condition, so that a delayed earlier attempt cannot be applied as well. If the
// head has changed, the change ID of this generation shows whether an earlier attempt was
// applied, even if a later change has superseded it.
func (p *Publisher) accept(ctx context.Context, current storedHead, head Head) (Head, error) {
	raw, err := formatHead(head)
	if err != nil {
		return Head{}, err
	}
	unknown := false
	delay := acceptRetryDelay
	for range acceptAttempts {
		_, err = p.store.Put(ctx, HeadKey, raw, platform.IfVersion(current.version))
		switch {
		case err == nil:
			return head, nil
		case errors.Is(err, platform.ErrConflict):
			return p.resolveConflict(ctx, current.head, head, unknown)
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

// resolveConflict determines which change was accepted after the update of the head
// object failed its condition. unknown reports whether an earlier attempt had an unknown
// outcome. If not, this change was not accepted, even if reading back fails.
func (p *Publisher) resolveConflict(ctx context.Context, before, head Head, unknown bool) (Head, error) {
	failure := ErrNotAccepted
	if unknown {
		failure = ErrOutcomeUnknown
	}
	latest, err := p.readHead(ctx)
	if err != nil {
		return Head{}, eris.Wrapf(failure, "reading the head back: %v", err)
	}
	winner := latest.head
	if winner.Generation > head.Generation {
		winner, err = p.readHistory(ctx, head.Generation)
		if err != nil {
			return Head{}, eris.Wrapf(failure, "reading generation %d back: %v", head.Generation, err)
		}
	}
	if winner.ChangeID == head.ChangeID {
		return winner, nil
	}
	inv, err := p.readInventory(ctx, latest.head)
	if err != nil {
		return Head{}, &ConflictError{Current: latest.head.Generation}
	}
	return Head{}, p.conflict(ctx, before.Generation, latest.head, inv)
}

// storeHistory stores the current head under its generation before its successor is
// accepted.
func (p *Publisher) storeHistory(ctx context.Context, current storedHead) error {
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

// writeShard stores a shard. An existing one is rewritten, which renews its modification
// time and version so that Collect does not delete it.
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

// renewShard rewrites an existing shard. A conflict means that another call has just
// rewritten it, which has the same effect.
func (p *Publisher) renewShard(ctx context.Context, shard Shard) error {
	object, err := p.store.Get(ctx, shardKey(shard.Hash))
	if err != nil {
		return err
	}
	_, err = p.store.Put(ctx, shardKey(shard.Hash), shard.Data, platform.IfVersion(object.Version))
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// sleep waits for delay. It returns false if ctx ends first.
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
