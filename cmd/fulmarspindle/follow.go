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

// settingsInterval is the time between two looks at the settings file, which may
// change without a signal.
const settingsInterval = 2 * time.Second

// settingsFollower puts changes of the settings file in force, as far as they need
// no restart.
type settingsFollower struct {
	path string
	// started are the settings at the start, content the file as last read.
	started config.GatewaySettings
	content []byte
	log     *telemetry.Log
	gateway *gateway.Gateway
}

// run reads the file again at each SIGHUP, and when it has changed, until ctx ends.
func (f *settingsFollower) run(ctx context.Context, hangups <-chan os.Signal) {
	f.content, _ = os.ReadFile(f.path) // An unreadable file is reported when it is loaded.
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			f.reload("signal")
		case <-ticker.C:
			if f.changed() {
				f.reload("change")
			}
		}
	}
}

// changed reports whether the file has another content than the one read last.
func (f *settingsFollower) changed() bool {
	content, err := os.ReadFile(f.path)
	return err == nil && !bytes.Equal(content, f.content)
}

func (f *settingsFollower) reload(cause string) {
	content, err := os.ReadFile(f.path)
	if err == nil {
		f.content = content
	}
	settings, err := config.LoadGatewaySettings(f.path)
	if err == nil {
		err = f.log.SetLevel(settings.Log.Level)
	}
	if err != nil {
		f.log.Error("settings not reloaded", zap.String("cause", cause), zap.Error(err))
		return
	}
	f.gateway.SetPolicy(policyOf(settings))
	f.log.Info("settings reloaded", zap.String("cause", cause), zap.String("level", settings.Log.Level),
		zap.Bool("restart_needed", needRestart(f.started, settings)))
}

// needRestart tells whether settings differ in what is only read at the start.
func needRestart(started, next config.GatewaySettings) bool {
	next.Log.Level = started.Log.Level
	next.Admission, next.Outlier, next.Retry = started.Admission, started.Outlier, started.Retry
	next.Peers, next.ReportInterval = started.Peers, started.ReportInterval
	return !reflect.DeepEqual(started, next)
}
