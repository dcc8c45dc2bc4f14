package trace

import (
	"context"
	"net/http"
	"os"
	"time"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// scope is the instrumentation scope of this system's spans.
const scope = "github.com/wardridge/wardridge"

// Install sets up tracing for the process; the returned function exports the
// remaining spans.
func Install(ctx context.Context, s api.TraceSettings, process string) (func(), error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	e, closer, err := exporter(ctx, s)
	if err != nil {
		return nil, err
	}
	if e == nil {
		return func() {}, nil
	}
	const permille = 1000
	p := sdk.NewTracerProvider(
		sdk.WithBatcher(e),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(float64(s.SamplePermille)/permille))),
		sdk.WithResource(resource.NewSchemaless(attribute.String("service.name", process))),
	)
	otel.SetTracerProvider(p)
	return func() {
		const wait = 2 * time.Second
		c, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait)
		defer cancel()
		// Spans that can't be exported within the wait are dropped.
		_ = p.Shutdown(c)
		closer()
	}, nil
}

func exporter(ctx context.Context, s api.TraceSettings) (sdk.SpanExporter, func(), error) {
	switch s.Exporter {
	case api.TraceSettingsExporterFile:
		f, err := os.OpenFile(s.Target, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, nil, fault.Wrap(fault.UnreadableFile, err, "opening the trace file")
		}
		e, err := stdouttrace.New(stdouttrace.WithWriter(f))
		return e, func() { _ = f.Close() }, err
	case api.TraceSettingsExporterOtlp:
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(s.Target), otlptracehttp.WithInsecure())
		return e, func() {}, err
	default:
		return nil, func() {}, nil
	}
}

// Start begins a span for a step within this process.
func Start(ctx context.Context, name string) (context.Context, trace.Span) {
	return otel.Tracer(scope).Start(ctx, name)
}

// Handler wraps a server's handler in a span of the given name, which continues the
// caller's trace.
func Handler(name string, h http.Handler, o ...otelhttp.Option) http.Handler {
	named := otelhttp.WithSpanNameFormatter(func(string, *http.Request) string { return name })
	return otelhttp.NewHandler(h, name, append(o, named)...)
}
