package gateway

import (
	"bytes"
	"context"
	"encoding/json"
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
		read, sent := !watchable, time.Now()
		if watchable {
			definition, revision, err = g.options.Store.WatchRouting(ctx, revision)
		} else {
			var current route.Definition
			current, revision, err = g.options.Store.ReadRouting(ctx)
			definition = &current
		}
		watchable = err == nil
		dep.report(err)
		g.storeContact.recordWatch(&g.storeContact.routing, err)
		if err != nil {
			node.Pause(ctx, g.options.StoreRetry)
			continue
		}
		if definition != nil {
			g.adoptStored(*definition, read, sent)
			node.Pause(ctx, watchBatchPause)
		}
		// A watch does not show that a configuration of another router is not the store's.
		watchable = !g.routingClaimOpen()
	}
}

// routingClaimOpen reports whether the configuration in force is another router's that the
// store has not confirmed.
func (g *Gateway) routingClaimOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.routingClaim.open
}

// adoptStored applies a configuration of the store, unless it is older than the one in force.
// A read, sent at a time, of an older one or of other content shows that what another router
// sent before is not the store's.
func (g *Gateway) adoptStored(definition route.Definition, read bool, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	current, claim := g.table.Load(), &g.routingClaim
	answered := read && claim.refutedBy(sent)
	switch {
	case current == nil || current.Version() < definition.Version:
		if g.adopt(definition, sourceStore) {
			claim.confirm(uint64(definition.Version))
		}
	case current.Version() == definition.Version && sameDefinition(current.Definition(), definition):
		claim.confirm(uint64(definition.Version))
	case answered:
		g.log.Warn("configuration of another router is not the store's", zap.Int64("version", current.Version()), zap.Int64("stored", definition.Version))
		if current.Version() > definition.Version {
			claim.refute(uint64(current.Version()))
		}
		g.adopt(definition, sourceStore)
	}
	// A stored configuration that is refused decides no more when it is read again.
	claim.open = claim.open && !answered
}

// sameDefinition reports whether two configurations are the same when they are encoded.
func sameDefinition(a, b route.Definition) bool {
	encodedA, errA := json.Marshal(a)
	encodedB, errB := json.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}

// adoptPeer applies a configuration of another router, unless it is not newer than the one in
// force or the store has refuted its version.
func (g *Gateway) adoptPeer(definition route.Definition, from string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.table.Load()
	if current != nil && current.Version() >= definition.Version || definition.Version < 0 || !g.routingClaim.accepts(uint64(definition.Version)) {
		return
	}
	if g.adopt(definition, from) {
		g.routingClaim.apply(time.Now())
	}
}

// adopt applies a configuration and reports whether it is valid. The caller holds mu.
func (g *Gateway) adopt(definition route.Definition, source string) bool {
	table, err := route.NewTable(definition)
	if err != nil {
		g.log.Error("configuration refused", zap.Int64("version", definition.Version), zap.Error(err))
		return false
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
	return true
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
