// Package sidecar implements the process that runs beside one upstream. It grants
// the upstream's slots to waiting requests, runs the requests dispatched to it,
// and accounts for the service that each team receives.
package sidecar

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/dispatch"
	"fulmarspindle.example/fulmarspindle/fairness"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/upstream"
)

// Errors of a sidecar.
var (
	// ErrDispatch is returned for a stream that does not dispatch a request of this
	// sidecar's service.
	ErrDispatch = eris.New("sidecar: invalid dispatch")
	// ErrListen is returned when accepting connections fails.
	ErrListen = eris.New("sidecar: listen failed")
)

const (
	// reportInterval is the maximum interval between reports of accounts.
	reportInterval = 250 * time.Millisecond
	// reportDelay is the delay from a charge to its report, in which further
	// charges are collected.
	reportDelay = 10 * time.Millisecond
	// drainPollInterval is the interval between checks for running requests while
	// draining.
	drainPollInterval = 20 * time.Millisecond
)

// Sidecar is a sidecar process.
type Sidecar struct {
	settings    config.SidecarSettings
	incarnation fleet.Incarnation
	log         *zap.Logger
	ctx         context.Context

	sessions      *node.Sessions
	configAdopter *node.ConfigAdopter
	network       *peer.Network
	scheduler     *scheduler
	health        *health
	client        *upstream.Client

	// reconcileMu serializes calls of reconcile, so that the result of an older
	// call does not overwrite that of a newer one.
	reconcileMu sync.Mutex
	draining    atomic.Bool
	// activeRequests is the number of open request streams.
	activeRequests atomic.Int64
}

// TLS holds the TLS configurations of the connections to peers. A nil
// configuration selects plain TCP.
type TLS struct {
	PeerServer *tls.Config
	PeerClient *tls.Config
}

// New returns a sidecar. Its background work ends when ctx is canceled.
func New(ctx context.Context, settings config.SidecarSettings, tls TLS, log *zap.Logger) *Sidecar {
	s := &Sidecar{
		settings:    settings,
		incarnation: fleet.Incarnation(time.Now().UnixNano()),
		log:         log,
		ctx:         ctx,
		sessions:    node.NewSessions(),
		client:      upstream.NewClient(settings.Upstream.URL, settings.Upstream.HealthPath),
	}
	s.scheduler = newScheduler(settings.ID, s.sessions, s.weightOf, dispatch.SidecarConfig{
		Incarnation:     s.incarnation,
		StagingDisabled: !settings.Staging,
		RefreshInterval: node.DemandRefreshInterval,
		Location:        fleet.Location{Region: settings.Region, FailureDomain: settings.FailureDomain},
	}, fairness.LedgerConfig{})
	s.scheduler.setAccepting(fleet.ReasonNotConfigured)
	s.health = newHealth(string(settings.ID), s.client, log, s.reconcile)
	s.configAdopter = node.NewConfigAdopter(ctx, node.ConfigAdopterOptions{
		Sessions: s.sessions,
		Log:      log,
		OnAdopt:  func(config.Snapshot) { s.reconcile() },
		OnBehind: func(bool) {},
	})
	local := &peer.Local{
		Hello:      s.hello(),
		Source:     node.DialSource(settings.Listen.Peer),
		Generation: s.configAdopter.Generation,
		Draining:   s.draining.Load,
	}
	s.network = peer.NewNetwork(local, s, log, tls.PeerServer, tls.PeerClient)
	return s
}

func (s *Sidecar) hello() *peerpb.Hello {
	return &peerpb.Hello{
		ProtocolVersion: peer.ProtocolVersion,
		Id:              string(s.settings.ID),
		Incarnation:     uint64(s.incarnation),
		Role:            peerpb.Role_ROLE_SIDECAR,
		Region:          string(s.settings.Region),
		FailureDomain:   string(s.settings.FailureDomain),
		VmIncarnation:   s.settings.VMIncarnation,
	}
}

// upstream returns the upstream of this sidecar from the configuration in force.
func (s *Sidecar) upstream() (config.Upstream, bool) {
	index := s.configAdopter.Index()
	if index == nil {
		return config.Upstream{}, false
	}
	return index.Upstream(fleet.UpstreamID(s.settings.ID))
}

// service returns the service of the upstream from the configuration in force.
func (s *Sidecar) service() (config.Service, bool) {
	u, ok := s.upstream()
	if !ok {
		return config.Service{}, false
	}
	return s.configAdopter.Index().Service(u.Service)
}

// serviceSlots returns the number of slots of all upstreams of a service.
func (s *Sidecar) serviceSlots(service fleet.ServiceID) int {
	slots := 0
	for _, u := range s.configAdopter.Index().UpstreamsOf(service) {
		slots += u.Slots
	}
	return slots
}

// weightOf returns a team's weight for this upstream's service.
func (s *Sidecar) weightOf(team fleet.TeamID) float64 {
	u, ok := s.upstream()
	if !ok {
		return 1
	}
	return s.configAdopter.Index().Weight(u.Service, team)
}

// reconcile sets the number of slots and whether requests are accepted. Both follow
// only from the current configuration, health and draining state, never from
// earlier results.
func (s *Sidecar) reconcile() {
	s.reconcileMu.Lock()
	defer s.reconcileMu.Unlock()
	u, configured := s.upstream()
	if !configured {
		s.scheduler.setAccepting(fleet.ReasonNotConfigured)
		return
	}
	service, _ := s.service()
	s.scheduler.configure(u.Slots, s.serviceSlots(u.Service), service.DefaultCost)
	s.scheduler.setAccepting(s.ineligibilityReason(s.configAdopter.Index().Leaving(u.VM)))
}

// ineligibilityReason returns why the upstream must not receive requests, according
// to the operators' rule for the VM and the state of this process. The platform's
// VM list is applied by the routers.
func (s *Sidecar) ineligibilityReason(rule *fleet.LeavingRule) fleet.Reason {
	in := fleet.EligibilityInputs{
		Rule: rule,
		Sidecar: fleet.SidecarState{
			Incarnation:   s.incarnation,
			VMIncarnation: s.settings.VMIncarnation,
		},
		Healthy: s.health.isUp(),
	}
	if s.draining.Load() {
		in.Sidecar.DrainingIncarnation = s.incarnation
	}
	_, reason := fleet.Eligible(in)
	return reason
}

// Run serves until ctx is canceled, and then lets running requests finish within
// the drain timeout.
func (s *Sidecar) Run(ctx context.Context, ln, adminLn net.Listener) error {
	admin := s.serveAdmin(adminLn)
	defer admin.Close()
	background, cancel := context.WithCancel(s.ctx)
	defer cancel()
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.network.Serve(background, ln) }()
	go s.health.run(background)
	go s.reportLoop(background)
	go s.dialRouters(background)
	s.log.Info("sidecar started", zap.Stringer("peer", ln.Addr()))
	select {
	case <-ctx.Done():
		s.drain()
		return nil
	case err := <-serveErr:
		return eris.Wrap(ErrListen, err.Error())
	}
}

// drain stops granting slots and waits until the open requests have ended or the
// drain timeout has passed.
func (s *Sidecar) drain() {
	s.log.Info("sidecar draining")
	s.draining.Store(true)
	s.reconcile()
	s.sessions.SendHeartbeats()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), s.settings.DrainTimeout.Std())
	defer cancel()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.activeRequests.Load() > 0 {
		select {
		case <-ctx.Done():
			s.log.Warn("requests cut by the drain timeout", zap.Int64("running", s.activeRequests.Load()))
			return
		case <-ticker.C:
		}
	}
	s.log.Info("sidecar drained")
}

// reportLoop reports the accounts to their keepers: soon after a charge, and at a
// fixed interval for all other changes.
func (s *Sidecar) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.scheduler.accountsChanged:
			// Charges within the delay are sent in one report.
			node.Pause(ctx, reportDelay)
		}
		s.report()
	}
}

func (s *Sidecar) report() {
	u, ok := s.upstream()
	if !ok {
		return
	}
	report, ok := s.scheduler.takeReport()
	if !ok {
		return
	}
	routers := s.sessions.RouterIDs(s.settings.Region)
	keeperOf := func(team fleet.TeamID) (fleet.NodeID, bool) {
		return fairness.AssignKeeper(u.Service, team, routers)
	}
	for _, part := range fairness.SplitReport(report, keeperOf) {
		m := node.AccountReportToProto(part.Report)
		s.sessions.Send(part.Keeper, &peerpb.Envelope{Body: &peerpb.Envelope_AccountReport{AccountReport: m}})
	}
}
