// Package telemetry sets up the logging and tracing of a process.
package telemetry

import (
	"os"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ErrSetup reports invalid settings of the log or the trace exporters.
var ErrSetup = eris.New("telemetry: setup failed")

// Log is the logger of a process. It writes lines of JSON to standard output
// asynchronously, so that a slow or missing reader never blocks a caller.
type Log struct {
	*zap.Logger
	level  zap.AtomicLevel
	writer *AsyncWriter
}

// NewLog returns a Log whose lines carry the name of the process. Level is one of
// debug, info, warn and error. Errors are ErrSetup.
func NewLog(level, process string) (*Log, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, eris.Wrap(ErrSetup, err.Error())
	}
	writer := NewAsyncWriter(os.Stdout)
	encoding := zap.NewProductionEncoderConfig()
	core := newAsyncCore(zapcore.NewJSONEncoder(encoding), writer, parsed)
	logger := zap.New(errorMessageCore{Core: core}, zap.AddCaller(), zap.Fields(zap.String("process", process)))
	return &Log{Logger: logger, level: parsed, writer: writer}, nil
}

// SetLevel changes the level at run time. Errors are ErrSetup.
func (l *Log) SetLevel(level string) error {
	if err := l.level.UnmarshalText([]byte(level)); err != nil {
		return eris.Wrap(ErrSetup, err.Error())
	}
	return nil
}

// Close waits for a limited time until the queued lines are written, and closes the log.
func (l *Log) Close() { l.writer.Close() }
