package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/placement"
)

// Guards against attributing slow copies to the prefill rate when links are slower than
// configured.
func TestCopyTimeIsEstimatedSeparatelyFromPrefillRate(t *testing.T) {
	const (
		configured = 1_000_000 // Tokens per second.
		actual     = 80_000
	)
	capacity := engineCapacity()
	capacity.TransferRate = configured
	sim := newSimulation(t, options(), capacity, 2)
	var last admission.Decision
	copyTime := func(d admission.Decision) time.Duration {
		if d.CopyFrom == "" {
			return 0
		}
		return time.Duration(10_000.0 / actual * float64(time.Second))
	}
	complete := func(d admission.Decision, id string) {
		sim.now = sim.now.Add(time.Duration(float64(d.Prefill)/rate*float64(time.Second)) + overhead + copyTime(d))
		sim.scheduler.FirstEvent(sim.now, id)
		sim.scheduler.End(sim.now, id, outlier.Success)
	}
	copies := 0
	for topic := range 60 {
		first, firstID := sim.send("team", shared(topic, 2*topic))
		complete(first, firstID)
		// Load the first preferred engine until a request is sent to the second one with a copy.
		busy := []string{}
		for {
			d, id := sim.send("team", shared(topic, 1000+len(busy)))
			busy = append(busy, id)
			if d.CopyFrom != "" || !d.Admitted {
				last = d
				break
			}
		}
		for _, id := range busy[:len(busy)-1] {
			sim.scheduler.Cancel(sim.now, id)
		}
		if last.CopyFrom == "" {
			continue
		}
		copies++
		complete(last, busy[len(busy)-1])
	}
	sim.Expect(copies).To(BeNumerically(">", 40))
	expected := time.Duration(float64(last.Prefill)/rate*float64(time.Second)) + overhead + copyTime(last)
	sim.Expect(last.Predicted).To(BeNumerically("~", expected, 25*time.Millisecond))
	sim.now = sim.now.Add(time.Second)
	plain, _ := sim.send("team", placement.Prompt{{ID: 77, Tokens: 10_000}})
	sim.Expect(plain.Predicted).To(BeNumerically("~", overhead+200*time.Millisecond, 20*time.Millisecond))
}
