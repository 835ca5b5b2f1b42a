package config

import (
	"fulmarspindle.example/fulmarspindle/fleet"
)

// Event is an input of an Adopter.
type Event interface{ isEvent() }

// HeadReceived reports the head object, read from the platform or sent by a
// neighbour.
type HeadReceived struct {
	// Head is the head object's value.
	Head []byte
	// Shards came with the head, in any order. Those that a neighbour was
	// told are held may be missing.
	Shards []Shard
	// From is the neighbour; empty for the platform.
	From fleet.NodeID
}

// ShardReceived reports a shard that was asked for by FetchShards.
type ShardReceived struct {
	Shard Shard
}

// PeerGeneration reports the generation that a neighbour's message carried.
type PeerGeneration struct {
	Peer       fleet.NodeID
	Generation uint64
}

// PeerLost reports that the session with a neighbour ended.
type PeerLost struct {
	Peer fleet.NodeID
}

// Tick reports that the time of NextWake has come.
type Tick struct{}

func (HeadReceived) isEvent()       {}
func (ShardReceived) isEvent()  {}
func (PeerGeneration) isEvent() {}
func (PeerLost) isEvent()       {}
func (Tick) isEvent()           {}

// Action is an output of an Adopter.
type Action interface{ isAction() }

// FetchShards asks the driver to read shards from the platform. What comes is
// reported by ShardReceived; failures need no report.
type FetchShards struct {
	Hashes []Hash
}

// RequestFromPeer asks the driver to request the configuration of a neighbour.
// What comes is reported by HeadSeen with the shards.
type RequestFromPeer struct {
	Peer fleet.NodeID
	// Have are the shards that need not be sent.
	Have []Hash
}

// Adopt puts a configuration in force.
type Adopt struct {
	Snapshot Snapshot
}

// Behind reports that a newer generation has been known for longer than the
// bound and could not be reached: the process must not take new work.
type Behind struct {
	Held, Known uint64
}

// CaughtUp ends Behind.
type CaughtUp struct{}

// Reject reports a head, shard or configuration that was refused.
type Reject struct {
	From fleet.NodeID
	// Err is ErrCorrupt or ErrInvalid.
	Err error
}

func (FetchShards) isAction() {}
func (RequestFromPeer) isAction() {}
func (Adopt) isAction()       {}
func (Behind) isAction()      {}
func (CaughtUp) isAction()    {}
func (Reject) isAction()      {}
