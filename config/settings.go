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
	// Peers are the peer addresses of routers to ask first.
	Peers       []string         `yaml:"peers,omitempty" validate:"dive,ip_port"`
	Platform    PlatformSettings `yaml:"platform"`
	AdminTokens []AdminToken     `yaml:"admin_tokens,omitempty" validate:"dive"`
	TLS         RouterTLS        `yaml:"tls"`
	Log         LogSettings      `yaml:"log,omitempty"`
	Traces      TraceSettings    `yaml:"traces,omitempty"`
	Limits      HTTPLimits       `yaml:"limits,omitempty"`
	// RetryBudget is the highest ratio of retries to requests.
	RetryBudget float64 `yaml:"retry_budget,omitempty" validate:"gte=0,lte=1"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout Duration `yaml:"drain_timeout,omitempty" validate:"gt=0"`
}

// RouterListen holds a router's listening addresses as host:port.
type RouterListen struct {
	Caller string `yaml:"caller" validate:"host_port"`
	Admin  string `yaml:"admin" validate:"host_port"`
	Peer   string `yaml:"peer" validate:"host_port"`
}

// PlatformSettings are those of the platform's client.
type PlatformSettings struct {
	URL string `yaml:"url" validate:"http_url"`
	// Token is sent as a bearer token unless empty.
	Token   string   `yaml:"token,omitempty"`
	Timeout Duration `yaml:"timeout,omitempty" validate:"gt=0"`
}

// AdminToken is an operator's token by its SHA-256 hash in hexadecimal.
type AdminToken struct {
	Name string `yaml:"name" validate:"id"`
	Hash string `yaml:"hash" validate:"sha256_hex"`
}

// RouterTLS holds the TLS settings of a router's links.
type RouterTLS struct {
	Peer   PeerTLS   `yaml:"peer"`
	Caller ServerTLS `yaml:"caller"`
	Admin  ServerTLS `yaml:"admin"`
}

// PeerTLS are the files of a mutually authenticated link, in PEM.
type PeerTLS struct {
	// Plaintext turns TLS off. It excludes the files.
	Plaintext bool   `yaml:"plaintext,omitempty"`
	CA        string `yaml:"ca,omitempty" validate:"required_unless=Plaintext true,excluded_if=Plaintext true"`
	Cert      string `yaml:"cert,omitempty" validate:"required_unless=Plaintext true,excluded_if=Plaintext true"`
	Key       string `yaml:"key,omitempty" validate:"required_unless=Plaintext true,excluded_if=Plaintext true"`
}

// ServerTLS are the files of a listener, in PEM.
type ServerTLS struct {
	// Plaintext turns TLS off. It excludes the files.
	Plaintext bool   `yaml:"plaintext,omitempty"`
	Cert      string `yaml:"cert,omitempty" validate:"required_unless=Plaintext true,excluded_if=Plaintext true"`
	Key       string `yaml:"key,omitempty" validate:"required_unless=Plaintext true,excluded_if=Plaintext true"`
}

// LogSettings are those of the log.
type LogSettings struct {
	Level string `yaml:"level,omitempty" validate:"oneof=debug info warn error"`
}

// TraceSettings are those of the traces. Without any no trace is exported.
type TraceSettings struct {
	OTLPEndpoint string `yaml:"otlp_endpoint,omitempty" validate:"omitempty,http_url"`
	Stdout       bool   `yaml:"stdout,omitempty"`
}

// HTTPLimits bound what callers may send to a router.
type HTTPLimits struct {
	HeaderTimeout  Duration `yaml:"header_timeout,omitempty" validate:"gt=0"`
	MaxHeaderBytes int      `yaml:"max_header_bytes,omitempty" validate:"gt=0"`
	MaxConnections int      `yaml:"max_connections,omitempty" validate:"gt=0"`
	MaxBodyBytes   int64    `yaml:"max_body_bytes,omitempty" validate:"gt=0"`
}

// SidecarSettings are the settings of a sidecar process.
type SidecarSettings struct {
	// ID is the identifier of the upstream.
	ID fleet.NodeID `yaml:"id" validate:"id"`
	VM fleet.VMID   `yaml:"vm" validate:"id"`
	// VMIncarnation is the platform's incarnation of the VM; zero if unknown.
	VMIncarnation uint64                `yaml:"vm_incarnation,omitempty"`
	Region        fleet.RegionID        `yaml:"region" validate:"id"`
	FailureDomain fleet.FailureDomainID `yaml:"failure_domain" validate:"id"`
	Listen        SidecarListen         `yaml:"listen"`
	Upstream      UpstreamSettings      `yaml:"upstream"`
	TLS           SidecarTLS            `yaml:"tls"`
	Log           LogSettings           `yaml:"log,omitempty"`
	Traces        TraceSettings         `yaml:"traces,omitempty"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout Duration `yaml:"drain_timeout,omitempty" validate:"gt=0"`
	// Staging lets the sidecar hold requests beyond its slots to hide the
	// round trip of a grant.
	Staging bool `yaml:"staging"`
}

// SidecarListen holds a sidecar's listening addresses as host:port.
type SidecarListen struct {
	Peer  string `yaml:"peer" validate:"host_port"`
	Admin string `yaml:"admin" validate:"host_port"`
}

// UpstreamSettings tell how a sidecar reaches its upstream.
type UpstreamSettings struct {
	URL string `yaml:"url" validate:"http_url"`
	// HealthPath is requested by GET; 2xx means healthy.
	HealthPath string `yaml:"health_path,omitempty" validate:"startswith=/"`
}

// SidecarTLS holds the TLS settings of a sidecar's links.
type SidecarTLS struct {
	Peer PeerTLS `yaml:"peer"`
}

// LoadRouterSettings reads and checks a router's settings file. Fields that
// are absent have their defaults. Errors are ErrInvalid.
func LoadRouterSettings(path string) (RouterSettings, error) {
	settings := DefaultRouterSettings()
	err := loadSettings(path, &settings)
	return settings, err
}

// LoadSidecarSettings reads and checks a sidecar's settings file. Fields that
// are absent have their defaults. Errors are ErrInvalid.
func LoadSidecarSettings(path string) (SidecarSettings, error) {
	settings := DefaultSidecarSettings()
	err := loadSettings(path, &settings)
	return settings, err
}
