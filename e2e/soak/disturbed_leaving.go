package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

const (
	// leavingSeedStream separates the draws of disturbances from others of the same seed.
	leavingSeedStream = 6
	// maxDisturbanceInterval bounds the time between two disturbances of a server that leaves.
	maxDisturbanceInterval = 500 * time.Millisecond
	// maxRegisteredBeforeLeaving bounds the time for which the server that leaves in each run is used
	// before.
	maxRegisteredBeforeLeaving = 3 * time.Second
)

// startLeaver starts the leaving server, which may run already, and registers it for a while.
func (env *Environment) startLeaver(ctx context.Context, registered time.Duration) error {
	s := &env.leaver.server
	s.Close()
	s.selfReport.forget()
	if err := s.serve(); err != nil {
		return err
	}
	if err := duringOutages(ctx, func() error { return env.register(ctx, s, 0) }); err != nil {
		return err
	}
	sleep(ctx, registered)
	return nil
}

// disturbLeaver lets the leaving server say that it leaves and ask for pauses, while its entry is
// replaced by those of another writer, removed and written again, and
// the configuration changes, as drawn from a seed. Its entry is sound in the end.
func (env *Environment) disturbLeaver(ctx context.Context, seed uint64) error {
	s := &env.leaver.server
	random := rand.New(rand.NewPCG(seed, leavingSeedStream))
	s.selfReport.say(true, random.IntN(2) == 0)
	for end := time.Now().Add(drainWithin + stableWindow); time.Now().Before(end); {
		if err := duringOutages(ctx, env.drawDisturbance(ctx, random)); err != nil {
			return err
		}
		sleep(ctx, time.Duration(random.Int64N(int64(maxDisturbanceInterval))))
		if err := duringOutages(ctx, func() error { return env.register(ctx, s, 0) }); err != nil {
			return err
		}
		sleep(ctx, time.Duration(random.Int64N(int64(maxDisturbanceInterval))))
	}
	return nil
}

// drawDisturbance returns a change that says nothing of whether the server leaves.
func (env *Environment) drawDisturbance(ctx context.Context, random *rand.Rand) func() error {
	s := &env.leaver.server
	sound := s.registration(0)
	odd := standin.OddRegistrations(sound)
	entry := odd[random.IntN(len(odd))]
	earlier := sound
	earlier.StartedUnixMs -= 1 + random.Int64N(time.Hour.Milliseconds())
	draining := sound
	draining.State = standin.ServerDraining
	changes := []func() error{
		func() error { return env.PutVerbatim(ctx, standin.ServersKind, s.id(), entry.Spec, entry.Revision) },
		func() error { return env.putLeaver(ctx, earlier) },
		func() error { return env.putLeaver(ctx, draining) },
		func() error { return env.Delete(ctx, standin.ServersKind, s.id()) },
		func() error { return env.configure(ctx) },
	}
	return changes[random.IntN(len(changes))]
}

// putLeaver writes an entry of the leaving server, also during an outage, as another writer does.
func (env *Environment) putLeaver(ctx context.Context, entry standin.Registration) error {
	spec, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	return env.PutVerbatim(ctx, standin.ServersKind, env.leaver.id(), string(spec), "")
}
