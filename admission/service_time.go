package admission

import (
	"math"
	"time"
)

const (
	// serviceTimeSmoothing is the weight of a new observation in the moving
	// averages of service times.
	serviceTimeSmoothing = 0.05
	// initialServiceTime is the estimate before the first observation.
	initialServiceTime = 20 * time.Millisecond
	// serviceTimePriorWeight is the number of observations that the service's mean
	// counts in the estimate for one of its upstreams.
	serviceTimePriorWeight = 10
	// serviceTimeTolerance is the fraction of the service's mean by which an upstream
	// may differ and still count as equal. It keeps noise from deciding between
	// upstreams that are alike.
	serviceTimeTolerance = 0.25
	// minServiceTimeObservations is the number of recent observations up to which an
	// upstream is assumed to have the service's mean, so that a few long requests do not
	// mark it as slow.
	minServiceTimeObservations = 5
	// serviceTimeMemory is the time after which observations count 1/e. An upstream
	// that is considered slow gets no requests that could correct the estimate.
	serviceTimeMemory = 15 * time.Second
)

// serviceTime is the exponentially weighted mean service time of plain upstreams.
type serviceTime struct{ mean time.Duration }

func (t *serviceTime) observe(took time.Duration) {
	if t.mean == 0 {
		t.mean = initialServiceTime
	}
	t.mean += time.Duration(serviceTimeSmoothing * float64(took-t.mean))
}

func (t *serviceTime) get() time.Duration {
	if t.mean == 0 {
		return initialServiceTime
	}
	return t.mean
}

// upstreamServiceTime is the moving average of one plain upstream's service time. It handles
// upstreams of different speeds in one service.
type upstreamServiceTime struct {
	mean         time.Duration
	observations float64
	observedAt   time.Time
}

func (t *upstreamServiceTime) observe(now time.Time, took time.Duration) {
	t.observations = t.recent(now) + 1
	t.observedAt = now
	gain := max(serviceTimeSmoothing, 1/t.observations)
	t.mean += time.Duration(gain * float64(took-t.mean))
}

// recent returns the number of observations, with old ones discounted.
func (t *upstreamServiceTime) recent(now time.Time) float64 {
	if t.observations == 0 {
		return 0
	}
	age := max(now.Sub(t.observedAt), 0)
	return min(t.observations, 1/serviceTimeSmoothing) * math.Exp(-age.Seconds()/serviceTimeMemory.Seconds())
}

// estimate returns the upstream's service time, shrunk towards the service's mean.
func (t *upstreamServiceTime) estimate(now time.Time, service time.Duration) time.Duration {
	weight := max(t.recent(now)-minServiceTimeObservations, 0)
	difference := time.Duration(float64(t.mean-service) * weight / (weight + serviceTimePriorWeight))
	tolerance := time.Duration(serviceTimeTolerance * float64(service))
	switch {
	case difference > tolerance:
		return service + difference - tolerance
	case difference < -tolerance:
		return service + difference + tolerance
	default:
		return service
	}
}

// serviceTimeOf returns the estimated service time of a plain upstream.
func (s *Scheduler) serviceTimeOf(now time.Time, u *upstream) time.Duration {
	return u.serviceTime.estimate(now, s.serviceTime.get())
}

// observeServiceTime records the service time of a successful attempt at a plain upstream.
func (s *Scheduler) observeServiceTime(now time.Time, u *upstream, took time.Duration) {
	s.serviceTime.observe(took)
	u.serviceTime.observe(now, took)
}
