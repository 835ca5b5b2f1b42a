package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/route"
)

// routingPart is the operators' configuration in the store.
type routingPart struct {
	gateway  *Gateway
	revision uint64
}

func (p *routingPart) read(ctx context.Context, _ time.Time) error {
	sent := time.Now()
	definition, revision, err := p.gateway.options.Store.ReadRouting(ctx)
	if err != nil {
		return err
	}
	p.revision = revision
	p.gateway.adoptStored(definition, true, sent)
	return nil
}

func (p *routingPart) watch(ctx context.Context) (bool, error) {
	sent := time.Now()
	definition, revision, err := p.gateway.options.Store.WatchRouting(ctx, p.revision)
	if err != nil {
		return false, err
	}
	p.revision = revision
	if definition != nil {
		p.gateway.adoptStored(*definition, false, sent)
	}
	return definition != nil, nil
}

func (p *routingPart) mustReread() bool { return p.gateway.routingClaimOpen() }

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
