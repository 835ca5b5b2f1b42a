package admission

import "time"

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
	// may differ without being told from it. It keeps noise from choosing between
	// upstreams that are alike.
	serviceTimeTolerance = 0.25
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
	observations int
}

func (t *upstreamServiceTime) observe(took time.Duration) {
	t.observations++
	gain := max(serviceTimeSmoothing, 1/float64(t.observations))
	t.mean += time.Duration(gain * float64(took-t.mean))
}

// estimate returns the upstream's service time, shrunk towards the service's mean.
func (t *upstreamServiceTime) estimate(service time.Duration) time.Duration {
	weight := min(float64(t.observations), 1/serviceTimeSmoothing)
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
func (s *Scheduler) serviceTimeOf(u *upstream) time.Duration {
	return u.serviceTime.estimate(s.serviceTime.get())
}

// observeServiceTime records the service time of a successful attempt at a plain upstream.
func (s *Scheduler) observeServiceTime(u *upstream, took time.Duration) {
	s.serviceTime.observe(took)
	u.serviceTime.observe(took)
}
