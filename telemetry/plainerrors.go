package telemetry

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// plainErrors writes errors by their message alone. zap would add the stack
// that each error carries.
type plainErrors struct{ zapcore.Core }

// With implements zapcore.Core.
func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{Core: c.Core.With(plain(fields))}
}

// Check implements zapcore.Core.
func (c plainErrors) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c plainErrors) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, plain(fields))
}

func plain(fields []zapcore.Field) []zapcore.Field {
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
