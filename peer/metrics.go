package peer

import (
	"expvar"
	"net"
	"strings"
	"sync/atomic"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// Traffic counters. Keys of the first two are kind/own region/peer region; all
// values are bytes, except controlSentMessages.
var (
	controlSentBytes    = expvar.NewMap("peer_control_sent_bytes")
	controlSentMessages = expvar.NewMap("peer_control_sent_messages")
	connSentBytes       = expvar.NewMap("peer_conn_sent_bytes")
	dataSentBytes       = expvar.NewMap("peer_data_sent_bytes")
)

func regionPair(from, to fleet.RegionID) string {
	return string(from) + "/" + string(to)
}

// messageKind names the kind of a control message for the counters.
func messageKind(env *peerpb.Envelope) string {
	m := env.ProtoReflect()
	field := m.WhichOneof(m.Descriptor().Oneofs().ByName("body"))
	if field == nil {
		return "empty"
	}
	return string(field.Name())
}

func countControlMessage(env *peerpb.Envelope, pair string, n int) {
	kind := messageKind(env)
	controlSentBytes.Add(strings.Join([]string{kind, pair}, "/"), int64(n))
	controlSentMessages.Add(kind, 1)
}

// countingConn counts all bytes written to a connection, including those of
// the multiplexer. Bytes sent ahead of the peer's hello are counted without a
// region pair.
type countingConn struct {
	net.Conn
	// regionPair is set while the multiplexer writes.
	regionPair atomic.Pointer[string]
}

func (c *countingConn) setRegionPair(pair string) { c.regionPair.Store(&pair) }

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	pair := ""
	if known := c.regionPair.Load(); known != nil {
		pair = *known
	}
	connSentBytes.Add(pair, int64(n))
	return n, err
}
