package node

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/platform"
)

// generationInForce is the generation of the configuration in force.
var generationInForce = expvar.NewInt("config_generation")

// platformRetry is the pause after a failed read from the platform.
const platformRetry = 500 * time.Millisecond

// AdoptionOptions sets up an Adoption.
type AdoptionOptions struct {
	Sessions *Sessions
	// Store is nil for processes that do not read from the platform.
	Store platform.Store
	Log   *zap.Logger
	// OnAdopt and OnBehind are called with the adoption's lock held.
	OnAdopt  func(config.Snapshot)
	OnBehind func(behind bool)
}

// Adoption binds config.Adopter to the platform and to the peers.
type Adoption struct {
	opts     AdoptionOptions
	snapshot atomic.Pointer[config.Snapshot]

	mu      sync.Mutex
	adopter *config.Adopter
	wake    *time.Timer
	ctx     context.Context
}

// NewAdoption returns an Adoption that holds no configuration. Reads from the
// platform end with ctx.
func NewAdoption(ctx context.Context, opts AdoptionOptions) *Adoption {
	a := &Adoption{
		opts:    opts,
		adopter: config.NewAdopter(config.AdopterOptions{HasPlatform: opts.Store != nil}),
		ctx:     ctx,
	}
	a.snapshot.Store(&config.Snapshot{})
	return a
}

// Snapshot returns the configuration in force; its Index is nil before the
// first.
func (a *Adoption) Snapshot() *config.Snapshot { return a.snapshot.Load() }

// Index returns the index of the configuration in force, or nil.
func (a *Adoption) Index() *config.Index { return a.snapshot.Load().Index }

// Generation returns the generation in force, zero before the first.
func (a *Adoption) Generation() uint64 { return a.snapshot.Load().Generation }

// Observe takes note of the generation that a peer's message carries.
func (a *Adoption) Observe(s *peer.Session, generation uint64) {
	if generation > a.Generation() {
		a.step(config.PeerGeneration{Peer: s.ID(), Generation: generation})
	}
}

// Lost takes note of a closed session.
func (a *Adoption) Lost(id fleet.NodeID) { a.step(config.PeerLost{Peer: id}) }

// Request answers a peer's request for the configuration.
func (a *Adoption) Request(s *peer.Session, req *peerpb.ConfigRequest) {
	have := make([]config.Hash, 0, len(req.GetHave()))
	for _, h := range req.GetHave() {
		have = append(have, config.Hash(h))
	}
	a.mu.Lock()
	encoded := a.adopter.Encoded().Without(have)
	a.mu.Unlock()
	if len(encoded.Head) == 0 {
		return
	}
	out := &peerpb.ConfigSnapshot{Head: encoded.Head}
	for _, shard := range encoded.Shards {
		out.Shards = append(out.Shards, &peerpb.ConfigShard{Hash: string(shard.Hash), Data: shard.Data})
	}
	s.Send(&peerpb.Envelope{Body: &peerpb.Envelope_ConfigSnapshot{ConfigSnapshot: out}})
}

// Receive takes a peer's configuration.
func (a *Adoption) Receive(s *peer.Session, m *peerpb.ConfigSnapshot) {
	seen := config.HeadReceived{Head: m.GetHead(), From: s.ID()}
	for _, shard := range m.GetShards() {
		seen.Shards = append(seen.Shards, config.Shard{Hash: config.Hash(shard.GetHash()), Data: shard.GetData()})
	}
	a.step(seen)
}

// Watch follows the head object of the platform until ctx ends.
func (a *Adoption) Watch(ctx context.Context) {
	var since platform.Version
	known := false
	for ctx.Err() == nil {
		if !known {
			// The version of a list is recent: its history can't be gone.
			_, version, err := a.opts.Store.List(ctx, config.HeadKey)
			since = version
			known = err == nil && a.readHead(ctx)
			if !known {
				Pause(ctx, platformRetry)
				continue
			}
		}
		entries, version, err := a.opts.Store.Watch(ctx, config.HeadKey, since)
		if err != nil {
			known = false
			Pause(ctx, platformRetry)
			continue
		}
		since = version
		if len(entries) > 0 {
			known = a.readHead(ctx)
		}
	}
}

// readHead reads the head object. It reports whether the platform answered.
func (a *Adoption) readHead(ctx context.Context) bool {
	object, err := a.opts.Store.Get(ctx, config.HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return true
	}
	if err != nil {
		a.opts.Log.Debug("configuration head not read", zap.Error(err))
		return false
	}
	a.step(config.HeadReceived{Head: object.Value})
	return true
}

func (a *Adoption) step(ev config.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, action := range a.adopter.Step(time.Now(), ev) {
		a.perform(action)
	}
	a.arm()
}

func (a *Adoption) perform(action config.Action) {
	switch act := action.(type) {
	case config.FetchShards:
		for _, hash := range act.Hashes {
			go a.fetch(hash)
		}
	case config.RequestFromPeer:
		a.requestFrom(act)
	case config.Adopt:
		snapshot := act.Snapshot
		a.snapshot.Store(&snapshot)
		generationInForce.Set(int64(snapshot.Generation))
		a.opts.Log.Info("configuration adopted", zap.Uint64("generation", snapshot.Generation))
		a.opts.OnAdopt(snapshot)
		a.opts.Sessions.Announce()
	case config.Behind:
		a.opts.Log.Error("configuration is behind", zap.Uint64("held", act.Held), zap.Uint64("known", act.Known))
		a.opts.OnBehind(true)
	case config.CaughtUp:
		a.opts.OnBehind(false)
	case config.Reject:
		a.opts.Log.Error("configuration refused", zap.String("from", string(act.From)), zap.Error(act.Err))
	}
}

func (a *Adoption) requestFrom(act config.RequestFromPeer) {
	req := &peerpb.ConfigRequest{}
	for _, hash := range act.Have {
		req.Have = append(req.Have, string(hash))
	}
	a.opts.Sessions.Send(act.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigRequest{ConfigRequest: req}})
}

func (a *Adoption) fetch(hash config.Hash) {
	object, err := a.opts.Store.Get(a.ctx, config.ShardPrefix+string(hash))
	if err != nil {
		a.opts.Log.Debug("shard not read", zap.Error(err))
		return
	}
	a.step(config.ShardReceived{Shard: config.Shard{Hash: hash, Data: object.Value}})
}

func (a *Adoption) arm() {
	at, ok := a.adopter.NextWake()
	if !ok {
		return
	}
	delay := max(time.Until(at), 0)
	if a.wake == nil {
		a.wake = time.AfterFunc(delay, func() { a.step(config.Tick{}) })
		return
	}
	a.wake.Reset(delay)
}
