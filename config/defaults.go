package config

import (
	"cmp"
	"time"
)

// Defaults of an inventory.
const (
	defaultIdleTimeout = Duration(30 * time.Second)
	// Without streaming, a model sends the first byte of a response only once the whole
	// response is generated.
	defaultModelIdleTimeout = Duration(2 * time.Minute)
	defaultMaxDuration      = Duration(10 * time.Minute)
	defaultMaxBodyBytes     = 1 << 20
	defaultTokenPrice       = 1.0
	defaultSecondPrice      = 1.0
	defaultRequestTokens    = 500
	defaultTeamWaiting      = 1000
	defaultRouterWaiting    = 10000
	defaultRouterBytes      = 64 << 20
	defaultSpillAfter       = Duration(250 * time.Millisecond)
	defaultClaimRetention   = Duration(24 * time.Hour)
)

// Defaults of the settings files.
const (
	defaultPlatformTimeout = Duration(2 * time.Second)
	defaultHeaderTimeout   = Duration(5 * time.Second)
	defaultMaxHeaderBytes  = 64 << 10
	defaultMaxConnections  = 10000
	defaultRetryBudget     = 0.1
	defaultDrainTimeout    = Duration(11 * time.Minute)
	defaultLogLevel        = "info"
	defaultHealthPath      = "/health"
)

// withDefaults applies the defaults of missing fields. Accepted configurations include
// them, so that a release with other defaults does not change the configuration in force.
func withDefaults(inv Inventory) Inventory {
	services := make([]Service, len(inv.Services))
	for i, service := range inv.Services {
		services[i] = serviceWithDefaults(service)
	}
	inv.Services = services
	inv.Rules.Limits.TeamWaiting = cmp.Or(inv.Rules.Limits.TeamWaiting, defaultTeamWaiting)
	inv.Rules.Limits.RouterWaiting = cmp.Or(inv.Rules.Limits.RouterWaiting, defaultRouterWaiting)
	inv.Rules.Limits.RouterBytes = cmp.Or(inv.Rules.Limits.RouterBytes, defaultRouterBytes)
	inv.Rules.SpillAfter = cmp.Or(inv.Rules.SpillAfter, defaultSpillAfter)
	inv.Rules.ClaimRetention = cmp.Or(inv.Rules.ClaimRetention, defaultClaimRetention)
	return inv
}

func serviceWithDefaults(s Service) Service {
	s.IdleTimeout = cmp.Or(s.IdleTimeout, defaultIdleTimeoutFor(s.Kind))
	s.MaxDuration = cmp.Or(s.MaxDuration, defaultMaxDuration)
	s.MaxBodyBytes = cmp.Or(s.MaxBodyBytes, defaultMaxBodyBytes)
	if s.Kind == KindPlain {
		s.SecondPrice = cmp.Or(s.SecondPrice, defaultSecondPrice)
		s.DefaultCost = cmp.Or(s.DefaultCost, s.SecondPrice)
		return s
	}
	if s.PromptTokenPrice == 0 && s.GeneratedTokenPrice == 0 {
		s.PromptTokenPrice = defaultTokenPrice
		s.GeneratedTokenPrice = defaultTokenPrice
	}
	s.DefaultCost = cmp.Or(s.DefaultCost, defaultRequestTokens*(s.PromptTokenPrice+s.GeneratedTokenPrice))
	return s
}

func defaultIdleTimeoutFor(kind ServiceKind) Duration {
	if kind == KindModel {
		return defaultModelIdleTimeout
	}
	return defaultIdleTimeout
}

// DefaultRouterSettings returns the defaults of a router's settings file.
func DefaultRouterSettings() RouterSettings {
	return RouterSettings{
		Platform: PlatformSettings{Timeout: defaultPlatformTimeout},
		Log:      LogSettings{Level: defaultLogLevel},
		Limits: HTTPLimits{
			HeaderTimeout:  defaultHeaderTimeout,
			MaxHeaderBytes: defaultMaxHeaderBytes,
			MaxConnections: defaultMaxConnections,
			MaxBodyBytes:   defaultMaxBodyBytes,
		},
		RetryBudget:  defaultRetryBudget,
		DrainTimeout: defaultDrainTimeout,
	}
}

// DefaultSidecarSettings returns the defaults of a sidecar's settings file.
func DefaultSidecarSettings() SidecarSettings {
	return SidecarSettings{
		Upstream:     UpstreamSettings{HealthPath: defaultHealthPath},
		Log:          LogSettings{Level: defaultLogLevel},
		DrainTimeout: defaultDrainTimeout,
		Staging:      true,
	}
}
