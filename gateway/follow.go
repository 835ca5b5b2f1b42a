package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/route"
)

// watchBatchPause is the delay after a change, so that the changes that follow soon
// after it arrive in one call.
const watchBatchPause = 300 * time.Millisecond

// followRouting keeps the configuration up to date until ctx is canceled.
func (g *Gateway) followRouting(ctx context.Context) {
	dep := dependency{name: "store configuration", log: g.log}
	var revision uint64
	// watchable is set while changes after revision can be watched.
	watchable := false
	for ctx.Err() == nil {
		if !g.shouldWatchStore() {
			watchable = false
			node.Pause(ctx, watchCheckInterval)
			continue
		}
		var definition *route.Definition
		var err error
		if watchable {
			definition, revision, err = g.options.Store.WatchRouting(ctx, revision)
		} else {
			var read route.Definition
			read, revision, err = g.options.Store.ReadRouting(ctx)
			definition = &read
		}
		watchable = err == nil
		dep.report(err)
		g.storeContact.recordWatch(&g.storeContact.routing, err)
		if err != nil {
			node.Pause(ctx, g.options.StoreRetry)
			continue
		}
		if definition != nil {
			g.adopt(*definition, "store")
			node.Pause(ctx, watchBatchPause)
		}
	}
}

// adopt applies a configuration unless its version is not newer than the one in force.
func (g *Gateway) adopt(definition route.Definition, source string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.table.Load()
	if current != nil && current.Version() >= definition.Version {
		return
	}
	table, err := route.NewTable(definition)
	if err != nil {
		g.log.Error("configuration refused", zap.Int64("version", definition.Version), zap.Error(err))
		return
	}
	for i := range definition.Services {
		g.applyServiceConfig(&definition.Services[i])
	}
	g.table.Store(table)
	g.adoptedAt = time.Now()
	g.updateServices(time.Now())
	g.requestReport()
	g.log.Info("configuration adopted", zap.Int64("version", definition.Version), zap.String("source", source),
		zap.Int("routes", len(definition.Routes)), zap.Int("teams", len(definition.Teams)))
	g.logUnknownRegions(&definition)
}

// applyServiceConfig applies a service's configuration. The caller holds mu.
func (g *Gateway) applyServiceConfig(s *route.Service) {
	known := g.services[s.ID]
	if known == nil {
		g.services[s.ID] = newService(s.ID, g.policy.Load(), g.options.Started, capacityOf(s), &g.loadChanged, g.reportNow, g.log)
		g.services[s.ID].setFleet(g.fleet)
		g.services[s.ID].setEvacuated(time.Now(), g.evacuations.set.Domains(), nil)
		return
	}
	known.setCapacity(capacityOf(s))
}

// followUpstreams keeps the registered upstreams up to date until ctx is canceled.
func (g *Gateway) followUpstreams(ctx context.Context) {
	dep := dependency{name: "store registrations", log: g.log}
	var revision uint64
	// watchable is set while changes after revision can be watched.
	watchable := false
	for ctx.Err() == nil {
		if !g.shouldWatchStore() {
			watchable = false
			node.Pause(ctx, watchCheckInterval)
			continue
		}
		outage := dep.lost
		var list []registry.Entry
		var err error
		if watchable {
			list, revision, err = g.options.Store.WatchUpstreams(ctx, revision)
		} else {
			list, revision, err = g.options.Store.ListUpstreams(ctx)
		}
		dep.report(err)
		g.storeContact.recordWatch(&g.storeContact.upstreams, err)
		if err != nil {
			watchable = false
			node.Pause(ctx, g.options.StoreRetry)
			continue
		}
		g.applyRegistrations(list, revision, watchable, outage)
		watchable = true
		if len(list) > 0 {
			node.Pause(ctx, watchBatchPause)
		}
	}
}

// applyRegistrations applies changes of the registered upstreams if incremental is set,
// otherwise a complete list of them.
func (g *Gateway) applyRegistrations(list []registry.Entry, revision uint64, incremental, outage bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registeredAt = now
	if incremental {
		for _, entry := range list {
			g.registry.Apply(now, entry)
			g.logRegistration(entry, "store")
		}
		g.registry.AdvanceRevision(revision)
		if len(list) == 0 {
			return
		}
	} else {
		g.registry.Replace(now, list, revision, outage)
		g.log.Info("upstreams listed", zap.Int("upstreams", len(list)), zap.Uint64("revision", revision), zap.Bool("after_outage", outage))
	}
	g.updateServices(now)
	g.requestReport()
}

// requestReport makes the next report go out soon, so that the other routers learn of
// the change in the store.
func (g *Gateway) requestReport() {
	g.loadChanged.Store(true)
	notify(g.reportNow)
}

func (g *Gateway) logRegistration(entry registry.Entry, source string) {
	g.log.Info("upstream changed", zap.String("upstream", string(entry.Upstream.ID)), zap.String("service", string(entry.Upstream.Service)),
		zap.Bool("draining", entry.Upstream.Draining), zap.Bool("removed", entry.Removed), zap.Uint64("revision", entry.Revision), zap.String("source", source))
}

// updateServices passes each service its usable upstreams and closes the pools of the
// others. The caller holds mu.
func (g *Gateway) updateServices(now time.Time) {
	if !g.evacuationsSettled(now) {
		return
	}
	byService := make(map[fleet.ServiceID][]registry.Upstream)
	usable := make(map[poolKey]bool)
	for _, u := range g.registry.Usable(now) {
		byService[u.Service] = append(byService[u.Service], u)
		usable[keyOf(u)] = true
	}
	for id, s := range g.services {
		s.setUpstreams(byService[id])
		g.cacheLists.requestOnce(s, byService[id])
	}
	for key, pool := range g.pools {
		if !usable[key] {
			pool.Close()
			delete(g.pools, key)
		}
	}
	if wake, ok := g.registry.NextWake(now); ok {
		time.AfterFunc(wake.Sub(now), g.refreshServices)
	}
}

// refreshServices drops upstreams whose grace period has ended.
func (g *Gateway) refreshServices() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateServices(time.Now())
}

// dependency logs when something that this process depends on is lost and regained.
type dependency struct {
	name string
	log  *zap.Logger
	lost bool
}

func (d *dependency) report(err error) {
	switch {
	case err != nil && !d.lost:
		d.lost = true
		d.log.Warn("dependency lost", zap.String("dependency", d.name), zap.Error(err))
	case err == nil && d.lost:
		d.lost = false
		d.log.Info("dependency regained", zap.String("dependency", d.name))
	}
}
