package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Version is the store's version of a head object. Zero means that the object
// does not exist. The versions of an object only increase.
type Version uint64

// SegmentRef refers to a sealed segment. Sealed segments are immutable.
type SegmentRef struct {
	Key string `json:"key"`
	// SealedAt is the platform's modification time of the head whose records were
	// sealed, so every record in the segment is at least that old.
	SealedAt time.Time `json:"sealed_at"`
	Count    int       `json:"count"`
}

// Head is the value of a partition's head object.
type Head struct {
	// Writes counts the writes of the head. It makes each value differ from the
	// previous one, so that a store that ignores writes of equal values still
	// advances the version.
	Writes uint64 `json:"writes"`
	// Sealed lists the sealed segments, oldest first.
	Sealed []SegmentRef `json:"sealed,omitempty"`
	// Records is the current, unsealed segment. It holds one record per key.
	Records []Record `json:"records,omitempty"`
}

// clone returns a copy whose slices can be modified independently.
func (h Head) clone() Head {
	h.Sealed = slices.Clone(h.Sealed)
	h.Records = slices.Clone(h.Records)
	return h
}

func (h Head) references(segment string) bool {
	return slices.ContainsFunc(h.Sealed, func(ref SegmentRef) bool { return ref.Key == segment })
}

func (h Head) size() int {
	n := 0
	for _, r := range h.Records {
		n += r.size()
	}
	return n
}

// HeadKey returns the store key of a partition's head.
func HeadKey(partition int) string {
	return fmt.Sprintf("claims/%d/head", partition)
}

// SegmentPrefix returns the prefix of the store keys of a partition's sealed
// segments.
func SegmentPrefix(partition int) string {
	return fmt.Sprintf("claims/%d/segments/", partition)
}

// segmentKey derives the store key of a sealed segment from its records and the
// head version at which they are sealed. Routers that seal the same version write
// the same object, and a head write conditional on another version never adds a
// reference to it. A router that reads a newer head without such a reference may
// therefore delete the segment.
func segmentKey(partition int, version Version, records []Record) string {
	h := sha256.New()
	enc := json.NewEncoder(h)
	for _, r := range records {
		// Encoding a Record into a hash cannot fail.
		_ = enc.Encode(r)
	}
	return fmt.Sprintf("%s%016x%s", SegmentPrefix(partition), uint64(version), segmentSuffix(h))
}

// segmentSuffix returns the end of a segment's key, from the hash of its encoded records, each
// followed by a line feed.
func segmentSuffix(h hash.Hash) string { return "-" + hex.EncodeToString(h.Sum(nil)[:8]) }

// EncodeHead encodes a head for the store.
func EncodeHead(h Head) ([]byte, error) {
	b, err := json.Marshal(h)
	return b, eris.Wrap(err, "claim: encode head")
}

// DecodeHead decodes a head read from the store. It returns ErrCorrupt if the value is
// invalid: a head that lacks claims would let their requests run again.
func DecodeHead(b []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(b, &h); err != nil {
		return Head{}, eris.Wrapf(ErrCorrupt, "head: %v", err)
	}
	if err := h.validate(); err != nil {
		return Head{}, err
	}
	return h, nil
}

func (h Head) validate() error {
	if h.Writes == 0 {
		return eris.Wrap(ErrCorrupt, "head that was never written")
	}
	for _, ref := range h.Sealed {
		if ref.Key == "" || ref.Count <= 0 {
			return eris.Wrap(ErrCorrupt, "head: segment without key or records")
		}
	}
	known := make(map[ScopeKey]bool, len(h.Records))
	for _, r := range h.Records {
		if err := r.Validate(); err != nil {
			return eris.Wrapf(ErrCorrupt, "head: %v", err)
		}
		if known[r.Scope] {
			return eris.Wrap(ErrCorrupt, "head: two records of one key")
		}
		known[r.Scope] = true
	}
	return nil
}

// EncodeSegment encodes a sealed segment for the store.
func EncodeSegment(records []Record) ([]byte, error) {
	b, err := json.Marshal(records)
	return b, eris.Wrap(err, "claim: encode segment")
}

// DecodeSegment decodes a sealed segment read from the store under a key. It returns
// ErrCorrupt if the value is invalid or does not have the records that were sealed: those that
// it lacks could run again.
func DecodeSegment(key string, b []byte) ([]Record, error) {
	var encoded []json.RawMessage
	if err := json.Unmarshal(b, &encoded); err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "segment: %v", err)
	}
	h := sha256.New()
	records := make([]Record, len(encoded))
	for i, raw := range encoded {
		if err := json.Unmarshal(raw, &records[i]); err != nil {
			return nil, eris.Wrapf(ErrCorrupt, "segment: %v", err)
		}
		// Writing to a hash never fails.
		_, _ = h.Write(raw)
		_, _ = h.Write([]byte{'\n'})
	}
	if !strings.HasSuffix(key, segmentSuffix(h)) {
		return nil, eris.Wrapf(ErrCorrupt, "segment %s has other records", key)
	}
	return records, nil
}
