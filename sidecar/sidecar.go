// Package sidecar runs the process beside one upstream: it grants the
// upstream's slots to waiting requests, runs what arrives, and accounts for
// the service that each team receives.
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
	// ErrDispatch reports a request that this sidecar can't run.
	ErrDispatch = eris.New("sidecar: bad dispatch")
	// ErrListen reports a listener that failed.
	ErrListen = eris.New("sidecar: listen failed")
)

const (
	// reportInterval bounds the time between two reports of accounts.
	reportInterval = 250 * time.Millisecond
	// reportDelay is the time from a charge to its report.
	reportDelay = 10 * time.Millisecond
	// drainPoll is the time between two checks for running requests.
	drainPoll = 20 * time.Millisecond
)

// Sidecar is a sidecar process.
type Sidecar struct {
	settings    config.SidecarSettings
	incarnation fleet.Incarnation
	log         *zap.Logger
	ctx         context.Context

	sessions  *node.Sessions
	adoption  *node.Adoption
	network   *peer.Network
	scheduler *scheduler
	health    *health
	client    *upstream.Client

	// deriveMu keeps an older derivation from overwriting a newer one.
	deriveMu sync.Mutex
	draining atomic.Bool
	// active counts the requests that arrived and have not been answered.
	active atomic.Int64
}

// TLS holds the configurations of the peer links; nil ones are plain TCP.
type TLS struct {
	PeerServer *tls.Config
	PeerClient *tls.Config
}

// New returns a sidecar. Its background work ends with ctx.
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
	s.health = newHealth(string(settings.ID), s.client, log, s.derive)
	s.adoption = node.NewAdoption(ctx, node.AdoptionOptions{
		Sessions: s.sessions,
		Log:      log,
		OnAdopt:  func(config.Snapshot) { s.derive() },
		OnBehind: func(bool) {},
	})
	local := &peer.Local{
		Hello:      s.hello(),
		Source:     node.DialSource(settings.Listen.Peer),
		Generation: s.adoption.Generation,
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

// upstream returns this sidecar's entry of the configuration.
func (s *Sidecar) upstream() (config.Upstream, bool) {
	index := s.adoption.Index()
	if index == nil {
		return config.Upstream{}, false
	}
	return index.Upstream(fleet.UpstreamID(s.settings.ID))
}

// service returns the service of the upstream.
func (s *Sidecar) service() (config.Service, bool) {
	u, ok := s.upstream()
	if !ok {
		return config.Service{}, false
	}
	return s.adoption.Index().Service(u.Service)
}

// serviceSlots returns the count of slots of all upstreams of a service.
func (s *Sidecar) serviceSlots(service fleet.ServiceID) int {
	slots := 0
	for _, u := range s.adoption.Index().UpstreamsOf(service) {
		slots += u.Slots
	}
	return slots
}

// weightOf returns a team's weight at this upstream's service.
func (s *Sidecar) weightOf(team fleet.TeamID) float64 {
	u, ok := s.upstream()
	if !ok {
		return 1
	}
	return s.adoption.Index().Weight(u.Service, team)
}

// derive sets slots and acceptance from present inputs alone.
func (s *Sidecar) derive() {
	s.deriveMu.Lock()
	defer s.deriveMu.Unlock()
	u, configured := s.upstream()
	if !configured {
		s.scheduler.setAccepting(fleet.ReasonNotConfigured)
		return
	}
	service, _ := s.service()
	s.scheduler.configure(u.Slots, s.serviceSlots(u.Service), service.DefaultCost)
	s.scheduler.setAccepting(s.ineligibility(s.adoption.Index().Leaving(u.VM)))
}

// ineligibility applies the operators' rule for the VM and this process's own state. The
// routers apply the platform's VM list.
func (s *Sidecar) ineligibility(rule *fleet.LeavingRule) fleet.Reason {
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

// Run serves until ctx ends, then finishes what runs within the drain timeout.
func (s *Sidecar) Run(ctx context.Context, ln, adminLn net.Listener) error {
	admin := s.serveAdmin(adminLn)
	defer admin.Close()
	background, cancel := context.WithCancel(s.ctx)
	defer cancel()
	failed := make(chan error, 1)
	go func() { failed <- s.network.Serve(background, ln) }()
	go s.health.run(background)
	go s.reportLoop(background)
	go s.seekRouters(background)
	s.log.Info("sidecar started", zap.Stringer("peer", ln.Addr()))
	select {
	case <-ctx.Done():
		s.drain()
		return nil
	case err := <-failed:
		return eris.Wrap(ErrListen, err.Error())
	}
}

// drain stops granting and waits for what runs.
func (s *Sidecar) drain() {
	s.log.Info("sidecar draining")
	s.draining.Store(true)
	s.derive()
	s.sessions.Announce()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), s.settings.DrainTimeout.Std())
	defer cancel()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.active.Load() > 0 {
		select {
		case <-ctx.Done():
			s.log.Warn("requests cut by the drain timeout", zap.Int64("running", s.active.Load()))
			return
		case <-ticker.C:
		}
	}
	s.log.Info("sidecar drained")
}

// reportLoop sends the accounts to their keepers: soon after a charge, and at
// an interval for what else has to be told.
func (s *Sidecar) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.scheduler.accountsChanged:
			// Charges that follow each other closely share a report.
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
	routers := s.sessions.Routers(s.settings.Region)
	keeperOf := func(team fleet.TeamID) (fleet.NodeID, bool) {
		return fairness.AssignKeeper(u.Service, team, routers)
	}
	for _, part := range fairness.SplitReport(report, keeperOf) {
		m := node.ReportToWire(part.Report)
		s.sessions.Send(part.Keeper, &peerpb.Envelope{Body: &peerpb.Envelope_AccountReport{AccountReport: m}})
	}
}
