package gateway

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/placement"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/route"
)

// takeLoadChanged reports whether the load has changed since the last call.
func (g *Gateway) takeLoadChanged() bool { return g.loadChanged.Swap(false) }

// loadReport returns this router's report to the other routers.
func (g *Gateway) loadReport(routers map[fleet.NodeID]string, full bool) *peerpb.LoadReport {
	message := g.newLoadReport()
	for _, s := range g.allServices() {
		message.Services = append(message.Services, reportToWire(s.id, s.report(full)))
	}
	if !full {
		return message
	}
	for id, address := range routers {
		message.Routers = append(message.Routers, &peerpb.RouterAddress{Id: string(id), Address: address})
	}
	return message
}

// domainReport returns the report on this failure domain to the other failure domains.
// members are the other routers of this domain.
func (g *Gateway) domainReport(members []fleet.NodeID, full bool) *peerpb.LoadReport {
	domain := &peerpb.DomainLoad{FailureDomain: string(g.options.Location.FailureDomain)}
	for _, s := range g.allServices() {
		domain.Services = append(domain.Services, reportToWire(s.id, s.domainReport(members, full)))
	}
	message := g.newLoadReport()
	message.Domains = []*peerpb.DomainLoad{domain}
	return message
}

func (g *Gateway) newLoadReport() *peerpb.LoadReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &peerpb.LoadReport{
		RegistryRevision: g.registry.LatestRevision(), Draining: g.draining.Load(), Unready: g.readiness.unready.Load(),
		StoreAgeMs: g.storeContact.age(time.Now()), Evacuations: g.evacuations.wire,
	}
}

func (g *Gateway) allServices() []*service {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Values(g.services))
}

func reportToWire(id fleet.ServiceID, r admission.Report) *peerpb.ServiceLoad {
	out := &peerpb.ServiceLoad{Service: string(id), Full: r.Full}
	for upstream, load := range r.Upstreams {
		out.Upstreams = append(out.Upstreams, &peerpb.UpstreamLoad{
			Upstream: string(upstream), Prefill: countToWire(load.Prefill, peer.MaxLoadTokens),
			Running: countToWire(load.Running, peer.MaxLoadRequests), Memory: countToWire(load.Memory, peer.MaxLoadTokens),
		})
	}
	for account, usage := range r.Teams {
		out.Teams = append(out.Teams, &peerpb.TeamUsage{
			Team: string(account.Team), HomeRegions: account.Regions, Asked: float32(usage.Requested), Served: float32(usage.Served),
		})
	}
	if r.Speed != nil {
		out.Speed = &peerpb.EngineSpeed{Rate: r.Speed.Rate, OverheadUs: uint32(r.Speed.Overhead.Microseconds())}
	}
	for upstream, factor := range r.Factors {
		out.EngineFactors = append(out.EngineFactors, &peerpb.EngineFactor{
			Upstream: string(upstream), LogFactor: float32(factor.Log), Weight: float32(factor.Weight),
		})
	}
	for _, prompt := range r.Prompts {
		wire := &peerpb.SentPrompt{Upstream: string(prompt.Upstream)}
		for _, part := range prompt.Prompt {
			wire.Parts = append(wire.Parts, part.ID)
			wire.Tokens = append(wire.Tokens, uint32(part.Tokens))
		}
		out.Prompts = append(out.Prompts, wire)
	}
	return out
}

// countToWire encodes a count within the bounds that receivers accept.
func countToWire(count, maximum int) uint32 { return uint32(min(max(count, 0), maximum)) }

func reportFromWire(m *peerpb.ServiceLoad) admission.Report {
	r := admission.Report{Full: m.GetFull(), Upstreams: make(map[fleet.UpstreamID]admission.UpstreamLoad), Teams: make(admission.Usage)}
	for _, u := range m.GetUpstreams() {
		r.Upstreams[fleet.UpstreamID(u.GetUpstream())] = admission.UpstreamLoad{
			Prefill: int(u.GetPrefill()), Running: int(u.GetRunning()), Memory: int(u.GetMemory()),
		}
	}
	for _, t := range m.GetTeams() {
		account := admission.Account{Team: fleet.TeamID(t.GetTeam()), Regions: t.GetHomeRegions()}
		r.Teams[account] = admission.TeamUsage{Requested: float64(t.GetAsked()), Served: float64(t.GetServed())}
	}
	if speed := m.GetSpeed(); speed.GetRate() > 0 {
		r.Speed = &admission.EngineSpeed{Rate: speed.GetRate(), Overhead: time.Duration(speed.GetOverheadUs()) * time.Microsecond}
	}
	if factors := m.GetEngineFactors(); len(factors) > 0 {
		r.Factors = make(map[fleet.UpstreamID]admission.EngineFactor, len(factors))
		for _, f := range factors {
			r.Factors[fleet.UpstreamID(f.GetUpstream())] = admission.EngineFactor{Log: float64(f.GetLogFactor()), Weight: float64(f.GetWeight())}
		}
	}
	for _, p := range m.GetPrompts() {
		prompt := admission.SentPrompt{Upstream: fleet.UpstreamID(p.GetUpstream())}
		for i := range min(len(p.GetParts()), len(p.GetTokens())) {
			prompt.Prompt = append(prompt.Prompt, placement.Part{ID: p.GetParts()[i], Tokens: int(p.GetTokens()[i])})
		}
		r.Prompts = append(r.Prompts, prompt)
	}
	return r
}

// applyPeerLoad applies the load of another router, or the summed load of another
// failure domain.
func (g *Gateway) applyPeerLoad(source fleet.NodeID, loads []*peerpb.ServiceLoad) {
	for _, load := range loads {
		if s := g.service(fleet.ServiceID(load.GetService())); s != nil {
			s.applyPeerReport(source, reportFromWire(load))
		}
	}
}

// recordDomainPrompts stores the prompts that a router of this failure domain reported,
// for the report to the other domains.
func (g *Gateway) recordDomainPrompts(loads []*peerpb.ServiceLoad) {
	for _, load := range loads {
		if s := g.service(fleet.ServiceID(load.GetService())); s != nil {
			s.recordDomainPrompts(reportFromWire(load).Prompts)
		}
	}
}

func (g *Gateway) removePeer(node fleet.NodeID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.services {
		s.removePeer(node)
	}
}

// encodeRouting returns the encoded configuration in force, or nil before the first.
func (g *Gateway) encodeRouting() []byte {
	table := g.table.Load()
	if table == nil {
		return nil
	}
	encoded, err := json.Marshal(table.Definition())
	if err != nil {
		g.log.Error("configuration not encoded", zap.Error(err))
		return nil
	}
	return encoded
}

func (g *Gateway) applyPeerRouting(from fleet.NodeID, m *peerpb.RoutingSnapshot) {
	var definition route.Definition
	if err := json.Unmarshal(m.GetDefinition(), &definition); err != nil {
		g.log.Error("configuration refused", zap.String("from", string(from)), zap.Error(err))
		return
	}
	g.adoptPeer(definition, string(from))
}

func (g *Gateway) registryRevision() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Revision()
}

// registryUpdate returns the registrations that changed after a revision.
func (g *Gateway) registryUpdate(after uint64) *peerpb.RegistryUpdate {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	out := &peerpb.RegistryUpdate{Revision: g.registry.LatestRevision()}
	for _, entry := range g.registry.Entries() {
		if entry.Revision > after {
			out.Registrations = append(out.Registrations, registrationToWire(now, entry))
		}
	}
	return out
}

// applyPeerRegistry applies the registrations that another router reported. They are
// validated like those in the store, which the other router may read by other rules.
func (g *Gateway) applyPeerRegistry(from fleet.NodeID, m *peerpb.RegistryUpdate) {
	if m.GetRevision() > registry.MaxRevision {
		invalidPeerRegistrations.Add(1)
		g.log.Warn("registrations refused", zap.String("from", string(from)), zap.Uint64("revision", m.GetRevision()))
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registeredAt = now
	for _, wire := range m.GetRegistrations() {
		g.applyPeerRegistration(now, from, wire, m.GetRevision())
	}
	g.registry.AdvanceRevision(m.GetRevision())
	g.updateServices(now)
}

// applyPeerRegistration applies a registration. latest is the revision of the update that it
// is part of. The caller holds mu.
func (g *Gateway) applyPeerRegistration(now time.Time, from fleet.NodeID, wire *peerpb.Registration, latest uint64) {
	entry, err := registrationFromWire(wire).Checked(latest)
	if err != nil {
		invalidPeerRegistrations.Add(1)
	}
	if entry.Upstream.ID == "" || !g.registry.Apply(now, entry) {
		return
	}
	if err != nil {
		g.log.Warn("registration not valid", zap.String("upstream", string(entry.Upstream.ID)), zap.Uint64("revision", entry.Revision),
			zap.String("from", string(from)), zap.Error(err))
	}
	g.logRegistration(entry, string(from))
}

func registrationToWire(now time.Time, entry registry.Entry) *peerpb.Registration {
	return &peerpb.Registration{
		Upstream: string(entry.Upstream.ID), Service: string(entry.Upstream.Service), Address: entry.Upstream.Address,
		FailureDomain: string(entry.Upstream.Domain), Slots: uint32(entry.Upstream.Slots), Draining: entry.Upstream.Draining,
		StartedUnixMs: entry.Upstream.StartedUnixMs, Version: entry.Upstream.Version, Revision: entry.Revision, Removed: entry.Removed,
		ColdRemainingMs: coldRemainingToWire(entry.Upstream.ColdLeft(now)),
	}
}

func registrationFromWire(m *peerpb.Registration) registry.Entry {
	return registry.Entry{
		Upstream: registry.Upstream{
			ID: fleet.UpstreamID(m.GetUpstream()), Service: fleet.ServiceID(m.GetService()), Address: m.GetAddress(),
			Domain: fleet.FailureDomainID(m.GetFailureDomain()), Slots: int(m.GetSlots()), Draining: m.GetDraining(),
			StartedUnixMs: m.GetStartedUnixMs(), Version: m.GetVersion(),
			ColdRemaining: time.Duration(m.GetColdRemainingMs()) * time.Millisecond,
		},
		Revision: m.GetRevision(), Removed: m.GetRemoved(),
	}
}
