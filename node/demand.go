package node

import "time"

// DemandRefreshInterval is the time between repetitions of a router's unchanged
// demand. Sessions deliver in order or break, and a new session starts with the
// whole demand, so that the repetition serves only the rotation of the sidecars
// that know of a queue and the ages by which these choose between routers.
const DemandRefreshInterval = 2 * time.Second
