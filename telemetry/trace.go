package telemetry

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"fulmarspindle.example/fulmarspindle/httpconn"
)

const tracerName = "fulmarspindle"

// exportTimeout is the timeout of one call to the collector.
const exportTimeout = 10 * time.Second

// TraceOptions selects the span exporters. Without one, no span is recorded.
type TraceOptions struct {
	// Endpoint is the URL of an OTLP/HTTP collector.
	Endpoint string
	// Stdout writes spans to standard output as JSON.
	Stdout bool
}

// StartTraces installs the global tracer provider and returns its shutdown function,
// which flushes pending spans. Errors are ErrSetup.
func StartTraces(ctx context.Context, opts TraceOptions, process string) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	providerOpts := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", process))),
	}
	if opts.Endpoint != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(opts.Endpoint), otlptracehttp.WithHTTPClient(httpconn.NewClient(exportTimeout)))
		if err != nil {
			return nil, eris.Wrap(ErrSetup, err.Error())
		}
		providerOpts = append(providerOpts, sdktrace.WithBatcher(exporter))
	}
	if opts.Stdout {
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(os.Stdout))
		if err != nil {
			return nil, eris.Wrap(ErrSetup, err.Error())
		}
		providerOpts = append(providerOpts, sdktrace.WithSyncer(exporter))
	}
	if opts.Endpoint == "" && !opts.Stdout {
		return func(context.Context) error { return nil }, nil
	}
	provider := sdktrace.NewTracerProvider(providerOpts...)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

// StartSpan starts a span for one hop of a request.
func StartSpan(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	return otel.Tracer(tracerName).Start(ctx, name, trace.WithAttributes(attrs...))
}

const traceparentKey = "traceparent"

// Traceparent returns the W3C trace context of ctx, or "" without a span.
func Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	return carrier[traceparentKey]
}

// WithTraceparent returns ctx with the remote span context that the W3C traceparent
// value encodes.
func WithTraceparent(ctx context.Context, value string) context.Context {
	if value == "" {
		return ctx
	}
	return otel.GetTextMapPropagator().Extract(ctx, propagation.MapCarrier{traceparentKey: value})
}
