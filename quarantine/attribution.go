package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// StoredBlame is a verdict that was stored outside the process.
type StoredBlame struct {
	Blame
	// Age is the time since it was stored.
	Age time.Duration
}

// Restore adds the crashes behind a stored verdict as evidence against its part.
func (l *PartList) Restore(now time.Time, b Blame) {
	for _, id := range b.Crashes {
		part := SuspectPart{ID: b.Part, Name: b.Name, Waiting: true}
		l.Merge(now, Crash{ID: id, Service: b.Service, At: now, Parts: []SuspectPart{part}})
	}
}

// current returns the blamed parts.
func (l *PartList) current() map[PartID]Blame {
	if l.blamed == nil {
		l.blamed = l.attribute()
	}
	return l.blamed
}

// partEvidence is the evidence against one part.
type partEvidence struct {
	id      PartID
	name    string
	crashes []*crashRecord
	// waiting is the number of crashes that a request with the part awaited a response
	// at.
	waiting int
	// children are the parts that follow it in the prompts concerned.
	children []*partEvidence
}

// attribute derives the blamed parts from the crashes: again and again the part that
// explains most of them, until none explains BlamedCrashes of those left.
func (l *PartList) attribute() map[PartID]Blame {
	blamed := make(map[PartID]Blame)
	evidence := l.evidence()
	explained := make(map[string]bool)
	for {
		part := l.mostCrashes(evidence, explained)
		if part == nil {
			return blamed
		}
		part = part.narrowest(blamed)
		blamed[part.id] = l.blame(part)
		for _, record := range part.crashes {
			explained[record.id] = true
		}
		evidence = slices.DeleteFunc(evidence, func(e *partEvidence) bool { return e == part })
	}
}

// evidence returns the evidence against each part, sorted by weight: by crashes, then by
// requests that awaited a response, then by ID.
func (l *PartList) evidence() []*partEvidence {
	byID := make(map[PartID]*partEvidence)
	parents := make(map[PartID]PartID)
	for _, record := range l.sorted() {
		if record.refuted {
			continue
		}
		for id, part := range record.parts {
			if part.Cleared {
				continue
			}
			e := byID[id]
			if e == nil {
				e = &partEvidence{id: id, name: part.Name}
				byID[id] = e
			}
			e.crashes = append(e.crashes, record)
			parents[id] = part.Parent
			if part.Waiting {
				e.waiting++
			}
		}
	}
	out := make([]*partEvidence, 0, len(byID))
	for _, e := range byID {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *partEvidence) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(b.waiting, a.waiting), cmp.Compare(a.id, b.id))
	})
	for _, e := range out {
		if parent := byID[parents[e.id]]; parent != nil && parent != e {
			parent.children = append(parent.children, e)
		}
	}
	return out
}

// mostCrashes returns the part with the most evidence of those that explain at least
// BlamedCrashes crashes that are not explained yet; nil if there is none.
func (l *PartList) mostCrashes(evidence []*partEvidence, explained map[string]bool) *partEvidence {
	for _, e := range evidence {
		open := 0
		for _, record := range e.crashes {
			if !explained[record.id] {
				open++
			}
		}
		if open >= l.options.BlamedCrashes {
			return e
		}
	}
	return nil
}

// narrowest returns the part itself or the continuation of it that explains nearly as many
// crashes and is not blamed yet: refusing its requests does less harm, and further crashes
// show if it was wrong.
func (e *partEvidence) narrowest(blamed map[PartID]Blame) *partEvidence {
	// The depth is bounded because parts of different prompts may follow each other in a
	// circle.
	for range maxCrashParts {
		i := slices.IndexFunc(e.children, func(child *partEvidence) bool {
			_, done := blamed[child.id]
			return !done && narrowerOf*len(child.crashes) >= narrowerShare*len(e.crashes)
		})
		if i < 0 {
			return e
		}
		e = e.children[i]
	}
	return e
}

// blame returns the verdict on a part.
func (l *PartList) blame(e *partEvidence) Blame {
	last := e.crashes[len(e.crashes)-1]
	b := Blame{Part: e.id, Name: e.name, Service: last.service}
	for _, record := range e.crashes {
		b.Crashes = append(b.Crashes, record.id)
	}
	slices.Sort(b.Crashes)
	from := last.at
	if trial := l.trials[e.id]; trial.After(from) {
		from = trial
	}
	b.TrialAt = from.Add(l.trialDelay(len(e.crashes)))
	return b
}

// trialDelay returns the time until a trial of a part with a number of crashes.
func (l *PartList) trialDelay(crashes int) time.Duration {
	delay := l.options.TrialDelay
	for range max(0, crashes-l.options.BlamedCrashes) {
		delay = min(delay*trialBackoff, l.options.TTL)
	}
	return delay
}
