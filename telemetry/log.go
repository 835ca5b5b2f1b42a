// Package telemetry sets up logs, traces and metrics of a process.
package telemetry

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ErrSetup reports settings from which telemetry can't be set up.
var ErrSetup = eris.New("telemetry: setup failed")

// NewLogger returns a JSON logger that writes to standard error. Level is one
// of debug, info, warn and error.
func NewLogger(level, process string) (*zap.Logger, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, eris.Wrap(ErrSetup, err.Error())
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = parsed
	cfg.Sampling = nil
	cfg.DisableStacktrace = true
	cfg.InitialFields = map[string]any{"process": process}
	log, err := cfg.Build(zap.WrapCore(func(core zapcore.Core) zapcore.Core { return plainErrors{Core: core} }))
	if err != nil {
		return nil, eris.Wrap(ErrSetup, err.Error())
	}
	return log, nil
}
