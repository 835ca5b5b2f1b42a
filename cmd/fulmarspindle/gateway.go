package main

import (
	"cmp"
	"context"
	"runtime/debug"
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
	"fulmarspindle.example/fulmarspindle/sighup"
	"fulmarspindle.example/fulmarspindle/slowcaller"
	"fulmarspindle.example/fulmarspindle/upstream"
)

const (
	// peerReportTTL is the time for which a load report from another gateway is valid.
	peerReportTTL = 2 * time.Second
	// callerDescriptorFraction is the fraction of the file descriptors that callers'
	// connections may use. The rest is for connections to upstreams, other routers and
	// the store.
	callerDescriptorFraction = 0.6
	// memoryLimitFraction is the fraction of the memory at which the garbage collector
	// runs more often, instead of letting the process run out of memory.
	memoryLimitFraction = 0.8
	// bufferedBodyFraction is the fraction of the memory that buffered request bodies and
	// responses may use.
	bufferedBodyFraction = 0.125
	// slowCallerFraction is the fraction of the limit on buffered bytes that may be held
	// for callers that read slowly. The rest is left to request bodies.
	slowCallerFraction = 0.5
	// slowResponseFraction is the fraction of the bytes for all slow callers that may be
	// held for one of them.
	slowResponseFraction = 0.125
	// watchLatencyMargin is how long after its timeout the store may respond to a watch.
	watchLatencyMargin = 700 * time.Millisecond
	// storeReadTime is the time that a gateway needs to read the store on a new connection
	// after it has noticed that one went silent.
	storeReadTime = 200 * time.Millisecond
	// minStoreWatchTimeout bounds the calls to the store where changes must be in force
	// very soon.
	minStoreWatchTimeout = 200 * time.Millisecond
	// storeFallbackTime is the time that a gateway needs to query the store itself.
	storeFallbackTime = 1300 * time.Millisecond
	bytesPerMB        = 1 << 20
	// tombstoneTTL is how long the entry of a removed upstream is kept.
	tombstoneTTL = time.Minute
)

// serveGateway runs a gateway until ctx ends.
func serveGateway(ctx context.Context, path string) error {
	settings, err := config.LoadGatewaySettings(path)
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	configureGC(settings.Limits)
	log, flush, err := node.StartTelemetry(background, settings.ID, settings.Log, settings.Traces)
	if err != nil {
		return err
	}
	defer flush()
	store, err := platform.NewClient(platform.Options{
		URL: settings.Platform.URL, Timeout: settings.Platform.Timeout.Std(),
		WatchTimeout: storeWatchTimeout(settings.Platform), Log: log.Logger,
	})
	if err != nil {
		return err
	}
	defer store.Close()
	callerListener, err := node.Listen(settings.Listen.Caller, nil)
	if err != nil {
		return err
	}
	readyListener, err := node.Listen(settings.Listen.Ready, nil)
	if err != nil {
		return err
	}
	peerListener, err := node.Listen(settings.Listen.Peer, nil)
	if err != nil {
		return err
	}
	listeners := gateway.Listeners{Caller: callerListener, Ready: readyListener, Peer: peerListener}
	if settings.Listen.Metrics != "" {
		if listeners.Metrics, err = node.Listen(settings.Listen.Metrics, nil); err != nil {
			return err
		}
	}
	options := gatewayOptions(settings)
	options.Store, options.Log = store, log.Logger
	engines := platform.NewEngineClient(settings.Platform.Timeout.Std())
	options.Engines, options.Health = engines, engines
	g := gateway.New(background, options)
	reloader := settingsReloader{path: path, initial: settings, log: log, gateway: g}
	go reloader.run(background, sighup.Received())
	return g.Run(ctx, listeners)
}

// configureGC sets the garbage collector's target percentage and, if the memory is
// limited, its memory limit.
func configureGC(limits config.GatewayLimits) {
	debug.SetGCPercent(limits.GCPercent)
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(limits.MemoryMB*bytesPerMB)))
	}
}

// maxBufferedBytes returns the limit on the total size of buffered request bodies and
// responses.
func maxBufferedBytes(limits config.GatewayLimits) int64 {
	if limits.MemoryMB == 0 {
		return limits.MaxBufferedBytes
	}
	return min(limits.MaxBufferedBytes, int64(bufferedBodyFraction*float64(limits.MemoryMB*bytesPerMB)))
}

// slowCallerOptions returns the bounds on the bytes held for callers that read slowly.
func slowCallerOptions(limits config.GatewayLimits) slowcaller.Options {
	total := cmp.Or(limits.MaxSlowCallerBytes, int64(slowCallerFraction*float64(maxBufferedBytes(limits))))
	return slowcaller.Options{
		MaxTotalBytes: total, MaxResponseBytes: cmp.Or(limits.MaxSlowResponseBytes, int64(slowResponseFraction*float64(total))),
	}
}

// changeWithin returns the time within which every change in the store must be in force.
func changeWithin(p config.GatewayPlatform) time.Duration {
	within := min(p.ApplyWithin.Std(), p.DrainWithin.Std())
	if p.EvacuateWithin > 0 {
		within = min(within, p.EvacuateWithin.Std())
	}
	return within
}

// storeWatchTimeout returns how long a watch of the store waits for changes. A connection that
// goes silent right after a watch was sent must be noticed, and what has changed must be read
// again, in the time within which changes must be in force.
func storeWatchTimeout(p config.GatewayPlatform) time.Duration {
	latest := changeWithin(p) - platform.MinWatchSlack - storeReadTime
	return min(p.WatchTimeout.Std(), max(latest, minStoreWatchTimeout))
}

// maxPeerStoreAge returns how long after the last response of the store gateways rely on
// each other for changes. It is zero if a gateway that queries the store itself after that
// time could not apply a change in time.
func maxPeerStoreAge(p config.GatewayPlatform) time.Duration {
	maxAge := storeWatchTimeout(p) + watchLatencyMargin
	if maxAge+storeFallbackTime > changeWithin(p) {
		return 0
	}
	return maxAge
}

// gatewayOptions maps the settings to the options of a gateway.
func gatewayOptions(s config.GatewaySettings) gateway.Options {
	location := fleet.Location{Region: s.Region, FailureDomain: s.FailureDomain}
	started := time.Now()
	return gateway.Options{
		ID: s.ID, Incarnation: fleet.Incarnation(started.UnixNano()), Started: started,
		PeerAddress: cmp.Or(s.Listen.PeerAdvertised, s.Listen.Peer), Location: location, Processors: s.Limits.Processors, Dialect: platform.Dialect{}, ReadyPath: platform.ReadyPath,
		MaxHeaderBytes: s.Limits.MaxHeaderBytes, MaxBodyBytes: s.Limits.MaxBodyBytes,
		MaxBufferedBytes: maxBufferedBytes(s.Limits), MaxAnswerBytes: s.Limits.MaxAnswerBytes,
		SlowCallers: slowCallerOptions(s.Limits),
		IdleTimeout: s.Limits.IdleTimeout.Std(), MaxConnections: int(callerDescriptorFraction * float64(s.Limits.Descriptors)),
		HeaderTimeout: s.Limits.HeaderTimeout.Std(), DefaultTimeout: s.Limits.RequestTimeout.Std(),
		StoreRetry: s.Platform.RetryDelay.Std(), MaxPeerStoreAge: maxPeerStoreAge(s.Platform), EvacuateWithin: s.Platform.EvacuateWithin.Std(),
		Grace: s.Stop.Grace.Std(), Withdrawal: s.Stop.Withdrawal.Std(),
		Overload: overload.Options{
			MaxBacklogTime: s.Overload.MaxBacklogTime.Std(), HoldDown: s.Overload.HoldDown.Std(), MaxHoldDown: s.Overload.MaxHoldDown.Std(), MaxUnreadyFraction: s.Overload.MaxUnreadyFraction,
		},
		Registry: registry.Options{LapseGrace: s.Platform.LapseGrace.Std(), TombstoneTTL: tombstoneTTL},
		Pool: upstream.PoolOptions{
			DialTimeout: s.Upstreams.DialTimeout.Std(), UserTimeout: s.Upstreams.UserTimeout.Std(),
			IdleTimeout: s.Upstreams.IdleTimeout.Std(),
		},
		Policy: gatewayPolicy(s),
	}
}

// gatewayPolicy returns the settings that can be reloaded while the process runs.
func gatewayPolicy(s config.GatewaySettings) gateway.Policy {
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
		ColdOverage: a.ColdOverage, ColdSlack: a.ColdSlack,
		Outlier: outlier.Options{
			BaseEjection: s.Outlier.BaseEjection.Std(), MaxEjection: s.Outlier.MaxEjection.Std(),
			ConsecutiveBroken: s.Outlier.ConsecutiveBroken, Smoothing: s.Outlier.Smoothing,
		},
	}
}
