package upstream

import "expvar"

// Metrics of the connections of all pools.
var (
	// connectionsOpened counts the connections that were established.
	connectionsOpened = expvar.NewInt("upstream_connections_opened")
	// connectionsClosed counts the connections that were closed although the upstream would
	// have kept them, by cause.
	connectionsClosed = expvar.NewMap("upstream_connections_closed")
)

// closeCause is why a connection is not kept.
type closeCause string

const (
	// closedUnsolicited means that bytes arrived while no request was waiting.
	closedUnsolicited closeCause = "unsolicited_bytes"
	// closedUnmarked means that a response bore no id.
	closedUnmarked closeCause = "unmarked_response"
	// closedForeign means that a response to another request or to none was discarded.
	closedForeign closeCause = "foreign_response"
	// closedUnattributed means that a refusal without an id came among other responses.
	closedUnattributed closeCause = "unattributed_response"
	// closedCorrupt means that a response held bytes that are not the upstream's.
	closedCorrupt closeCause = "corrupt_response"
)

func countClosed(cause closeCause) { connectionsClosed.Add(string(cause), 1) }
