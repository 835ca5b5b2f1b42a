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

// membership derives, from present inputs alone, which upstreams this router
// may offer work to.
type membership struct {
	queue *queue
	index func() *config.Index
	log   *zap.Logger

	mu       sync.Mutex
	vms      vmTable
	sidecars map[fleet.NodeID]*sidecarState
}

// sidecarState is what a connected sidecar said of itself.
type sidecarState struct {
	session  *peer.Session
	load     *peerpb.Load
	draining bool
	reason   fleet.Reason
}

// shownReason tells why the upstream gets no new work: what this router finds
// goes before what the sidecar said.
func (s *sidecarState) shownReason() fleet.Reason {
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

// up registers a sidecar's session. A sidecar that no configuration names is
// not used.
func (m *membership) up(s *peer.Session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sidecars[s.ID()] = &sidecarState{session: s}
	m.announce(s)
}

// announce tells the queue of a sidecar that the configuration names.
func (m *membership) announce(s *peer.Session) {
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

func (m *membership) down(id fleet.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sidecars, id)
	m.queue.step(dispatch.SidecarDown{Sidecar: id})
}

// load takes a sidecar's load message.
func (m *membership) load(id fleet.NodeID, load *peerpb.Load) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.sidecars[id]
	if state == nil {
		return
	}
	state.load = load
	m.refresh(id)
}

// avoid returns the sidecars that a retry must not run on: those that failed
// it, unless no other one takes work.
func (m *membership) avoid(service fleet.ServiceID, failed []fleet.NodeID) []fleet.NodeID {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, state := range m.sidecars {
		takesWork := state.reason == fleet.ReasonNone && state.load.GetAccepting()
		if !takesWork || slices.Contains(failed, id) {
			continue
		}
		if of, ok := m.serviceOf(id); ok && of == service {
			return failed
		}
	}
	return nil
}

// heartbeat takes a sidecar's own drain flag.
func (m *membership) heartbeat(id fleet.NodeID, draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.sidecars[id]
	if state == nil || state.draining == draining {
		return
	}
	state.draining = draining
	m.refresh(id)
}

// reconfigure derives everything anew from a new configuration.
func (m *membership) reconfigure() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, state := range m.sidecars {
		if _, ok := m.serviceOf(id); !ok {
			m.queue.step(dispatch.SidecarDown{Sidecar: id})
			continue
		}
		m.announce(state.session)
	}
}

// refresh tells the queue whether a sidecar takes work. One that the
// configuration does not name is left out. The lock is held.
func (m *membership) refresh(id fleet.NodeID) {
	if _, ok := m.serviceOf(id); !ok {
		return
	}
	state := m.sidecars[id]
	eligible, reason := fleet.Eligible(m.inputs(id, state))
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

// inputs gathers what is known of an upstream now.
func (m *membership) inputs(id fleet.NodeID, state *sidecarState) fleet.EligibilityInputs {
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

// setVMs takes a list that was read and returns what was new. To a router that
// held none the whole list is new, which tells others nothing.
func (m *membership) setVMs(list []platform.VMStatus) *peerpb.VMListUpdate {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := len(m.vms.byID) == 0
	changes := m.vms.replace(list)
	if first {
		changes = nil
	}
	m.refreshAll()
	return &peerpb.VMListUpdate{Digest: m.vms.digest, Changes: changes}
}

// updateVMs takes what another router read. It reports whether the list is now
// the one that the other router has.
func (m *membership) updateVMs(u *peerpb.VMListUpdate) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms.apply(u.GetChanges())
	if len(u.GetChanges()) > 0 {
		m.refreshAll()
	}
	return m.vms.digest == u.GetDigest()
}

// refreshAll derives every sidecar's eligibility anew. The lock is held.
func (m *membership) refreshAll() {
	for id := range m.sidecars {
		m.refresh(id)
	}
}

// status returns the upstreams that the configuration names.
func (m *membership) status(upstreams []config.Upstream) []operator.Upstream {
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
			status.Reason = state.shownReason()
			status.FreeSlots = int(state.load.GetFreeSlots())
		}
		out = append(out, status)
	}
	return out
}
