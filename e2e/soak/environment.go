package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
)

const (
	siteHost     = "h.example"
	upstreamPort = 7200
)

// Environment is a set of gateways and upstreams with callers that load them.
type Environment struct {
	*harness.GatewayFleet
	Recorder     *Recorder
	PlainServers []*plainServer
	Engines      []*engine

	options    Options
	cancelLoad context.CancelFunc
	workloads  sync.WaitGroup
}

// Options set the size and the settings of an Environment.
type Options struct {
	Gateways     int
	PlainServers int
	Engines      int
	Teams        []string
	// Settings is YAML that is appended to the gateways' settings.
	Settings string
	// PrefillRate is the prompt tokens that an engine processes per second.
	PrefillRate float64
	// Objective is the latency objective of the streaming route.
	Objective time.Duration
}

// Services of an Environment.
const (
	deskService  = "desk"
	modelService = "model"
)

// NewEnvironment starts the platform stand-in, the upstreams and the gateways.
func NewEnvironment(ctx context.Context, dir string, options Options) (*Environment, error) {
	gateways, err := harness.NewGatewayFleet(ctx, harness.GatewayFleetOptions{Gateways: options.Gateways, Dir: dir, Settings: options.Settings, Proxied: true})
	if err != nil {
		return nil, err
	}
	env := &Environment{GatewayFleet: gateways, Recorder: &Recorder{}, options: options}
	if err := env.start(ctx); err != nil {
		env.Close()
		return nil, err
	}
	return env, nil
}

func (env *Environment) start(ctx context.Context) error {
	host, err := env.Network.Next()
	if err != nil {
		return err
	}
	for i := range env.options.PlainServers {
		p := &plainServer{server: server{service: deskService, id: fmt.Sprint("d-", i), recorder: env.Recorder}, serviceTime: 10 * time.Millisecond, slots: make(chan struct{}, 16)}
		env.PlainServers = append(env.PlainServers, p)
		if err := p.serve(host, upstreamPort+i, p); err != nil {
			return err
		}
		if err := env.register(ctx, &p.server, cap(p.slots)); err != nil {
			return err
		}
	}
	for i := range env.options.Engines {
		e := newEngine(fmt.Sprint("m-", i), modelService, env.Recorder, env.options.PrefillRate, 20*time.Millisecond)
		env.Engines = append(env.Engines, e)
		if err := e.serve(host, upstreamPort+env.options.PlainServers+i, e); err != nil {
			return err
		}
		if err := env.register(ctx, &e.server, engineSlots); err != nil {
			return err
		}
	}
	if err := env.Put(ctx, "config", "main", env.configuration(1)); err != nil {
		return err
	}
	return env.StartAll(ctx)
}

// Configured limits of an engine: concurrent requests, and tokens in the KV cache.
const (
	engineSlots    = 64
	engineKVTokens = 1_000_000
)

func (env *Environment) register(ctx context.Context, s *server, slots int) error {
	return env.Put(ctx, "servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": "z1", "version": "v1", "slots": slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

// configuration returns the operator configuration of routes, services and teams.
func (env *Environment) configuration(version int) map[string]any {
	route := func(name, prefix, kind, service string, extra map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": siteHost, "pathPrefix": prefix, "kind": kind, "service": service,
			"timeoutMs": 5000, "targetLatencyMs": 200, "maxAttempts": 3,
		}
		for key, value := range extra {
			r[key] = value
		}
		return r
	}
	var teams []any
	for _, team := range env.options.Teams {
		teams = append(teams, map[string]any{"name": team, "apiKeys": []string{apiKey(team)}})
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("lookup", "/lookup/", "safe", deskService, nil),
			route("order", "/order/", "unsafe", deskService, nil),
			route("draft", "/draft/", "streaming", modelService, map[string]any{
				"targetLatencyMs": env.options.Objective.Milliseconds(), "targetGapMs": 500, "stickySessions": true, "resumeStreams": true,
			}),
		},
		"services": []any{
			map[string]any{"name": deskService, "maxConnections": 200},
			map[string]any{"name": modelService, "maxConnections": 400, "engine": map[string]any{"slots": engineSlots, "kvCapacityTokens": engineKVTokens}},
		},
		"limits":  map[string]any{"maxBodyBytes": 4096},
		"tenants": teams,
	}
}

func apiKey(team string) string { return "key-" + team }

// CallerAddresses returns the addresses at which the gateways accept callers.
func (env *Environment) CallerAddresses(gateways ...int) []string {
	var out []string
	for _, i := range gateways {
		out = append(out, env.Gateways[i].CallerAddress())
	}
	return out
}

// StartLoad starts the callers of the workloads; StopLoad ends them.
func (env *Environment) StartLoad(seed uint64, workloads ...*Workload) {
	ctx, cancel := context.WithCancel(context.Background())
	env.cancelLoad = cancel
	for i, w := range workloads {
		w.Key = apiKey(w.Team)
		env.workloads.Go(func() { w.run(ctx, seed+uint64(i), env.Recorder) })
	}
}

// StopLoad stops sending requests and waits for the outstanding ones.
func (env *Environment) StopLoad() {
	if env.cancelLoad != nil {
		env.cancelLoad()
	}
	env.workloads.Wait()
}

// Close stops the load, the upstreams, the gateways and the platform stand-in.
func (env *Environment) Close() {
	env.StopLoad()
	for _, p := range env.PlainServers {
		p.Close()
	}
	for _, e := range env.Engines {
		e.Close()
	}
	env.GatewayFleet.Close()
}
