package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

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

// TrimPartName returns a part's name as text of at most MaxPartName bytes. Names come from
// callers, and messages between processes carry valid UTF-8 only.
func TrimPartName(name string) string {
	name = strings.ToValidUTF8(name, "\uFFFD")
	if len(name) <= MaxPartName {
		return name
	}
	end := MaxPartName
	for !utf8.RuneStart(name[end]) {
		end--
	}
	return name[:end]
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
