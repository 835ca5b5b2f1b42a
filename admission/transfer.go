package admission

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

const (
	// transferSmoothing is the weight of a new copy among those observed.
	transferSmoothing = 0.05
	// transferPrior is the tokens that the initial rate counts for.
	transferPrior = 20_000
	// maxTransferSlowdown bounds the learnt time to this factor of the time by
	// the configured rate.
	maxTransferSlowdown = 100
)

// transferModel predicts how long engines take to copy cached tokens from each
// other. It answers links that are slower between failure domains than the
// configured rate tells, and copies that wait for each other.
type transferModel struct {
	// rate is the configured one, in tokens per second.
	rate     float64
	observed [fleet.NumDistances]transferTotal
}

// transferTotal is the smoothed sum of the copies over one distance.
type transferTotal struct {
	tokens  float64
	seconds float64
}

// configure starts anew if the configured rate changed.
func (m *transferModel) configure(rate float64) {
	if rate == m.rate {
		return
	}
	*m = transferModel{rate: rate}
	if rate <= 0 {
		return
	}
	for i := range m.observed {
		m.observed[i] = transferTotal{tokens: transferPrior, seconds: transferPrior / rate}
	}
}

// predict returns the time of a copy.
func (m *transferModel) predict(d fleet.Distance, tokens int) time.Duration {
	total := m.observed[d]
	return time.Duration(float64(tokens) * total.seconds / total.tokens * float64(time.Second))
}

// observe takes the time of a copy.
func (m *transferModel) observe(d fleet.Distance, tokens int, took time.Duration) {
	configured := float64(tokens) / m.rate
	seconds := min(max(took.Seconds(), configured), maxTransferSlowdown*configured)
	total := &m.observed[d]
	total.tokens += transferSmoothing * (float64(tokens) - total.tokens)
	total.seconds += transferSmoothing * (seconds - total.seconds)
}

// distance returns how far apart two upstreams are.
func (s *Scheduler) distance(a, b *upstream) fleet.Distance {
	return fleet.DistanceBetween(s.location(a), s.location(b))
}

func (s *Scheduler) location(u *upstream) fleet.Location {
	return fleet.Location{Region: s.options.Regions[u.Domain], FailureDomain: u.Domain}
}
