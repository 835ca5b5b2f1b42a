package gateway

import (
	"cmp"
	"slices"
	"time"
)

// timedStep is a step of a spec at a time relative to its beginning, which may be negative.
type timedStep struct {
	at  time.Duration
	run func()
}

// runSteps runs steps at their times. The first one is run at once.
func runSteps(steps []timedStep) {
	slices.SortStableFunc(steps, func(a, b timedStep) int { return cmp.Compare(a.at, b.at) })
	began := time.Now().Add(-steps[0].at)
	for _, step := range steps {
		time.Sleep(time.Until(began.Add(step.at)))
		step.run()
	}
}
