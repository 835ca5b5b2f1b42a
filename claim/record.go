package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Limits of a record's fields.
const (
	// MaxKeyBytes bounds the Idempotency-Key of a request.
	MaxKeyBytes = 255
	// MaxIDBytes bounds each other identifier and the digest of a record.
	MaxIDBytes = 128
	// DefaultPartitions is the default number of partitions, sized for a large
	// fleet.
	DefaultPartitions = 64

	digestBytes = 16
)

// AttemptID identifies one attempt to run a request. It is never reused.
type AttemptID string

// ScopeKey is an Idempotency-Key together with the scope in which it is unique.
type ScopeKey struct {
	Team    fleet.TeamID    `json:"t"`
	Service fleet.ServiceID `json:"s"`
	Key     string          `json:"k"`
}

// hash returns a 64-bit hash of the key. The length prefixes ensure that two
// different keys never have the same hash input.
func (k ScopeKey) hash() uint64 {
	buf := make([]byte, 0, len(k.Team)+len(k.Service)+len(k.Key)+8)
	buf = strconv.AppendInt(buf, int64(len(k.Team)), 10)
	buf = append(buf, ':')
	buf = append(buf, k.Team...)
	buf = strconv.AppendInt(buf, int64(len(k.Service)), 10)
	buf = append(buf, ':')
	buf = append(buf, k.Service...)
	buf = append(buf, k.Key...)
	return xxhash.Sum64(buf)
}

// PartitionOf returns the partition of a key, in [0, partitions). All routers
// of a fleet must use the same number of partitions.
func PartitionOf(k ScopeKey, partitions int) int {
	return int(k.hash() % uint64(partitions))
}

// State is the state of a claim.
type State string

// States of a claim.
const (
	// StateClaimed means that the attempt may have run.
	StateClaimed State = "claimed"
	// StateReleased means that the attempt did not run and never will.
	StateReleased State = "released"
)

// Record is the stored form of a claim.
type Record struct {
	Scope       ScopeKey          `json:"key"`
	Attempt     AttemptID         `json:"attempt"`
	Router      fleet.NodeID      `json:"router"`
	Incarnation fleet.Incarnation `json:"inc"`
	// ClaimedAt is the time of the router's clock. No decision depends on it.
	ClaimedAt time.Time `json:"at"`
	// Digest identifies the request; see RequestDigest.
	Digest string `json:"digest"`
	State  State  `json:"state"`
}

// RequestDigest returns the truncated SHA-256 digest of a request in hexadecimal.
func RequestDigest(method, path string, body []byte) string {
	h := sha256.New()
	for _, field := range []string{method, path} {
		h.Write([]byte(strconv.Itoa(len(field))))
		h.Write([]byte{':'})
		h.Write([]byte(field))
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// Validate checks that a record is complete and within its limits.
func (r Record) Validate() error {
	if r.Scope.Key == "" || len(r.Scope.Key) > MaxKeyBytes {
		return eris.Wrapf(ErrInvalidRecord, "key must have 1 to %d bytes, has %d", MaxKeyBytes, len(r.Scope.Key))
	}
	fields := []struct{ name, value string }{
		{"team", string(r.Scope.Team)},
		{"service", string(r.Scope.Service)},
		{"attempt", string(r.Attempt)},
		{"router", string(r.Router)},
		{"digest", r.Digest},
	}
	if !utf8.ValidString(r.Scope.Key) {
		// What is stored of it would be another key.
		return eris.Wrap(ErrInvalidRecord, "key is not valid UTF-8")
	}
	for _, f := range fields {
		if f.value == "" || len(f.value) > MaxIDBytes {
			return eris.Wrapf(ErrInvalidRecord, "%s must have 1 to %d bytes, has %d", f.name, MaxIDBytes, len(f.value))
		}
	}
	return nil
}

// recordOverheadBytes estimates the JSON field names, punctuation and values of
// fixed size in an encoded record.
const recordOverheadBytes = 150

// size estimates the encoded size of a record in bytes.
func (r Record) size() int {
	return recordOverheadBytes + len(r.Scope.Team) + len(r.Scope.Service) + len(r.Scope.Key) +
		len(r.Attempt) + len(r.Router) + len(r.Digest)
}
