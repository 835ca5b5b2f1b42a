package peer

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// overLong is longer than any name.
var overLong = strings.Repeat("x", maxNameBytes+1)

func accounts(virtualTime float64, entries ...*peerpb.AccountEntry) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_AccountReport{AccountReport: &peerpb.AccountReport{Seq: 1, VirtualTime: virtualTime, Entries: entries}}}
}

func limits(list ...*peerpb.UpstreamLimit) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Limits{Limits: &peerpb.LimitUpdate{Limits: list}}}
}

func limit(change func(*peerpb.UpstreamLimit)) *peerpb.UpstreamLimit {
	l := &peerpb.UpstreamLimit{Service: "s", Upstream: "u", StartedUnixMs: 1, Rate: 2, Version: 3}
	change(l)
	return l
}

// unsoundMessages holds messages with what remains of them.
func unsoundMessages() map[string][2]*peerpb.Envelope {
	nan, inf := math.NaN(), math.Inf(1)
	sound := &peerpb.AccountEntry{Team: "sound", Charged: 1}
	soundLimit := limit(func(*peerpb.UpstreamLimit) {})
	messages := map[string][2]*peerpb.Envelope{
		"generation that is no version": {{Generation: math.MaxUint64}, {}},
		"virtual time is no number":     {accounts(nan, sound), {}},
		"infinite virtual time":         {accounts(inf, sound), {}},
		"charge is no number":           {accounts(1, sound, &peerpb.AccountEntry{Team: "t", Charged: nan}), accounts(1, sound)},
		"negative charge":               {accounts(1, sound, &peerpb.AccountEntry{Team: "t", Charged: -1}), accounts(1, sound)},
		"echo is no number": {
			accounts(1, &peerpb.AccountEntry{Team: "t", Echo: &peerpb.AccountEcho{Lift: nan}}, sound), accounts(1, sound),
		},
		"team without a name":    {accounts(1, sound, &peerpb.AccountEntry{Charged: 1}), accounts(1, sound)},
		"team's name too long":   {accounts(1, sound, &peerpb.AccountEntry{Team: overLong, Charged: 1}), accounts(1, sound)},
		"limit is infinite":      {limits(limit(func(l *peerpb.UpstreamLimit) { l.Rate = inf }), soundLimit), limits(soundLimit)},
		"limit is no number":     {limits(limit(func(l *peerpb.UpstreamLimit) { l.Rate = nan }), soundLimit), limits(soundLimit)},
		"limit's version":        {limits(limit(func(l *peerpb.UpstreamLimit) { l.Version = math.MaxUint64 }), soundLimit), limits(soundLimit)},
		"limit of the future":    {limits(limit(func(l *peerpb.UpstreamLimit) { l.StartedUnixMs = math.MaxInt64 }), soundLimit), limits(soundLimit)},
		"limit of no upstream":   {limits(limit(func(l *peerpb.UpstreamLimit) { l.Upstream = "" }), soundLimit), limits(soundLimit)},
		"registry of the future": {registryOf(math.MaxUint64, 7), registryOf(7, 7)},
		"registry ahead of all":  {registryOf(1<<40, 7), registryOf(7, 7)},
	}
	return messages
}

// registryOf returns an update with one registration that changed at a revision.
func registryOf(revision, changed uint64) *peerpb.Envelope {
	update := &peerpb.RegistryUpdate{Revision: revision, Registrations: []*peerpb.Registration{{Upstream: "u", Revision: changed}}}
	return &peerpb.Envelope{Body: &peerpb.Envelope_RegistryUpdate{RegistryUpdate: update}}
}

// TestUnsoundPartsOfMessagesAreLeftOut guards against handlers that act on values of a
// corrupted peer, and against the loss of what is sound in the same message.
func TestUnsoundPartsOfMessagesAreLeftOut(t *testing.T) {
	for name, m := range unsoundMessages() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, _, _, rb := startSessionPair(t)
			sent := m[0].GetGeneration()
			a.local.Generation = func() uint64 { return sent }
			a.Send(m[0])
			a.Send(&peerpb.Envelope{Body: &peerpb.Envelope_Grant{Grant: &peerpb.Grant{Id: 3}}})
			received := func() int {
				rb.mu.Lock()
				defer rb.mu.Unlock()
				return len(rb.messages)
			}
			g.Eventually(received).Should(BeNumerically(">=", 3))
			rb.mu.Lock()
			defer rb.mu.Unlock()
			g.Expect(rb.messages[1].String()).To(Equal(m[1].String()), "what is sound")
		})
	}
}

// TestSoundMessagesAreUnchanged guards against a check that leaves out what processes send.
func TestSoundMessagesAreUnchanged(t *testing.T) {
	now := time.Now()
	load := &peerpb.LoadReport{
		RegistryRevision: 7, Routers: []*peerpb.RouterAddress{{Id: "r", Address: "10.0.0.1:7000"}, {Id: "r6", Address: "[::1]:1"}},
		Evacuations: &peerpb.Evacuations{Revision: 9, FailureDomains: []string{"d1"}},
		Services: []*peerpb.ServiceLoad{{
			Service: "s", Full: true, Speed: &peerpb.EngineSpeed{Rate: 5000, OverheadUs: 20_000},
			Upstreams:     []*peerpb.UpstreamLoad{{Upstream: "u", Prefill: 100_000, Running: 60, Memory: 400_000}},
			Teams:         []*peerpb.TeamUsage{{Asked: 1e9, Served: 1e9}, {Team: "t", HomeRegions: "r1,r2"}},
			EngineFactors: []*peerpb.EngineFactor{{Upstream: "u", LogFactor: -1.4, Weight: 3}, {Upstream: "v"}},
			Prompts:       []*peerpb.SentPrompt{{Upstream: "u", Parts: []uint64{1, 2}, Tokens: []uint32{0, 900_000}}},
		}},
		Domains: []*peerpb.DomainLoad{{FailureDomain: "d2", Services: []*peerpb.ServiceLoad{{Service: "s"}}}},
	}
	for i, env := range []*peerpb.Envelope{
		{Generation: math.MaxInt64, Body: &peerpb.Envelope_LoadReport{LoadReport: load}},
		accounts(-1, &peerpb.AccountEntry{Team: "t", Charged: 1e15, Active: true, Echo: &peerpb.AccountEcho{Lift: -2}}),
		limits(limit(func(l *peerpb.UpstreamLimit) { l.StartedUnixMs = now.UnixMilli() }), limit(func(l *peerpb.UpstreamLimit) { l.Ended, l.Rate = true, 0 })),
		registryOf(1<<40, 1<<40), registryOf(5, 6),
		{Body: &peerpb.Envelope_Crashes{Crashes: &peerpb.CrashUpdate{Crashes: []*peerpb.Crash{{Id: "c", Parts: []*peerpb.SuspectPart{{Id: 1}}}}}}},
		{Body: &peerpb.Envelope_Suspects{Suspects: &peerpb.SuspectUpdate{Suspects: []*peerpb.Suspect{{Digest: "d", CrashIds: []string{"c"}}}}}},
		{Body: &peerpb.Envelope_Load{Load: &peerpb.Load{Slots: 64, FreeSlots: 3}}},
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			g := NewWithT(t)
			before := proto.CloneOf(env)
			g.Expect(check(now, env)).To(BeEmpty())
			g.Expect(proto.Equal(env, before)).To(BeTrue())
		})
	}
}
