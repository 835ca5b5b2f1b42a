package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/evacuation"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// evacuations is this router's copy of the evacuated failure domains.
type evacuations struct {
	set evacuation.Set
	// wire is the encoded set; nil while it is unknown. It is not modified once set.
	wire *peerpb.Evacuations
	// begunAt is when this router learned of each evacuation in force.
	begunAt map[fleet.FailureDomainID]time.Time
	// claim is what is known of the set if it came from another router.
	claim peerClaim
	// waitingSince is the time from which this router has waited for the first set.
	waitingSince time.Time
}

// followsEvacuations reports whether evacuations of failure domains are in use.
func (g *Gateway) followsEvacuations() bool { return g.options.EvacuateWithin > 0 }

// evacuationsPart are the evacuations in the store.
type evacuationsPart struct {
	gateway  *Gateway
	listing  *evacuation.Listing
	revision uint64
}

func (p *evacuationsPart) read(ctx context.Context, _ time.Time) error {
	sent := time.Now()
	list, revision, err := p.gateway.options.Store.ListEvacuations(ctx)
	if err != nil {
		return err
	}
	known := p.gateway.knownDomains()
	listing, dropped := evacuation.NewListing(list, func(d fleet.FailureDomainID) bool { return known[d] })
	if dropped > 0 {
		p.gateway.log.Error("evacuations left out", zap.Int("left_out", dropped), zap.Uint64("revision", revision))
	}
	p.listing, p.revision = listing, revision
	p.gateway.applyStoredEvacuations(revision, listing.Domains(), true, sent)
	return nil
}

func (p *evacuationsPart) watch(ctx context.Context) (bool, error) {
	sent := time.Now()
	changes, revision, err := p.gateway.options.Store.WatchEvacuations(ctx, p.revision)
	if err != nil {
		return false, err
	}
	if !p.listing.Apply(changes) {
		return true, p.read(ctx, time.Time{})
	}
	p.revision = revision
	p.gateway.applyStoredEvacuations(revision, p.listing.Domains(), false, sent)
	return len(changes) > 0, nil
}

func (p *evacuationsPart) mustReread() bool { return p.gateway.evacuationsClaimAhead(p.revision) }

// knownDomains returns the failure domains in the settings and those of registered
// upstreams.
func (g *Gateway) knownDomains() map[fleet.FailureDomainID]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.knownDomainsLocked()
}

// knownDomainsLocked is knownDomains for callers that hold mu.
func (g *Gateway) knownDomainsLocked() map[fleet.FailureDomainID]bool {
	known := make(map[fleet.FailureDomainID]bool)
	for domain := range g.policy.Load().Admission.Regions {
		known[domain] = true
	}
	for _, entry := range g.registry.Entries() {
		known[entry.Upstream.Domain] = true
	}
	return known
}

// applyPeerEvacuations applies the set that another router reported, if any.
func (g *Gateway) applyPeerEvacuations(from fleet.NodeID, m *peerpb.Evacuations) {
	if m == nil || !g.followsEvacuations() || !g.needsEvacuations(m.GetRevision()) {
		return
	}
	domains := make([]fleet.FailureDomainID, 0, len(m.GetFailureDomains()))
	for _, domain := range m.GetFailureDomains() {
		domains = append(domains, fleet.FailureDomainID(domain))
	}
	known := g.knownDomains()
	kept, _ := evacuation.Limit(domains, func(d fleet.FailureDomainID) bool { return known[d] })
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyEvacuations(string(from), m.GetRevision(), kept)
	if g.evacuations.set.Revision() == m.GetRevision() {
		g.evacuations.claim.apply(time.Now())
	}
}

// evacuationsClaimAhead reports whether the known set came from another router and has a higher
// revision than the store's answer.
func (g *Gateway) evacuationsClaimAhead(revision uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evacuations.claim.open && g.evacuations.set.Revision() > revision
}

// applyStoredEvacuations applies the set of the store at a revision. A list, requested at a
// time, of a lower revision shows that what another router sent before is not the store's.
func (g *Gateway) applyStoredEvacuations(revision uint64, domains []fleet.FailureDomainID, listed bool, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := &g.evacuations
	if ahead := e.set.Revision(); ahead > revision && listed && e.claim.refutedBy(sent) {
		g.log.Warn("evacuations of another router are not the store's", zap.Uint64("revision", ahead), zap.Uint64("stored", revision))
		e.claim.refute(ahead)
		g.recordEvacuations(sourceStore, e.set.Correct(revision, domains), false)
		return
	}
	if e.set.Revision() <= revision {
		e.claim.confirm(revision)
	}
	g.applyEvacuations(sourceStore, revision, domains)
}

// needsEvacuations reports whether a set of a revision is newer than the known one, and one
// that the store has not refuted.
func (g *Gateway) needsEvacuations(revision uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := &g.evacuations
	return e.claim.accepts(revision) && (!e.set.Known() || revision > e.set.Revision())
}

// applyEvacuations applies a complete set, unless a newer one is known, and passes it to
// the services and the other routers if it differs. The caller holds mu.
func (g *Gateway) applyEvacuations(source string, revision uint64, domains []fleet.FailureDomainID) {
	first := !g.evacuations.set.Known()
	g.recordEvacuations(source, g.evacuations.set.Replace(revision, domains), first)
}

// recordEvacuations passes a change of the set to the services and the other routers. The
// caller holds mu.
func (g *Gateway) recordEvacuations(source string, transition evacuation.Transition, first bool) {
	now := time.Now()
	e := &g.evacuations
	e.wire = evacuationsToWire(&e.set)
	if transition.Empty() && !first {
		return
	}
	evacuatedDomains.Set(int64(len(e.set.Domains())))
	ended := g.recordTransition(now, source, transition)
	for _, s := range g.services {
		s.setEvacuated(now, e.set.Domains(), ended)
	}
	g.updateServices(now)
	g.requestReport()
}

// recordTransition logs the evacuations that began and ended, and returns the known
// failure domains among the latter. The caller holds mu.
func (g *Gateway) recordTransition(now time.Time, source string, t evacuation.Transition) []fleet.FailureDomainID {
	known := g.knownDomainsLocked()
	fields := []zap.Field{zap.String("source", source), zap.Uint64("revision", g.evacuations.set.Revision())}
	for _, domain := range t.Begun {
		g.evacuations.begunAt[domain] = now
		g.log.Info("evacuation began", append(fields, zap.String("domain", string(domain)))...)
		if !known[domain] {
			g.log.Warn("evacuation of an unknown failure domain", append(fields, zap.String("domain", string(domain)))...)
		}
	}
	var ended []fleet.FailureDomainID
	for _, domain := range t.Ended {
		g.log.Info("evacuation ended", append(fields, zap.String("domain", string(domain)), zap.Duration("known_for", now.Sub(g.evacuations.begunAt[domain])))...)
		delete(g.evacuations.begunAt, domain)
		if known[domain] {
			ended = append(ended, domain)
		}
	}
	return ended
}

func evacuationsToWire(set *evacuation.Set) *peerpb.Evacuations {
	out := &peerpb.Evacuations{Revision: set.Revision()}
	for _, domain := range set.Domains() {
		out.FailureDomains = append(out.FailureDomains, string(domain))
	}
	return out
}

// evacuationsSettled reports whether upstreams may be used as far as evacuations are
// concerned. A router that has just started waits for the first set, but not for longer
// than EvacuateWithin: by then it is in contact with neither the store nor a router that
// knows the set. The caller holds mu.
func (g *Gateway) evacuationsSettled(now time.Time) bool {
	return !g.followsEvacuations() || g.evacuations.set.Known() || now.Sub(g.evacuations.waitingSince) >= g.options.EvacuateWithin
}

// isEvacuated reports whether a failure domain is evacuated.
func (g *Gateway) isEvacuated(domain fleet.FailureDomainID) bool {
	if !g.followsEvacuations() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evacuations.set.Evacuated(domain)
}

// setEvacuated replaces the evacuated failure domains. ended are those whose evacuation
// has just ended.
func (s *service) setEvacuated(now time.Time, domains, ended []fleet.FailureDomainID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetEvacuated(domains)
	s.scheduler.MarkDomainsCold(now, ended)
	s.logColdPeriods()
}

// EvacuationState is a gateway's view of the evacuated failure domains.
type EvacuationState struct {
	// Known is unset until the first set was received.
	Known bool `json:"known"`
	// Revision is the store revision of the set.
	Revision uint64 `json:"revision"`
	// StoreAgeMs is the time since the store last answered this gateway or one that it
	// receives changes from, -1 without contact.
	StoreAgeMs int64 `json:"store_age_ms"`
	// Domains maps each evacuated domain to the time since this gateway learned of it,
	// in milliseconds.
	Domains map[fleet.FailureDomainID]int64 `json:"domains"`
}

// evacuationState returns nil if evacuations are not in use. The caller holds mu.
func (g *Gateway) evacuationState(now time.Time) *EvacuationState {
	if !g.followsEvacuations() {
		return nil
	}
	e := &g.evacuations
	state := &EvacuationState{
		Known: e.set.Known(), Revision: e.set.Revision(), StoreAgeMs: age(now, g.storeContact.last()),
		Domains: make(map[fleet.FailureDomainID]int64, len(e.begunAt)),
	}
	for domain, at := range e.begunAt {
		state.Domains[domain] = age(now, at)
	}
	return state
}

// decisionRevisions returns the store revisions of the registrations and, if they are in
// use, the evacuations that a decision is based on, as log fields.
func (g *Gateway) decisionRevisions() []zap.Field {
	g.mu.Lock()
	defer g.mu.Unlock()
	fields := []zap.Field{zap.Uint64("registry", g.registry.Revision())}
	if g.followsEvacuations() {
		fields = append(fields, zap.Uint64("evacuations", g.evacuations.set.Revision()))
	}
	return fields
}
