// Package telemetry sets up logs, traces and metrics of a process.
package telemetry

import (
	"os"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ErrSetup reports settings from which telemetry can't be set up.
var ErrSetup = eris.New("telemetry: setup failed")

// Log is the log of a process. Its lines are JSON on standard output and are
// written behind its callers' backs: a reader that is slow or gone never blocks
// them.
type Log struct {
	*zap.Logger
	level  zap.AtomicLevel
	writer *AsyncWriter
}

// NewLog returns a log. Level is one of debug, info, warn and error. Errors are
// ErrSetup.
func NewLog(level, process string) (*Log, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, eris.Wrap(ErrSetup, err.Error())
	}
	writer := NewAsyncWriter(os.Stdout)
	encoding := zap.NewProductionEncoderConfig()
	core := newAsyncCore(zapcore.NewJSONEncoder(encoding), writer, parsed)
	logger := zap.New(plainErrors{Core: core}, zap.AddCaller(), zap.Fields(zap.String("process", process)))
	return &Log{Logger: logger, level: parsed, writer: writer}, nil
}

// SetLevel changes the level from now on. Errors are ErrSetup.
func (l *Log) SetLevel(level string) error {
	if err := l.level.UnmarshalText([]byte(level)); err != nil {
		return eris.Wrap(ErrSetup, err.Error())
	}
	return nil
}

// Close writes what is queued, for a bounded time, and ends the log.
func (l *Log) Close() { l.writer.Close() }
