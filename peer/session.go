package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// ProtocolVersion is the version of the wire protocol. The handshake fails if the peer
// has another version.
const ProtocolVersion = 1

// Session timing and limits.
const (
	handshakeTimeout  = 5 * time.Second
	writeTimeout      = 5 * time.Second
	heartbeatInterval = time.Second
	// heartbeatTimeout is the time without messages from the peer after which a session
	// is closed.
	heartbeatTimeout = 4 * time.Second
	// pingInterval is the interval between measurements of the round-trip time.
	pingInterval  = 4 * time.Second
	acceptBacklog = 256
	// controlReadBuffer is small because most control messages are small.
	controlReadBuffer = 1 << 10
	// batchBytes is the size at which a batch of encoded control messages is written
	// without waiting for the rest of the queue.
	batchBytes = 32 << 10
)

// Local describes this process to its peers.
type Local struct {
	Hello *peerpb.Hello
	// Source is the local address for dialed sessions; nil means any.
	Source net.Addr
	// Generation returns the highest configuration generation that this process holds.
	Generation func() uint64
	// Draining reports whether this process is draining and accepts no new work.
	Draining func() bool
}

// Handler handles the events of sessions. The calls of Message for one session are
// sequential and must not block. Each call of Stream runs in its own goroutine.
type Handler interface {
	SessionUp(s *Session)
	SessionDown(s *Session, cause error)
	Message(s *Session, env *peerpb.Envelope)
	Stream(s *Session, st *Stream)
}

// Session is one connection to a peer.
type Session struct {
	mux     *yamux.Session
	control net.Conn
	reader  *bufio.Reader
	local   *Local
	remote  *peerpb.Hello
	// helloEnvelope is the message that contained remote.
	helloEnvelope *peerpb.Envelope
	// regionPair names the regions of the session in counter keys.
	regionPair string
	// dialed is set if this process opened the connection.
	dialed bool

	queue     *sendQueue
	done      chan struct{}
	closeOnce sync.Once
	// cause is the reason for the close. It is set before done is closed.
	cause error
	// receivedMessages counts the control messages received after the hello.
	receivedMessages atomic.Uint64
	liveness         livenessMonitor
	// rtt is the last measured round-trip time in nanoseconds.
	rtt atomic.Int64
	log *zap.Logger
	// loggedUnsound holds the kinds of unsound parts that were logged. It is used by
	// readLoop only.
	loggedUnsound map[string]bool
}

// ID returns the peer's identifier.
func (s *Session) ID() fleet.NodeID { return fleet.NodeID(s.remote.GetId()) }

// Incarnation returns the peer's incarnation.
func (s *Session) Incarnation() fleet.Incarnation {
	return fleet.Incarnation(s.remote.GetIncarnation())
}

// Role returns the peer's role.
func (s *Session) Role() peerpb.Role { return s.remote.GetRole() }

// Location returns the region and the failure domain of the peer.
func (s *Session) Location() fleet.Location {
	return fleet.Location{
		Region:        fleet.RegionID(s.remote.GetRegion()),
		FailureDomain: fleet.FailureDomainID(s.remote.GetFailureDomain()),
	}
}

// Processors returns the processor time available to the peer, in cores, or zero if the
// peer does not report it.
func (s *Session) Processors() float64 { return float64(s.remote.GetProcessors()) }

// Address returns the address at which the peer accepts sessions, or an empty string if
// the peer does not report it.
func (s *Session) Address() string { return s.remote.GetPeerAddress() }

// VMIncarnation returns the incarnation that the platform assigned to the peer's VM, or
// zero if the peer does not know it.
func (s *Session) VMIncarnation() uint64 { return s.remote.GetVmIncarnation() }

// Preferred reports whether this session takes precedence over another session to the
// same incarnation of the peer. Between a router and a sidecar, the session dialed by the
// router takes precedence; between processes of the same role, the session dialed by the
// one with the lower identifier. Both sides thus keep the same session.
func (s *Session) Preferred() bool {
	if s.local.Hello.GetRole() != s.remote.GetRole() {
		return s.dialed == (s.local.Hello.GetRole() == peerpb.Role_ROLE_ROUTER)
	}
	localIsLower := s.local.Hello.GetId() < s.remote.GetId()
	return s.dialed == localIsLower
}

// Dialed reports whether this process opened the connection.
func (s *Session) Dialed() bool { return s.dialed }

// RTT returns the last measured round-trip time, or zero before the first measurement.
func (s *Session) RTT() time.Duration { return time.Duration(s.rtt.Load()) }

// Done returns a channel that is closed when the session ends.
func (s *Session) Done() <-chan struct{} { return s.done }

// Send queues a control message. If the queue is full, the peer reads too slowly and
// Send closes the session; all control state is sent again on a new session.
func (s *Session) Send(env *peerpb.Envelope) {
	select {
	case <-s.done:
		return
	default:
	}
	if !s.queue.put(env) {
		s.close(eris.Wrap(ErrClosed, "send queue full"))
	}
}

// SendHeartbeat queues a heartbeat without waiting for the heartbeat interval, to report
// a change of this process's generation or draining state.
func (s *Session) SendHeartbeat() { s.Send(s.heartbeat()) }

// OpenStream opens a request stream.
func (s *Session) OpenStream() (*Stream, error) {
	conn, err := s.mux.Open()
	if err != nil {
		return nil, eris.Wrap(ErrClosed, err.Error())
	}
	return newStream(conn, s.regionPair), nil
}

// Close ends the session and all its streams.
func (s *Session) Close() { s.close(ErrClosed) }

func (s *Session) close(cause error) {
	s.closeOnce.Do(func() {
		s.cause = cause
		close(s.done)
		s.mux.Close()
	})
}

// run serves the session until it ends and returns the reason.
func (s *Session) run(ctx context.Context, h Handler) error {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	s.monitorPeer(0)
	h.SessionUp(s)
	// The envelope of the hello contains the peer's configuration generation.
	s.deliver(h, s.helloEnvelope)
	var wg sync.WaitGroup
	wg.Go(s.writeLoop)
	wg.Go(func() { s.acceptLoop(h) })
	s.readLoop(h)
	wg.Wait()
	h.SessionDown(s, s.cause)
	return s.cause
}

func (s *Session) readLoop(h Handler) {
	for {
		env := &peerpb.Envelope{}
		if err := readMessage(s.reader, env, MaxControlBytes); err != nil {
			s.close(err)
			return
		}
		s.receivedMessages.Add(1)
		s.deliver(h, env)
	}
}

// deliver passes what is sound of a message to the handler.
func (s *Session) deliver(h Handler, env *peerpb.Envelope) {
	for kind, count := range check(time.Now(), env) {
		unsoundParts.Add(kind, int64(count))
		if !s.loggedUnsound[kind] {
			s.loggedUnsound[kind] = true
			s.log.Warn("unsound part of a message left out", zap.String("peer", string(s.ID())), zap.String("kind", kind), zap.Int("count", count))
		}
	}
	h.Message(s, env)
}

func (s *Session) writeLoop() {
	idle := time.NewTimer(heartbeatInterval)
	defer idle.Stop()
	for {
		var batch []*peerpb.Envelope
		select {
		case <-s.done:
			return
		case <-s.queue.ready:
			batch = s.queue.takeAll()
		case <-idle.C:
			batch = []*peerpb.Envelope{s.heartbeat()}
		}
		if err := s.writeBatch(batch); err != nil {
			s.close(err)
			return
		}
		idle.Reset(heartbeatInterval)
	}
}

// writeBatch encodes messages and writes them in as few writes as batchBytes allows.
func (s *Session) writeBatch(batch []*peerpb.Envelope) error {
	generation := s.local.Generation()
	var buf []byte
	for i, env := range batch {
		env.Generation = generation
		before := len(buf)
		var err error
		if buf, err = appendMessage(buf, env); err != nil {
			return err
		}
		countControlMessage(env, s.regionPair, len(buf)-before)
		if len(buf) < batchBytes && i < len(batch)-1 {
			continue
		}
		if _, err := s.control.Write(buf); err != nil {
			return eris.Wrap(ErrClosed, err.Error())
		}
		buf = buf[:0]
	}
	return nil
}

func (s *Session) heartbeat() *peerpb.Envelope {
	hb := &peerpb.Heartbeat{Draining: s.local.Draining()}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: hb}}
}

// monitorPeer closes the session if no messages arrive from the peer, and measures the
// round-trip time every pingInterval. It schedules its next call after heartbeatInterval,
// until the session ends.
func (s *Session) monitorPeer(check int) {
	select {
	case <-s.done:
		return
	default:
	}
	if s.liveness.check(s.receivedMessages.Load()) {
		s.close(eris.Wrapf(ErrClosed, "no message for %v", heartbeatTimeout))
		return
	}
	if check%int(pingInterval/heartbeatInterval) == 0 {
		go s.measureRTT()
	}
	time.AfterFunc(heartbeatInterval, func() { s.monitorPeer(check + 1) })
}

func (s *Session) measureRTT() {
	if rtt, err := s.mux.Ping(); err == nil {
		s.rtt.Store(int64(rtt))
	}
}

func (s *Session) acceptLoop(h Handler) {
	for {
		conn, err := s.mux.Accept()
		if err != nil {
			s.close(eris.Wrap(ErrClosed, err.Error()))
			return
		}
		go h.Stream(s, newStream(conn, s.regionPair))
	}
}

func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = acceptBacklog
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.LogOutput = io.Discard
	return cfg
}
