package fleet

// rampShare is the share of its slots, as a divisor, that an upstream offers
// when it comes back.
const rampShare = 4

// Ramp limits how many free slots an upstream offers after it has come back.
// It starts with a share of the slots, at least one, and opens one more for
// each completed request.
//
// Offered lowers only the upstream's attractiveness as first target: routers
// send demand first to those that offer free slots. Demand that nobody has
// granted within about a round trip is told more widely and then reaches this
// upstream too; Grantable is not limited by the ramp, so a slot never idles
// while the sidecar knows of waiting work. The other way that was weighed, to
// withhold slots and open them by a timer or in steps, idles capacity for
// exactly as long as there is work for it.
type Ramp struct {
	slots int
	open  int
}

// NewRamp returns a finished ramp: all slots are offered.
func NewRamp(slots int) *Ramp {
	return &Ramp{slots: slots, open: slots}
}

// Returned starts the ramp, when the upstream becomes eligible again.
func (r *Ramp) Returned() {
	r.open = max(1, r.slots/rampShare)
}

// Completed reports a request that the upstream has answered. Failed requests
// are not reported.
func (r *Ramp) Completed() {
	r.open = min(r.open+1, r.slots)
}

// Resize sets the count of slots, as the configuration has it.
func (r *Ramp) Resize(slots int) {
	finished := r.open >= r.slots
	r.slots = slots
	if finished || r.open > slots {
		r.open = slots
	}
}

// Offered returns the free slots to report to routers.
func (r *Ramp) Offered(busy int) int {
	return max(0, r.open-busy)
}

// Grantable returns the free slots that may be granted to waiting demand.
func (r *Ramp) Grantable(busy int) int {
	return max(0, r.slots-busy)
}
