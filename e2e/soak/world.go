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

// World is gateways, upstreams and callers.
type World struct {
	*harness.GatewayFleet
	Record  *Record
	Plain   []*plain
	Engines []*engine

	shape Shape
	stop  context.CancelFunc
	load  sync.WaitGroup
}

// Shape is the size of a World.
type Shape struct {
	Gateways int
	Plain    int
	Engines  int
	Teams    []string
	// Settings is YAML that is added to the gateways' settings.
	Settings string
	// PrefillRate is the prompt tokens that an engine reads in a second.
	PrefillRate float64
	// Objective is that of the streams.
	Objective time.Duration
}

// Services of a World.
const (
	deskService  = "desk"
	modelService = "model"
)

// NewWorld starts upstreams, store and gateways.
func NewWorld(ctx context.Context, dir string, shape Shape) (*World, error) {
	site, err := harness.NewGatewayFleet(ctx, harness.GatewayFleetOptions{Gateways: shape.Gateways, Dir: dir, Settings: shape.Settings, Proxied: true})
	if err != nil {
		return nil, err
	}
	w := &World{GatewayFleet: site, Record: &Record{}, shape: shape}
	if err := w.open(ctx); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *World) open(ctx context.Context) error {
	host, err := w.Network.Next()
	if err != nil {
		return err
	}
	for i := range w.shape.Plain {
		p := &plain{server: server{service: deskService, id: fmt.Sprint("d-", i), record: w.Record}, work: 10 * time.Millisecond, slots: make(chan struct{}, 16)}
		w.Plain = append(w.Plain, p)
		if err := p.serve(host, upstreamPort+i, p); err != nil {
			return err
		}
		if err := w.register(ctx, &p.server, cap(p.slots)); err != nil {
			return err
		}
	}
	for i := range w.shape.Engines {
		e := newEngine(fmt.Sprint("m-", i), modelService, w.Record, w.shape.PrefillRate, 20*time.Millisecond)
		w.Engines = append(w.Engines, e)
		if err := e.serve(host, upstreamPort+w.shape.Plain+i, e); err != nil {
			return err
		}
		if err := w.register(ctx, &e.server, engineSlots); err != nil {
			return err
		}
	}
	if err := w.Put(ctx, "config", "main", w.configuration(1)); err != nil {
		return err
	}
	return w.StartAll(ctx)
}

// engineSlots and engineMemory are an engine's requests at once and its tokens.
const (
	engineSlots  = 64
	engineMemory = 1_000_000
)

func (w *World) register(ctx context.Context, s *server, slots int) error {
	return w.Put(ctx, "servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": "z1", "version": "v1", "slots": slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

// configuration is the operators' one.
func (w *World) configuration(version int) map[string]any {
	route := func(name, prefix, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": siteHost, "pathPrefix": prefix, "kind": kind, "service": service,
			"timeoutMs": 5000, "targetLatencyMs": 200, "maxAttempts": 3,
		}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	var teams []any
	for _, team := range w.shape.Teams {
		teams = append(teams, map[string]any{"name": team, "apiKeys": []string{keyOf(team)}})
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("lookup", "/lookup/", "safe", deskService, nil),
			route("order", "/order/", "unsafe", deskService, nil),
			route("draft", "/draft/", "streaming", modelService, map[string]any{
				"targetLatencyMs": w.shape.Objective.Milliseconds(), "targetGapMs": 500, "stickySessions": true, "resumeStreams": true,
			}),
		},
		"services": []any{
			map[string]any{"name": deskService, "maxConnections": 200},
			map[string]any{"name": modelService, "maxConnections": 400, "engine": map[string]any{"slots": engineSlots, "kvCapacityTokens": engineMemory}},
		},
		"limits":  map[string]any{"maxBodyBytes": 4096},
		"tenants": teams,
	}
}

func keyOf(team string) string { return "key-" + team }

// Callers returns the addresses of gateways for callers.
func (w *World) Callers(gateways ...int) []string {
	var out []string
	for _, i := range gateways {
		out = append(out, w.Gateways[i].CallerAddress())
	}
	return out
}

// Load starts callers. StopLoad ends them.
func (w *World) Load(seed uint64, sources ...*Source) {
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	for i, s := range sources {
		s.Key = keyOf(s.Team)
		w.load.Go(func() { s.run(ctx, seed+uint64(i), w.Record) })
	}
}

// StopLoad sends no more requests and waits for the answers.
func (w *World) StopLoad() {
	if w.stop != nil {
		w.stop()
	}
	w.load.Wait()
}

// Close ends everything.
func (w *World) Close() {
	w.StopLoad()
	for _, p := range w.Plain {
		p.Close()
	}
	for _, e := range w.Engines {
		e.Close()
	}
	w.GatewayFleet.Close()
}
