package quarantine_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/quarantine"
)

// TestPartsWithoutAnIDAreNotBlamed guards against evidence of other writers against the ID that
// names no part.
func TestPartsWithoutAnIDAreNotBlamed(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	l := quarantine.NewPartList(quarantine.PartOptions{BlamedCrashes: 3, TTL: time.Hour, TrialDelay: time.Second})
	l.Restore(now, quarantine.Blame{Name: "none", Crashes: []string{"a", "b", "c"}})
	g.Expect(l.Blames(now)).To(BeEmpty())
	l.Restore(now, quarantine.Blame{Part: 1, Name: "some", Crashes: []string{"a", "b", "c"}})
	g.Expect(l.Blames(now)).To(HaveLen(1))
}
