package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// writeRecorder is a connection that records each write.
type writeRecorder struct {
	net.Conn
	writes [][]byte
}

func (w *writeRecorder) Write(p []byte) (int, error) {
	w.writes = append(w.writes, bytes.Clone(p))
	return len(p), nil
}

func dataHeader(length byte) []byte {
	return []byte{0, muxTypeData, 0, 0, 0, 0, 0, 1, 0, 0, 0, length}
}

func TestCoalescingConnJoinsHeaderAndBody(t *testing.T) {
	g := NewWithT(t)
	recorder := &writeRecorder{}
	conn := &coalescingConn{Conn: recorder}
	ping := []byte{0, 2, 0, 1, 0, 0, 0, 0, 0, 0, 0, 9}
	// This body has the form of a header; it must still be treated as a body.
	body := dataHeader(5)
	for _, p := range [][]byte{ping, dataHeader(12), body, dataHeader(0), dataHeader(3), []byte("abc"), ping} {
		n, err := conn.Write(p)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(Equal(len(p)))
	}
	g.Expect(recorder.writes).To(Equal([][]byte{
		ping,
		append(dataHeader(12), body...),
		dataHeader(0),
		append(dataHeader(3), "abc"...),
		ping,
	}))
}

func TestCoalescingConnReleasesLargeBuffers(t *testing.T) {
	g := NewWithT(t)
	conn := &coalescingConn{Conn: &writeRecorder{}}
	_, err := conn.Write(dataHeader(1))
	g.Expect(err).NotTo(HaveOccurred())
	n, err := conn.Write(make([]byte, ChunkBytes))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(ChunkBytes))
	g.Expect(cap(conn.buffer)).To(BeNumerically("<=", maxRetainedBuffer))
}

// Guards against data that is lost or reordered when the writes of yamux are coalesced.
func TestCoalescingConnCarriesYamux(t *testing.T) {
	g := NewWithT(t)
	a, b := net.Pipe()
	client, err := yamux.Client(&coalescingConn{Conn: a}, muxConfig())
	g.Expect(err).NotTo(HaveOccurred())
	defer client.Close()
	server, err := yamux.Server(&coalescingConn{Conn: b}, muxConfig())
	g.Expect(err).NotTo(HaveOccurred())
	defer server.Close()
	sent := bytes.Repeat([]byte("0123456789ab"), 100_000)
	go func() {
		st, err := client.Open()
		if err != nil {
			return
		}
		for rest := sent; len(rest) > 0; {
			n := min(len(rest), 1+len(rest)%997)
			if _, err := st.Write(rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
		}
		st.Close()
	}()
	st, err := server.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	got, err := io.ReadAll(st)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.Equal(got, sent)).To(BeTrue())
}

func TestSendQueue(t *testing.T) {
	g := NewWithT(t)
	q := newSendQueue()
	for i := range sendQueueLength {
		g.Expect(q.put(&peerpb.Envelope{Generation: uint64(i)})).To(BeTrue())
	}
	g.Expect(q.put(&peerpb.Envelope{})).To(BeFalse())
	g.Expect(q.ready).To(Receive())
	g.Expect(q.ready).NotTo(Receive())
	for i, env := range q.takeAll() {
		g.Expect(env.GetGeneration()).To(Equal(uint64(i)))
	}
	g.Expect(q.put(&peerpb.Envelope{})).To(BeTrue())
	g.Expect(q.ready).To(Receive())
}

// grantRecorder is a Handler that records the ids of received grants.
type grantRecorder struct {
	up     chan *Session
	down   chan error
	grants chan uint64
}

func newGrantRecorder() *grantRecorder {
	return &grantRecorder{up: make(chan *Session, 1), down: make(chan error, 1), grants: make(chan uint64, sendQueueLength)}
}

func (r *grantRecorder) SessionUp(s *Session)              { r.up <- s }
func (r *grantRecorder) SessionDown(_ *Session, err error) { r.down <- err }
func (r *grantRecorder) Stream(_ *Session, st *Stream)     { st.Close() }
func (r *grantRecorder) Message(_ *Session, env *peerpb.Envelope) {
	if g := env.GetGrant(); g != nil {
		r.grants <- g.GetId()
	}
}

// connectNetworks starts a session between two networks and returns their handlers. wrap
// is applied to the connection that the server accepts.
func connectNetworks(t *testing.T, wrap func(net.Conn) net.Conn) (client, server *grantRecorder) {
	g := NewWithT(t)
	client, server = newGrantRecorder(), newGrantRecorder()
	ctx, cancel := context.WithCancel(t.Context())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	n := benchNetwork("server", server)
	c := benchNetwork("client", client)
	done := make(chan error, 1)
	go func() { done <- n.Serve(ctx, &wrappingListener{Listener: ln, wrap: wrap}) }()
	c.SetTargets(ctx, []Target{{ID: fleet.NodeID("server"), Address: ln.Addr().String()}})
	t.Cleanup(func() {
		cancel()
		c.Wait()
		<-done
	})
	return client, server
}

// wrappingListener applies wrap to each accepted connection.
type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (l *wrappingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}

func TestSessionDeliversABurstInOrder(t *testing.T) {
	g := NewWithT(t)
	client, server := connectNetworks(t, func(c net.Conn) net.Conn { return c })
	var s *Session
	g.Eventually(server.up).Should(Receive(&s))
	g.Eventually(client.up).Should(Receive())
	const burst = sendQueueLength / 2
	for i := range uint64(burst) {
		s.Send(&peerpb.Envelope{Body: &peerpb.Envelope_Grant{Grant: &peerpb.Grant{Id: i, Team: benchTeam(int(i))}}})
	}
	for i := range uint64(burst) {
		g.Eventually(client.grants).Should(Receive(Equal(i)))
	}
	g.Eventually(s.RTT).Should(BeNumerically(">", 0))
}

// blackholeConn silently drops writes once discard is closed.
type blackholeConn struct {
	net.Conn
	discard <-chan struct{}
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	select {
	case <-c.discard:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

func TestSessionTimesOutWhenPeerPacketsAreLost(t *testing.T) {
	g := NewWithT(t)
	discard := make(chan struct{})
	client, server := connectNetworks(t, func(c net.Conn) net.Conn { return &blackholeConn{Conn: c, discard: discard} })
	g.Eventually(server.up).Should(Receive())
	g.Eventually(client.up).Should(Receive())
	close(discard)
	began := time.Now()
	g.Eventually(client.down, 3*heartbeatTimeout).Should(Receive(MatchError(ErrClosed)))
	g.Expect(time.Since(began)).To(BeNumerically("<", heartbeatTimeout+2*heartbeatInterval))
}
