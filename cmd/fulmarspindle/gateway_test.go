package main

import (
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/slowcaller"
)

// TestSlowCallerBoundsFollowTheMemory guards against bounds that do not fit a small
// gateway or ignore the settings.
func TestSlowCallerBoundsFollowTheMemory(t *testing.T) {
	cases := map[string]struct {
		limits config.GatewayLimits
		want   slowcaller.Options
	}{
		"unknown memory": {config.GatewayLimits{}, slowcaller.Options{MaxTotalBytes: 32 << 20, MaxResponseBytes: 4 << 20}},
		"small gateway":  {config.GatewayLimits{MemoryMB: 144}, slowcaller.Options{MaxTotalBytes: 9 << 20, MaxResponseBytes: 9 << 17}},
		"large gateway":  {config.GatewayLimits{MemoryMB: 4096}, slowcaller.Options{MaxTotalBytes: 32 << 20, MaxResponseBytes: 4 << 20}},
		"settings":       {config.GatewayLimits{MemoryMB: 144, MaxSlowCallerBytes: 5, MaxSlowResponseBytes: 3}, slowcaller.Options{MaxTotalBytes: 5, MaxResponseBytes: 3}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.limits.MaxBufferedBytes = config.DefaultGatewaySettings().Limits.MaxBufferedBytes
			NewWithT(t).Expect(slowCallerOptions(c.limits)).To(Equal(c.want))
		})
	}
}
