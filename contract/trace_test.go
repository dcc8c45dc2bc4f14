package contract

import (
	"net/http"
	"testing"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/wardridge/wardridge/internal/standin/service"
	"github.com/wardridge/wardridge/internal/trace"
)

// TestEachHopRecordsASpan follows a caller's trace through the entry VM to the engine, the service
// and a peer.
func TestEachHopRecordsASpan(t *testing.T) {
	r := tracetest.NewSpanRecorder()
	p := sdk.NewTracerProvider(sdk.WithSpanProcessor(r))
	otel.SetTracerProvider(p)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	t.Cleanup(func() { otel.SetTracerProvider(sdk.NewTracerProvider(sdk.WithSampler(sdk.NeverSample()))) })
	b := newCluster(t)
	b.startEngine("engine-1", func(h http.Handler) http.Handler { return trace.Handler("generate", h) }, nil)
	b.startService("orders-1")
	v := b.startEntry("entry-1", "")
	const id = "4bf92f3577b34da6a3ce929d0e0e4736"
	const parent = "00-" + id + "-00f067aa0ba902b7-01"
	v.send(chatCall(3, true, "traceparent", parent))
	v.send(orderCall("k", "traceparent", parent))
	b.services["orders-1"].Set(service.Faults{LoseAnswers: 1})
	v.send(orderCall("lost"))
	// The claim of the lost call belongs to the first entry VM, which the second one queries.
	b.startEntry("entry-2", "").send(orderCall("lost", "traceparent", parent))
	want := []string{"caller", "dispatch", "engine", "generate", "claim", "service", "peer"}
	t.Cleanup(func() {
		for _, x := range r.Ended() {
			if t.Failed() && x.SpanContext().TraceID().String() == id {
				t.Logf("span %q", x.Name())
			}
		}
	})
	b.waitFor("every span to end", func() bool { return len(missingSpans(r, id, want)) == 0 })
}

// missingSpans lists the wanted spans that have not ended in a trace yet.
func missingSpans(r *tracetest.SpanRecorder, id string, want []string) []string {
	seen := map[string]bool{}
	for _, s := range r.Ended() {
		if s.SpanContext().TraceID().String() == id {
			seen[s.Name()] = true
		}
	}
	var l []string
	for _, n := range want {
		if !seen[n] {
			l = append(l, n)
		}
	}
	return l
}
