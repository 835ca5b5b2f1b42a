package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

const (
	// oddSeedStream separates the draws of odd entries from others of the same seed.
	oddSeedStream = 4
	// oddEntryPrefix is the prefix of the names of odd entries that replace none.
	oddEntryPrefix = "odd-"
)

// serveUnnamed listens at an address that only odd entries name. A connection to it is a
// violation.
func (env *Environment) serveUnnamed(address string) error {
	var config net.ListenConfig
	ln, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	env.unnamed = ln
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			env.Rules.report(fmt.Sprintf("%s connected to a server that only an odd entry names, at %s", c.RemoteAddr(), time.Now().Format(timeLayout)))
			_ = c.Close()
		}
	}()
	return nil
}

// oddEntries draws odd entries of one service.
func (env *Environment) oddEntries(random *rand.Rand) []standin.OddRegistration {
	all := standin.OddRegistrations(standin.Registration{
		Service: []string{deskService, modelService}[random.IntN(2)], Address: env.unnamed.Addr().String(), FailureDomain: harness.FailureDomain(0),
		Version: "v1", Slots: plainSlots, State: standin.ServerReady, Sequence: 1, StartedUnixMs: time.Now().UnixMilli(),
	})
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:1+random.IntN(len(all))]
}

// putOddEntries lets another writer put odd entries among those of servers, in place of one of
// them and under new names, drawn from a seed. The returned function removes the new ones and
// restores the other.
func (env *Environment) putOddEntries(ctx context.Context, seed uint64) (revert func(context.Context) error, err error) {
	random := rand.New(rand.NewPCG(seed, oddSeedStream))
	var names []string
	for i, odd := range env.oddEntries(random) {
		name := fmt.Sprint(oddEntryPrefix, seed, "-", i)
		if err := env.PutVerbatim(ctx, standin.ServersKind, name, odd.Spec, odd.Revision); err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	restore, err := env.replaceByOdd(ctx, &env.PlainServers[random.IntN(len(env.PlainServers))].server, env.oddEntries(random)[0])
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context) error {
		for _, name := range names {
			if err := duringOutages(ctx, func() error { return env.Delete(ctx, standin.ServersKind, name) }); err != nil {
				return err
			}
		}
		return restore(ctx)
	}, nil
}

// replaceByOdd replaces the entry of a server, unless that is about to return. The returned
// function restores it.
func (env *Environment) replaceByOdd(ctx context.Context, s *server, odd standin.OddRegistration) (restore func(context.Context) error, err error) {
	if !s.restarting.TryLock() {
		return func(context.Context) error { return nil }, nil
	}
	if err := env.PutVerbatim(ctx, standin.ServersKind, s.id(), odd.Spec, odd.Revision); err != nil {
		s.restarting.Unlock()
		return nil, err
	}
	return func(ctx context.Context) error {
		defer s.restarting.Unlock()
		return duringOutages(ctx, func() error { return env.register(ctx, s, 0) })
	}, nil
}

// keepOddEntries puts odd entries among those of servers for some time.
func (env *Environment) keepOddEntries(ctx context.Context, seed uint64, duration time.Duration) error {
	revert, err := env.putOddEntries(ctx, seed)
	if err != nil {
		return err
	}
	sleep(ctx, duration)
	return revert(ctx)
}

// checkUseBesideOddEntries lets plain servers return as new instances while odd entries are
// among those of servers. Requests must reach one of them.
func (env *Environment) checkUseBesideOddEntries(ctx context.Context, seed uint64, duration time.Duration, except *server) error {
	revert, err := env.putOddEntries(ctx, seed)
	if err != nil {
		return err
	}
	var returned []*server
	for _, p := range env.PlainServers {
		if before := p.id(); &p.server != except {
			if err := env.returnCold(ctx, &p.server, 0); err != nil {
				return err
			}
			if p.id() != before {
				returned = append(returned, &p.server)
			}
		}
	}
	sleep(ctx, duration)
	if !env.anyReached(returned) {
		env.Rules.report(fmt.Sprintf("no request reached a plain server that returned beside odd entries within %v", duration))
	}
	return revert(ctx)
}

// anyReached reports whether a request reached the current instance of one of the servers.
func (env *Environment) anyReached(servers []*server) bool {
	_, arrivals := env.Recorder.Snapshot()
	for _, a := range arrivals {
		for _, s := range servers {
			if a.Server == s.id() {
				return true
			}
		}
	}
	return false
}
