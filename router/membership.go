package router

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/dispatch"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/operator"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/platform"
)

const (
	// vmListInterval is the least time between two reads of the VM list.
	vmListInterval = time.Second
	// maxVMListReads bounds the reads of the VM list by all routers together,
	// per second: a tenth of what the platform takes of reads.
	maxVMListReads = 200
)

// vmListPeriod returns the time between two reads of the VM list by one router
// of a fleet.
func vmListPeriod(routers int) time.Duration {
	return max(vmListInterval, time.Duration(routers)*time.Second/maxVMListReads)
}

// membership derives, from present inputs alone, which upstreams this router
// may offer work to.
type membership struct {
	queue *queue
	index func() *config.Index
	log   *zap.Logger

	mu       sync.Mutex
	vms      map[fleet.VMID]platform.VMStatus
	sidecars map[fleet.NodeID]*sidecarState
}

// sidecarState is what a connected sidecar said of itself.
type sidecarState struct {
	session  *peer.Session
	load     *peerpb.Load
	draining bool
	reason   fleet.Reason
}

func newMembership(q *queue, index func() *config.Index, log *zap.Logger) *membership {
	return &membership{
		queue:    q,
		index:    index,
		log:      log,
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
func (m *membership) inputs(id fleet.NodeID, state *sidecarState) fleet.Inputs {
	in := fleet.Inputs{
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
	if vm, ok := m.vms[upstream.VM]; ok {
		in.Entry = &fleet.VMEntry{Incarnation: vm.Incarnation, Leaving: vm.State == platform.VMLeaving}
	}
	return in
}

// followVMs reads the platform's VM list until ctx ends. During an outage the
// last list stays in force.
func (m *membership) followVMs(ctx context.Context, store platform.Store, period func() time.Duration) {
	for ctx.Err() == nil {
		next := time.Now().Add(period())
		list, err := store.VMs(ctx)
		if err == nil {
			m.setVMs(list)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(next)):
		}
	}
}

func (m *membership) setVMs(list []platform.VMStatus) {
	vms := make(map[fleet.VMID]platform.VMStatus, len(list))
	for _, vm := range list {
		vms[vm.ID] = vm
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms = vms
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
			status.Reason = state.reason
			status.FreeSlots = int(state.load.GetFreeSlots())
		}
		out = append(out, status)
	}
	return out
}
