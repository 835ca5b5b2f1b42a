package claim

import (
	"slices"
	"time"
)

// maxDecoded bounds the decoded segments that are kept between batches.
const maxDecoded = 2

// segment is what is known of a sealed segment. The fingerprints of its keys
// tell most lookups that it does not matter; they take 8 bytes a record, so
// they are kept, while the records are read again where a fingerprint matches.
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

func (s *segment) mayHold(fingerprint uint64) bool {
	_, ok := slices.BinarySearch(s.fingerprints, fingerprint)
	return ok
}

// segmentCache holds the sealed segments of the head by key.
type segmentCache struct {
	byKey map[string]*segment
	// decoded lists the keys of the segments with records, oldest first.
	decoded []string
	// reading counts the reads in flight. missing and failed tell of their
	// answers so far.
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

// retain forgets the segments that a head does not refer to.
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

// trim drops the records of all but the newest decoded segments.
func (c *segmentCache) trim() {
	for len(c.decoded) > maxDecoded {
		c.byKey[c.decoded[0]].records = nil
		c.decoded = c.decoded[1:]
	}
}

// needs reports whether a segment must be read to look up the fingerprints.
func (c *segmentCache) needs(key string, fingerprints []uint64) bool {
	s, ok := c.byKey[key]
	if !ok {
		return true
	}
	return s.records == nil && slices.ContainsFunc(fingerprints, s.mayHold)
}

// readSegments reads the sealed segments that the batch needs, a few at a time.
// It reports whether any are being read.
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
		if p.segments.needs(ref.Key, fingerprints) {
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

// segmentAnswered handles the answer to one ReadSegment and goes on after the
// last one.
func (p *Partition) segmentAnswered(now time.Time, ev Event) {
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
		p.fail(now)
	case c.missing:
		// A newer head has dropped the segment.
		p.retry(now)
	default:
		p.proceed(now)
	}
}

// lookup returns the newest record of a key.
func (p *Partition) lookup(key ScopeKey) (Record, bool) {
	if i, ok := p.index[key]; ok {
		return p.head.Records[i], true
	}
	fingerprint := key.hash()
	for _, ref := range slices.Backward(p.head.Sealed) {
		s := p.segments.byKey[ref.Key]
		if !s.mayHold(fingerprint) {
			continue
		}
		if r, ok := s.records[key]; ok {
			return r, true
		}
	}
	return Record{}, false
}

// garbage is a segment that a write at version no longer refers to, or refers
// to first.
type garbage struct {
	key     string
	version Version
}

func (p *Partition) addGarbage(added ...garbage) {
	for _, g := range added {
		if !slices.Contains(p.garbage, g) {
			p.garbage = append(p.garbage, g)
		}
	}
}

// collectGarbage deletes the segments that the head does not refer to, once the
// head has moved on from the version at which they became garbage. Only a write
// at that version could refer to them.
func (p *Partition) collectGarbage() {
	kept := p.garbage[:0]
	for _, g := range p.garbage {
		switch {
		case g.version == p.version:
			kept = append(kept, g)
		case !p.head.references(g.key):
			p.emit(DeleteSegment{Key: g.key})
		}
	}
	p.garbage = kept
}
