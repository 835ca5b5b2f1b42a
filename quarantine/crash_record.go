package quarantine

import (
	"cmp"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// crashRecord is the evidence that a crash gives, merged from all routers.
type crashRecord struct {
	id      string
	service fleet.ServiceID
	at      time.Time
	refuted bool
	parts   map[PartID]*SuspectPart
}

// sorted returns the crashes, oldest first.
func (l *PartList) sorted() []*crashRecord {
	out := make([]*crashRecord, 0, len(l.crashes))
	for _, record := range l.crashes {
		out = append(out, record)
	}
	slices.SortFunc(out, func(a, b *crashRecord) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id))
	})
	return out
}

// expire removes the crashes that are older than TTL.
func (l *PartList) expire(now time.Time) {
	for _, record := range l.crashes {
		if now.Sub(record.at) > l.options.TTL {
			l.remove(record)
		}
	}
}

// evict removes the oldest crash while there are more than MaxCrashes, first of those that
// are no evidence against any part.
func (l *PartList) evict() {
	for len(l.crashes) > MaxCrashes {
		records := l.sorted()
		oldest := records[0]
		if i := slices.IndexFunc(records, (*crashRecord).isSpent); i >= 0 {
			oldest = records[i]
		}
		l.remove(oldest)
	}
}

// isSpent reports whether a crash is evidence against no part.
func (r *crashRecord) isSpent() bool {
	for _, part := range r.parts {
		if !part.Cleared && !r.refuted {
			return false
		}
	}
	return true
}

func (l *PartList) remove(record *crashRecord) {
	l.discount(record)
	delete(l.crashes, record.id)
	l.blamed = nil
}
