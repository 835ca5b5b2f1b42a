package soak

import (
	"context"
	"time"

	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

// evacuateFor evacuates a failure domain for the given time from the platform's
// acknowledgement. It does nothing while another evacuation of the domain lasts.
func (env *Environment) evacuateFor(ctx context.Context, failureDomain string, duration time.Duration) error {
	if _, lasts := env.evacuating.LoadOrStore(failureDomain, true); lasts {
		return nil
	}
	defer env.evacuating.Delete(failureDomain)
	if err := duringOutages(ctx, func() error { return env.Evacuate(ctx, failureDomain) }); err != nil {
		return err
	}
	env.Rules.beginEvacuation(failureDomain)
	sleep(ctx, duration)
	env.Rules.endEvacuation(failureDomain)
	return duringOutages(ctx, func() error { return env.EndEvacuation(ctx, failureDomain) })
}

// returnCold ends a server with all its connections and starts it after the given time as
// a new instance, which is cold.
func (env *Environment) returnCold(ctx context.Context, s *server, downtime time.Duration) error {
	if !s.restarting.TryLock() {
		return nil
	}
	defer s.restarting.Unlock()
	s.Close()
	if err := duringOutages(ctx, func() error { return env.Delete(ctx, standin.ServersKind, s.id()) }); err != nil {
		return err
	}
	sleep(ctx, downtime)
	if e, ok := s.handler.(*engine); ok {
		e.clearCache()
	}
	s.restarts.Add(1)
	s.limit.end()
	s.cold.Start(time.Now(), coldStart)
	if err := s.serve(); err != nil {
		return err
	}
	return duringOutages(ctx, func() error { return env.register(ctx, s, coldStart) })
}

// crashDowntime is how long a server that crashed is down.
const crashDowntime = time.Second

// recoverFromCrash ends a server that has crashed and lets it return.
func (env *Environment) recoverFromCrash(s *server) {
	if err := env.returnCold(context.Background(), s, crashDowntime); err != nil {
		env.crashError.CompareAndSwap(nil, &err)
	}
}

const (
	// writeRetryInterval is the interval at which a failed write to the platform is tried
	// again.
	writeRetryInterval = 50 * time.Millisecond
	// maxWriteTime is longer than overlapping outages last.
	maxWriteTime = 3 * maxFaultDuration
)

// duringOutages repeats a write to the platform until it succeeds, for at most
// maxWriteTime.
func duringOutages(ctx context.Context, write func() error) error {
	expires := time.Now().Add(maxWriteTime)
	for {
		err := write()
		if err == nil || time.Now().After(expires) || !sleep(ctx, writeRetryInterval) {
			return err
		}
	}
}

// sourceAddresses returns the IP addresses of all gateways.
func (env *Environment) sourceAddresses() []string {
	var out []string
	for _, g := range env.Gateways {
		out = append(out, g.SourceAddress())
	}
	return out
}
