package fairness

import "time"

// creditFloor is the least account of a team with waiting requests. A team that
// uses less than its share but asks often is never idle, and would otherwise
// save up credit without bound and then starve the others.
//
// The floor follows the least virtual time of the regions, so that it does not
// touch a team whose requests keep waiting in some region: that region's virtual
// time does not pass the team's account by more than the report lag.
type creditFloor struct {
	floor float64
	// nextFloor becomes the floor at the end of the window that windowStart at windowStart.
	nextFloor   float64
	windowStart time.Duration
}

// advance takes the fleet's virtual time at a time since the keeper's start.
// The virtual time falls when a region that is behind can be reached again.
func (c *creditFloor) advance(virtualTime float64, at, window time.Duration) {
	if at-c.windowStart >= window {
		c.floor = c.nextFloor
		c.nextFloor = virtualTime
		c.windowStart = at
	}
	c.nextFloor = min(c.nextFloor, virtualTime)
	c.floor = min(c.floor, virtualTime)
}
