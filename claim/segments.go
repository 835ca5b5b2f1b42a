package claim

import (
	"slices"
	"time"
)

// maxDecodedSegments bounds the segments whose records are kept in memory between
// batches.
const maxDecodedSegments = 2

// segment is the cached content of a sealed segment. The hashes of its keys rule
// it out for most lookups. They take 8 bytes per record and always stay in
// memory; the records may be evicted and are read again when a hash matches.
type segment struct {
	fingerprints []uint64
	records      map[ScopeKey]Record
}

func newSegment(records []Record) *segment {
	s := &segment{
		fingerprints: make([]uint64, 0, len(records)),
		records:      make(map[ScopeKey]Record, len(records)),
	}
	for _, r := range records {
		s.fingerprints = append(s.fingerprints, r.Scope.hash())
		s.records[r.Scope] = r
	}
	slices.Sort(s.fingerprints)
	return s
}

func (s *segment) mayContain(fingerprint uint64) bool {
	_, ok := slices.BinarySearch(s.fingerprints, fingerprint)
	return ok
}

// segmentCache caches the sealed segments of the head by store key.
type segmentCache struct {
	byKey map[string]*segment
	// decoded lists the keys of the segments whose records are in memory, least
	// recently loaded first.
	decoded []string
	// reading counts the reads in flight. missing and failed report whether any
	// read of the current round found no segment or failed.
	reading         int
	missing, failed bool
}

func newSegmentCache() segmentCache {
	return segmentCache{byKey: map[string]*segment{}}
}

func (c *segmentCache) put(key string, records []Record) {
	c.byKey[key] = newSegment(records)
	c.decoded = append(c.decoded, key)
}

// retain removes the segments that a head does not refer to.
func (c *segmentCache) retain(h Head) {
	kept := make(map[string]*segment, len(h.Sealed))
	for _, ref := range h.Sealed {
		if s, ok := c.byKey[ref.Key]; ok {
			kept[ref.Key] = s
		}
	}
	c.byKey = kept
	c.decoded = slices.DeleteFunc(c.decoded, func(key string) bool { return kept[key] == nil })
}

// evictDecoded drops the records of all segments except the maxDecodedSegments
// most recently loaded ones.
func (c *segmentCache) evictDecoded() {
	for len(c.decoded) > maxDecodedSegments {
		c.byKey[c.decoded[0]].records = nil
		c.decoded = c.decoded[1:]
	}
}

// mustRead reports whether a segment must be read to look up keys with the given
// fingerprints.
func (c *segmentCache) mustRead(key string, fingerprints []uint64) bool {
	s, ok := c.byKey[key]
	if !ok {
		return true
	}
	return s.records == nil && slices.ContainsFunc(fingerprints, s.mayContain)
}

// readSegments reads the sealed segments that the batch needs, at most
// maxParallelReads at a time. It reports whether any read was started.
func (p *Partition) readSegments() bool {
	fingerprints := make([]uint64, 0, len(p.batch)+p.batchOrphans)
	for _, o := range p.orphans[:p.batchOrphans] {
		fingerprints = append(fingerprints, o.record.Scope.hash())
	}
	for _, e := range p.batch {
		fingerprints = append(fingerprints, e.record.Scope.hash())
	}
	p.segments.missing, p.segments.failed = false, false
	for _, ref := range p.head.Sealed {
		if p.segments.reading == maxParallelReads {
			break
		}
		if p.segments.mustRead(ref.Key, fingerprints) {
			p.segments.reading++
			p.emit(ReadSegment{Key: ref.Key})
		}
	}
	if p.segments.reading == 0 {
		return false
	}
	p.phase = phaseReadingSegments
	return true
}

// segmentReadDone handles the result of one ReadSegment. After the last read in
// flight it continues the batch.
func (p *Partition) segmentReadDone(now time.Time, ev Event) {
	c := &p.segments
	c.reading--
	switch ev := ev.(type) {
	case SegmentRead:
		c.put(ev.Key, ev.Records)
	case SegmentMissing:
		c.missing = true
	default:
		c.failed = true
	}
	switch {
	case c.reading > 0:
	case c.failed:
		p.failBatch(now)
	case c.missing:
		// The segment was deleted because a newer head no longer refers to it.
		p.rereadHead(now)
	default:
		p.advanceBatch(now)
	}
}

// lookup returns the newest record of a key in the head and its segments.
func (p *Partition) lookup(key ScopeKey) (Record, bool) {
	if i, ok := p.index[key]; ok {
		return p.head.Records[i], true
	}
	fingerprint := key.hash()
	for _, ref := range slices.Backward(p.head.Sealed) {
		s := p.segments.byKey[ref.Key]
		if !s.mayContain(fingerprint) {
			continue
		}
		if r, ok := s.records[key]; ok {
			return r, true
		}
	}
	return Record{}, false
}

// deletionCandidate is a sealed segment to delete unless the head refers to it. A
// head write conditional on version either drops the last reference to the
// segment or adds the first one.
type deletionCandidate struct {
	key     string
	version Version
}

func (p *Partition) addDeletionCandidates(added ...deletionCandidate) {
	for _, candidate := range added {
		if !slices.Contains(p.deletionCandidates, candidate) {
			p.deletionCandidates = append(p.deletionCandidates, candidate)
		}
	}
}

// deleteUnreferenced deletes the candidates that the head does not refer to. A
// candidate is kept while the head has the candidate's version, since a write
// conditional on that version may still add a reference.
func (p *Partition) deleteUnreferenced() {
	kept := p.deletionCandidates[:0]
	for _, candidate := range p.deletionCandidates {
		switch {
		case candidate.version == p.version:
			kept = append(kept, candidate)
		case !p.head.references(candidate.key):
			p.emit(DeleteSegment{Key: candidate.key})
		}
	}
	p.deletionCandidates = kept
}
