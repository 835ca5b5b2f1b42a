package router

import (
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/operator"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/telemetry"
)

// Ready implements operator.Reporter. It reports whether the router accepts
// requests.
func (r *Router) Ready() bool {
	return !r.draining.Load() && !r.configBehind.Load() && r.configAdopter.Index() != nil
}

// Status implements operator.Reporter.
func (r *Router) Status() operator.Status {
	return operator.Status{
		Router:        r.settings.ID,
		Region:        r.settings.Region,
		FailureDomain: r.settings.FailureDomain,
		Version:       telemetry.Version,
		Generation:    r.configAdopter.Generation(),
		Behind:        r.configBehind.Load(),
		Draining:      r.draining.Load(),
		Routers:       operatorPeers(r.sessions.ByRole(peerpb.Role_ROLE_ROUTER)),
		Sidecars:      operatorPeers(r.sessions.ByRole(peerpb.Role_ROLE_SIDECAR)),
	}
}

func operatorPeers(sessions []*peer.Session) []operator.Peer {
	out := make([]operator.Peer, 0, len(sessions))
	for _, s := range sessions {
		out = append(out, operator.Peer{ID: s.ID(), Region: s.Location().Region, RTTMicros: s.RTT().Microseconds()})
	}
	return out
}

// Upstreams implements operator.Reporter.
func (r *Router) Upstreams() []operator.Upstream {
	inv := r.configAdopter.Snapshot().Inventory
	return r.membership.upstreamStatus(inv.Upstreams)
}

// Teams implements operator.Reporter. It returns the teams whose accounts this
// router holds.
func (r *Router) Teams() []operator.Team {
	index := r.configAdopter.Index()
	inv := r.configAdopter.Snapshot().Inventory
	out := []operator.Team{}
	for _, service := range inv.Services {
		for _, team := range inv.Teams {
			account, ok := r.keepers.account(service.ID, team.ID)
			if !ok {
				continue
			}
			out = append(out, operator.Team{
				ID:      team.ID,
				Service: service.ID,
				Weight:  index.Weight(service.ID, team.ID),
				Account: account,
			})
		}
	}
	return out
}

// Suspects implements operator.Reporter.
func (r *Router) Suspects() []operator.Suspect {
	out := []operator.Suspect{}
	for _, s := range r.suspects.All() {
		out = append(out, operator.Suspect{
			Digest:  s.Digest,
			Team:    s.Team,
			Service: s.Service,
			Crashes: s.CrashIDs,
			Refused: r.suspects.Refused(s),
		})
	}
	return out
}

// account returns a team's account, or false if this router does not hold it.
func (k *keepers) account(service fleet.ServiceID, team fleet.TeamID) (float64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	keeper := k.byService[service]
	if keeper == nil {
		return 0, false
	}
	return keeper.Account(team)
}
