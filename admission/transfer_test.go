package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/placement"
)

// Pattern: hot prefixes are copied over links that are slower than configured.
func TestTimeOfCopiesIsLearntApartFromThePrefillRate(t *testing.T) {
	const (
		configured = 1_000_000 // Tokens per second.
		actual     = 80_000
	)
	capacity := engineCapacity()
	capacity.TransferRate = configured
	w := newWorld(t, options(), capacity, 2)
	var last admission.Decision
	copying := func(d admission.Decision) time.Duration {
		if d.CopyFrom == "" {
			return 0
		}
		return time.Duration(10_000.0 / actual * float64(time.Second))
	}
	answer := func(d admission.Decision, id string) {
		w.now = w.now.Add(time.Duration(float64(d.Prefill)/rate*float64(time.Second)) + overhead + copying(d))
		w.s.FirstEvent(w.now, id)
		w.s.End(w.now, id, outlier.Success)
	}
	copies := 0
	for topic := range 60 {
		first, firstID := w.ask("team", shared(topic, 2*topic))
		answer(first, firstID)
		// The home of the topic is busy, so that the second one copies it.
		busy := []string{}
		for {
			d, id := w.ask("team", shared(topic, 1000+len(busy)))
			busy = append(busy, id)
			if d.CopyFrom != "" || !d.Admitted {
				last = d
				break
			}
		}
		for _, id := range busy[:len(busy)-1] {
			w.s.Cancel(w.now, id)
		}
		if last.CopyFrom == "" {
			continue
		}
		copies++
		answer(last, busy[len(busy)-1])
	}
	w.Expect(copies).To(BeNumerically(">", 40))
	expected := time.Duration(float64(last.Prefill)/rate*float64(time.Second)) + overhead + copying(last)
	w.Expect(last.Predicted).To(BeNumerically("~", expected, 25*time.Millisecond))
	w.now = w.now.Add(time.Second)
	plain, _ := w.ask("team", placement.Prompt{{ID: 77, Tokens: 10_000}})
	w.Expect(plain.Predicted).To(BeNumerically("~", overhead+200*time.Millisecond, 20*time.Millisecond))
}
