package soak

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

const (
	siteHost     = "h.example"
	upstreamPort = 7200
	// coldStart is how long upstreams are cold after a start, coldRate the number of
	// requests per second that they tolerate meanwhile.
	coldStart = 3 * time.Second
	coldRate  = 6.9
	// coldOverage and coldSlack are those of coldSettings.
	coldOverage = 1.5
	coldSlack   = 5
)

// Path prefixes of the routes. The home region of homePath is homeRegion.
const (
	lookupPath = "/lookup/"
	orderPath  = "/order/"
	draftPath  = "/draft/"
	homePath   = "/home/"
	longPath   = "/long/"
	homeRegion = "r1"
)

// Environment is a set of gateways and upstreams with callers that load them.
type Environment struct {
	*harness.GatewayFleet
	Recorder     *Recorder
	PlainServers []*plainServer
	Engines      []*engine
	Rules        *Rules

	servers []*server
	// evacuating is the set of the failure domains that a fault evacuates.
	evacuating sync.Map
	// crashError is the first error of the return of a server that crashed.
	crashError atomic.Pointer[error]
	exits      exits
	// leaver registers and leaves again and again.
	leaver *plainServer
	// configurations counts the versions of the configuration.
	configurations atomic.Int64
	// stops are the planned stops that have ended.
	stopsMu sync.Mutex
	stops   []plannedStop
	// unnamed listens at the address of odd entries.
	unnamed net.Listener

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
	// FailureDomains and Regions are those of harness.GatewayFleetOptions. The upstreams
	// are distributed over the failure domains as well.
	FailureDomains int
	Regions        int
	// HomeRegions maps teams to their home region.
	HomeRegions map[string]string
	// EvacuateWithin is the time in which an evacuation must be in force. Zero means
	// that the gateways do not follow evacuations.
	EvacuateWithin time.Duration
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
	gateways, err := harness.NewGatewayFleet(ctx, harness.GatewayFleetOptions{
		Gateways: options.Gateways, FailureDomains: options.FailureDomains, Regions: options.Regions,
		EvacuateWithin: options.EvacuateWithin, Dir: dir, Settings: options.Settings, Proxied: true,
	})
	if err != nil {
		return nil, err
	}
	env := &Environment{GatewayFleet: gateways, Recorder: &Recorder{}, options: options}
	env.Rules = &Rules{Region: env.Region, Homes: env.homes, EvacuateWithin: options.EvacuateWithin, ColdBound: coldRate*coldOverage + coldSlack}
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
	env.addServers()
	for i, s := range env.servers {
		s.address = fmt.Sprintf("%s:%d", host, upstreamPort+i)
		s.failureDomain = harness.FailureDomain(i % max(env.options.FailureDomains, 1))
		s.recorder, s.rules = env.Recorder, env.Rules
		s.crash = func() { go env.recoverFromCrash(s) }
		if err := s.serve(); err != nil {
			return err
		}
		if err := env.register(ctx, s, 0); err != nil {
			return err
		}
	}
	if err := env.serveUnnamed(fmt.Sprintf("%s:%d", host, upstreamPort+len(env.servers))); err != nil {
		return err
	}
	if err := env.addLeaver(fmt.Sprintf("%s:%d", host, upstreamPort+len(env.servers)+1)); err != nil {
		return err
	}
	if err := env.configure(ctx); err != nil {
		return err
	}
	return env.StartAll(ctx)
}

// configure writes a new version of the configuration.
func (env *Environment) configure(ctx context.Context) error {
	c := env.configuration()
	c.Version = int(env.configurations.Add(1))
	return env.Put(ctx, standin.ConfigKind, standin.ConfigName, c)
}

// addServers creates the upstreams.
func (env *Environment) addServers() {
	for i := range env.options.PlainServers {
		p := &plainServer{serviceTime: 10 * time.Millisecond, slots: make(chan struct{}, plainSlots)}
		p.server = server{service: deskService, name: fmt.Sprint("d-", i), slotLimit: plainSlots, handler: p}
		env.PlainServers = append(env.PlainServers, p)
		env.servers = append(env.servers, &p.server)
	}
	for i := range env.options.Engines {
		e := newEngine(env.options.PrefillRate, 20*time.Millisecond)
		e.server = server{service: modelService, name: fmt.Sprint("m-", i), slotLimit: engineSlots, handler: e}
		env.Engines = append(env.Engines, e)
		env.servers = append(env.servers, &e.server)
	}
}

// plainSlots is the number of requests that a plain server runs at once.
const plainSlots = 16

// Configured limits of an engine: concurrent requests, and tokens in the KV cache.
const (
	engineSlots    = 64
	engineKVTokens = 1_000_000
)

// register registers the current instance of a server.
func (env *Environment) register(ctx context.Context, s *server, cold time.Duration) error {
	return env.Put(ctx, standin.ServersKind, s.id(), s.registration(cold))
}

// registration returns the sound entry of the current instance.
func (s *server) registration(cold time.Duration) standin.Registration {
	return standin.Registration{
		Service: s.service, Address: s.address, FailureDomain: s.failureDomain, Version: "v1", Slots: s.slotLimit, State: standin.ServerReady,
		ColdRemainingMs: cold.Milliseconds(), Sequence: 1, StartedUnixMs: s.startedUnixMs.Load(),
	}
}

// configuration returns the operator configuration of routes, services and teams.
func (env *Environment) configuration() standin.Configuration {
	c := standin.Configuration{
		Routes: []standin.Route{
			route("lookup", lookupPath, standin.SafeRoute, deskService),
			route("order", orderPath, standin.UnsafeRoute, deskService),
			route("home", homePath, standin.SafeRoute, deskService),
			route("draft", draftPath, standin.StreamingRoute, modelService),
			route("long", longPath, standin.UnsafeRoute, deskService),
		},
		Services: []standin.ServiceConfig{
			{Name: deskService, MaxConnections: 200},
			{Name: modelService, MaxConnections: 400, Engine: &standin.EngineConfig{Slots: engineSlots, KVCapacityTokens: engineKVTokens}},
		},
		Limits: standin.Limits{MaxBodyBytes: 4096},
	}
	home, draft, long := &c.Routes[2], &c.Routes[3], &c.Routes[4]
	long.TimeoutMs, long.TargetLatencyMs = longTimeout.Milliseconds(), longTimeout.Milliseconds()
	home.AllowedRegions = []string{homeRegion}
	draft.TargetLatencyMs, draft.TargetGapMs = env.options.Objective.Milliseconds(), 500
	draft.StickySessions, draft.ResumeStreams = true, true
	for i := range c.Services {
		c.Services[i].ColdStartS, c.Services[i].ColdPerS = coldStart.Seconds(), coldRate
	}
	for _, team := range env.options.Teams {
		ofTeam, _ := env.homes(team, "")
		c.Tenants = append(c.Tenants, standin.Tenant{Name: team, APIKeys: []string{apiKey(team)}, AllowedRegions: ofTeam})
	}
	return c
}

func route(name, prefix, kind, service string) standin.Route {
	return standin.Route{
		Name: name, Host: siteHost, PathPrefix: prefix, Kind: kind, Service: service, TimeoutMs: 5000, TargetLatencyMs: 200, MaxAttempts: 3,
	}
}

// homes returns the home regions of a team and of the route of a path.
func (env *Environment) homes(team, path string) (ofTeam, ofRoute []string) {
	if region := env.options.HomeRegions[team]; region != "" {
		ofTeam = []string{region}
	}
	if strings.HasPrefix(path, homePath) {
		ofRoute = []string{homeRegion}
	}
	return ofTeam, ofRoute
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
	for _, s := range env.servers {
		s.Close()
	}
	if env.leaver != nil {
		env.leaver.Close()
	}
	if env.unnamed != nil {
		_ = env.unnamed.Close()
	}
	env.GatewayFleet.Close()
}
