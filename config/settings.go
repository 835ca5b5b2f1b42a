package config

import (
	"fulmarspindle.example/fulmarspindle/fleet"
)

// RouterSettings are the settings of a router process.
type RouterSettings struct {
	ID            fleet.NodeID          `yaml:"id" validate:"id"`
	VM            fleet.VMID            `yaml:"vm" validate:"id"`
	Region        fleet.RegionID        `yaml:"region" validate:"id"`
	FailureDomain fleet.FailureDomainID `yaml:"failure_domain" validate:"id"`
	Listen        RouterListen          `yaml:"listen"`
	// Peers are the peer addresses of the routers to contact initially.
	Peers       []string         `yaml:"peers,omitempty" validate:"dive,ip_port"`
	Platform    PlatformSettings `yaml:"platform"`
	AdminTokens []AdminToken     `yaml:"admin_tokens,omitempty" validate:"dive"`
	TLS         RouterTLS        `yaml:"tls"`
	Log         LogSettings      `yaml:"log,omitempty"`
	Traces      TraceSettings    `yaml:"traces,omitempty"`
	Limits      HTTPLimits       `yaml:"limits,omitempty"`
	// RetryBudget is the maximum ratio of retries to requests.
	RetryBudget float64 `yaml:"retry_budget,omitempty" validate:"gte=0,lte=1"`
	// DrainTimeout limits the duration of a graceful shutdown.
	DrainTimeout Duration `yaml:"drain_timeout,omitempty" validate:"gt=0"`
}

// RouterListen holds the listen addresses of a router as host:port.
type RouterListen struct {
	Caller string `yaml:"caller" validate:"host_port"`
	Admin  string `yaml:"admin" validate:"host_port"`
	Peer   string `yaml:"peer" validate:"host_port"`
}

// PlatformSettings configure the platform client of a router.
type PlatformSettings struct {
	URL string `yaml:"url" validate:"http_url"`
	// Token is sent as a bearer token unless empty.
	Token   string   `yaml:"token,omitempty"`
	Timeout Duration `yaml:"timeout,omitempty" validate:"gt=0"`
}

// AdminToken is an operator's token, given as its SHA-256 hash in hexadecimal.
type AdminToken struct {
	Name string `yaml:"name" validate:"id"`
	Hash string `yaml:"hash" validate:"sha256_hex"`
}

// RouterTLS holds the TLS settings of a router.
type RouterTLS struct {
	Peer   PeerTLS   `yaml:"peer"`
	Caller ServerTLS `yaml:"caller"`
	Admin  ServerTLS `yaml:"admin"`
}

// PeerTLS holds the PEM files for mutual TLS between peers.
type PeerTLS struct {
	// Plaintext disables TLS. The files must then be empty.
	Plaintext bool   `yaml:"plaintext,omitempty"`
	CA        string `yaml:"ca,omitempty" validate:"required_unless=Plaintext true,excluded_if=Plaintext true"`
	Cert      string `yaml:"cert,omitempty" validate:"required_unless=Plaintext true,excluded_if=Plaintext true"`
	Key       string `yaml:"key,omitempty" validate:"required_unless=Plaintext true,excluded_if=Plaintext true"`
}

// ServerTLS holds the PEM files of a TLS listener.
type ServerTLS struct {
	// Plaintext disables TLS. The files must then be empty.
	Plaintext bool   `yaml:"plaintext,omitempty"`
	Cert      string `yaml:"cert,omitempty" validate:"required_unless=Plaintext true,excluded_if=Plaintext true"`
	Key       string `yaml:"key,omitempty" validate:"required_unless=Plaintext true,excluded_if=Plaintext true"`
}

// LogSettings configure logging.
type LogSettings struct {
	Level string `yaml:"level,omitempty" validate:"oneof=debug info warn error"`
}

// TraceSettings configure the export of traces. Traces are not exported unless a field
// is set.
type TraceSettings struct {
	OTLPEndpoint string `yaml:"otlp_endpoint,omitempty" validate:"omitempty,http_url"`
	Stdout       bool   `yaml:"stdout,omitempty"`
}

// HTTPLimits limit the connections and requests of callers to a router.
type HTTPLimits struct {
	HeaderTimeout  Duration `yaml:"header_timeout,omitempty" validate:"gt=0"`
	MaxHeaderBytes int      `yaml:"max_header_bytes,omitempty" validate:"gt=0"`
	MaxConnections int      `yaml:"max_connections,omitempty" validate:"gt=0"`
	MaxBodyBytes   int64    `yaml:"max_body_bytes,omitempty" validate:"gt=0"`
}

// SidecarSettings are the settings of a sidecar process.
type SidecarSettings struct {
	// ID is the identifier of the sidecar's upstream.
	ID fleet.NodeID `yaml:"id" validate:"id"`
	VM fleet.VMID   `yaml:"vm" validate:"id"`
	// VMIncarnation is the incarnation of the VM on the platform; zero if unknown.
	VMIncarnation uint64                `yaml:"vm_incarnation,omitempty"`
	Region        fleet.RegionID        `yaml:"region" validate:"id"`
	FailureDomain fleet.FailureDomainID `yaml:"failure_domain" validate:"id"`
	Listen        SidecarListen         `yaml:"listen"`
	Upstream      UpstreamSettings      `yaml:"upstream"`
	TLS           SidecarTLS            `yaml:"tls"`
	Log           LogSettings           `yaml:"log,omitempty"`
	Traces        TraceSettings         `yaml:"traces,omitempty"`
	// DrainTimeout limits the duration of a graceful shutdown.
	DrainTimeout Duration `yaml:"drain_timeout,omitempty" validate:"gt=0"`
	// Staging lets the sidecar accept requests beyond its slots, to hide the
	// round-trip time of a grant.
	Staging bool `yaml:"staging"`
}

// SidecarListen holds the listen addresses of a sidecar as host:port.
type SidecarListen struct {
	Peer  string `yaml:"peer" validate:"host_port"`
	Admin string `yaml:"admin" validate:"host_port"`
}

// UpstreamSettings configure how a sidecar connects to its upstream.
type UpstreamSettings struct {
	URL string `yaml:"url" validate:"http_url"`
	// HealthPath is the path of the health check. A 2xx response to a GET request
	// means healthy.
	HealthPath string `yaml:"health_path,omitempty" validate:"startswith=/"`
}

// SidecarTLS holds the TLS settings of a sidecar.
type SidecarTLS struct {
	Peer PeerTLS `yaml:"peer"`
}

// LoadRouterSettings reads and validates a router's settings file and applies the
// defaults of missing fields. It returns ErrInvalid or ErrTooLarge.
func LoadRouterSettings(path string) (RouterSettings, error) {
	settings := DefaultRouterSettings()
	err := loadSettings(path, &settings)
	return settings, err
}

// LoadSidecarSettings reads and validates a sidecar's settings file and applies the
// defaults of missing fields. It returns ErrInvalid or ErrTooLarge.
func LoadSidecarSettings(path string) (SidecarSettings, error) {
	settings := DefaultSidecarSettings()
	err := loadSettings(path, &settings)
	return settings, err
}
