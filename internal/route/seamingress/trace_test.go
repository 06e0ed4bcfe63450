package seamingress_test

import (
	"net/http"
	"testing"

	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"cardamomseam/internal/route/seamheader"
)

func TestEachHopHasASpan(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	before := otel.GetTracerProvider()
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)))
	t.Cleanup(func() { otel.SetTracerProvider(before) })
	var traceparent string
	front, _ := pair(t, func(_ http.ResponseWriter, r *http.Request) { traceparent = r.Header.Get("Traceparent") })
	r, _ := http.NewRequest(http.MethodGet, front.url("/page"), nil)
	r.Header.Set("Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	got := do(t, r)
	if id := got.header.Get(seamheader.Trace); id != "0af7651916cd43dd8448eb211c80319c" {
		t.Errorf("trace id %q", id)
	}
	parents := map[string]string{}
	names := map[string]string{"b7ad6b7169203331": "caller"}
	for _, s := range spans.Ended() {
		names[s.SpanContext().SpanID().String()] = s.Name()
	}
	for _, s := range spans.Ended() {
		parents[s.Name()] = names[s.Parent().SpanID().String()]
	}
	for name, parent := range map[string]string{"ingress": "caller", "session": "ingress", "egress": "session", "target": "egress"} {
		if parents[name] != parent {
			t.Errorf("the parent of span %q is %q, want %q", name, parents[name], parent)
		}
	}
	if len(traceparent) < 55 || names[traceparent[36:52]] != "target" {
		t.Errorf("the target received the traceparent %q", traceparent)
	}
}
