package main

import (
	"testing"
	"time"

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

// Guards against a silent connection to the store that is noticed after the changes which it
// hides must be in force, and against more calls to the store than that needs.
func TestWatchesEndInTimeForTheChangesTheyHide(t *testing.T) {
	second := config.Duration(time.Second)
	cases := map[string]struct {
		apply, drain, evacuate config.Duration
		want                   time.Duration
	}{
		"ample":            {apply: 4 * second, drain: 4 * second, want: 2 * time.Second},
		"just enough":      {apply: 5 * second / 2, drain: 5 * second / 2, want: 2 * time.Second},
		"drain first":      {apply: 4 * second, drain: 2 * second, want: 1500 * time.Millisecond},
		"apply first":      {apply: 2 * second, drain: 4 * second, want: 1500 * time.Millisecond},
		"evacuation first": {apply: 4 * second, drain: 4 * second, evacuate: 2 * second, want: 1500 * time.Millisecond},
		"hardly any":       {apply: second / 2, drain: 4 * second, want: minStoreWatchTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := config.DefaultGatewaySettings().Platform
			p.ApplyWithin, p.DrainWithin, p.EvacuateWithin = c.apply, c.drain, c.evacuate
			NewWithT(t).Expect(storeWatchTimeout(p)).To(Equal(c.want))
		})
	}
}
