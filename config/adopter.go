package config

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/fleet"
)

const (
	// DefaultBehindTimeout is how long a process may know of a newer generation
	// without adopting it before it is behind.
	DefaultBehindTimeout = 10 * time.Second
	// DefaultRetryInterval is the interval between requests for missing data.
	DefaultRetryInterval = 500 * time.Millisecond
	// maxCandidates limits the number of incomplete configurations.
	maxCandidates = 4
	// maxKnownGenerations limits the newer generations that are tracked.
	maxKnownGenerations = 64
)

// AdopterOptions configure an Adopter. Zero durations select the defaults.
type AdopterOptions struct {
	// HasPlatform reports whether the process can read from the platform.
	HasPlatform   bool
	BehindTimeout time.Duration
	RetryInterval time.Duration
}

// Adopter decides which accepted configuration a process holds. It only moves to higher
// generations, and only once it has all shards with the hashes listed in the head. It
// performs no I/O: the driver passes events to Step and performs the returned actions. It
// is not safe for concurrent use.
//
// It also determines whether the process is behind, which it is if it has known of a
// newer generation for BehindTimeout without adopting it. A process that merely cannot
// reach the platform is not behind.
type Adopter struct {
	options  AdopterOptions
	snapshot Snapshot
	encoded  Encoded
	// decoded holds the decoded shards of the snapshot.
	decoded map[Hash]shardContent
	// candidates are sorted by generation. All are newer than the snapshot.
	candidates []*candidate
	// highestUndecodable is the highest generation that could not be decoded.
	highestUndecodable uint64
	// peers holds the highest generation known to be held by each peer.
	peers map[fleet.NodeID]uint64
	// knownGenerations are the known generations newer than the snapshot, sorted by
	// generation and time.
	knownGenerations []knownGeneration
	behind           bool
	// peerCursor selects the peer for the next request.
	peerCursor int
	// highestRequested is the highest generation known at the last request.
	highestRequested uint64
	retryAt          time.Time
}

// candidate is a configuration whose shards may be incomplete.
type candidate struct {
	head         Head
	raw          []byte
	shards       map[Hash][]byte
	fromPlatform bool
}

// knownGeneration is a generation and the time at which it became known.
type knownGeneration struct {
	generation uint64
	since      time.Time
	// claimedBy is the peer that named the generation first; empty if its head was received.
	claimedBy fleet.NodeID
}

// NewAdopter returns an Adopter that holds no configuration.
func NewAdopter(options AdopterOptions) *Adopter {
	if options.BehindTimeout == 0 {
		options.BehindTimeout = DefaultBehindTimeout
	}
	if options.RetryInterval == 0 {
		options.RetryInterval = DefaultRetryInterval
	}
	return &Adopter{options: options, peers: make(map[fleet.NodeID]uint64)}
}

// Generation returns the generation held; zero if none.
func (a *Adopter) Generation() uint64 {
	return a.snapshot.Generation
}

// Encoded returns the configuration held, in the form in which it is sent to peers.
func (a *Adopter) Encoded() Encoded {
	return a.encoded
}

// Step processes an event and returns the actions to perform. now must not decrease
// between calls.
func (a *Adopter) Step(now time.Time, event Event) []Action {
	var actions []Action
	switch e := event.(type) {
	case HeadReceived:
		actions = a.headReceived(now, e)
	case ShardReceived:
		actions = a.shardReceived(e.Shard)
	case PeerGeneration:
		a.peers[e.Peer] = max(a.peers[e.Peer], e.Generation)
		a.recordKnown(now, e.Generation, e.Peer)
	case PeerLost:
		delete(a.peers, e.Peer)
	case Tick:
	}
	actions = append(actions, a.requestMissing(now)...)
	return append(actions, a.updateBehind(now)...)
}

// NextWake returns the time at which the driver must pass a Tick, and false if it need
// not.
func (a *Adopter) NextWake() (time.Time, bool) {
	if !a.newerKnown() {
		return time.Time{}, false
	}
	wake := a.retryAt
	if behindAt := a.knownGenerations[0].since.Add(a.options.BehindTimeout); !a.behind && behindAt.Before(wake) {
		wake = behindAt
	}
	return wake, true
}

// newerKnown reports whether a generation newer than the snapshot is known.
func (a *Adopter) newerKnown() bool {
	return len(a.knownGenerations) > 0
}

func (a *Adopter) headReceived(now time.Time, e HeadReceived) []Action {
	head, err := ParseHead(e.Head)
	if err != nil {
		return []Action{Reject{From: e.From, Err: err}}
	}
	a.recordKnown(now, head.Generation, "")
	if e.From != "" {
		a.setHeld(now, e.From, head.Generation)
	}
	if err := a.checkHeadConflict(head.Generation, e.Head); err != nil {
		return []Action{Reject{From: e.From, Err: err}}
	}
	if head.Generation <= a.snapshot.Generation || head.Generation == a.highestUndecodable {
		return nil
	}
	c := a.candidateFor(head, e.Head)
	c.fromPlatform = c.fromPlatform || e.From == ""
	var actions []Action
	for _, shard := range e.Shards {
		if err := a.addShard(shard); err != nil {
			actions = append(actions, Reject{From: e.From, Err: err})
		}
	}
	actions = append(actions, a.adopt()...)
	a.trimCandidates()
	return actions
}

// trimCandidates removes the oldest candidates beyond maxCandidates.
func (a *Adopter) trimCandidates() {
	if excess := len(a.candidates) - maxCandidates; excess > 0 {
		a.candidates = slices.Clone(a.candidates[excess:])
	}
}

// checkHeadConflict returns ErrCorrupt if a different head of the same generation is held.
// The platform accepts only one head per generation, so one of the two is not genuine.
func (a *Adopter) checkHeadConflict(generation uint64, raw []byte) error {
	known := a.encoded.Head
	if generation != a.snapshot.Generation {
		known = nil
		for _, c := range a.candidates {
			if c.head.Generation == generation {
				known = c.raw
			}
		}
	}
	if known == nil || bytes.Equal(known, raw) {
		return nil
	}
	return eris.Wrapf(ErrCorrupt, "conflicting heads of generation %d", generation)
}

// candidateFor returns the candidate of a head. A new candidate starts with the shards
// that this process holds already.
func (a *Adopter) candidateFor(head Head, raw []byte) *candidate {
	for _, c := range a.candidates {
		if c.head.Generation == head.Generation {
			return c
		}
	}
	c := &candidate{head: head, raw: bytes.Clone(raw), shards: make(map[Hash][]byte)}
	held := a.heldShards()
	for _, hash := range head.Shards {
		if data, ok := held[hash]; ok {
			c.shards[hash] = data
		}
	}
	a.candidates = append(a.candidates, c)
	slices.SortFunc(a.candidates, func(x, y *candidate) int { return cmp.Compare(x.head.Generation, y.head.Generation) })
	return c
}

// heldShards returns the shards of the snapshot and of all candidates.
func (a *Adopter) heldShards() map[Hash][]byte {
	held := make(map[Hash][]byte)
	for _, shard := range a.encoded.Shards {
		held[shard.Hash] = shard.Data
	}
	for _, c := range a.candidates {
		for hash, data := range c.shards {
			held[hash] = data
		}
	}
	return held
}

func (a *Adopter) shardReceived(shard Shard) []Action {
	if err := a.addShard(shard); err != nil {
		return []Action{Reject{Err: err}}
	}
	return a.adopt()
}

// addShard adds a shard to the candidates that reference it. It returns ErrCorrupt if the
// shard does not match its hash.
func (a *Adopter) addShard(shard Shard) error {
	if HashOf(shard.Data) != shard.Hash {
		return eris.Wrapf(ErrCorrupt, "shard %s has other content", shard.Hash)
	}
	for _, c := range a.candidates {
		if slices.Contains(c.head.Shards, shard.Hash) {
			c.shards[shard.Hash] = shard.Data
		}
	}
	return nil
}

// adopt adopts the highest complete candidate. Complete candidates that cannot be decoded
// are removed and rejected.
func (a *Adopter) adopt() []Action {
	for i := len(a.candidates) - 1; i >= 0; i-- {
		c := a.candidates[i]
		if len(c.missing()) > 0 {
			continue
		}
		snapshot, decoded, err := c.decode(a.decoded)
		if err != nil {
			a.highestUndecodable = max(a.highestUndecodable, c.head.Generation)
			a.candidates = slices.Delete(a.candidates, i, i+1)
			return append([]Action{Reject{Err: err}}, a.adopt()...)
		}
		a.snapshot = snapshot
		a.decoded = decoded
		a.encoded = c.encoded()
		a.candidates = slices.Clone(a.candidates[i+1:])
		a.pruneKnown()
		return []Action{Adopt{Snapshot: snapshot}}
	}
	return nil
}

// missing returns the hashes of the shards that the candidate lacks.
func (c *candidate) missing() []Hash {
	var out []Hash
	for _, hash := range c.head.Shards {
		if _, ok := c.shards[hash]; !ok {
			out = append(out, hash)
		}
	}
	return out
}

// decode decodes the candidate. Shards found in the cache are not decoded again.
func (c *candidate) decode(cache map[Hash]shardContent) (Snapshot, map[Hash]shardContent, error) {
	inv, decoded, err := joinCached(c.head, c.shards, cache)
	if err != nil {
		return Snapshot{}, nil, err
	}
	index, err := NewIndex(inv)
	if err != nil {
		return Snapshot{}, nil, err
	}
	snapshot := Snapshot{Generation: c.head.Generation, Head: c.head, Inventory: inv, Index: index}
	return snapshot, decoded, nil
}

func (c *candidate) encoded() Encoded {
	shards := make([]Shard, len(c.head.Shards))
	for i, hash := range c.head.Shards {
		shards[i] = Shard{Hash: hash, Data: c.shards[hash]}
	}
	return Encoded{Head: c.raw, Shards: shards}
}
