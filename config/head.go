package config

import (
	"time"
)

// HeadKey is the key of the head object.
const HeadKey = "config/head"

// ShardPrefix is the key prefix of shards; the hash follows.
const ShardPrefix = "config/shard/"

// Hash is the SHA-256 of a shard in hexadecimal.
type Hash string

// Head names the configuration in force. Writing it is the acceptance.
type Head struct {
	// Generation grows by one with each acceptance, from one.
	Generation uint64    `json:"generation"`
	Shards     []Hash    `json:"shards"`
	ChangeID   string    `json:"change_id"`
	Author     string    `json:"author"`
	Accepted   time.Time `json:"accepted"`
}

// Shard is a part of an encoded inventory.
type Shard struct {
	Hash Hash
	Data []byte
}

// Snapshot is a whole accepted configuration. It is not changed once made.
type Snapshot struct {
	Generation uint64
	Head       Head
	Inventory  Inventory
	Index      *Index
}

// Section is a list of the inventory or a part of the rules.
type Section string

// Change is a difference between two inventories.
type Change struct {
	Section Section
	ID      string
	Kind    ChangeKind
}

// ChangeKind tells how an item differs.
type ChangeKind string

// Kinds of change.
const (
	Added    ChangeKind = "added"
	Removed  ChangeKind = "removed"
	Modified ChangeKind = "modified"
)
