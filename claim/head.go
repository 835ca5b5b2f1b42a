package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Version is the store's version of a head object. Zero means absent. The
// versions of one object only rise.
type Version uint64

// SegmentRef names a sealed segment. A sealed segment never changes.
type SegmentRef struct {
	Key string `json:"key"`
	// SealedAt is the platform's modified time of the head that was sealed, so
	// every record of the segment is at least that old.
	SealedAt time.Time `json:"sealed_at"`
	Count    int       `json:"count"`
}

// Head is the value of a partition's head object.
type Head struct {
	// Writes counts the writes of the head. It makes each value differ from
	// the one before, so that a store which ignores writes of equal values
	// still moves the version.
	Writes uint64 `json:"writes"`
	// Sealed lists the sealed segments, oldest first.
	Sealed []SegmentRef `json:"sealed,omitempty"`
	// Records is the current segment. It holds one record for each key.
	Records []Record `json:"records,omitempty"`
}

// clone returns a copy that shares nothing that is written to.
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

// segmentKey derives the key of a sealed segment from the head version that it
// was sealed at. Owners which seal the same version write the same object, and
// no writer at another version ever refers to it. So an owner that finds the
// head moved on without the segment may delete it.
func segmentKey(partition int, at Version, records []Record) string {
	h := sha256.New()
	enc := json.NewEncoder(h)
	for _, r := range records {
		// Encoding a Record into a hash cannot fail.
		_ = enc.Encode(r)
	}
	return fmt.Sprintf("%s%016x-%s", SegmentPrefix(partition), uint64(at), hex.EncodeToString(h.Sum(nil)[:8]))
}

// EncodeHead returns the stored form of a head.
func EncodeHead(h Head) ([]byte, error) {
	b, err := json.Marshal(h)
	return b, eris.Wrap(err, "claim: encode head")
}

// DecodeHead parses the stored form of a head, or returns ErrCorrupt.
func DecodeHead(b []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(b, &h); err != nil {
		return Head{}, eris.Wrapf(ErrCorrupt, "head: %v", err)
	}
	return h, nil
}

// EncodeSegment returns the stored form of a sealed segment.
func EncodeSegment(records []Record) ([]byte, error) {
	b, err := json.Marshal(records)
	return b, eris.Wrap(err, "claim: encode segment")
}

// DecodeSegment parses the stored form of a sealed segment, or returns
// ErrCorrupt.
func DecodeSegment(b []byte) ([]Record, error) {
	var records []Record
	if err := json.Unmarshal(b, &records); err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "segment: %v", err)
	}
	return records, nil
}
