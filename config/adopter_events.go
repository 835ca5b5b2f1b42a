package config

import (
	"fulmarspindle.example/fulmarspindle/fleet"
)

// Event is an input of an Adopter.
type Event interface{ isEvent() }

// HeadReceived reports a head object that was read from the platform or sent by a
// peer.
type HeadReceived struct {
	// Head is the value of the head object.
	Head []byte
	// Shards are the shards received with the head, in any order. Those listed in
	// RequestFromPeer.Have may be missing.
	Shards []Shard
	// From is the sending peer; empty for the platform.
	From fleet.NodeID
}

// ShardReceived reports a shard read in response to FetchShards.
type ShardReceived struct {
	Shard Shard
}

// PeerGeneration reports the generation in a message from a peer.
type PeerGeneration struct {
	Peer       fleet.NodeID
	Generation uint64
}

// PeerLost reports that the session with a peer ended.
type PeerLost struct {
	Peer fleet.NodeID
}

// Tick reports that the time returned by NextWake has been reached.
type Tick struct{}

func (HeadReceived) isEvent()   {}
func (ShardReceived) isEvent()  {}
func (PeerGeneration) isEvent() {}
func (PeerLost) isEvent()       {}
func (Tick) isEvent()           {}

// Action is an output of an Adopter.
type Action interface{ isAction() }

// FetchShards requests reads of shards from the platform. Each shard is reported by a
// ShardReceived event; failed reads are not reported.
type FetchShards struct {
	Hashes []Hash
}

// RequestFromPeer requests the configuration of a peer.
// The reply is reported by a HeadReceived event.
type RequestFromPeer struct {
	Peer fleet.NodeID
	// Have lists the shards that the peer need not send.
	Have []Hash
}

// Adopt puts a configuration in force in this process.
type Adopt struct {
	Snapshot Snapshot
}

// Behind reports that a newer generation has been known for BehindTimeout without
// being adopted. The process must not accept new requests.
type Behind struct {
	Held, Known uint64
}

// CaughtUp reports that the process is no longer behind.
type CaughtUp struct{}

// Reject reports a head, shard or configuration that was rejected.
type Reject struct {
	From fleet.NodeID
	// Err is ErrCorrupt or ErrInvalid.
	Err error
}

func (FetchShards) isAction()     {}
func (RequestFromPeer) isAction() {}
func (Adopt) isAction()           {}
func (Behind) isAction()          {}
func (CaughtUp) isAction()        {}
func (Reject) isAction()          {}
