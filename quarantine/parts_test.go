package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var partOptions = PartOptions{BlamedCrashes: 3, TTL: time.Hour, TrialDelay: 4 * time.Second}

// Parts of the prompts in tests: each prompt is a system part, a subject and a last part of
// its own, which is not evidence.
const (
	system PartID = 1
	bad    PartID = 2
	good   PartID = 3
	// firstSubject is the first of many other subjects.
	firstSubject PartID = 100
)

// prompt returns the evidence against the parts of a prompt.
func prompt(ids ...PartID) []SuspectPart {
	var out []SuspectPart
	parent := PartID(0)
	for _, id := range ids {
		out = append(out, SuspectPart{ID: id, Parent: parent, Waiting: true})
		parent = id
	}
	return out
}

func crash(id any, at time.Duration, prompts ...[]SuspectPart) Crash {
	c := Crash{ID: fmt.Sprint("u", id), Service: "engines", At: t0.Add(at)}
	for _, p := range prompts {
		c.Parts = append(c.Parts, p...)
	}
	return c
}

func blamedIDs(l *PartList, now time.Time) []PartID {
	var ids []PartID
	for _, b := range l.Blames(now) {
		ids = append(ids, b.Part)
	}
	return ids
}

func listOf(crashes ...Crash) *PartList {
	l := NewPartList(partOptions)
	for _, c := range crashes {
		l.Merge(c.At, c)
	}
	return l
}

// Guards against the blame falling on a first part or a subject that sound requests share
// with the requests that crash upstreams, before and after any of them is answered.
func TestBlamesThePartThatExplainsMostCrashes(t *testing.T) {
	g := NewWithT(t)
	l := listOf(crash(1, 0, prompt(system, bad)), crash(2, time.Second, prompt(system, bad), prompt(system, good)))
	now := t0.Add(2 * time.Second)
	g.Expect(blamedIDs(l, now)).To(BeEmpty(), "two crashes")
	l.Merge(now, crash(3, 2*time.Second, prompt(system, bad), prompt(system, good)))
	g.Expect(blamedIDs(l, now)).To(Equal([]PartID{bad}))
	g.Expect(l.Blamed(now, []PartID{system, good})).To(BeEmpty())
	g.Expect(l.Blamed(now, []PartID{system, bad})).To(HaveLen(1))
}

// Guards against the blame staying with one subject when the part before it is the cause.
func TestBlamesTheFirstPartOnceItsContinuationsDiffer(t *testing.T) {
	g := NewWithT(t)
	l := listOf()
	for i := range 8 {
		l.Merge(t0, crash(i, 0, prompt(system, firstSubject+PartID(i/3))))
	}
	g.Expect(blamedIDs(l, t0)).To(Equal([]PartID{system}))
}

// Guards against a part staying blamed that was only in use while upstreams crashed for
// another cause: it was answered just before, or is answered afterwards.
func TestCompleteAnswersClearParts(t *testing.T) {
	g := NewWithT(t)
	crashes := []Crash{crash(1, 0, prompt(system, good)), crash(2, 0, prompt(system, good)), crash(3, 0, prompt(system, good))}
	l := listOf()
	l.RecordAnswer(t0.Add(-time.Second), []PartID{system, good})
	for _, c := range crashes {
		m := l.Merge(t0, c)
		g.Expect(m.Cleared.Parts).To(HaveLen(2))
	}
	g.Expect(blamedIDs(l, t0)).To(BeEmpty())

	l = listOf(crashes...)
	g.Expect(blamedIDs(l, t0)).To(Equal([]PartID{good}))
	cleared := l.RecordAnswer(t0.Add(time.Second), []PartID{system, good})
	g.Expect(cleared).To(HaveLen(3))
	g.Expect(blamedIDs(l, t0.Add(time.Second))).To(BeEmpty())

	other := listOf(crashes...)
	for _, c := range cleared {
		other.Merge(t0.Add(time.Second), c)
	}
	g.Expect(blamedIDs(other, t0.Add(time.Second))).To(BeEmpty())
	m := other.Merge(t0.Add(time.Second), crashes[0])
	g.Expect(m.Known.Parts).To(HaveLen(2), "told to a router that has not heard of it")
}

// Guards against a sound answer of long ago, as before a release, hiding a part that crashes
// upstreams now.
func TestOldAnswersClearNothing(t *testing.T) {
	g := NewWithT(t)
	l := listOf()
	l.RecordAnswer(t0.Add(-soundWindow-time.Millisecond), []PartID{system, bad})
	for i := range 3 {
		l.Merge(t0, crash(i, 0, prompt(system, bad)))
	}
	g.Expect(blamedIDs(l, t0)).To(Equal([]PartID{bad}))
}

// Guards against blame for crashes that one router only assumes because it is cut off.
func TestUpstreamThatAnswersRefutesItsCrash(t *testing.T) {
	g := NewWithT(t)
	l := listOf(crash(1, 0, prompt(bad)), crash(2, 0, prompt(bad)), crash(3, 0, prompt(bad)))
	g.Expect(l.RecordAlive("u3", t0)).To(BeFalse(), "sent before the crash")
	g.Expect(l.RecordAlive("u3", t0.Add(refutationWindow+time.Millisecond))).To(BeFalse(), "it may have started again")
	g.Expect(blamedIDs(l, t0)).To(Equal([]PartID{bad}))
	g.Expect(l.RecordAlive("u3", t0.Add(time.Millisecond))).To(BeTrue())
	g.Expect(blamedIDs(l, t0)).To(BeEmpty())
	m := l.Merge(t0, crash(3, 0, prompt(bad)))
	g.Expect(m.Known.Refuted).To(BeTrue())
	g.Expect(blamedIDs(l, t0)).To(BeEmpty())
}

// Guards against trials of several routers at the same time, and against many trials of a part
// that does crash upstreams: each costs one.
func TestTrialsAreStaggeredAndBackOff(t *testing.T) {
	g := NewWithT(t)
	l := listOf(crash(1, 0, prompt(bad)), crash(2, 0, prompt(bad)), crash(3, 0, prompt(bad)))
	verdict := func(now time.Time) Blame {
		blames := l.Blamed(now, []PartID{bad})
		g.Expect(blames).To(HaveLen(1))
		return blames[0]
	}
	at := t0.Add(partOptions.TrialDelay)
	g.Expect(l.TrialDue(at.Add(-1), verdict(at), 0)).To(BeFalse())
	g.Expect(l.TrialDue(at, verdict(at), 0)).To(BeTrue())
	g.Expect(l.TrialDue(at, verdict(at), 1)).To(BeFalse())
	g.Expect(l.TrialDue(at.Add(trialStagger), verdict(at), 1)).To(BeTrue())
	l.BeginTrial(at, bad)
	g.Expect(verdict(at).TrialAt).To(Equal(at.Add(partOptions.TrialDelay)), "the trial has no outcome yet")
	l.Merge(at, crash(4, partOptions.TrialDelay, prompt(bad)))
	g.Expect(verdict(at).TrialAt).To(Equal(at.Add(trialBackoff * partOptions.TrialDelay)))
	l.Merge(at, crash(5, partOptions.TrialDelay, prompt(bad)))
	g.Expect(verdict(at).TrialAt).To(Equal(at.Add(trialBackoff * trialBackoff * partOptions.TrialDelay)))
}

// Guards against evidence that grows without bound or never ages.
func TestEvidenceIsBoundedAndExpires(t *testing.T) {
	g := NewWithT(t)
	l := listOf()
	for i := range MaxCrashes + 50 {
		var parts []SuspectPart
		for p := range maxCrashParts + 20 {
			parts = append(parts, prompt(firstSubject+PartID(p))...)
		}
		l.Merge(t0, crash(i, time.Duration(i), parts))
	}
	g.Expect(l.crashes).To(HaveLen(MaxCrashes))
	for _, record := range l.crashes {
		g.Expect(len(record.parts)).To(BeNumerically("<=", maxCrashParts))
	}
	for i := range 2 * maxSoundParts {
		l.RecordAnswer(t0, []PartID{PartID(10_000 + i)})
	}
	g.Expect(len(l.sound)).To(BeNumerically("<=", maxSoundParts))
	g.Expect(blamedIDs(l, t0)).NotTo(BeEmpty())
	g.Expect(blamedIDs(l, t0.Add(2*partOptions.TTL))).To(BeEmpty())
	g.Expect(l.crashes).To(BeEmpty())
	g.Expect(l.counts).To(BeEmpty())
}

// Guards against routers that reach different verdicts because evidence arrives in another
// order or twice, and against blame on any part but the cause.
//
// Upstreams crash when they begin a request with the part bad; sound requests that ran beside
// it broke off with it. Each subject is answered now and then.
func TestVerdictIsRightAndTheSameInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		subjects := rapid.IntRange(1, 40).Draw(t, "subjects")
		observer := NewPartList(partOptions)
		var messages []Crash
		now := t0
		for i := range rapid.IntRange(5, 12).Draw(t, "crashes") {
			now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
			c := crash(i, now.Sub(t0), prompt(system, bad))
			for range random.IntN(10) {
				c.Parts = append(c.Parts, prompt(system, firstSubject+PartID(random.IntN(subjects)))...)
			}
			m := observer.Merge(now, c)
			messages = append(messages, c, m.Cleared)
			for range 3 {
				messages = append(messages, observer.RecordAnswer(now, []PartID{system, firstSubject + PartID(random.IntN(subjects))})...)
			}
		}
		g.Expect(blamedIDs(observer, now)).To(Equal([]PartID{bad}))
		other := NewPartList(partOptions)
		random.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
		for _, m := range append(messages, messages[:len(messages)/2]...) {
			other.Merge(now, m)
		}
		g.Expect(blamedIDs(other, now)).To(Equal([]PartID{bad}))
	})
}
