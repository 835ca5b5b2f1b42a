package node

import (
	"context"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/telemetry"
)

// StartTelemetry sets up the logging and tracing of a process. The returned function
// flushes both and must be called before the process exits. Errors are those of package
// telemetry.
func StartTelemetry(
	ctx context.Context, id fleet.NodeID, logs config.LogSettings, traces config.TraceSettings,
) (*telemetry.Log, func(), error) {
	log, err := telemetry.NewLog(logs.Level, string(id))
	if err != nil {
		return nil, nil, err
	}
	opts := telemetry.TraceOptions{Endpoint: traces.OTLPEndpoint, Stdout: traces.Stdout}
	shutdown, err := telemetry.StartTraces(ctx, opts, string(id))
	if err != nil {
		return nil, nil, err
	}
	flush := func() {
		_ = shutdown(ctx)
		log.Close()
	}
	return log, flush, nil
}
