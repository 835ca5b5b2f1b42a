package config

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// HeadKey is the store key of the head object.
	HeadKey = "config/head"
	// ShardPrefix is the key prefix of shards, followed by the hash.
	ShardPrefix = "config/shard/"
	// HistoryPrefix is the key prefix of superseded heads, followed by the
	// generation.
	HistoryPrefix = "config/history/"
)

// Hash is the SHA-256 hash of a shard in hexadecimal.
type Hash string

// Head identifies the configuration in force and lists its shards. A configuration is
// accepted by writing its head.
type Head struct {
	// Generation starts at one and increases by one with each acceptance.
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

// Snapshot is a complete accepted configuration. It is immutable.
type Snapshot struct {
	Generation uint64
	Head       Head
	Inventory  Inventory
	Index      *Index
}

// Encoded is a configuration in the form in which it is sent to peers.
type Encoded struct {
	// Head is the value of the head object; empty if no configuration is held.
	Head   []byte
	Shards []Shard
}

// Without returns the configuration without the shards listed in have.
func (e Encoded) Without(have []Hash) Encoded {
	missing := make([]Shard, 0, len(e.Shards))
	for _, shard := range e.Shards {
		if !slices.Contains(have, shard.Hash) {
			missing = append(missing, shard)
		}
	}
	return Encoded{Head: e.Head, Shards: missing}
}

// Hashes returns the hashes of all shards.
func (e Encoded) Hashes() []Hash {
	out := make([]Hash, len(e.Shards))
	for i, shard := range e.Shards {
		out[i] = shard.Hash
	}
	return out
}

// ParseHead decodes the value of a head object. It returns ErrCorrupt if the value is
// malformed.
func ParseHead(data []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(data, &head); err != nil {
		return Head{}, eris.Wrapf(ErrCorrupt, "head: %v", err)
	}
	if head.Generation == 0 || len(head.Shards) == 0 {
		return Head{}, eris.Wrap(ErrCorrupt, "head without generation or shards")
	}
	return head, nil
}

func formatHead(head Head) ([]byte, error) {
	data, err := json.Marshal(head)
	return data, eris.Wrap(err, "config: cannot encode the head")
}

func shardKey(hash Hash) string {
	return ShardPrefix + string(hash)
}

func historyKey(generation uint64) string {
	return HistoryPrefix + strconv.FormatUint(generation, 10)
}
