package peer

import (
	"errors"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// FuzzCheck checks that what is left of a message is sound, can be sent on, and is left
// unchanged by a second check.
func FuzzCheck(f *testing.F) {
	for _, m := range unsoundMessages() {
		data, err := proto.Marshal(m[0])
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	now := time.Unix(1_700_000_000, 0)
	f.Fuzz(func(t *testing.T, data []byte) {
		env := &peerpb.Envelope{}
		if proto.Unmarshal(data, env) != nil {
			return
		}
		check(now, env)
		left, err := proto.Marshal(env)
		if err != nil {
			t.Fatal(err)
		}
		again := &peerpb.Envelope{}
		if err := proto.Unmarshal(left, again); err != nil {
			t.Fatal(err)
		}
		if out := check(now, again); len(out) > 0 {
			t.Fatalf("left out by the second check: %v of %v", out, env)
		}
		for _, s := range env.GetLoadReport().GetServices() {
			for _, team := range s.GetTeams() {
				if sum := float64(team.GetAsked() + team.GetServed()); math.IsNaN(sum) || math.IsInf(sum, 0) || sum < 0 {
					t.Fatalf("usage %v", team)
				}
			}
		}
	})
}

// FuzzHello checks that a hello either is refused or has sound values.
func FuzzHello(f *testing.F) {
	for _, hello := range []*peerpb.Hello{
		newLocal("a", ProtocolVersion).Hello,
		{ProtocolVersion: ProtocolVersion, Id: "a", Role: 7, Processors: float32(math.NaN()), PeerAddress: "nowhere"},
		{ProtocolVersion: ProtocolVersion, Id: overLong, Role: peerpb.Role_ROLE_ROUTER, Incarnation: math.MaxUint64},
	} {
		data, err := proto.Marshal(hello)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	local := newLocal("b", ProtocolVersion)
	f.Fuzz(func(t *testing.T, data []byte) {
		hello := &peerpb.Hello{}
		if proto.Unmarshal(data, hello) != nil {
			return
		}
		if err := checkHello(hello, local, ""); err != nil {
			if !errors.Is(err, ErrHandshake) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		clearUnsound(hello)
		knownRole := hello.GetRole() == peerpb.Role_ROLE_ROUTER || hello.GetRole() == peerpb.Role_ROLE_SIDECAR
		if !knownRole || !isName(hello.GetId()) || hello.GetId() == local.Hello.GetId() || len(hello.GetRegion()) > maxNameBytes {
			t.Fatalf("accepted %v", hello)
		}
		if p := hello.GetProcessors(); !(p >= 0 && p <= maxProcessors) {
			t.Fatalf("processor time %v", p)
		}
	})
}
