// Package seamspan begins the spans of requests and carries their context in
// W3C form. Every request has a trace id, also when nothing is recorded.
package seamspan

import (
	"context"
	"encoding/binary"
	"math/rand/v2"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"cardamomseam/internal/route/seamoutcome"
)

// Header is the header that carries the context of a trace.
const Header = "Traceparent"

// tracerName is the name under which spans are recorded.
const tracerName = "cardamomseam/route"

// single carries one value of a context.
type single struct {
	value string
}

func (s *single) Get(string) string { return s.value }
func (s *single) Keys() []string    { return []string{Header} }

func (s *single) Set(key, value string) {
	if key == "traceparent" {
		s.value = value
	}
}

// Extract returns ctx with the trace context of a traceparent, if that holds one.
func Extract(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, &single{parent})
}

// Format returns the traceparent of the span in ctx.
func Traceparent(ctx context.Context) string {
	var s single
	propagation.TraceContext{}.Inject(ctx, &s)
	return s.value
}

// Sampled reports whether the span in ctx is recorded.
func Sampled(ctx context.Context) bool {
	return trace.SpanContextFromContext(ctx).IsSampled()
}

// ID returns the trace id of ctx in hexadecimal form.
func TraceID(ctx context.Context) string {
	return trace.SpanContextFromContext(ctx).TraceID().String()
}

// Start begins a span. The caller ends it. ctx has a trace id afterwards, also
// when nothing is recorded. The spans below one that is not sampled are not
// sampled either, so none is begun.
func Start(ctx context.Context, name string, kind trace.SpanKind) (context.Context, trace.Span) {
	if above := trace.SpanContextFromContext(ctx); above.IsValid() && !above.IsSampled() {
		return ctx, noop.Span{}
	}
	ctx, span := otel.Tracer(tracerName).Start(ctx, name, trace.WithSpanKind(kind))
	if span.SpanContext().IsValid() {
		return ctx, span
	}
	return trace.ContextWithSpanContext(ctx, random()), span
}

// random returns the context of a trace that is not recorded.
func random() trace.SpanContext {
	var cfg trace.SpanContextConfig
	binary.LittleEndian.PutUint64(cfg.TraceID[:8], rand.Uint64())
	binary.LittleEndian.PutUint64(cfg.TraceID[8:], rand.Uint64()|1)
	binary.LittleEndian.PutUint64(cfg.SpanID[:], rand.Uint64()|1)
	return trace.NewSpanContext(cfg)
}

// Note writes the end of a request on a span that is recorded.
func RecordEnd(span trace.Span, e seamoutcome.End) {
	if !span.IsRecording() {
		return
	}
	span.SetAttributes(
		attribute.String("outcome", string(e.Outcome)),
		attribute.String("reason", string(e.Reason)),
	)
	if e.Outcome == seamoutcome.Unknown {
		span.SetStatus(codes.Error, e.Detail)
	}
}
