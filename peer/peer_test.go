package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newLocal(id string, version uint32) *Local {
	return &Local{
		Hello:      &peerpb.Hello{ProtocolVersion: version, Id: id, Role: peerpb.Role_ROLE_ROUTER},
		Generation: func() uint64 { return 7 },
		Draining:   func() bool { return false },
	}
}

// recordingHandler is a Handler that records the events of sessions.
type recordingHandler struct {
	mu       sync.Mutex
	messages []*peerpb.Envelope
	up, down chan *Session
	streams  chan *Stream
}

func newRecordingHandler() *recordingHandler {
	return &recordingHandler{up: make(chan *Session, 1), down: make(chan *Session, 1), streams: make(chan *Stream, 1)}
}

func (r *recordingHandler) SessionUp(s *Session)            { r.up <- s }
func (r *recordingHandler) SessionDown(s *Session, _ error) { r.down <- s }
func (r *recordingHandler) Stream(_ *Session, st *Stream)   { r.streams <- st }
func (r *recordingHandler) Message(_ *Session, env *peerpb.Envelope) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, env)
}

// tcpConnPair returns both ends of a TCP connection over the loopback interface.
func tcpConnPair(t *testing.T) (client, server net.Conn) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	client, err = net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	server, err = ln.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, server
}

// handshakePair runs the handshake on both ends of a TCP connection.
func handshakePair(t *testing.T, dialing, accepting *Local) (dialed, accepted *Session, dialErr, acceptErr error) {
	client, server := tcpConnPair(t)
	var wg sync.WaitGroup
	wg.Go(func() { accepted, acceptErr = acceptHandshake(server, accepting) })
	dialed, dialErr = dialHandshake(client, dialing, "")
	wg.Wait()
	t.Cleanup(func() {
		for _, s := range []*Session{dialed, accepted} {
			if s != nil {
				s.Close()
			}
		}
	})
	return dialed, accepted, dialErr, acceptErr
}

func TestHandshakeRefuses(t *testing.T) {
	withoutRole := newLocal("b", ProtocolVersion)
	withoutRole.Hello.Role = peerpb.Role_ROLE_UNSPECIFIED
	for name, accepting := range map[string]*Local{
		"another protocol version": newLocal("b", ProtocolVersion+1),
		"the id of this process":   newLocal("a", ProtocolVersion),
		"no id":                    newLocal("", ProtocolVersion),
		"no role":                  withoutRole,
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err, _ := handshakePair(t, newLocal("a", ProtocolVersion), accepting)
			NewWithT(t).Expect(err).To(MatchError(ErrHandshake))
		})
	}
	t.Run("another id than the one dialed", func(t *testing.T) {
		client, server := tcpConnPair(t)
		done := make(chan struct{})
		go func() {
			defer close(done)
			if s, err := acceptHandshake(server, newLocal("b", ProtocolVersion)); err == nil {
				s.Close()
			}
		}()
		_, err := dialHandshake(client, newLocal("a", ProtocolVersion), "c")
		<-done
		NewWithT(t).Expect(err).To(MatchError(ErrHandshake))
	})
}

// startSessionPair runs both ends of a session until the test ends.
func startSessionPair(t *testing.T) (a, b *Session, ra, rb *recordingHandler) {
	g := NewWithT(t)
	a, b, err, acceptErr := handshakePair(t, newLocal("a", ProtocolVersion), newLocal("b", ProtocolVersion))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(acceptErr).NotTo(HaveOccurred())
	ra, rb = newRecordingHandler(), newRecordingHandler()
	var wg sync.WaitGroup
	wg.Go(func() { _ = a.run(context.Background(), ra) })
	wg.Go(func() { _ = b.run(context.Background(), rb) })
	t.Cleanup(func() {
		a.Close()
		b.Close()
		wg.Wait()
	})
	g.Eventually(ra.up).Should(Receive())
	g.Eventually(rb.up).Should(Receive())
	return a, b, ra, rb
}

func TestMessagesCarryTheGeneration(t *testing.T) {
	g := NewWithT(t)
	a, _, _, rb := startSessionPair(t)
	a.Send(&peerpb.Envelope{Body: &peerpb.Envelope_Grant{Grant: &peerpb.Grant{Id: 3}}})
	g.Eventually(func() *peerpb.Envelope {
		rb.mu.Lock()
		defer rb.mu.Unlock()
		return rb.messages[len(rb.messages)-1]
	}).Should(Satisfy(func(env *peerpb.Envelope) bool {
		return env.GetGrant().GetId() == 3 && env.GetGeneration() == 7
	}))
}

func TestOversizedMessageClosesTheSession(t *testing.T) {
	g := NewWithT(t)
	a, _, ra, rb := startSessionPair(t)
	_, err := a.control.Write(binary.AppendUvarint(nil, MaxControlBytes+1))
	// yamux acknowledges a write only after sending it. By then the peer may have
	// closed the session; the cause checked below shows that it read the length.
	g.Expect(err).To(Or(Not(HaveOccurred()), MatchError(yamux.ErrSessionShutdown)))
	var closed *Session
	g.Eventually(rb.down).Should(Receive(&closed))
	g.Expect(closed.cause).To(MatchError(ErrMessage))
	g.Eventually(ra.down).Should(Receive())
	g.Expect(a.Done()).To(BeClosed())
	_, err = a.OpenStream()
	g.Expect(err).To(MatchError(ErrClosed))
}

func TestFullQueueClosesTheSession(t *testing.T) {
	a, _, err, _ := handshakePair(t, newLocal("a", ProtocolVersion), newLocal("b", ProtocolVersion))
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	for range sendQueueLength + 1 {
		a.Send(&peerpb.Envelope{})
	}
	g.Expect(a.Done()).To(BeClosed())
}

func TestSessionTimesOutWithoutControlMessages(t *testing.T) {
	g := NewWithT(t)
	a, b, err, _ := handshakePair(t, newLocal("a", ProtocolVersion), newLocal("b", ProtocolVersion))
	g.Expect(err).NotTo(HaveOccurred())
	// The handshake started yamux on the peer, so that it answers pings, but no session
	// runs there and so no heartbeats are sent.
	ra := newRecordingHandler()
	a.liveness.missedChecks = maxMissedChecks
	done := make(chan error, 1)
	go func() { done <- a.run(t.Context(), ra) }()
	g.Eventually(done, 2*heartbeatTimeout).Should(Receive(MatchError(ErrClosed)))
	b.Close()
}

func TestReceiveBodyDetectsIncompleteBodies(t *testing.T) {
	body := bytes.Repeat([]byte("b"), 3*ChunkBytes+1)
	sendBody := func(st *Stream) { _ = st.SendData(body) }
	sendEnd := func(n int) func(*Stream) {
		return func(st *Stream) { _ = st.SendEnd(&peerpb.End{BodyBytes: uint64(n)}) }
	}
	cases := []struct {
		name  string
		send  []func(*Stream)
		limit int
		err   error
	}{
		{"whole", []func(*Stream){sendBody, sendEnd(len(body))}, len(body), nil},
		{"no end frame", []func(*Stream){sendBody}, len(body), ErrTruncated},
		{"length mismatch", []func(*Stream){sendBody, sendEnd(len(body) - 1)}, len(body), ErrTruncated},
		{"over the limit", []func(*Stream){sendBody, sendEnd(len(body))}, len(body) - 1, ErrMessage},
		{"unexpected frame", []func(*Stream){func(st *Stream) { _ = st.Send(&peerpb.Frame{}) }}, len(body), ErrMessage},
		{"partial frame", []func(*Stream){func(st *Stream) { _, _ = st.conn.Write([]byte{100, 1}) }}, len(body), ErrMessage},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			a, _, _, rb := startSessionPair(t)
			st, err := a.OpenStream()
			g.Expect(err).NotTo(HaveOccurred())
			for _, send := range c.send {
				send(st)
			}
			st.Close()
			var received *Stream
			g.Eventually(rb.streams).Should(Receive(&received))
			defer received.Close()
			got, err := received.ReceiveBody(uint64(c.limit))
			if c.err != nil {
				g.Expect(err).To(MatchError(c.err))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got).To(Equal(body))
		})
	}
}

func FuzzReadMessage(f *testing.F) {
	var seed bytes.Buffer
	_, _ = writeMessage(&seed, &peerpb.Envelope{Generation: 7, Body: &peerpb.Envelope_Hello{Hello: &peerpb.Hello{Id: "a"}}})
	f.Add(seed.Bytes())
	f.Add(seed.Bytes()[:3])
	f.Add([]byte{})
	f.Add([]byte{0})
	f.Add(bytes.Repeat([]byte{0xff}, 11))
	f.Add(binary.AppendUvarint(nil, 1<<40))
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 1 << 10
		r := bufio.NewReader(bytes.NewReader(data))
		for {
			env := &peerpb.Envelope{}
			err := readMessage(r, env, limit)
			if errors.Is(err, io.EOF) {
				return
			}
			if err != nil {
				NewWithT(t).Expect(err).To(MatchError(ErrMessage))
				return
			}
			if proto.Size(env) > limit+binary.MaxVarintLen64 {
				t.Fatalf("message of %d bytes exceeds the limit", proto.Size(env))
			}
		}
	})
}
