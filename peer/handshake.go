package peer

import (
	"bufio"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// maxProcessors is the most processor time of a process, in cores.
const maxProcessors = 1 << 16

// dialHandshake performs the handshake on a dialed connection and returns the
// session. An empty expectedID accepts any peer.
func dialHandshake(conn net.Conn, local *Local, expectedID fleet.NodeID) (*Session, error) {
	counting := &countingConn{Conn: &coalescingConn{Conn: conn}}
	mux, err := yamux.Client(counting, muxConfig())
	if err != nil {
		return nil, eris.Wrap(ErrHandshake, err.Error())
	}
	s, err := handshake(mux, mux.Open, local, expectedID)
	if err != nil {
		mux.Close()
		return nil, err
	}
	s.dialed = true
	counting.setRegionPair(s.regionPair)
	return s, nil
}

// acceptHandshake performs the handshake on an accepted connection and returns the
// session.
func acceptHandshake(conn net.Conn, local *Local) (*Session, error) {
	counting := &countingConn{Conn: &coalescingConn{Conn: conn}}
	mux, err := yamux.Server(counting, muxConfig())
	if err != nil {
		return nil, eris.Wrap(ErrHandshake, err.Error())
	}
	// Accept has no deadline; without the timer, a peer that never opens its control
	// stream would block the handshake forever.
	timer := time.AfterFunc(handshakeTimeout, func() { mux.Close() })
	s, err := handshake(mux, mux.Accept, local, "")
	timer.Stop()
	if err != nil {
		mux.Close()
		return nil, err
	}
	counting.setRegionPair(s.regionPair)
	return s, nil
}

// handshake opens or accepts the control stream, exchanges hellos and validates the
// peer's.
func handshake(mux *yamux.Session, open func() (net.Conn, error), local *Local, expectedID fleet.NodeID) (*Session, error) {
	control, err := open()
	if err != nil {
		return nil, eris.Wrap(ErrHandshake, err.Error())
	}
	deadline := time.Now().Add(handshakeTimeout)
	if err := control.SetDeadline(deadline); err != nil {
		return nil, eris.Wrap(ErrHandshake, err.Error())
	}
	reader := bufio.NewReaderSize(control, controlReadBuffer)
	helloEnvelope, err := exchangeHello(control, reader, local)
	if err != nil {
		return nil, err
	}
	remote := helloEnvelope.GetHello()
	if err := checkHello(remote, local, expectedID); err != nil {
		return nil, err
	}
	clearUnsound(remote)
	if err := control.SetDeadline(time.Time{}); err != nil {
		return nil, eris.Wrap(ErrHandshake, err.Error())
	}
	s := &Session{
		mux:           mux,
		control:       control,
		reader:        reader,
		local:         local,
		remote:        remote,
		helloEnvelope: helloEnvelope,
		regionPair:    regionPair(fleet.RegionID(local.Hello.GetRegion()), fleet.RegionID(remote.GetRegion())),
		queue:         newSendQueue(),
		done:          make(chan struct{}),
		log:           zap.NewNop(),
		loggedUnsound: make(map[string]bool),
	}
	return s, nil
}

// exchangeHello sends the hello of this process and returns the envelope with the
// peer's.
func exchangeHello(control net.Conn, reader *bufio.Reader, local *Local) (*peerpb.Envelope, error) {
	out := &peerpb.Envelope{
		Generation: local.Generation(),
		Body:       &peerpb.Envelope_Hello{Hello: local.Hello},
	}
	if _, err := writeMessage(control, out); err != nil {
		return nil, eris.Wrap(ErrHandshake, err.Error())
	}
	in := &peerpb.Envelope{}
	if err := readMessage(reader, in, MaxFrameBytes); err != nil {
		return nil, eris.Wrap(ErrHandshake, err.Error())
	}
	if in.GetHello() == nil {
		return nil, eris.Wrap(ErrHandshake, "first message is not a hello")
	}
	return in, nil
}

func checkHello(remote *peerpb.Hello, local *Local, expectedID fleet.NodeID) error {
	if remote.GetProtocolVersion() != ProtocolVersion {
		return eris.Wrapf(ErrHandshake, "protocol version %d, expected %d", remote.GetProtocolVersion(), ProtocolVersion)
	}
	if remote.GetId() == "" || remote.GetRole() == peerpb.Role_ROLE_UNSPECIFIED {
		return eris.Wrap(ErrHandshake, "hello has no id or no role")
	}
	if remote.GetRole() > peerpb.Role_ROLE_SIDECAR || remote.GetRole() < 0 {
		return eris.Wrapf(ErrHandshake, "unknown role %d", remote.GetRole())
	}
	if max(len(remote.GetId()), len(remote.GetRegion()), len(remote.GetFailureDomain())) > maxNameBytes {
		return eris.Wrapf(ErrHandshake, "a name is longer than %d bytes", maxNameBytes)
	}
	if remote.GetId() == local.Hello.GetId() {
		return eris.Wrap(ErrHandshake, "peer has the same id as this process")
	}
	if expectedID != "" && remote.GetId() != string(expectedID) {
		return eris.Wrapf(ErrHandshake, "peer id is %q, expected %q", remote.GetId(), expectedID)
	}
	return nil
}

// clearUnsound removes the values of a hello that can't be true. Its sender is then taken for
// one that doesn't report them.
func clearUnsound(remote *peerpb.Hello) {
	if !(remote.Processors >= 0 && remote.Processors <= maxProcessors) {
		remote.Processors = 0
	}
	if remote.PeerAddress != "" && !isAddress(remote.PeerAddress) {
		remote.PeerAddress = ""
	}
}
