package main

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/gateway"
	"fulmarspindle.example/fulmarspindle/telemetry"
)

// settingsPollInterval is the interval at which the settings file is checked for changes,
// because it may change without a signal.
const settingsPollInterval = 2 * time.Second

// settingsReloader applies changes of the settings file at run time, except for those that
// need a restart.
type settingsReloader struct {
	path string
	// initial holds the settings at the start of the process.
	initial config.GatewaySettings
	// lastContent is the content of the file when it was last read.
	lastContent []byte
	log         *telemetry.Log
	gateway     *gateway.Gateway
}

// run reloads the file on SIGHUP, and when its content has changed, until ctx ends.
func (r *settingsReloader) run(ctx context.Context, sighups <-chan os.Signal) {
	r.lastContent, _ = os.ReadFile(r.path) // An unreadable file is reported when it is loaded.
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighups:
			r.reload("signal")
		case <-ticker.C:
			if r.changed() {
				r.reload("change")
			}
		}
	}
}

// changed reports whether the content of the file differs from lastContent. A file that
// can't be read counts as unchanged.
func (r *settingsReloader) changed() bool {
	content, err := os.ReadFile(r.path)
	return err == nil && !bytes.Equal(content, r.lastContent)
}

// reload loads the settings file and applies it. If the file is invalid, the current
// policy stays.
func (r *settingsReloader) reload(cause string) {
	content, err := os.ReadFile(r.path)
	if err == nil {
		r.lastContent = content
	}
	settings, err := config.LoadGatewaySettings(r.path)
	if err == nil {
		err = r.log.SetLevel(settings.Log.Level)
	}
	if err != nil {
		r.log.Error("settings not reloaded", zap.String("cause", cause), zap.Error(err))
		return
	}
	r.gateway.SetPolicy(gatewayPolicy(settings))
	r.log.Info("settings reloaded", zap.String("cause", cause), zap.String("level", settings.Log.Level),
		zap.Bool("restart_needed", restartNeeded(r.initial, settings)))
}

// restartNeeded reports whether next differs from initial in settings that are read only
// at the start of the process.
func restartNeeded(initial, next config.GatewaySettings) bool {
	next.Log.Level = initial.Log.Level
	next.Admission, next.Outlier, next.Retry = initial.Admission, initial.Outlier, initial.Retry
	next.Peers, next.ReportInterval = initial.Peers, initial.ReportInterval
	return !reflect.DeepEqual(initial, next)
}
