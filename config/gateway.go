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
	// Peers are the peer addresses of routers to ask first.
	Peers []string `yaml:"peers,omitempty" validate:"dive,ip_port"`
	// ReportInterval is the time between two reports of a changing load to the
	// other routers.
	ReportInterval Duration          `yaml:"report_interval,omitempty" validate:"gt=0"`
	Platform       GatewayPlatform   `yaml:"platform"`
	Limits         GatewayLimits     `yaml:"limits,omitempty"`
	Stop           StopSettings      `yaml:"stop,omitempty"`
	Overload       OverloadSettings  `yaml:"overload,omitempty"`
	Retry          RetrySettings     `yaml:"retry,omitempty"`
	Upstreams      UpstreamConnections     `yaml:"upstreams,omitempty"`
	Admission      AdmissionSettings `yaml:"admission,omitempty"`
	Outlier        OutlierSettings   `yaml:"outlier,omitempty"`
	Log            LogSettings       `yaml:"log,omitempty"`
	Traces         TraceSettings     `yaml:"traces,omitempty"`
}

// GatewayListen holds a gateway's listening addresses as host:port.
type GatewayListen struct {
	Caller string `yaml:"caller" validate:"host_port"`
	Ready  string `yaml:"ready" validate:"host_port"`
	Peer   string `yaml:"peer" validate:"host_port"`
	// PeerAdvertised is where other routers find Peer, if not there.
	PeerAdvertised string `yaml:"peer_advertised,omitempty" validate:"omitempty,host_port"`
	Metrics        string `yaml:"metrics,omitempty" validate:"omitempty,host_port"`
}

// GatewayPlatform are the settings of the store's client.
type GatewayPlatform struct {
	URL     string   `yaml:"url" validate:"http_url"`
	Timeout Duration `yaml:"timeout,omitempty" validate:"gt=0"`
	// WatchTimeout is how long the store holds a watch without a change.
	WatchTimeout Duration `yaml:"watch_timeout,omitempty" validate:"gt=0"`
	// ApplyWithin is the time in which changes have to be in force. Gateways of large
	// fleets hear of them from each other if that leaves them time to ask the store
	// when they don't.
	ApplyWithin Duration `yaml:"apply_within,omitempty" validate:"gt=0"`
	// Retry is the pause after a failed call.
	Retry Duration `yaml:"retry,omitempty" validate:"gt=0"`
	// LapseGrace is how long an upstream whose registration lapsed in an outage
	// stays in use after the outage.
	LapseGrace Duration `yaml:"lapse_grace,omitempty"`
}

// GatewayLimits bound what callers may send and what is held.
type GatewayLimits struct {
	HeaderTimeout  Duration `yaml:"header_timeout,omitempty" validate:"gt=0"`
	MaxHeaderBytes int      `yaml:"max_header_bytes,omitempty" validate:"gt=0"`
	MaxBodyBytes   int64    `yaml:"max_body_bytes,omitempty" validate:"gt=0"`
	// MaxBufferedBytes bounds the bodies of all requests in flight, and of the
	// answers that are held. With MemoryMB it is a part of that at most.
	MaxBufferedBytes int64 `yaml:"max_buffered_bytes,omitempty" validate:"gt=0"`
	// MaxAnswerBytes is the size up to which answers are held until they are
	// whole.
	MaxAnswerBytes int `yaml:"max_answer_bytes,omitempty" validate:"gt=0"`
	// RequestTimeout bounds requests whose route has no timeout.
	RequestTimeout Duration `yaml:"request_timeout,omitempty" validate:"gt=0"`
	// IdleTimeout is how long a caller's connection may stay without a request.
	IdleTimeout Duration `yaml:"idle_timeout,omitempty" validate:"gt=0"`
	// Descriptors is the number of file descriptors of the process, of which
	// callers' connections may take a part.
	Descriptors int `yaml:"descriptors,omitempty" validate:"gt=0"`
	// Processors is the processor time of the process, in cores; zero if unknown.
	Processors float64 `yaml:"processors,omitempty" validate:"gte=0"`
	// MemoryMB is the memory of the process; zero if unknown.
	MemoryMB int64 `yaml:"memory_mb,omitempty" validate:"gte=0"`
	// GCPercent is the growth of the heap, in percent, at which it is collected.
	GCPercent int `yaml:"gc_percent,omitempty" validate:"gt=0"`
}

// StopSettings are those of a graceful shutdown.
type StopSettings struct {
	// Grace is the time from the signal to the end of the process.
	Grace Duration `yaml:"grace,omitempty" validate:"gt=0"`
	// Withdrawal is how long the balancer may still send connections.
	Withdrawal Duration `yaml:"withdrawal,omitempty"`
}

// OverloadSettings are those of a gateway that can't keep up.
type OverloadSettings struct {
	// Standing is how long connections may wait to be accepted without a pause.
	Standing Duration `yaml:"standing,omitempty" validate:"gt=0"`
	// Hold is how long the gateway is unready then. It doubles up to MaxHold while
	// spells follow each other.
	Hold    Duration `yaml:"hold,omitempty" validate:"gt=0"`
	MaxHold Duration `yaml:"max_hold,omitempty" validate:"gt=0"`
	// MaxUnready is the part of a failure domain's gateways that may be unready.
	MaxUnready float64 `yaml:"max_unready,omitempty" validate:"gte=0,lt=1"`
}

// RetrySettings bound the retries of all routers together.
type RetrySettings struct {
	Ratio  float64  `yaml:"ratio,omitempty" validate:"gte=0,lte=1"`
	Slack  float64  `yaml:"slack,omitempty" validate:"gte=0"`
	Window Duration `yaml:"window,omitempty" validate:"gt=0"`
	// MemberTTL is how long a gateway that is not seen any more keeps its part.
	MemberTTL Duration `yaml:"member_ttl,omitempty" validate:"gt=0"`
}

// UpstreamConnections are the settings of connections to upstreams.
type UpstreamConnections struct {
	DialTimeout Duration `yaml:"dial_timeout,omitempty" validate:"gt=0"`
	// UserTimeout bounds how long sent bytes may stay unacknowledged.
	UserTimeout Duration `yaml:"user_timeout,omitempty" validate:"gt=0"`
	IdleTimeout Duration `yaml:"idle_timeout,omitempty" validate:"gt=0"`
}

// AdmissionSettings are those of the decisions whether and where to send.
type AdmissionSettings struct {
	// Replicas is how many engines may get prompts with the same shared parts.
	Replicas int `yaml:"replicas,omitempty" validate:"gte=1"`
	// PrefillRate is the initial estimate of an engine's prompt tokens per
	// second; it is learnt from there.
	PrefillRate float64 `yaml:"prefill_rate,omitempty" validate:"gt=0"`
	// Overhead is the initial estimate of the time to the first token beside
	// prefill.
	Overhead Duration `yaml:"overhead,omitempty" validate:"gt=0"`
	// AttentionTokens is the length of context at which reading a prompt token
	// takes twice as long as at its start.
	AttentionTokens float64 `yaml:"attention_tokens,omitempty" validate:"gt=0"`
	// MaxWait is the part of the objective that the predicted time to the first
	// token may take.
	MaxWait float64 `yaml:"max_wait,omitempty" validate:"gt=0,lte=1"`
	// OverShareWait is the same for teams over their share.
	OverShareWait float64 `yaml:"over_share_wait,omitempty" validate:"gt=0,lte=1"`
	// ReturnWait is the same for callers that come back after a refusal.
	ReturnWait  float64  `yaml:"return_wait,omitempty" validate:"gt=0,lte=1"`
	SlotLimit   float64  `yaml:"slot_limit,omitempty" validate:"gt=0,lte=1"`
	MemoryLimit float64  `yaml:"memory_limit,omitempty" validate:"gt=0,lte=1"`
	RemoteCost  Duration `yaml:"remote_cost,omitempty"`
	// Window is the span of the teams' accounts.
	Window Duration `yaml:"window,omitempty" validate:"gt=0"`
}

// OutlierSettings are those of the detection of failing upstreams.
type OutlierSettings struct {
	BaseEjection Duration `yaml:"base_ejection,omitempty" validate:"gt=0"`
	MaxEjection  Duration `yaml:"max_ejection,omitempty" validate:"gt=0"`
	BrokenInARow int      `yaml:"broken_in_a_row,omitempty" validate:"gte=1"`
	Smoothing    float64  `yaml:"smoothing,omitempty" validate:"gt=0,lte=1"`
}

// DefaultGatewaySettings returns the settings of an empty file.
func DefaultGatewaySettings() GatewaySettings {
	return GatewaySettings{
		ReportInterval: Duration(100 * time.Millisecond),
		Platform: GatewayPlatform{
			Timeout: Duration(time.Second), WatchTimeout: Duration(2 * time.Second),
			ApplyWithin: Duration(4 * time.Second), Retry: Duration(300 * time.Millisecond), LapseGrace: Duration(2 * time.Second),
		},
		Limits: GatewayLimits{
			HeaderTimeout: defaultHeaderTimeout, MaxHeaderBytes: defaultMaxHeaderBytes,
			MaxBodyBytes: 4 << 20, MaxBufferedBytes: 64 << 20, MaxAnswerBytes: 128 << 10,
			RequestTimeout: Duration(time.Minute), IdleTimeout: Duration(2 * time.Minute),
			Descriptors: 4096, GCPercent: 100,
		},
		Overload: OverloadSettings{
			Standing: Duration(time.Second), Hold: Duration(30 * time.Second), MaxHold: Duration(5 * time.Minute), MaxUnready: 0.4,
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
			RemoteCost: Duration(120 * time.Millisecond), Window: Duration(4 * time.Second),
		},
		Outlier: OutlierSettings{
			BaseEjection: Duration(time.Second), MaxEjection: Duration(8 * time.Second), BrokenInARow: 2, Smoothing: 0.1,
		},
		Log: LogSettings{Level: defaultLogLevel},
	}
}

// LoadGatewaySettings reads and checks a gateway's settings file. Fields that are
// absent have their defaults. Errors are ErrInvalid.
func LoadGatewaySettings(path string) (GatewaySettings, error) {
	settings := DefaultGatewaySettings()
	err := loadSettings(path, &settings)
	return settings, err
}
