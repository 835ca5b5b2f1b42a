package soak

import (
	"context"
	"fmt"
	"time"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

// drainWithin is the time in which a server whose entry was removed gets no more requests.
const drainWithin = 3 * time.Second

// addLeaver adds the server that registers and leaves again and again.
func (env *Environment) addLeaver(address string) error {
	p := &plainServer{serviceTime: 10 * time.Millisecond, slots: make(chan struct{}, plainSlots)}
	p.server = server{
		service: deskService, name: "leaver", slotLimit: plainSlots, handler: p, address: address, failureDomain: harness.FailureDomain(0),
		recorder: env.Recorder, rules: env.Rules,
	}
	env.leaver = p
	return p.serve()
}

// leaving is how a server leaves.
type leaving int

const (
	// plainly removes its entry.
	plainly leaving = iota
	// silently removes it just after the gateways' open connections to the platform went silent.
	silently
	// announced lets the server say in its responses that it leaves, and removes its entry later.
	announced
	// disturbed is like announced, but meanwhile its entry and the configuration change, and it starts
	// again under its identifier.
	disturbed
)

// leavings are all ways to leave.
var leavings = []leaving{plainly, silently, announced, disturbed}

// leave registers the leaving server as a new instance and removes its entry after a while. The
// server goes on serving. It must get no requests from drainWithin after the removal on, and none
// of a gateway from drainWithin after it has told that one.
func (env *Environment) leave(ctx context.Context, registered time.Duration, how leaving) error {
	s := &env.leaver.server
	if !s.restarting.TryLock() {
		return nil
	}
	defer s.restarting.Unlock()
	s.restarts.Add(1)
	if err := env.startLeaver(ctx, registered); err != nil {
		return err
	}
	switch how {
	case plainly:
	case silently:
		env.silencePlatform()
	case announced:
		s.selfReport.say(true, false)
		sleep(ctx, drainWithin+stableWindow)
	case disturbed:
		if err := env.disturbLeaver(ctx, uint64(registered)); err != nil {
			return err
		}
		if err := env.startLeaver(ctx, registered); err != nil {
			return err
		}
		if err := env.disturbLeaver(ctx, uint64(registered)+1); err != nil {
			return err
		}
	}
	if err := duringOutages(ctx, func() error { return env.Delete(ctx, standin.ServersKind, s.id()) }); err != nil {
		return err
	}
	env.Rules.beginLeaving(s.id())
	sleep(ctx, drainWithin+stableWindow/2)
	return nil
}

// silencePlatform makes the open connections of all gateways to the platform go silent.
func (env *Environment) silencePlatform() {
	for _, g := range env.Gateways {
		g.PlatformLink.Silence()
	}
}

// beginLeaving records the acknowledgement that a server's entry was removed.
func (r *Rules) beginLeaving(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving == nil {
		r.leaving = make(map[string]time.Time)
	}
	r.leaving[server] = time.Now()
}

// left describes an arrival at a server that has left; it is empty if there is none.
func (r *Rules) left(a Arrival) string {
	acknowledged, ok := r.leaving[a.Server]
	if !ok {
		return ""
	}
	deadline, due := r.deadline(a.Gateway, acknowledged, drainWithin)
	if !due || !a.ReceivedAt.After(deadline) {
		return ""
	}
	return fmt.Sprintf("%s arrived at %s at %s, whose entry was removed at %s; gateway %s had to know from %s",
		a.AttemptID, a.Server, a.ReceivedAt.Format(timeLayout), acknowledged.Format(timeLayout), a.Gateway, deadline.Format(timeLayout))
}
