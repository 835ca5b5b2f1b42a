package node

import "time"

// DemandRefreshInterval is the interval at which a router resends unchanged demand. A
// session delivers in order or breaks, and a new session starts with the whole demand, so
// no message has to be resent because of loss. The refresh only rotates the sidecars that
// know of a queue, and updates the ages by which sidecars choose between routers.
const DemandRefreshInterval = 2 * time.Second
