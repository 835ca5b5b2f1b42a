package gateway_test

import (
	"encoding/json"
	"math"
	"net"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/gateway"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// faultyRouter is a router that sends what a test gives it. It ignores what it receives.
type faultyRouter struct{ up chan *peer.Session }

func (f *faultyRouter) SessionUp(s *peer.Session)               { f.up <- s }
func (f *faultyRouter) SessionDown(*peer.Session, error)        {}
func (f *faultyRouter) Message(*peer.Session, *peerpb.Envelope) {}
func (f *faultyRouter) Stream(_ *peer.Session, st *peer.Stream) { st.Close() }

// connectFaulty connects a router to a gateway, with a change of its hello.
func connectFaulty(t testing.TB, n *node, change func(*peerpb.Hello)) *peer.Session {
	t.Helper()
	local := &peer.Local{
		Hello: &peerpb.Hello{
			ProtocolVersion: peer.ProtocolVersion, Id: "faulty", Incarnation: 1, Role: peerpb.Role_ROLE_ROUTER, Region: "r1", FailureDomain: "d2",
		},
		Source:     &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)},
		Generation: func() uint64 { return 0 }, Draining: func() bool { return false },
	}
	if change != nil {
		change(local.Hello)
	}
	f := &faultyRouter{up: make(chan *peer.Session, 1)}
	network := peer.NewNetwork(local, f, zap.NewNop(), nil, nil)
	network.SetTargets(t.Context(), []peer.Target{{Address: n.peer}})
	t.Cleanup(network.Wait)
	var s *peer.Session
	NewWithT(t).Eventually(f.up, eventuallyTimeout).Should(Receive(&s))
	return s
}

// report returns a full load report on the service of engines with one upstream.
func report(change func(*peerpb.ServiceLoad)) *peerpb.Envelope {
	load := &peerpb.ServiceLoad{
		Service: "engines", Full: true,
		Upstreams: []*peerpb.UpstreamLoad{{Upstream: "e1", Running: 1}},
		Teams:     []*peerpb.TeamUsage{{Team: "sound", Asked: 10, Served: 5}},
	}
	change(load)
	return &peerpb.Envelope{Body: &peerpb.Envelope_LoadReport{LoadReport: &peerpb.LoadReport{Services: []*peerpb.ServiceLoad{load}}}}
}

// TestUnsoundLoadsOfAPeerAreNotUsed guards against a corrupted router's numbers: requests
// refused everywhere, shares that are no number, and a state that can't be read.
func TestUnsoundLoadsOfAPeerAreNotUsed(t *testing.T) {
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	cases := map[string]func(*peerpb.ServiceLoad){
		"usage that is no number": func(l *peerpb.ServiceLoad) {
			l.Teams = append(l.Teams, &peerpb.TeamUsage{Team: "x", Asked: nan, Served: 1})
		},
		"infinite usage": func(l *peerpb.ServiceLoad) {
			l.Teams = append(l.Teams, &peerpb.TeamUsage{Team: "x", Asked: inf, Served: 1})
		},
		"negative usage": func(l *peerpb.ServiceLoad) {
			l.Teams = append(l.Teams, &peerpb.TeamUsage{Team: "x", Asked: -1e9, Served: -1e9})
		},
		"huge work": func(l *peerpb.ServiceLoad) {
			l.Upstreams = append(l.Upstreams, &peerpb.UpstreamLoad{Upstream: "e2", Prefill: math.MaxUint32, Running: math.MaxUint32, Memory: math.MaxUint32})
		},
		"infinite rate":  func(l *peerpb.ServiceLoad) { l.Speed = &peerpb.EngineSpeed{Rate: math.Inf(1)} },
		"vanishing rate": func(l *peerpb.ServiceLoad) { l.Speed = &peerpb.EngineSpeed{Rate: 1e-300} },
		"huge overhead":  func(l *peerpb.ServiceLoad) { l.Speed = &peerpb.EngineSpeed{Rate: 1000, OverheadUs: math.MaxUint32} },
		"infinite factor": func(l *peerpb.ServiceLoad) {
			l.EngineFactors = []*peerpb.EngineFactor{{Upstream: "e2", LogFactor: inf, Weight: inf}}
		},
		"over-long names": func(l *peerpb.ServiceLoad) {
			l.Teams = append(l.Teams, &peerpb.TeamUsage{Team: strings.Repeat("x", 1<<11), Asked: 1, Served: 1})
		},
		"prompt with lengths of other parts": func(l *peerpb.ServiceLoad) {
			l.Prompts = []*peerpb.SentPrompt{{Upstream: "e2", Parts: []uint64{1, 2}, Tokens: []uint32{100}}}
		},
		"huge prompt": func(l *peerpb.ServiceLoad) {
			l.Prompts = []*peerpb.SentPrompt{{Upstream: "e2", Parts: []uint64{1}, Tokens: []uint32{math.MaxUint32}}}
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n := startGatewayWith(t, startServer(t, "e1", "engines", respondDone), startServer(t, "e2", "engines", respondDone))
			sound := n.State().Services["engines"]
			connectFaulty(t, n, nil).Send(report(change))
			running := func() int { return n.State().Services["engines"].Upstreams["e1"].Running }
			g.Eventually(running, eventuallyTimeout, "1ms").Should(Equal(1), "what is sound in the same message counts")
			view := n.State().Services["engines"]
			_, err := json.Marshal(view)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(view.Upstreams["e2"]).To(Equal(sound.Upstreams["e2"]))
			g.Expect(view.PrefillRate).To(Equal(sound.PrefillRate))
			g.Expect(view.OverheadMs).To(Equal(sound.OverheadMs))
			g.Expect(view.Teams).To(HaveLen(1))
			g.Expect(view.Share).To(BeNumerically("==", 5))
		})
	}
}

// TestListsOfAPeerAreBounded guards against memory and connections that one corrupted router
// can make all others spend.
func TestListsOfAPeerAreBounded(t *testing.T) {
	g := NewWithT(t)
	n := startGatewayWith(t, startServer(t, "e1", "engines", respondDone))
	env := report(func(*peerpb.ServiceLoad) {})
	for _, address := range []string{"", "nowhere", "127.0.0.1:0", "127.0.0.1:99999", ":1", strings.Repeat("x", 1<<10) + ":1"} {
		env.GetLoadReport().Routers = append(env.GetLoadReport().Routers, &peerpb.RouterAddress{Id: "id" + address, Address: address})
	}
	env.GetLoadReport().Routers = append(env.GetLoadReport().Routers, &peerpb.RouterAddress{Address: "127.0.0.1:1"}, &peerpb.RouterAddress{Id: "sound", Address: "127.0.0.1:1"})
	connectFaulty(t, n, nil).Send(env)
	g.Eventually(func() map[fleet.NodeID]string { return gateway.RouterAddresses(n.Gateway) }, eventuallyTimeout).
		Should(Equal(map[fleet.NodeID]string{"sound": "127.0.0.1:1"}))
}
