// Package config defines the fleet configuration (inventory and rules), its
// publication through the platform's object API, its adoption by every process,
// and the settings files of the processes.
package config

import (
	"fulmarspindle.example/fulmarspindle/fleet"
)

// Inventory is the configuration of the whole fleet, as edited by operators.
type Inventory struct {
	Regions   []Region   `json:"regions" yaml:"regions" validate:"dive"`
	VMs       []VM       `json:"vms" yaml:"vms" validate:"dive"`
	Routers   []Router   `json:"routers" yaml:"routers" validate:"dive"`
	Services  []Service  `json:"services" yaml:"services" validate:"dive"`
	Upstreams []Upstream `json:"upstreams" yaml:"upstreams" validate:"dive"`
	Teams     []Team     `json:"teams" yaml:"teams" validate:"dive"`
	Rules     Rules      `json:"rules" yaml:"rules"`
}

// Region is a region with its failure domains.
type Region struct {
	ID             fleet.RegionID          `json:"id" yaml:"id" validate:"id"`
	FailureDomains []fleet.FailureDomainID `json:"failure_domains" yaml:"failure_domains" validate:"min=1,max=64,dive,id"`
}

// VM is a VM of the platform and its location.
type VM struct {
	ID            fleet.VMID            `json:"id" yaml:"id" validate:"id"`
	Region        fleet.RegionID        `json:"region" yaml:"region" validate:"id"`
	FailureDomain fleet.FailureDomainID `json:"failure_domain" yaml:"failure_domain" validate:"id"`
	// Address is the VM's IP address.
	Address string `json:"address" yaml:"address" validate:"ip"`
}

// Router is a router process and the address of its peer listener.
type Router struct {
	ID          fleet.NodeID `json:"id" yaml:"id" validate:"id"`
	VM          fleet.VMID   `json:"vm" yaml:"vm" validate:"id"`
	PeerAddress string       `json:"peer_address" yaml:"peer_address" validate:"ip_port"`
}

// ServiceKind determines the unit in which the cost of a request is measured.
type ServiceKind string

// Service kinds.
const (
	// KindModel is a model engine. Cost is based on tokens.
	KindModel ServiceKind = "model"
	// KindPlain is a plain service. Cost is based on server seconds.
	KindPlain ServiceKind = "plain"
)

// Service is a set of upstreams that serve the same requests.
type Service struct {
	ID   fleet.ServiceID `json:"id" yaml:"id" validate:"id"`
	Kind ServiceKind     `json:"kind" yaml:"kind" validate:"oneof=model plain"`
	// PromptTokenPrice and GeneratedTokenPrice are the cost of one token.
	PromptTokenPrice    float64 `json:"prompt_token_price,omitempty" yaml:"prompt_token_price,omitempty" validate:"gte=0,lte=1000000000"`
	GeneratedTokenPrice float64 `json:"generated_token_price,omitempty" yaml:"generated_token_price,omitempty" validate:"gte=0,lte=1000000000"`
	// SecondPrice is the cost of one server second.
	SecondPrice float64 `json:"second_price,omitempty" yaml:"second_price,omitempty" validate:"gte=0,lte=1000000000"`
	// IdleTimeout limits the time without a byte of the response.
	IdleTimeout Duration `json:"idle_timeout,omitempty" yaml:"idle_timeout,omitempty" validate:"gt=0"`
	// MaxDuration limits the duration of a request once it runs.
	MaxDuration  Duration `json:"max_duration,omitempty" yaml:"max_duration,omitempty" validate:"gt=0"`
	MaxBodyBytes int64    `json:"max_body_bytes,omitempty" yaml:"max_body_bytes,omitempty" validate:"gt=0"`
	// DefaultCost is the cost estimate for a team's first request.
	DefaultCost float64 `json:"default_cost,omitempty" yaml:"default_cost,omitempty" validate:"gt=0,lte=1000000000000"`
	// Regions are the home regions of the service's requests. They are not supported
	// yet: a list that is not empty is refused.
	Regions []fleet.RegionID `json:"regions,omitempty" yaml:"regions,omitempty" validate:"max=64,dive,id"`
}

// Upstream is a server of a service, with its sidecar.
type Upstream struct {
	ID             fleet.UpstreamID `json:"id" yaml:"id" validate:"id"`
	VM             fleet.VMID       `json:"vm" yaml:"vm" validate:"id"`
	Service        fleet.ServiceID  `json:"service" yaml:"service" validate:"id"`
	SidecarAddress string           `json:"sidecar_address" yaml:"sidecar_address" validate:"ip_port"`
	// Slots is the maximum number of concurrent requests.
	Slots int `json:"slots" yaml:"slots" validate:"gte=1,lte=65536"`
	// ChecksFencing reports whether the engine rejects orders with an outdated
	// fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty" yaml:"checks_fencing,omitempty"`
}

// Team is a team with the SHA-256 hashes of its bearer keys in hexadecimal.
type Team struct {
	ID        fleet.TeamID `json:"id" yaml:"id" validate:"id"`
	KeyHashes []string     `json:"key_hashes" yaml:"key_hashes" validate:"max=64,dive,sha256_hex"`
	// Regions are the home regions of the team's requests. They are not supported yet:
	// a list that is not empty is refused.
	Regions []fleet.RegionID `json:"regions,omitempty" yaml:"regions,omitempty" validate:"max=64,dive,id"`
}

// Rules are the rules that operators set in addition to the lists of the inventory.
type Rules struct {
	Shares        []Share             `json:"shares,omitempty" yaml:"shares,omitempty" validate:"dive"`
	NonIdempotent []NonIdempotentRule `json:"non_idempotent,omitempty" yaml:"non_idempotent,omitempty" validate:"max=400,dive"`
	LeavingVMs    []LeavingVM         `json:"leaving_vms,omitempty" yaml:"leaving_vms,omitempty" validate:"max=4000,dive"`
	Limits        Limits              `json:"limits,omitempty" yaml:"limits,omitempty"`
	// SpillAfter is the waiting time after which demand is announced to other
	// regions.
	SpillAfter Duration `json:"spill_after,omitempty" yaml:"spill_after,omitempty" validate:"gt=0"`
	// ClaimRetention is how long claims on non-idempotent requests are retained.
	ClaimRetention Duration `json:"claim_retention,omitempty" yaml:"claim_retention,omitempty" validate:"gt=0"`
}

// Share sets a team's weight at one service or at all services.
type Share struct {
	Team fleet.TeamID `json:"team" yaml:"team" validate:"id"`
	// Service is empty for all services. A share for a specific service takes
	// precedence over one for all services.
	Service fleet.ServiceID `json:"service,omitempty" yaml:"service,omitempty" validate:"omitempty,id"`
	Weight  float64         `json:"weight" yaml:"weight" validate:"gte=0.001,lte=1000000"`
}

// NonIdempotentRule selects requests that must not run twice.
type NonIdempotentRule struct {
	Service fleet.ServiceID `json:"service" yaml:"service" validate:"id"`
	// Methods lists the HTTP methods; empty matches every method.
	Methods []string `json:"methods,omitempty" yaml:"methods,omitempty" validate:"max=16,dive,http_method"`
	// PathPrefix is matched against the cleaned path; empty matches every path.
	PathPrefix string `json:"path_prefix,omitempty" yaml:"path_prefix,omitempty" validate:"omitempty,startswith=/,max=1024"`
}

// LeavingVM takes a VM out of service.
type LeavingVM struct {
	ID fleet.VMID `json:"id" yaml:"id" validate:"id"`
	// Incarnation is the incarnation of the VM to take out; zero matches any.
	Incarnation uint64 `json:"incarnation,omitempty" yaml:"incarnation,omitempty"`
}

// Limits restricts the queued requests. Zero selects the default.
type Limits struct {
	// TeamWaiting is the maximum number of queued requests per team and router.
	TeamWaiting int `json:"team_waiting,omitempty" yaml:"team_waiting,omitempty" validate:"gt=0"`
	// RouterWaiting is the maximum number of queued requests per router.
	RouterWaiting int `json:"router_waiting,omitempty" yaml:"router_waiting,omitempty" validate:"gt=0"`
	// RouterBytes is the maximum total body size of the queued requests per router.
	RouterBytes int64 `json:"router_bytes,omitempty" yaml:"router_bytes,omitempty" validate:"gt=0"`
}
