package gateway_test

import (
	"encoding/json"
	"math"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/gateway"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// answeringRouter is a router that reports each configuration that it is sent.
type answeringRouter struct {
	up      chan *peer.Session
	answers chan struct{}
}

func (a *answeringRouter) SessionUp(s *peer.Session)               { a.up <- s }
func (a *answeringRouter) SessionDown(*peer.Session, error)        {}
func (a *answeringRouter) Stream(_ *peer.Session, st *peer.Stream) { st.Close() }
func (a *answeringRouter) Message(_ *peer.Session, env *peerpb.Envelope) {
	if env.GetRoutingSnapshot() != nil {
		a.answers <- struct{}{}
	}
}

// fuzzedRouter sends arbitrary messages to a gateway.
type fuzzedRouter struct {
	*answeringRouter
	session    *peer.Session
	generation atomic.Uint64
}

func connectFuzzed(f *testing.F, n *node) *fuzzedRouter {
	f.Helper()
	r := &fuzzedRouter{answeringRouter: &answeringRouter{up: make(chan *peer.Session, 1), answers: make(chan struct{}, 1)}}
	local := &peer.Local{
		Hello: &peerpb.Hello{
			ProtocolVersion: peer.ProtocolVersion, Id: "fuzzed", Incarnation: 1, Role: peerpb.Role_ROLE_ROUTER, Region: "r1", FailureDomain: "d2",
		},
		Generation: r.generation.Load, Draining: func() bool { return false },
	}
	network := peer.NewNetwork(local, r, zap.NewNop(), nil, nil)
	network.SetTargets(f.Context(), []peer.Target{{Address: n.peer}})
	f.Cleanup(network.Wait)
	NewWithT(f).Eventually(r.up, eventuallyTimeout).Should(Receive(&r.session))
	return r
}

// send sends a message and waits until the gateway has handled it.
func (r *fuzzedRouter) send(t *testing.T, env *peerpb.Envelope) {
	t.Helper()
	r.generation.Store(env.GetGeneration())
	r.session.Send(env)
	r.session.Send(&peerpb.Envelope{Body: &peerpb.Envelope_RoutingRequest{RoutingRequest: &peerpb.RoutingRequest{}}})
	select {
	case <-r.answers:
	case <-r.session.Done():
		t.Fatal("the session was closed")
	case <-time.After(eventuallyTimeout):
		t.Fatal("the gateway does not answer")
	}
}

// withoutAddresses removes addresses from a message, so that nothing is dialed.
func withoutAddresses(env *peerpb.Envelope) {
	if load := env.GetLoadReport(); load != nil {
		load.Routers = nil
	}
	for _, r := range env.GetRegistryUpdate().GetRegistrations() {
		r.Address = "127.0.0.1:9"
	}
}

func fuzzSeeds() []*peerpb.Envelope {
	full := &peerpb.ServiceLoad{
		Service: "engines", Full: true, Speed: &peerpb.EngineSpeed{Rate: math.Inf(1), OverheadUs: 3},
		Upstreams:     []*peerpb.UpstreamLoad{{Upstream: "e1", Prefill: math.MaxUint32, Running: 3, Memory: 4}},
		Teams:         []*peerpb.TeamUsage{{Team: "t", Asked: float32(math.NaN()), Served: 2, HomeRegions: "r1"}},
		EngineFactors: []*peerpb.EngineFactor{{Upstream: "e1", LogFactor: 1, Weight: 2}},
		Prompts:       []*peerpb.SentPrompt{{Upstream: "e1", Parts: []uint64{1, 2}, Tokens: []uint32{3, 4}}},
	}
	report := &peerpb.LoadReport{
		RegistryRevision: 9, Services: []*peerpb.ServiceLoad{full}, Domains: []*peerpb.DomainLoad{{FailureDomain: "d3", Services: []*peerpb.ServiceLoad{full}}},
		StoreAgeMs: 5, Evacuations: &peerpb.Evacuations{Revision: 7, FailureDomains: []string{"d1", ""}}, Draining: true, Unready: true,
	}
	parts := []*peerpb.SuspectPart{{Id: 1, Name: "é", Waiting: true}, {Id: 2, Parent: 1, Cleared: true}, {}}
	return []*peerpb.Envelope{
		{Generation: 3, Body: &peerpb.Envelope_LoadReport{LoadReport: report}},
		{Body: &peerpb.Envelope_Heartbeat{Heartbeat: &peerpb.Heartbeat{Draining: true}}},
		{Body: &peerpb.Envelope_RegistryRequest{RegistryRequest: &peerpb.RegistryRequest{After: 1}}},
		{Body: &peerpb.Envelope_RegistryUpdate{RegistryUpdate: &peerpb.RegistryUpdate{Revision: math.MaxUint64, Registrations: []*peerpb.Registration{{Upstream: "x", Service: "engines", Slots: 1, Revision: 5}}}}},
		{Body: &peerpb.Envelope_Crashes{Crashes: &peerpb.CrashUpdate{Crashes: []*peerpb.Crash{{Id: "c", Service: "engines", AgeMs: 1, Parts: parts}, {Refuted: true}}}}},
		{Body: &peerpb.Envelope_PartTrial{PartTrial: &peerpb.PartTrial{Id: 1}}},
		{Body: &peerpb.Envelope_Limits{Limits: &peerpb.LimitUpdate{Limits: []*peerpb.UpstreamLimit{{Service: "engines", Upstream: "e1", StartedUnixMs: 1, Rate: math.Inf(1), Version: math.MaxUint64}}}}},
		{Body: &peerpb.Envelope_Suspects{Suspects: &peerpb.SuspectUpdate{Suspects: []*peerpb.Suspect{{Digest: "d", CrashIds: []string{"a", "b", "c"}, ExpiresUnixMs: math.MaxUint64}}}}},
		{Body: &peerpb.Envelope_RoutingSnapshot{RoutingSnapshot: &peerpb.RoutingSnapshot{Definition: []byte(`{"Version":2,"Services":[{"ID":"engines","Engine":{"Slots":-1}}]}`)}}},
	}
}

// FuzzPeerMessages checks that no message of another router ends the session, keeps the state
// from being read, or names a team or a router without a limit.
func FuzzPeerMessages(f *testing.F) {
	for _, env := range fuzzSeeds() {
		data, err := proto.Marshal(env)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	store := storeOf(definition(1), startServer(f, "e1", "engines", respondDone))
	n := startGateway(f, "g1", store, func(o *gateway.Options) { follow(o) })
	awaitReady(f, n)
	r := connectFuzzed(f, n)
	f.Fuzz(func(t *testing.T, data []byte) {
		env := &peerpb.Envelope{}
		if proto.Unmarshal(data, env) != nil || env.GetHello() != nil || env.GetRoutingRequest() != nil {
			return
		}
		withoutAddresses(env)
		r.send(t, env)
		state := n.State()
		if _, err := json.Marshal(state); err != nil {
			t.Fatalf("state after %v: %v", env, err)
		}
		checkBounds(t, state)
	})
}

// checkBounds fails if a gateway holds what no router can have reported truly.
func checkBounds(t *testing.T, state gateway.State) {
	t.Helper()
	for service, view := range state.Services {
		for team := range view.Teams {
			if len(team) > 1<<10 {
				t.Fatalf("team with a name of %d bytes", len(team))
			}
		}
		for upstream, u := range view.Upstreams {
			if u.Running < 0 || u.MemoryTokens < 0 || u.BacklogTokens < 0 || u.BacklogTokens > 1<<40 {
				t.Fatalf("%s of %s: %+v", upstream, service, u)
			}
		}
	}
	if evacuations := state.Evacuations; len(evacuations.Domains) > 256 {
		t.Fatalf("%d evacuated domains", len(evacuations.Domains))
	}
	for _, part := range state.BlamedParts {
		if part.ID == 0 {
			t.Fatal("a part without an ID is blamed")
		}
	}
	var none fleet.FailureDomainID
	if _, ok := state.Evacuations.Domains[none]; ok {
		t.Fatal("a domain without a name is evacuated")
	}
}
