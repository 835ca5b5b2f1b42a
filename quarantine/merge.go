package quarantine

import "time"

// Merged is the result of merging a crash.
type Merged struct {
	// Changed is set if the crash was new or had more evidence.
	Changed bool
	// Cleared has the parts that this process clears with it; the other processes don't
	// know that yet.
	Cleared Crash
	// Known has the parts that this process had cleared before, which the sender of the
	// crash did not know.
	Known Crash
}

// Merge adds a crash that this process or another one has found.
func (l *PartList) Merge(now time.Time, c Crash) Merged {
	l.expire(now)
	record := l.crashes[c.ID]
	isNew := record == nil
	if isNew {
		record = &crashRecord{id: c.ID, service: c.Service, at: earliest(c.At, now), parts: make(map[PartID]*SuspectPart)}
		l.crashes[c.ID] = record
	}
	empty := Crash{ID: c.ID, Service: c.Service, At: record.at}
	m := Merged{Changed: isNew, Cleared: empty, Known: empty}
	m.Known.Refuted = record.refuted && !c.Refuted
	if c.Refuted && !record.refuted {
		l.refute(record)
		m.Changed = true
	}
	for _, part := range c.Parts {
		l.mergeInto(&m, record, part)
	}
	if m.Changed {
		l.blamed = nil
		l.evict()
	}
	return m
}

// mergeInto adds a suspect part to a crash, unless it has no ID, and records the result in m.
func (l *PartList) mergeInto(m *Merged, record *crashRecord, part SuspectPart) {
	if part.ID == 0 {
		return
	}
	known := record.parts[part.ID]
	if known != nil && known.Cleared && !part.Cleared {
		m.Known.Parts = append(m.Known.Parts, *known)
		return
	}
	m.Changed = l.mergePart(record, part) || m.Changed
	known = record.parts[part.ID]
	if known != nil && !known.Cleared && record.at.Sub(l.sound[part.ID]) <= soundWindow {
		l.clearPart(record, known)
		m.Cleared.Parts = append(m.Cleared.Parts, *known)
	}
}

// mergePart adds a suspect part to a crash and reports whether that changed the crash.
func (l *PartList) mergePart(record *crashRecord, part SuspectPart) bool {
	known := record.parts[part.ID]
	if known == nil {
		if len(record.parts) >= maxCrashParts {
			return false
		}
		part.Name = TrimPartName(part.Name)
		record.parts[part.ID] = &part
		if !part.Cleared && !record.refuted {
			l.counts[part.ID]++
		}
		return true
	}
	changed := part.Waiting && !known.Waiting || part.Cleared && !known.Cleared
	known.Waiting = known.Waiting || part.Waiting
	if part.Cleared && !known.Cleared {
		l.clearPart(record, known)
	}
	return changed
}

// clearPart clears a part of a crash.
func (l *PartList) clearPart(record *crashRecord, part *SuspectPart) {
	part.Cleared = true
	l.blamed = nil
	if !record.refuted {
		l.uncount(part.ID)
	}
}

func (l *PartList) uncount(id PartID) {
	l.counts[id]--
	if l.counts[id] <= 0 {
		delete(l.counts, id)
		delete(l.trials, id)
	}
}

// refute removes a crash from the evidence.
func (l *PartList) refute(record *crashRecord) {
	l.discount(record)
	record.refuted = true
	l.blamed = nil
}

// discount subtracts a crash from the counts of its parts.
func (l *PartList) discount(record *crashRecord) {
	if record.refuted {
		return
	}
	for _, part := range record.parts {
		if !part.Cleared {
			l.uncount(part.ID)
		}
	}
}
