package router

import (
	"slices"
	"sync"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/dispatch"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/operator"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/platform"
)

// membership determines which upstreams are eligible for new requests. It depends
// only on current inputs: the configuration, the VM list, and the sidecars'
// sessions and load reports.
type membership struct {
	queue *queue
	index func() *config.Index
	log   *zap.Logger

	mu       sync.Mutex
	vms      vmTable
	sidecars map[fleet.NodeID]*sidecarState
}

// sidecarState is the state of a connected sidecar.
type sidecarState struct {
	session *peer.Session
	// load is the last load report, or nil if there was none.
	load     *peerpb.Load
	draining bool
	// reason tells why this router finds the upstream ineligible; it is
	// fleet.ReasonNone for an eligible one.
	reason fleet.Reason
}

// statusReason returns the reason why the upstream gets no new requests. The
// router's own finding takes precedence over the sidecar's report.
func (s *sidecarState) statusReason() fleet.Reason {
	if s.reason != fleet.ReasonNone {
		return s.reason
	}
	return fleet.Reason(s.load.GetReason())
}

func newMembership(q *queue, index func() *config.Index, log *zap.Logger) *membership {
	return &membership{
		queue:    q,
		index:    index,
		log:      log,
		vms:      newVMTable(),
		sidecars: make(map[fleet.NodeID]*sidecarState),
	}
}

// sidecarConnected handles a new session with a sidecar. A sidecar that is not in
// the configuration is tracked, but gets no requests.
func (m *membership) sidecarConnected(s *peer.Session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sidecars[s.ID()] = &sidecarState{session: s}
	m.registerSidecar(s)
}

// registerSidecar adds a sidecar to the queue if it is in the configuration. The
// lock must be held.
func (m *membership) registerSidecar(s *peer.Session) {
	service, ok := m.serviceOf(s.ID())
	if !ok {
		return
	}
	m.queue.step(dispatch.SidecarUp{Sidecar: s.ID(), Service: service, Location: s.Location()})
	m.refresh(s.ID())
}

func (m *membership) serviceOf(id fleet.NodeID) (fleet.ServiceID, bool) {
	index := m.index()
	if index == nil {
		return "", false
	}
	upstream, ok := index.Upstream(fleet.UpstreamID(id))
	return upstream.Service, ok
}

func (m *membership) sidecarDisconnected(id fleet.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sidecars, id)
	m.queue.step(dispatch.SidecarDown{Sidecar: id})
}

// updateLoad applies a sidecar's load report.
func (m *membership) updateLoad(id fleet.NodeID, load *peerpb.Load) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.sidecars[id]
	if state == nil {
		return
	}
	state.load = load
	m.refresh(id)
}

// excludedFromRetry returns the sidecars that a retry must not run on: those at
// which the request failed, or none if no other sidecar of the service accepts
// requests.
func (m *membership) excludedFromRetry(service fleet.ServiceID, failed []fleet.NodeID) []fleet.NodeID {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, state := range m.sidecars {
		accepting := state.reason == fleet.ReasonNone && state.load.GetAccepting()
		if !accepting || slices.Contains(failed, id) {
			continue
		}
		if of, ok := m.serviceOf(id); ok && of == service {
			return failed
		}
	}
	return nil
}

// updateDraining applies the drain flag of a sidecar's heartbeat.
func (m *membership) updateDraining(id fleet.NodeID, draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.sidecars[id]
	if state == nil || state.draining == draining {
		return
	}
	state.draining = draining
	m.refresh(id)
}

// applyConfig registers or removes every connected sidecar according to the
// configuration in force.
func (m *membership) applyConfig() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, state := range m.sidecars {
		if _, ok := m.serviceOf(id); !ok {
			m.queue.step(dispatch.SidecarDown{Sidecar: id})
			continue
		}
		m.registerSidecar(state.session)
	}
}

// refresh updates the eligibility and load of a sidecar in the queue. It ignores a
// sidecar that is not in the configuration. The lock must be held.
func (m *membership) refresh(id fleet.NodeID) {
	if _, ok := m.serviceOf(id); !ok {
		return
	}
	state := m.sidecars[id]
	eligible, reason := fleet.Eligible(m.eligibilityInputs(id, state))
	if reason != state.reason {
		m.log.Info("upstream eligibility changed", zap.String("upstream", string(id)),
			zap.Bool("eligible", eligible), zap.String("reason", string(reason)))
		state.reason = reason
	}
	m.queue.step(dispatch.SidecarLoad{
		Sidecar:   id,
		Slots:     int(state.load.GetSlots()),
		FreeSlots: int(state.load.GetFreeSlots()),
		Accepting: eligible && (state.load == nil || state.load.GetAccepting()),
	})
}

// eligibilityInputs returns the current inputs of an upstream's eligibility.
func (m *membership) eligibilityInputs(id fleet.NodeID, state *sidecarState) fleet.EligibilityInputs {
	in := fleet.EligibilityInputs{
		Healthy: true,
		Sidecar: fleet.SidecarState{
			Incarnation:   state.session.Incarnation(),
			VMIncarnation: state.session.VMIncarnation(),
		},
	}
	if state.draining {
		in.Sidecar.DrainingIncarnation = state.session.Incarnation()
	}
	upstream, ok := m.index().Upstream(fleet.UpstreamID(id))
	if !ok {
		return in
	}
	in.Rule = m.index().Leaving(upstream.VM)
	if vm, ok := m.vms.byID[upstream.VM]; ok {
		in.Entry = &fleet.VMEntry{Incarnation: vm.Incarnation, Leaving: vm.State == platform.VMLeaving}
	}
	return in
}

// replaceVMs applies a VM list that was read from the platform and returns the
// update for the other routers. If this router had no list, the update carries
// only the digest: every entry would count as changed.
func (m *membership) replaceVMs(list []platform.VMStatus) *peerpb.VMListUpdate {
	m.mu.Lock()
	defer m.mu.Unlock()
	wasEmpty := len(m.vms.byID) == 0
	changes := m.vms.replace(list)
	if wasEmpty {
		changes = nil
	}
	m.refreshAll()
	return &peerpb.VMListUpdate{Digest: m.vms.digest, Changes: changes}
}

// applyVMUpdate applies another router's changes and reports whether this router's
// list now equals the sender's.
func (m *membership) applyVMUpdate(u *peerpb.VMListUpdate) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms.apply(u.GetChanges())
	if len(u.GetChanges()) > 0 {
		m.refreshAll()
	}
	return m.vms.digest == u.GetDigest()
}

// refreshAll refreshes every connected sidecar. The lock must be held.
func (m *membership) refreshAll() {
	for id := range m.sidecars {
		m.refresh(id)
	}
}

// upstreamStatus returns the status of the upstreams in the configuration.
func (m *membership) upstreamStatus(upstreams []config.Upstream) []operator.Upstream {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]operator.Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		status := operator.Upstream{
			ID:      fleet.NodeID(u.ID),
			Service: u.Service,
			VM:      u.VM,
			Reason:  fleet.ReasonNotConnected,
			Slots:   u.Slots,
		}
		if state := m.sidecars[status.ID]; state != nil {
			status.Connected = true
			status.Accepting = state.reason == fleet.ReasonNone && state.load.GetAccepting()
			status.Reason = state.statusReason()
			status.FreeSlots = int(state.load.GetFreeSlots())
		}
		out = append(out, status)
	}
	return out
}
