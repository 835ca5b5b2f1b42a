package fairness

import "time"

// creditFloor is the lower bound of the account of a team with waiting requests.
// A team that uses less than its share but sends requests often is never idle;
// without the floor it would accumulate unbounded credit and could then starve
// the other teams.
//
// The floor follows the least virtual time of the regions, so that it does not
// affect a team that is continuously backlogged in some region: that region's
// virtual time exceeds the team's account by no more than the report lag.
type creditFloor struct {
	floor float64
	// nextFloor becomes the floor at the end of the current window.
	nextFloor   float64
	windowStart time.Duration
}

// advance updates the floor with the fleet's virtual time; at is the time since
// the keeper's start. The fleet's virtual time decreases when a region whose
// virtual time is behind becomes reachable again.
func (c *creditFloor) advance(virtualTime float64, at, window time.Duration) {
	if at-c.windowStart >= window {
		c.floor = c.nextFloor
		c.nextFloor = virtualTime
		c.windowStart = at
	}
	c.nextFloor = min(c.nextFloor, virtualTime)
	c.floor = min(c.floor, virtualTime)
}
