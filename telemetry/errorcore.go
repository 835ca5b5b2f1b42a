package telemetry

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// errorMessageCore logs only the message of an error. zap would add the stack trace
// that each error carries, in a second field.
type errorMessageCore struct{ zapcore.Core }

// With implements zapcore.Core.
func (c errorMessageCore) With(fields []zapcore.Field) zapcore.Core {
	return errorMessageCore{Core: c.Core.With(withoutStacks(fields))}
}

// Check implements zapcore.Core.
func (c errorMessageCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c errorMessageCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, withoutStacks(fields))
}

// withoutStacks replaces error fields with their messages as strings.
func withoutStacks(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		err, ok := f.Interface.(error)
		if f.Type != zapcore.ErrorType || !ok {
			out[i] = f
			continue
		}
		out[i] = zap.String(f.Key, err.Error())
	}
	return out
}
