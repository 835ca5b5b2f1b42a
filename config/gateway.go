package config

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// GatewaySettings are the settings of a gateway process.
type GatewaySettings struct {
	ID            fleet.NodeID          `yaml:"id" validate:"id"`
	Region        fleet.RegionID        `yaml:"region" validate:"id"`
	FailureDomain fleet.FailureDomainID `yaml:"failure_domain" validate:"id"`
	// Regions maps each failure domain to its region.
	Regions map[fleet.FailureDomainID]fleet.RegionID `yaml:"regions"`
	Listen  GatewayListen                            `yaml:"listen"`
	// Peers are the peer addresses of the routers to contact initially.
	Peers []string `yaml:"peers,omitempty" validate:"dive,ip_port"`
	// ReportInterval is the interval between load reports to the other routers while
	// the load changes.
	ReportInterval Duration            `yaml:"report_interval,omitempty" validate:"gt=0"`
	Platform       GatewayPlatform     `yaml:"platform"`
	Limits         GatewayLimits       `yaml:"limits,omitempty"`
	Stop           StopSettings        `yaml:"stop,omitempty"`
	Overload       OverloadSettings    `yaml:"overload,omitempty"`
	Retry          RetrySettings       `yaml:"retry,omitempty"`
	Upstreams      UpstreamConnections `yaml:"upstreams,omitempty"`
	Admission      AdmissionSettings   `yaml:"admission,omitempty"`
	Outlier        OutlierSettings     `yaml:"outlier,omitempty"`
	Log            LogSettings         `yaml:"log,omitempty"`
	Traces         TraceSettings       `yaml:"traces,omitempty"`
}

// GatewayListen holds the listen addresses of a gateway as host:port.
type GatewayListen struct {
	Caller string `yaml:"caller" validate:"host_port"`
	Ready  string `yaml:"ready" validate:"host_port"`
	Peer   string `yaml:"peer" validate:"host_port"`
	// PeerAdvertised is the address at which other routers connect to Peer; empty
	// means Peer itself.
	PeerAdvertised string `yaml:"peer_advertised,omitempty" validate:"omitempty,host_port"`
	Metrics        string `yaml:"metrics,omitempty" validate:"omitempty,host_port"`
}

// GatewayPlatform configures a gateway's access to the store of the platform.
type GatewayPlatform struct {
	URL     string   `yaml:"url" validate:"http_url"`
	Timeout Duration `yaml:"timeout,omitempty" validate:"gt=0"`
	// WatchTimeout is the long-poll timeout of a watch: the store responds after it
	// if nothing has changed. It is shortened where ApplyWithin, DrainWithin or
	// EvacuateWithin need a silent connection to be noticed sooner.
	WatchTimeout Duration `yaml:"watch_timeout,omitempty" validate:"gt=0"`
	// ApplyWithin is the time within which changes must be in force. Gateways of
	// large fleets learn of changes from each other, but only if this leaves enough
	// time to query the store when they don't.
	ApplyWithin Duration `yaml:"apply_within,omitempty" validate:"gt=0"`
	// DrainWithin is the time within which an upstream that leaves must get no more
	// requests.
	DrainWithin Duration `yaml:"drain_within,omitempty" validate:"gt=0"`
	// RetryDelay is the delay before a failed call is retried.
	RetryDelay Duration `yaml:"retry,omitempty" validate:"gt=0"`
	// LapseGrace is how long an upstream whose registration lapsed during an outage
	// of the store remains usable after the store was last seen unavailable.
	LapseGrace Duration `yaml:"lapse_grace,omitempty"`
	// EvacuateWithin is the time within which an evacuation of a failure domain must be
	// in force. Zero means that evacuations are not followed.
	EvacuateWithin Duration `yaml:"evacuate_within,omitempty" validate:"gte=0"`
}

// GatewayLimits limit the requests of callers and the resources of the process.
type GatewayLimits struct {
	HeaderTimeout  Duration `yaml:"header_timeout,omitempty" validate:"gt=0"`
	MaxHeaderBytes int      `yaml:"max_header_bytes,omitempty" validate:"gt=0"`
	MaxBodyBytes   int64    `yaml:"max_body_bytes,omitempty" validate:"gt=0"`
	// MaxBufferedBytes limits the total size of the request bodies in flight and the
	// buffered responses. If MemoryMB is set, the limit is at most a fraction of it.
	MaxBufferedBytes int64 `yaml:"max_buffered_bytes,omitempty" validate:"gt=0"`
	// MaxSlowCallerBytes limits the bytes of streamed responses that are held for callers
	// that read slowly. They count towards MaxBufferedBytes too. Zero means a fraction of
	// the limit on buffered bytes.
	MaxSlowCallerBytes int64 `yaml:"max_slow_caller_bytes,omitempty" validate:"gte=0"`
	// MaxSlowResponseBytes limits the same bytes of one response. Zero means a fraction
	// of the limit for all responses.
	MaxSlowResponseBytes int64 `yaml:"max_slow_response_bytes,omitempty" validate:"gte=0"`
	// MaxAnswerBytes is the size up to which responses are buffered until they are
	// complete.
	MaxAnswerBytes int `yaml:"max_answer_bytes,omitempty" validate:"gt=0"`
	// RequestTimeout is the timeout of requests whose route has none.
	RequestTimeout Duration `yaml:"request_timeout,omitempty" validate:"gt=0"`
	// IdleTimeout limits how long a caller's connection may stay open without a
	// request.
	IdleTimeout Duration `yaml:"idle_timeout,omitempty" validate:"gt=0"`
	// Descriptors is the limit on open file descriptors of the process. Callers'
	// connections may use a fraction of them.
	Descriptors int `yaml:"descriptors,omitempty" validate:"gt=0"`
	// Processors is the CPU time available to the process, in cores; zero if unknown.
	Processors float64 `yaml:"processors,omitempty" validate:"gte=0"`
	// MemoryMB is the memory limit of the process; zero if unknown.
	MemoryMB int64 `yaml:"memory_mb,omitempty" validate:"gte=0"`
	// GCPercent is the heap growth, in percent, that triggers a garbage collection.
	GCPercent int `yaml:"gc_percent,omitempty" validate:"gt=0"`
}

// StopSettings configure graceful shutdown.
type StopSettings struct {
	// Grace is the time from the termination signal until the process ends.
	Grace Duration `yaml:"grace,omitempty" validate:"gt=0"`
	// Withdrawal is how long new connections may still arrive after the gateway has
	// reported unready to the load balancer.
	Withdrawal Duration `yaml:"withdrawal,omitempty"`
}

// OverloadSettings configure when an overloaded gateway turns unready.
type OverloadSettings struct {
	// MaxBacklogTime is how long connections may wait to be accepted, without the queue
	// becoming empty, before the gateway is overloaded.
	MaxBacklogTime Duration `yaml:"standing,omitempty" validate:"gt=0"`
	// HoldDown is how long an overloaded gateway stays unready. It doubles, up to
	// MaxHoldDown, each time the gateway turns unready within MaxHoldDown of the last time.
	HoldDown    Duration `yaml:"hold,omitempty" validate:"gt=0"`
	MaxHoldDown Duration `yaml:"max_hold,omitempty" validate:"gt=0"`
	// MaxUnreadyFraction is the maximum fraction of a failure domain's gateways that may be
	// unready at once.
	MaxUnreadyFraction float64 `yaml:"max_unready,omitempty" validate:"gte=0,lt=1"`
}

// RetrySettings limit the retries of all routers together.
type RetrySettings struct {
	// Ratio is the number of retries allowed per request. Slack is the number of
	// retries beyond that which all routers together may send per Window.
	Ratio  float64  `yaml:"ratio,omitempty" validate:"gte=0,lte=1"`
	Slack  float64  `yaml:"slack,omitempty" validate:"gte=0"`
	Window Duration `yaml:"window,omitempty" validate:"gt=0"`
	// MemberTTL is how long a gateway that is no longer seen keeps its share of the
	// retry budget.
	MemberTTL Duration `yaml:"member_ttl,omitempty" validate:"gt=0"`
}

// UpstreamConnections configure the connections to upstreams.
type UpstreamConnections struct {
	DialTimeout Duration `yaml:"dial_timeout,omitempty" validate:"gt=0"`
	// UserTimeout is the TCP user timeout: it limits how long sent bytes may remain
	// unacknowledged.
	UserTimeout Duration `yaml:"user_timeout,omitempty" validate:"gt=0"`
	// IdleTimeout is how long an idle connection is kept if the upstream announces no
	// timeout of its own.
	IdleTimeout Duration `yaml:"idle_timeout,omitempty" validate:"gt=0"`
}

// AdmissionSettings configure admission control and the choice of upstreams.
type AdmissionSettings struct {
	// Replicas is the number of engines to which prompts with the same shared parts
	// are sent.
	Replicas int `yaml:"replicas,omitempty" validate:"gte=1"`
	// PrefillRate is the initial estimate of an engine's prefill rate in tokens per
	// second. It is adjusted by measurements.
	PrefillRate float64 `yaml:"prefill_rate,omitempty" validate:"gt=0"`
	// Overhead is the initial estimate of the time to first token in addition to
	// prefill.
	Overhead Duration `yaml:"overhead,omitempty" validate:"gt=0"`
	// AttentionTokens is the context length at which prefilling a token takes twice
	// as long as at the start of a prompt.
	AttentionTokens float64 `yaml:"attention_tokens,omitempty" validate:"gt=0"`
	// MaxWait is the fraction of the objective that the predicted time to first token
	// may take.
	MaxWait float64 `yaml:"max_wait,omitempty" validate:"gt=0,lte=1"`
	// OverShareWait is the same fraction for teams over their share.
	OverShareWait float64 `yaml:"over_share_wait,omitempty" validate:"gt=0,lte=1"`
	// ReturnWait is the same fraction for callers that retry after a refusal.
	ReturnWait float64 `yaml:"return_wait,omitempty" validate:"gt=0,lte=1"`
	// SlotLimit and MemoryLimit are the fractions of an engine's slots and memory
	// that may be used.
	SlotLimit   float64 `yaml:"slot_limit,omitempty" validate:"gt=0,lte=1"`
	MemoryLimit float64 `yaml:"memory_limit,omitempty" validate:"gt=0,lte=1"`
	// RemoteCost is added to the cost of upstreams in other regions.
	RemoteCost Duration `yaml:"remote_cost,omitempty"`
	// Window is the length of the window over which the usage of teams is counted.
	Window Duration `yaml:"window,omitempty" validate:"gt=0"`
	// ColdOverage and ColdSlack define how many requests all routers together may send
	// to a cold upstream within a second: its tolerated rate times ColdOverage, plus
	// ColdSlack.
	ColdOverage float64 `yaml:"cold_overage,omitempty" validate:"gte=1"`
	ColdSlack   float64 `yaml:"cold_slack,omitempty" validate:"gte=0"`
}

// OutlierSettings configure the outlier detection of upstreams.
type OutlierSettings struct {
	// BaseEjection is the duration of the first ejection. It doubles with each
	// consecutive ejection, up to MaxEjection.
	BaseEjection Duration `yaml:"base_ejection,omitempty" validate:"gt=0"`
	MaxEjection  Duration `yaml:"max_ejection,omitempty" validate:"gt=0"`
	// ConsecutiveBroken is the number of consecutive broken connections that ejects an
	// upstream.
	ConsecutiveBroken int `yaml:"broken_in_a_row,omitempty" validate:"gte=1"`
	// Smoothing is the weight of a new outcome in the moving average of the failure
	// rate.
	Smoothing float64 `yaml:"smoothing,omitempty" validate:"gt=0,lte=1"`
}

// DefaultGatewaySettings returns the defaults of a gateway's settings file.
func DefaultGatewaySettings() GatewaySettings {
	return GatewaySettings{
		ReportInterval: Duration(100 * time.Millisecond),
		Platform: GatewayPlatform{
			Timeout: Duration(time.Second), WatchTimeout: Duration(2 * time.Second),
			ApplyWithin: Duration(4 * time.Second), DrainWithin: Duration(4 * time.Second), RetryDelay: Duration(300 * time.Millisecond), LapseGrace: Duration(2 * time.Second),
		},
		Limits: GatewayLimits{
			HeaderTimeout: defaultHeaderTimeout, MaxHeaderBytes: defaultMaxHeaderBytes,
			MaxBodyBytes: 4 << 20, MaxBufferedBytes: 64 << 20, MaxAnswerBytes: 128 << 10,
			RequestTimeout: Duration(time.Minute), IdleTimeout: Duration(2 * time.Minute),
			Descriptors: 4096, GCPercent: 100,
		},
		Overload: OverloadSettings{
			MaxBacklogTime: Duration(time.Second), HoldDown: Duration(30 * time.Second), MaxHoldDown: Duration(5 * time.Minute), MaxUnreadyFraction: 0.4,
		},
		Stop:  StopSettings{Grace: Duration(10 * time.Second), Withdrawal: Duration(3 * time.Second)},
		Retry: RetrySettings{Ratio: defaultRetryBudget, Slack: 10, Window: Duration(10 * time.Second), MemberTTL: Duration(time.Hour)},
		Upstreams: UpstreamConnections{
			DialTimeout: Duration(400 * time.Millisecond), UserTimeout: Duration(1500 * time.Millisecond),
			IdleTimeout: Duration(4 * time.Second),
		},
		Admission: AdmissionSettings{
			Replicas: 2, PrefillRate: 40000, AttentionTokens: 50000, Overhead: Duration(50 * time.Millisecond),
			MaxWait: 0.75, OverShareWait: 0.22, ReturnWait: 0.95, SlotLimit: 0.95, MemoryLimit: 0.7,
			RemoteCost: Duration(120 * time.Millisecond), Window: Duration(4 * time.Second), ColdOverage: 1, ColdSlack: 0,
		},
		Outlier: OutlierSettings{
			BaseEjection: Duration(time.Second), MaxEjection: Duration(8 * time.Second), ConsecutiveBroken: 2, Smoothing: 0.1,
		},
		Log: LogSettings{Level: defaultLogLevel},
	}
}

// LoadGatewaySettings reads and validates a gateway's settings file and applies the
// defaults of missing fields. It returns ErrInvalid or ErrTooLarge.
func LoadGatewaySettings(path string) (GatewaySettings, error) {
	settings := DefaultGatewaySettings()
	err := loadSettings(path, &settings)
	return settings, err
}
