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
	"fulmarspindle.example/fulmarspindle/follower"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/platform"
)

// configGeneration is the metric of the generation of the configuration in force.
var configGeneration = expvar.NewInt("config_generation")

// platformRetryDelay is the delay before a failed read from the platform is retried.
const platformRetryDelay = 500 * time.Millisecond

// ConfigAdopterOptions configures a ConfigAdopter.
type ConfigAdopterOptions struct {
	Sessions *Sessions
	// Store is nil in processes that don't read from the platform.
	Store platform.Store
	Log   *zap.Logger
	// OnAdopt and OnBehind are called with the ConfigAdopter's lock held, so they must
	// not call methods that take it.
	OnAdopt  func(config.Snapshot)
	OnBehind func(behind bool)
}

// ConfigAdopter drives a config.Adopter: it passes events of the platform and of peers to
// it and performs its actions. It is safe for concurrent use.
type ConfigAdopter struct {
	opts     ConfigAdopterOptions
	snapshot atomic.Pointer[config.Snapshot]

	mu      sync.Mutex
	adopter *config.Adopter
	timer   *time.Timer
	ctx     context.Context
}

// NewConfigAdopter returns a ConfigAdopter without a configuration. Reads of shards from
// the platform end with ctx.
func NewConfigAdopter(ctx context.Context, opts ConfigAdopterOptions) *ConfigAdopter {
	a := &ConfigAdopter{
		opts:    opts,
		adopter: config.NewAdopter(config.AdopterOptions{HasPlatform: opts.Store != nil}),
		ctx:     ctx,
	}
	a.snapshot.Store(&config.Snapshot{})
	return a
}

// Snapshot returns the configuration in force. Its Index is nil if none has been adopted.
func (a *ConfigAdopter) Snapshot() *config.Snapshot { return a.snapshot.Load() }

// Index returns the index of the configuration in force, or nil if none has been adopted.
func (a *ConfigAdopter) Index() *config.Index { return a.snapshot.Load().Index }

// Generation returns the generation in force, or zero if none has been adopted.
func (a *ConfigAdopter) Generation() uint64 { return a.snapshot.Load().Generation }

// ObserveGeneration handles the generation that a peer's message carries.
func (a *ConfigAdopter) ObserveGeneration(s *peer.Session, generation uint64) {
	if generation > a.Generation() {
		a.step(config.PeerGeneration{Peer: s.ID(), Generation: generation})
	}
}

// HandlePeerLost handles the end of the session with a peer.
func (a *ConfigAdopter) HandlePeerLost(id fleet.NodeID) { a.step(config.PeerLost{Peer: id}) }

// HandleRequest responds to a peer's request for the configuration with the head and the
// shards that the peer lacks. Without a configuration there is no response.
func (a *ConfigAdopter) HandleRequest(s *peer.Session, req *peerpb.ConfigRequest) {
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

// HandleSnapshot handles the configuration that a peer sent.
func (a *ConfigAdopter) HandleSnapshot(s *peer.Session, m *peerpb.ConfigSnapshot) {
	head := config.HeadReceived{Head: m.GetHead(), From: s.ID()}
	for _, shard := range m.GetShards() {
		head.Shards = append(head.Shards, config.Shard{Hash: config.Hash(shard.GetHash()), Data: shard.GetData()})
	}
	a.step(head)
}

// WatchHead watches the head object of the platform until ctx ends.
func (a *ConfigAdopter) WatchHead(ctx context.Context) {
	f := follower.New(follower.Options{RetryDelay: platformRetryDelay})
	var since platform.Version
	for ctx.Err() == nil {
		next, err := a.followHead(ctx, f.Next(), since)
		if err != nil {
			a.opts.Log.Debug("reading the configuration head failed", zap.Error(err))
		} else {
			since = next
		}
		if pause := f.Record(time.Now(), platform.Classify(err), false); pause > 0 {
			Pause(ctx, pause)
		}
	}
}

// followHead makes a call of the follower and returns the version from which to watch next.
func (a *ConfigAdopter) followHead(ctx context.Context, call follower.Call, since platform.Version) (platform.Version, error) {
	if call == follower.Read {
		// A watch needs a version whose history the platform still has; the version of a
		// list is recent enough.
		_, version, err := a.opts.Store.List(ctx, config.HeadKey)
		if err != nil {
			return 0, err
		}
		return version, a.readHead(ctx)
	}
	entries, version, err := a.opts.Store.Watch(ctx, config.HeadKey, since)
	if err != nil || len(entries) == 0 {
		return version, err
	}
	return version, a.readHead(ctx)
}

// readHead reads the head object and adopts it. There may be none yet.
func (a *ConfigAdopter) readHead(ctx context.Context) error {
	object, err := a.opts.Store.Get(ctx, config.HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	a.step(config.HeadReceived{Head: object.Value})
	return nil
}

// step passes an event to the adopter and performs the resulting actions.
func (a *ConfigAdopter) step(ev config.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, action := range a.adopter.Step(time.Now(), ev) {
		a.perform(action)
	}
	a.scheduleTick()
}

func (a *ConfigAdopter) perform(action config.Action) {
	switch act := action.(type) {
	case config.FetchShards:
		for _, hash := range act.Hashes {
			go a.fetchShard(hash)
		}
	case config.RequestFromPeer:
		a.requestSnapshot(act)
	case config.Adopt:
		snapshot := act.Snapshot
		a.snapshot.Store(&snapshot)
		configGeneration.Set(int64(snapshot.Generation))
		a.opts.Log.Info("configuration adopted", zap.Uint64("generation", snapshot.Generation))
		a.opts.OnAdopt(snapshot)
		a.opts.Sessions.SendHeartbeats()
	case config.Behind:
		a.opts.Log.Error("configuration is behind", zap.Uint64("held", act.Held), zap.Uint64("known", act.Known))
		a.opts.OnBehind(true)
	case config.CaughtUp:
		a.opts.OnBehind(false)
	case config.Reject:
		a.opts.Log.Error("configuration refused", zap.String("from", string(act.From)), zap.Error(act.Err))
	}
}

func (a *ConfigAdopter) requestSnapshot(act config.RequestFromPeer) {
	req := &peerpb.ConfigRequest{}
	for _, hash := range act.Have {
		req.Have = append(req.Have, string(hash))
	}
	a.opts.Sessions.Send(act.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigRequest{ConfigRequest: req}})
}

func (a *ConfigAdopter) fetchShard(hash config.Hash) {
	object, err := a.opts.Store.Get(a.ctx, config.ShardPrefix+string(hash))
	if err != nil {
		a.opts.Log.Debug("reading a configuration shard failed", zap.Error(err))
		return
	}
	a.step(config.ShardReceived{Shard: config.Shard{Hash: hash, Data: object.Value}})
}

// scheduleTick schedules the next Tick event. The caller holds the lock.
func (a *ConfigAdopter) scheduleTick() {
	at, ok := a.adopter.NextWake()
	if !ok {
		return
	}
	delay := max(time.Until(at), 0)
	if a.timer == nil {
		a.timer = time.AfterFunc(delay, func() { a.step(config.Tick{}) })
		return
	}
	a.timer.Reset(delay)
}
