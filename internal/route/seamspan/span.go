// Package seamspan starts the trace spans of requests and propagates their
// context in W3C Trace Context form. Every request has a trace id, even if it is
// not recorded.
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

// Header is the HTTP header that carries the trace context.
const Header = "Traceparent"

// tracerName is the instrumentation name of the spans.
const tracerName = "cardamomseam/route"

// carrier is a propagation.TextMapCarrier that holds only the traceparent. Get ignores its argument.
type carrier struct {
	value string
}

func (c *carrier) Get(string) string { return c.value }
func (c *carrier) Keys() []string    { return []string{Header} }

func (c *carrier) Set(key, value string) {
	if key == "traceparent" {
		c.value = value
	}
}

// Extract returns ctx with the trace context of the traceparent header, or ctx itself if that is empty or invalid.
func Extract(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, &carrier{traceparent})
}

// Traceparent returns the traceparent of the span in ctx.
func Traceparent(ctx context.Context) string {
	var c carrier
	propagation.TraceContext{}.Inject(ctx, &c)
	return c.value
}

// Sampled reports whether the trace of the span in ctx is sampled.
func Sampled(ctx context.Context) bool {
	return trace.SpanContextFromContext(ctx).IsSampled()
}

// TraceID returns the trace id of ctx in hexadecimal.
func TraceID(ctx context.Context) string {
	return trace.SpanContextFromContext(ctx).TraceID().String()
}

// Start starts a span, which the caller must end. The returned context always has
// a trace id, even if nothing is recorded. Children of an unsampled span are not
// sampled either, so no span is started for them.
func Start(ctx context.Context, name string, kind trace.SpanKind) (context.Context, trace.Span) {
	if parent := trace.SpanContextFromContext(ctx); parent.IsValid() && !parent.IsSampled() {
		return ctx, noop.Span{}
	}
	ctx, span := otel.Tracer(tracerName).Start(ctx, name, trace.WithSpanKind(kind))
	if span.SpanContext().IsValid() {
		return ctx, span
	}
	return trace.ContextWithSpanContext(ctx, randomSpanContext()), span
}

// randomSpanContext returns an unsampled span context with random ids. Neither id is zero, which would be invalid.
func randomSpanContext() trace.SpanContext {
	var cfg trace.SpanContextConfig
	binary.LittleEndian.PutUint64(cfg.TraceID[:8], rand.Uint64())
	binary.LittleEndian.PutUint64(cfg.TraceID[8:], rand.Uint64()|1)
	binary.LittleEndian.PutUint64(cfg.SpanID[:], rand.Uint64()|1)
	return trace.NewSpanContext(cfg)
}

// RecordEnd sets the outcome and reason of a request on the span, and the error status if the outcome is
// Unknown. It does nothing if the span is not recording.
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
