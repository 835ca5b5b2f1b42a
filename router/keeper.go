package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"fulmarspindle.example/fulmarspindle/fairness"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

const (
	// regionSumsInterval is the interval at which changed sums are sent to other
	// regions, and accountUpdateInterval that of changed accounts to sidecars.
	regionSumsInterval    = 50 * time.Millisecond
	accountUpdateInterval = 40 * time.Millisecond
	// totalsInterval is the minimum time between two replies about a team to the
	// same sidecar. Replies let a restarted keeper recover its state from the
	// sidecars.
	totalsInterval = 2 * time.Second
)

// keepers holds the router's account keepers, one for each service. It is safe
// for concurrent use.
type keepers struct {
	sessions    *node.Sessions
	self        fleet.NodeID
	region      fleet.RegionID
	incarnation fleet.Incarnation

	// changed is set if an account may have changed since the last updates were
	// sent.
	changed atomic.Bool

	mu        sync.Mutex
	byService map[fleet.ServiceID]*fairness.Keeper
}

func newKeepers(sessions *node.Sessions, self fleet.NodeID, region fleet.RegionID, inc fleet.Incarnation) *keepers {
	return &keepers{
		sessions:    sessions,
		self:        self,
		region:      region,
		incarnation: inc,
		byService:   make(map[fleet.ServiceID]*fairness.Keeper),
	}
}

// keeperOf returns the keeper of a service and creates it if there is none. The
// lock must be held.
func (k *keepers) keeperOf(service fleet.ServiceID, now time.Time) *fairness.Keeper {
	keeper := k.byService[service]
	if keeper == nil {
		keeper = fairness.NewKeeper(fairness.KeeperConfig{AnswerInterval: totalsInterval}, k.region, k.incarnation, now)
		k.byService[service] = keeper
	}
	return keeper
}

// applyReport merges a sidecar's report and replies with the teams' totals.
func (k *keepers) applyReport(s *peer.Session, service fleet.ServiceID, m *peerpb.AccountReport) {
	now := time.Now()
	k.mu.Lock()
	totals := k.keeperOf(service, now).ApplyReport(s.ID(), s.Incarnation(), node.AccountReportFromProto(m), now)
	k.mu.Unlock()
	k.changed.Store(true)
	if len(totals.Teams) == 0 {
		return
	}
	s.Send(&peerpb.Envelope{Body: &peerpb.Envelope_AccountTotals{AccountTotals: node.AccountTotalsToProto(totals)}})
}

// mergeRegionSums merges the sums of another region.
func (k *keepers) mergeRegionSums(m *peerpb.RegionSums) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keeperOf(fleet.ServiceID(m.GetService()), now).MergeRegion(node.RegionSumsFromProto(m), now)
	k.changed.Store(true)
}

// sendRegionSums periodically sends changed sums of this region to the keepers of
// the other regions until ctx ends.
func (k *keepers) sendRegionSums(ctx context.Context) {
	runPeriodically(ctx, regionSumsInterval, func(now time.Time) {
		for service, sums := range k.pendingRegionSums(now) {
			k.sendServiceSums(service, sums)
		}
	})
}

// sendAccountUpdates periodically sends changed accounts to the sidecars of this
// region until ctx ends.
func (k *keepers) sendAccountUpdates(ctx context.Context) {
	runPeriodically(ctx, accountUpdateInterval, func(now time.Time) {
		if !k.changed.Swap(false) {
			return
		}
		for _, u := range k.pendingUpdates(now) {
			m := node.AccountUpdateToProto(u.Update)
			k.sessions.Send(u.Reporter, &peerpb.Envelope{Body: &peerpb.Envelope_AccountUpdate{AccountUpdate: m}})
		}
	})
}

func (k *keepers) pendingUpdates(now time.Time) []fairness.ReporterUpdate {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []fairness.ReporterUpdate
	for _, keeper := range k.byService {
		out = append(out, keeper.Updates(now)...)
	}
	return out
}

// runPeriodically calls f at every interval until ctx ends.
func runPeriodically(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}

func (k *keepers) pendingRegionSums(now time.Time) map[fleet.ServiceID]fairness.RegionSums {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[fleet.ServiceID]fairness.RegionSums)
	for service, keeper := range k.byService {
		if sums, ok := keeper.RegionSums(now); ok {
			out[service] = sums
		}
	}
	return out
}

// sendServiceSums sends each keeper in the other regions the sums of its teams.
func (k *keepers) sendServiceSums(service fleet.ServiceID, sums fairness.RegionSums) {
	for _, routers := range k.otherRegions() {
		parts := make(map[fleet.NodeID]*fairness.RegionSums)
		for _, sum := range sums.Teams {
			keeper, ok := fairness.AssignKeeper(service, sum.Team, routers)
			if !ok {
				continue
			}
			part := parts[keeper]
			if part == nil {
				part = &fairness.RegionSums{Region: sums.Region, Keeper: sums.Keeper, Seq: sums.Seq, VirtualTime: sums.VirtualTime}
				parts[keeper] = part
			}
			part.Teams = append(part.Teams, sum)
		}
		for keeper, part := range parts {
			env := &peerpb.Envelope{Body: &peerpb.Envelope_RegionSums{RegionSums: node.RegionSumsToProto(service, *part)}}
			k.sessions.Send(keeper, env)
		}
	}
}

// otherRegions returns the connected routers of each other region.
func (k *keepers) otherRegions() map[fleet.RegionID][]fleet.NodeID {
	out := make(map[fleet.RegionID][]fleet.NodeID)
	for _, s := range k.sessions.ByRole(peerpb.Role_ROLE_ROUTER) {
		region := s.Location().Region
		if region != k.region {
			out[region] = append(out[region], s.ID())
		}
	}
	return out
}

// routerConnected handles a new session with a router. A router of the same region
// takes over some of the accounts. A router of another region needs all sums.
func (k *keepers) routerConnected(region fleet.RegionID) {
	if region == k.region {
		k.dropReassignedTeams()
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, keeper := range k.byService {
		keeper.ResendAll()
	}
}

// dropReassignedTeams drops the teams that are assigned to other routers of this
// region.
func (k *keepers) dropReassignedTeams() {
	routers := append(k.sessions.RouterIDs(k.region), k.self)
	k.mu.Lock()
	defer k.mu.Unlock()
	for service, keeper := range k.byService {
		keeper.Retain(func(team fleet.TeamID) bool {
			assigned, _ := fairness.AssignKeeper(service, team, routers)
			return assigned == k.self
		})
	}
}
