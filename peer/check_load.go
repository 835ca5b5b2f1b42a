package peer

import (
	"time"

	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/registry"
)

// Bounds of load reports.
const (
	// MaxLoadTokens is the most work and memory, in tokens, at one upstream.
	MaxLoadTokens = 1 << 28
	// MaxLoadRequests is the most running requests at one upstream.
	MaxLoadRequests = 1 << 20
	// maxPromptParts is the largest number of parts of a prompt.
	maxPromptParts = 1 << 12
	// minPrefillRate and maxPrefillRate bound the speed of engines in tokens per second,
	// and maxOverhead the fixed time per request.
	minPrefillRate = 1e-2
	maxPrefillRate = 1e9
	maxOverhead    = time.Minute
	// maxReportedRouters and maxReportedDomains bound the lists of a report.
	maxReportedRouters = 4096
	maxReportedDomains = 256
	// maxReportedServices and maxReportedTeams bound the lists of one router or domain.
	maxReportedServices = 4096
	maxReportedTeams    = 1 << 16
	// maxSlots is the largest number of slots of a sidecar.
	maxSlots = 1 << 20
)

func (o leftOut) checkLoadReport(m *peerpb.LoadReport) {
	o.checkRevision(&m.RegistryRevision)
	if m.Evacuations != nil && m.Evacuations.Revision > registry.MaxRevision {
		// Without a revision the set can't be compared with the known one.
		o["evacuations"]++
		m.Evacuations = nil
	}
	m.Routers = keep(o, "router", m.Routers, func(r *peerpb.RouterAddress) bool { return isName(r.GetId()) && isAddress(r.GetAddress()) })
	m.Routers = limitLength(o, "router", m.Routers, maxReportedRouters)
	m.Domains = keep(o, "domain", m.Domains, func(d *peerpb.DomainLoad) bool { return isName(d.GetFailureDomain()) })
	m.Domains = limitLength(o, "domain", m.Domains, maxReportedDomains)
	for _, domain := range m.Domains {
		domain.Services = o.checkServices(domain.Services)
	}
	m.Services = o.checkServices(m.Services)
}

func (o leftOut) checkServices(list []*peerpb.ServiceLoad) []*peerpb.ServiceLoad {
	list = keep(o, "service", list, func(s *peerpb.ServiceLoad) bool { return isName(s.GetService()) })
	list = limitLength(o, "service", list, maxReportedServices)
	for _, s := range list {
		o.checkService(s)
	}
	return list
}

func (o leftOut) checkService(s *peerpb.ServiceLoad) {
	s.Upstreams = keep(o, "upstream", s.Upstreams, soundUpstreamLoad)
	s.Teams = keep(o, "team", s.Teams, soundTeamUsage)
	s.Teams = limitLength(o, "team", s.Teams, maxReportedTeams)
	s.Prompts = keep(o, "prompt", s.Prompts, soundPrompt)
	s.EngineFactors = keep(o, "engine_factor", s.EngineFactors, soundFactor)
	if s.Speed != nil && !soundSpeed(s.Speed) {
		o["speed"]++
		s.Speed = nil
	}
}

func soundUpstreamLoad(u *peerpb.UpstreamLoad) bool {
	return isName(u.GetUpstream()) && u.GetPrefill() <= MaxLoadTokens && u.GetMemory() <= MaxLoadTokens && u.GetRunning() <= MaxLoadRequests
}

// soundTeamUsage accepts an empty team: that of callers without a key.
func soundTeamUsage(t *peerpb.TeamUsage) bool {
	return len(t.GetTeam()) <= maxNameBytes && len(t.GetHomeRegions()) <= maxRegionsBytes &&
		isCount(float64(t.GetAsked())) && isCount(float64(t.GetServed()))
}

// soundPrompt requires a length of each part: otherwise what follows the first mismatch would
// be taken for cached with the length of another part.
func soundPrompt(p *peerpb.SentPrompt) bool {
	if !isName(p.GetUpstream()) || len(p.GetParts()) != len(p.GetTokens()) || len(p.GetParts()) > maxPromptParts {
		return false
	}
	for _, tokens := range p.GetTokens() {
		if tokens > MaxLoadTokens {
			return false
		}
	}
	return true
}

// soundFactor accepts a weight of zero, which states that earlier factors are void.
func soundFactor(f *peerpb.EngineFactor) bool {
	return isName(f.GetUpstream()) && isAmount(float64(f.GetLogFactor())) && isCount(float64(f.GetWeight()))
}

func soundSpeed(s *peerpb.EngineSpeed) bool {
	return s.GetRate() >= minPrefillRate && s.GetRate() <= maxPrefillRate && time.Duration(s.GetOverheadUs())*time.Microsecond <= maxOverhead
}

func soundSidecarLoad(l *peerpb.Load) bool {
	return l.GetSlots() <= maxSlots && l.GetFreeSlots() <= maxSlots
}
