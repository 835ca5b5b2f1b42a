package admission

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

const (
	// transferSmoothing is the weight of a new observation in the moving averages.
	transferSmoothing = 0.05
	// transferPriorTokens is the size of the copy, at the configured rate, with which
	// the moving averages are initialized.
	transferPriorTokens = 20_000
	// maxTransferSlowdown bounds an observed copy time to this multiple of the time
	// at the configured rate.
	maxTransferSlowdown = 100
)

// transferModel predicts the time that copying cached tokens between engines takes. It
// accounts for links between failure domains that are slower than the configured rate and
// for copies that queue behind each other.
type transferModel struct {
	// rate is the configured rate in tokens per second.
	rate     float64
	observed [fleet.NumDistances]transferAverage
}

// transferAverage holds the moving averages of tokens and seconds per copy over one
// distance.
type transferAverage struct {
	tokens  float64
	seconds float64
}

// setRate sets the configured rate. It discards all observations if the rate changed.
func (m *transferModel) setRate(rate float64) {
	if rate == m.rate {
		return
	}
	*m = transferModel{rate: rate}
	if rate <= 0 {
		return
	}
	for i := range m.observed {
		m.observed[i] = transferAverage{tokens: transferPriorTokens, seconds: transferPriorTokens / rate}
	}
}

// predict returns the predicted time to copy tokens over a distance.
func (m *transferModel) predict(d fleet.Distance, tokens int) time.Duration {
	average := m.observed[d]
	return time.Duration(float64(tokens) * average.seconds / average.tokens * float64(time.Second))
}

// observe updates the model with the duration of a copy.
func (m *transferModel) observe(d fleet.Distance, tokens int, took time.Duration) {
	configured := float64(tokens) / m.rate
	seconds := min(max(took.Seconds(), configured), maxTransferSlowdown*configured)
	average := &m.observed[d]
	average.tokens += transferSmoothing * (float64(tokens) - average.tokens)
	average.seconds += transferSmoothing * (seconds - average.seconds)
}

// distance returns the distance between two upstreams.
func (s *Scheduler) distance(a, b *upstream) fleet.Distance {
	return fleet.DistanceBetween(s.location(a), s.location(b))
}

func (s *Scheduler) location(u *upstream) fleet.Location {
	return fleet.Location{Region: s.options.Regions[u.Domain], FailureDomain: u.Domain}
}
