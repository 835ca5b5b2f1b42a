package quarantine

import (
	"cmp"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// PartID identifies a part of a prompt. Zero identifies none.
type PartID uint64

// SuspectPart is a shared part of a prompt whose request was running when an upstream
// crashed.
type SuspectPart struct {
	ID PartID
	// Parent is the part before it in the prompt; zero for the first part.
	Parent PartID
	// Name is the part's name for operators.
	Name string
	// Waiting is set if the response of the request had not begun. An upstream that
	// crashes when it begins a response leaves such a request.
	Waiting bool
	// Cleared is set if a request with the part was answered completely about the time
	// of the crash or later, so that the part is not its cause.
	Cleared bool
}

// Crash is the evidence that a crash of an upstream gives against prompt parts. Two
// records of the same crash, as of two processes, are merged in any order.
type Crash struct {
	ID      string
	Service fleet.ServiceID
	// At is when this process learned of the crash.
	At    time.Time
	Parts []SuspectPart
	// Refuted is set if the upstream has answered since, so that it did not crash.
	Refuted bool
}

// PartOptions configure a PartList.
type PartOptions struct {
	// BlamedCrashes is the number of crashes from which on a part is blamed.
	BlamedCrashes int
	// TTL is how long a crash is evidence.
	TTL time.Duration
	// TrialDelay is the time from the last crash of a part that was blamed for
	// BlamedCrashes crashes until one request with it may be sent as a trial.
	TrialDelay time.Duration
}

const (
	// MaxCrashes bounds the crashes in a PartList, and maxCrashParts the suspect parts
	// of each.
	MaxCrashes    = 256
	maxCrashParts = 128
	// MaxPartName bounds the length of a part's name in bytes.
	MaxPartName = 64
	// soundWindow is how long before a crash a complete response clears the parts of its
	// prompt. It is short, because a part may start to crash upstreams at any time, as
	// after a release.
	soundWindow = 2 * time.Second
	// maxSoundParts bounds the parts of which complete responses are remembered.
	maxSoundParts = 4096
	// trialBackoff is the factor by which the delay of a trial grows with each crash.
	// It is large because a trial of a part that does crash upstreams costs one of them.
	trialBackoff = 8
	// trialStagger is the time between the trials of two routers, if the earlier one
	// gets no request with the part.
	trialStagger = 2 * time.Second
	// refutationWindow is the time after a crash within which a response to a request
	// that was sent afterwards refutes it. A crashed upstream takes longer to return.
	refutationWindow = time.Second
	// narrowerShare and narrowerOf define the fraction of the crashes of a part that
	// one of its continuations has to explain to be blamed instead.
	narrowerShare, narrowerOf = 3, 4
)

// PartList attributes crashes of upstreams to prompt parts. It addresses the load of
// requests that share one part, with which every upstream crashes that begins to answer
// them, while they and sound requests share their callers and all other parts.
//
// A part is blamed if it explains at least BlamedCrashes crashes, of which no other blamed
// part explains any, and none of its requests was answered completely about the time of
// those crashes or since. The parts that explain most crashes come first, so that what
// merely ran beside them is left out.
type PartList struct {
	options PartOptions
	crashes map[string]*crashRecord
	// counts is the number of crashes against each part.
	counts map[PartID]int
	// sound holds when a request with a part was last answered completely.
	sound map[PartID]time.Time
	// trials holds when a trial of a part was last begun at any router.
	trials map[PartID]time.Time
	// blamed holds the blamed parts. It is nil if it has to be derived again.
	blamed map[PartID]Blame
}

type crashRecord struct {
	id      string
	service fleet.ServiceID
	at      time.Time
	refuted bool
	parts   map[PartID]*SuspectPart
}

// Blame is a part that is blamed for crashes.
type Blame struct {
	Part    PartID
	Name    string
	Service fleet.ServiceID
	// Crashes are the IDs of the crashes that it explains, sorted.
	Crashes []string
	// TrialAt is when the first router may send one request as a trial.
	TrialAt time.Time
}

// NewPartList returns an empty list.
func NewPartList(options PartOptions) *PartList {
	return &PartList{
		options: options, crashes: make(map[string]*crashRecord), counts: make(map[PartID]int),
		sound: make(map[PartID]time.Time), trials: make(map[PartID]time.Time), blamed: make(map[PartID]Blame),
	}
}

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

// mergeInto adds a suspect part to a crash and records the result in m.
func (l *PartList) mergeInto(m *Merged, record *crashRecord, part SuspectPart) {
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
		part.Name = part.Name[:min(len(part.Name), MaxPartName)]
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

// RecordAnswer records that a request with some parts was answered completely. It returns
// the crashes for which this clears parts, each with these parts only.
func (l *PartList) RecordAnswer(now time.Time, parts []PartID) []Crash {
	l.expire(now)
	suspected := false
	for _, id := range parts {
		l.sound[id] = now
		suspected = suspected || l.counts[id] > 0
	}
	l.boundSound(now)
	if !suspected {
		return nil
	}
	var out []Crash
	for _, record := range l.sorted() {
		var cleared []SuspectPart
		for _, id := range parts {
			if part := record.parts[id]; part != nil && !part.Cleared && !record.refuted {
				l.clearPart(record, part)
				cleared = append(cleared, *part)
			}
		}
		if len(cleared) > 0 {
			out = append(out, Crash{ID: record.id, Service: record.service, At: record.at, Parts: cleared})
		}
	}
	return out
}

// boundSound removes the parts that no longer clear anything if there are too many, and all
// if that does not suffice.
func (l *PartList) boundSound(now time.Time) {
	if len(l.sound) <= maxSoundParts {
		return
	}
	for id, at := range l.sound {
		if now.Sub(at) > soundWindow {
			delete(l.sound, id)
		}
	}
	if len(l.sound) > maxSoundParts {
		clear(l.sound)
	}
}

// RecordAlive records that an upstream has answered a request that was sent at a time. It
// reports whether this refutes the crash with an ID.
func (l *PartList) RecordAlive(id string, sent time.Time) bool {
	record := l.crashes[id]
	if record == nil || record.refuted || !sent.After(record.at) || sent.Sub(record.at) > refutationWindow {
		return false
	}
	l.refute(record)
	return true
}

// Blamed returns the verdicts on those of some parts that are blamed.
func (l *PartList) Blamed(now time.Time, parts []PartID) []Blame {
	if !l.suspicious(now) {
		return nil
	}
	var out []Blame
	for _, id := range parts {
		if b, ok := l.current()[id]; ok {
			out = append(out, b)
		}
	}
	return out
}

// suspicious reports whether there may be a blamed part.
func (l *PartList) suspicious(now time.Time) bool {
	l.expire(now)
	return len(l.counts) > 0
}

// TrialDue reports whether a router may send one request with a blamed part. rank is the
// router's position in an order of all routers that each part has its own of, so that
// they don't try at the same time.
func (l *PartList) TrialDue(now time.Time, b Blame, rank int) bool {
	return !now.Before(b.TrialAt.Add(time.Duration(rank) * trialStagger))
}

// BeginTrial records that this router or another one sends a request as a trial.
func (l *PartList) BeginTrial(now time.Time, id PartID) {
	if l.counts[id] == 0 {
		return
	}
	l.trials[id] = now
	l.blamed = nil
}

// Blames returns the blamed parts, sorted by ID.
func (l *PartList) Blames(now time.Time) []Blame {
	if !l.suspicious(now) {
		return nil
	}
	var out []Blame
	for _, b := range l.current() {
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b Blame) int { return cmp.Compare(a.Part, b.Part) })
	return out
}

// Evidence returns the crashes that are evidence against any part, or against a part if
// its ID is not zero, each with the parts concerned.
func (l *PartList) Evidence(now time.Time, only PartID) []Crash {
	l.expire(now)
	var out []Crash
	for _, record := range l.sorted() {
		c := Crash{ID: record.id, Service: record.service, At: record.at}
		for _, part := range record.parts {
			if !part.Cleared && (only == 0 || only == part.ID) {
				c.Parts = append(c.Parts, *part)
			}
		}
		if len(c.Parts) > 0 && !record.refuted {
			slices.SortFunc(c.Parts, func(a, b SuspectPart) int { return cmp.Compare(a.ID, b.ID) })
			out = append(out, c)
		}
	}
	return out
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
