package admission_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/placement"
)

// TestCacheOfAnEarlierIncarnationIsNotRestored guards against requests that are sent to an
// engine for parts that it lost when it started anew: the list was asked for before.
func TestCacheOfAnEarlierIncarnationIsNotRestored(t *testing.T) {
	g := NewWithT(t)
	s := admission.NewScheduler(options(), engineCapacity())
	list := upstreams(1)
	asked := list[0]
	list[0].StartedUnixMs++
	s.SetUpstreams(list)
	s.RestoreCache(asked, []placement.Part{{ID: 1, Tokens: 1000}})
	g.Expect(s.View(start).Upstreams["u00"].CachedTokens).To(BeZero())
	s.RestoreCache(list[0], []placement.Part{{ID: 1, Tokens: 1000}})
	g.Expect(s.View(start).Upstreams["u00"].CachedTokens).To(Equal(1000))
}
