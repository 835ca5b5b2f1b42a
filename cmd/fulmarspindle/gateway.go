package main

import (
	"cmp"
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/gateway"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/overload"
	"fulmarspindle.example/fulmarspindle/platform"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/retry"
	"fulmarspindle.example/fulmarspindle/upstream"
)

const (
	// peerReportTTL is how long another gateway's report of its load holds.
	peerReportTTL = 2 * time.Second
	// callerDescriptors is the part of the descriptors that callers'
	// connections may take; upstreams, other routers and the store have the rest.
	callerDescriptors = 0.6
	// memoryPart is the part of the memory at which the garbage collector works
	// harder rather than letting the process end.
	memoryPart = 0.8
	// bufferedPart is the part of the memory that bodies may take.
	bufferedPart = 0.125
	// watchSlack is how much later than its time a watch may be answered, and
	// fallbackTime is what a gateway needs to ask the store itself.
	watchSlack   = 700 * time.Millisecond
	fallbackTime = 1300 * time.Millisecond
	// bytesPerMB converts sizes.
	bytesPerMB = 1 << 20
	// tombstoneTTL is how long the removal of an upstream is remembered.
	tombstoneTTL = time.Minute
)

// serveGateway runs a gateway until ctx ends.
func serveGateway(ctx context.Context, path string) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	settings, err := config.LoadGatewaySettings(path)
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	limitMemory(settings.Limits)
	log, flush, err := node.StartTelemetry(background, settings.ID, settings.Log, settings.Traces)
	if err != nil {
		return err
	}
	defer flush()
	store, err := platform.NewClient(platform.Options{
		URL: settings.Platform.URL, Timeout: settings.Platform.Timeout.Std(),
		WatchTimeout: settings.Platform.WatchTimeout.Std(), Log: log.Logger,
	})
	if err != nil {
		return err
	}
	defer store.Close()
	callers, err := node.Listen(settings.Listen.Caller, nil)
	if err != nil {
		return err
	}
	ready, err := node.Listen(settings.Listen.Ready, nil)
	if err != nil {
		return err
	}
	peers, err := node.Listen(settings.Listen.Peer, nil)
	if err != nil {
		return err
	}
	listeners := gateway.Listeners{Caller: callers, Ready: ready, Peer: peers}
	if settings.Listen.Metrics != "" {
		if listeners.Metrics, err = node.Listen(settings.Listen.Metrics, nil); err != nil {
			return err
		}
	}
	options := gatewayOptions(settings)
	options.Store, options.Log = store, log.Logger
	options.Engines = platform.NewEngineClient(settings.Platform.Timeout.Std())
	g := gateway.New(background, options)
	follower := settingsFollower{path: path, started: settings, log: log, gateway: g}
	go follower.run(background, hangups)
	return g.Run(ctx, listeners)
}

// limitMemory sets up the garbage collector.
func limitMemory(limits config.GatewayLimits) {
	debug.SetGCPercent(limits.GCPercent)
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(limits.MemoryMB*bytesPerMB)))
	}
}

// bufferedBytes returns the bound on the bodies that are held.
func bufferedBytes(limits config.GatewayLimits) int64 {
	if limits.MemoryMB == 0 {
		return limits.MaxBufferedBytes
	}
	return min(limits.MaxBufferedBytes, int64(bufferedPart*float64(limits.MemoryMB*bytesPerMB)))
}

// relyOnPeers returns how long gateways rely on each other after the store's last
// word; zero if changes would not be in force in time when that ends.
func relyOnPeers(p config.GatewayPlatform) time.Duration {
	rely := p.WatchTimeout.Std() + watchSlack
	if rely+fallbackTime > p.ApplyWithin.Std() {
		return 0
	}
	return rely
}

func gatewayOptions(s config.GatewaySettings) gateway.Options {
	location := fleet.Location{Region: s.Region, FailureDomain: s.FailureDomain}
	started := time.Now()
	return gateway.Options{
		ID: s.ID, Incarnation: fleet.Incarnation(started.UnixNano()), Started: started,
		PeerAddress: cmp.Or(s.Listen.PeerAdvertised, s.Listen.Peer), Location: location, Processors: s.Limits.Processors, Dialect: platform.Dialect{}, ReadyPath: platform.ReadyPath,
		MaxHeaderBytes: s.Limits.MaxHeaderBytes, MaxBodyBytes: s.Limits.MaxBodyBytes,
		MaxBufferedBytes: bufferedBytes(s.Limits), MaxAnswerBytes: s.Limits.MaxAnswerBytes,
		IdleTimeout: s.Limits.IdleTimeout.Std(), MaxConnections: int(callerDescriptors * float64(s.Limits.Descriptors)),
		HeaderTimeout: s.Limits.HeaderTimeout.Std(), DefaultTimeout: s.Limits.RequestTimeout.Std(),
		StoreRetry: s.Platform.Retry.Std(), MaxPeerStoreAge: relyOnPeers(s.Platform),
		Grace: s.Stop.Grace.Std(), Withdrawal: s.Stop.Withdrawal.Std(),
		Overload: overload.Options{
			MaxBacklogTime: s.Overload.Standing.Std(), HoldDown: s.Overload.Hold.Std(), MaxHoldDown: s.Overload.MaxHold.Std(), MaxUnreadyFraction: s.Overload.MaxUnready,
		},
		Registry: registry.Options{LapseGrace: s.Platform.LapseGrace.Std(), TombstoneTTL: tombstoneTTL},
		Pool: upstream.PoolOptions{
			DialTimeout: s.Upstreams.DialTimeout.Std(), UserTimeout: s.Upstreams.UserTimeout.Std(),
			IdleTimeout: s.Upstreams.IdleTimeout.Std(),
		},
		Policy: policyOf(s),
	}
}

// policyOf returns what may change while the process runs.
func policyOf(s config.GatewaySettings) gateway.Policy {
	return gateway.Policy{
		Admission: admissionOptions(s), Seeds: s.Peers, ReportInterval: s.ReportInterval.Std(),
		MemberTTL: s.Retry.MemberTTL.Std(),
		Retry: retry.BudgetOptions{
			Ratio: s.Retry.Ratio, Slack: s.Retry.Slack, Window: s.Retry.Window.Std(),
			MaxDelay: s.Upstreams.DialTimeout.Std() + s.Upstreams.UserTimeout.Std(),
		},
	}
}

func admissionOptions(s config.GatewaySettings) admission.Options {
	a := s.Admission
	return admission.Options{
		Local: fleet.Location{Region: s.Region, FailureDomain: s.FailureDomain}, Regions: s.Regions, Replicas: a.Replicas,
		AttentionTokens: a.AttentionTokens,
		PrefillRate:     a.PrefillRate, Overhead: a.Overhead.Std(),
		MaxWait: a.MaxWait, OverShareWait: a.OverShareWait, ReturnWait: a.ReturnWait, SlotLimit: a.SlotLimit, MemoryLimit: a.MemoryLimit,
		RemoteCost: a.RemoteCost.Std(), Window: a.Window.Std(), PeerTTL: peerReportTTL,
		Outlier: outlier.Options{
			BaseEjection: s.Outlier.BaseEjection.Std(), MaxEjection: s.Outlier.MaxEjection.Std(),
			ConsecutiveBroken: s.Outlier.BrokenInARow, Smoothing: s.Outlier.Smoothing,
		},
	}
}
