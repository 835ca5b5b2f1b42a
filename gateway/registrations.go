package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/registry"
)

// registrationsPart are the registered upstreams in the store.
type registrationsPart struct {
	gateway  *Gateway
	revision uint64
}

func (p *registrationsPart) read(ctx context.Context, outageEnd time.Time) error {
	list, revision, err := p.gateway.options.Store.ListUpstreams(ctx)
	if err != nil {
		return err
	}
	p.revision = revision
	p.gateway.replaceRegistrations(list, revision, outageEnd)
	return nil
}

func (p *registrationsPart) watch(ctx context.Context) (bool, error) {
	list, revision, err := p.gateway.options.Store.WatchUpstreams(ctx, p.revision)
	if err != nil {
		return false, err
	}
	p.revision = revision
	p.gateway.applyRegistrations(list, revision)
	return len(list) > 0, nil
}

func (*registrationsPart) mustReread() bool { return false }

// replaceRegistrations applies a complete list of the registered upstreams. outageEnd is when
// the store was last seen unavailable if the list follows an outage, otherwise zero.
func (g *Gateway) replaceRegistrations(list []registry.Entry, revision uint64, outageEnd time.Time) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registeredAt = now
	g.registry.Replace(now, list, revision, outageEnd)
	g.log.Info("upstreams listed", zap.Int("upstreams", len(list)), zap.Uint64("revision", revision), zap.Bool("after_outage", !outageEnd.IsZero()))
	g.updateServices(now)
	g.requestReport()
}

// applyRegistrations applies changes of the registered upstreams.
func (g *Gateway) applyRegistrations(list []registry.Entry, revision uint64) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registeredAt = now
	for _, entry := range list {
		g.registry.Apply(now, entry)
		g.logRegistration(entry, sourceStore)
	}
	g.registry.AdvanceRevision(revision)
	if len(list) == 0 {
		return
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
		zap.Int64("started_ms", entry.Upstream.StartedUnixMs), zap.Bool("draining", entry.Upstream.Draining), zap.Bool("removed", entry.Removed), zap.Uint64("revision", entry.Revision), zap.String("source", source))
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
			g.malformedReports.Delete(key)
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
