package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var options = Options{RefusedCrashes: 2, TTL: time.Hour}

func suspect(digest string, expires time.Duration, crashes ...string) Suspect {
	return Suspect{Digest: digest, CrashIDs: crashes, Expires: t0.Add(expires)}
}

func TestSecondCrashRefusesRequest(t *testing.T) {
	g := NewWithT(t)
	l := NewList(options)
	g.Expect(l.Merge(suspect("d", time.Minute, "a"), t0)).To(BeTrue())
	s, ok := l.Lookup("d", t0)
	g.Expect(ok).To(BeTrue())
	g.Expect(l.Refused(s)).To(BeFalse())
	g.Expect(l.Merge(suspect("d", time.Minute, "a"), t0)).To(BeFalse(), "the same crash, reported twice")
	g.Expect(l.Merge(suspect("d", time.Second, "b"), t0)).To(BeTrue())
	s, _ = l.Lookup("d", t0)
	g.Expect(l.Refused(s)).To(BeTrue())
	g.Expect(s.Expires).To(Equal(t0.Add(time.Minute)))
	_, ok = l.Lookup("d", t0.Add(time.Minute))
	g.Expect(ok).To(BeFalse())
	g.Expect(l.All(t0.Add(time.Minute))).To(BeEmpty())
}

func TestRemovedSuspectIsForgotten(t *testing.T) {
	g := NewWithT(t)
	l := NewList(options)
	l.Merge(suspect("d", time.Minute, "a"), t0)
	l.Remove("d")
	_, ok := l.Lookup("d", t0)
	g.Expect(ok).To(BeFalse())
}

func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Suspect {
			crashes := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}), 1, 4).Draw(t, "crashes")
			digest := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "digest")
			return suspect(digest, time.Duration(rapid.IntRange(-1, 5).Draw(t, "expires"))*time.Minute, crashes...)
		}), 0, 12).Draw(t, "updates")
		merge := func(order []Suspect) []Suspect {
			l := NewList(options)
			for _, s := range order {
				l.Merge(s, t0)
			}
			return l.All(t0)
		}
		shuffled := append(rapid.Permutation(updates).Draw(t, "order"), updates...)
		g := NewWithT(t)
		got := merge(shuffled)
		g.Expect(got).To(Equal(merge(updates)))
		for _, s := range got {
			g.Expect(len(s.CrashIDs)).To(BeNumerically("<=", maxCrashIDs))
		}
	})
}

func TestListAndExpiryAreBounded(t *testing.T) {
	g := NewWithT(t)
	l := NewList(options)
	g.Expect(l.Merge(suspect("far", 24*time.Hour, "a"), t0)).To(BeTrue())
	s, _ := l.Lookup("far", t0)
	g.Expect(s.Expires).To(Equal(t0.Add(options.TTL)), "the expiry is limited whatever the clock of the other process")
	for n := range MaxSuspects + 10 {
		l.Merge(suspect(fmt.Sprint(n), time.Minute+time.Duration(n), "a"), t0)
	}
	all := l.All(t0)
	g.Expect(all).To(HaveLen(MaxSuspects))
	_, ok := l.Lookup("far", t0)
	g.Expect(ok).To(BeTrue())
	_, ok = l.Lookup("0", t0)
	g.Expect(ok).To(BeFalse(), "the first to expire is evicted")
}
