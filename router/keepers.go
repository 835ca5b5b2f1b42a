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

// Intervals at which changed accounts are sent on.
const (
	regionSumsInterval = 50 * time.Millisecond
	updateInterval     = 40 * time.Millisecond
	// answerInterval is the time between two answers about a team to a sidecar;
	// with them a restarted keeper is refilled.
	answerInterval = 2 * time.Second
)

// keepers holds the account keepers of this router, one for each service.
type keepers struct {
	sessions    *node.Sessions
	self        fleet.NodeID
	region      fleet.RegionID
	incarnation fleet.Incarnation

	// changed is set when an account may have changed since the last update.
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

func (k *keepers) keeper(service fleet.ServiceID, now time.Time) *fairness.Keeper {
	keeper := k.byService[service]
	if keeper == nil {
		keeper = fairness.NewKeeper(fairness.KeeperConfig{AnswerInterval: answerInterval}, k.region, k.incarnation, now)
		k.byService[service] = keeper
	}
	return keeper
}

// report merges a sidecar's report and answers it with the teams' totals.
func (k *keepers) report(s *peer.Session, service fleet.ServiceID, m *peerpb.AccountReport) {
	now := time.Now()
	k.mu.Lock()
	totals := k.keeper(service, now).ApplyReport(s.ID(), s.Incarnation(), node.ReportFromWire(m), now)
	k.mu.Unlock()
	k.changed.Store(true)
	if len(totals.Teams) == 0 {
		return
	}
	s.Send(&peerpb.Envelope{Body: &peerpb.Envelope_AccountTotals{AccountTotals: node.TotalsToWire(totals)}})
}

// merge takes another region's sums.
func (k *keepers) merge(m *peerpb.RegionSums) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keeper(fleet.ServiceID(m.GetService()), now).MergeRegion(node.SumsFromWire(m), now)
	k.changed.Store(true)
}

// exchange sends this region's sums to the keepers of the other regions until
// ctx ends.
func (k *keepers) exchange(ctx context.Context) {
	runPeriodically(ctx, regionSumsInterval, func(now time.Time) {
		for service, sums := range k.sums(now) {
			k.send(service, sums)
		}
	})
}

// update tells the sidecars of this region of changed accounts until ctx ends.
func (k *keepers) update(ctx context.Context) {
	runPeriodically(ctx, updateInterval, func(now time.Time) {
		if !k.changed.Swap(false) {
			return
		}
		for _, u := range k.updates(now) {
			m := node.UpdateToWire(u.Update)
			k.sessions.Send(u.Reporter, &peerpb.Envelope{Body: &peerpb.Envelope_AccountUpdate{AccountUpdate: m}})
		}
	})
}

func (k *keepers) updates(now time.Time) []fairness.ReporterUpdate {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []fairness.ReporterUpdate
	for _, keeper := range k.byService {
		out = append(out, keeper.Updates(now)...)
	}
	return out
}

// runPeriodically calls f at an interval until ctx ends.
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

func (k *keepers) sums(now time.Time) map[fleet.ServiceID]fairness.RegionSums {
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

// send splits a service's sums by the keepers of each other region.
func (k *keepers) send(service fleet.ServiceID, sums fairness.RegionSums) {
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
			env := &peerpb.Envelope{Body: &peerpb.Envelope_RegionSums{RegionSums: node.SumsToWire(service, *part)}}
			k.sessions.Send(keeper, env)
		}
	}
}

// otherRegions returns the connected routers of each other region.
func (k *keepers) otherRegions() map[fleet.RegionID][]fleet.NodeID {
	out := make(map[fleet.RegionID][]fleet.NodeID)
	for _, s := range k.sessions.All(peerpb.Role_ROLE_ROUTER) {
		region := s.Location().Region
		if region != k.region {
			out[region] = append(out[region], s.ID())
		}
	}
	return out
}

// peerUp takes note of a router's new session: it shares the keeping of its
// own region's accounts, and wants the sums of this region if it is elsewhere.
func (k *keepers) peerUp(region fleet.RegionID) {
	if region == k.region {
		k.retain()
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, keeper := range k.byService {
		keeper.ResendAll()
	}
}

// retain drops the teams of which other routers of this region are keepers.
func (k *keepers) retain() {
	routers := append(k.sessions.Routers(k.region), k.self)
	k.mu.Lock()
	defer k.mu.Unlock()
	for service, keeper := range k.byService {
		keeper.Retain(func(team fleet.TeamID) bool {
			assigned, _ := fairness.AssignKeeper(service, team, routers)
			return assigned == k.self
		})
	}
}
