package peer

import (
	"expvar"
	"net"
	"strings"
	"sync/atomic"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// Traffic counters, in bytes except for controlSentMessages. The keys are:
//   - controlSentBytes: message kind/own region/peer region
//   - controlSentMessages: message kind
//   - connSentBytes: own region/peer region
//   - dataSentBytes: "open" or "frame"/own region/peer region
var (
	controlSentBytes    = expvar.NewMap("peer_control_sent_bytes")
	controlSentMessages = expvar.NewMap("peer_control_sent_messages")
	connSentBytes       = expvar.NewMap("peer_conn_sent_bytes")
	dataSentBytes       = expvar.NewMap("peer_data_sent_bytes")
)

// unsoundParts counts the parts of received messages that were left out, by kind.
var unsoundParts = expvar.NewMap("peer_unsound_parts")

// regionPair returns the part of a counter key that names the regions of a session.
func regionPair(from, to fleet.RegionID) string {
	return string(from) + "/" + string(to)
}

// messageKind returns the body field name of a control message, which is its kind in
// the counter keys.
func messageKind(env *peerpb.Envelope) string {
	m := env.ProtoReflect()
	field := m.WhichOneof(m.Descriptor().Oneofs().ByName("body"))
	if field == nil {
		return "empty"
	}
	return string(field.Name())
}

func countControlMessage(env *peerpb.Envelope, regionPair string, n int) {
	kind := messageKind(env)
	controlSentBytes.Add(strings.Join([]string{kind, regionPair}, "/"), int64(n))
	controlSentMessages.Add(kind, 1)
}

// countingConn counts all bytes written to a connection, including those of yamux but not
// those of TLS. Bytes written before the handshake completes are counted under the empty
// region pair.
type countingConn struct {
	net.Conn
	// regionPair is atomic because it is set while yamux may be writing.
	regionPair atomic.Pointer[string]
}

func (c *countingConn) setRegionPair(regionPair string) { c.regionPair.Store(&regionPair) }

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	regionPair := ""
	if loaded := c.regionPair.Load(); loaded != nil {
		regionPair = *loaded
	}
	connSentBytes.Add(regionPair, int64(n))
	return n, err
}
