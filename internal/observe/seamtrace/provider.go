// Package seamtrace sets up distributed tracing. Spans are exported to a collector through
// go-zero's agent if one is configured, and are otherwise kept in a ring buffer for operators.
package seamtrace

import (
	"context"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/core/trace"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdk "go.opentelemetry.io/otel/sdk/trace"
)

// Config configures the sampling of requests and the export of spans.
type Config struct {
	// ServiceName is the name of the service in the collector.
	ServiceName string
	// SampleRatio is the fraction of requests that are traced, from 0 to 1.
	SampleRatio float64
	// Endpoint is the address of the collector; if empty, spans stay in memory.
	Endpoint string
	// Exporter is the exporter of go-zero's agent: otlpgrpc, otlphttp, zipkin or file.
	Exporter string
}

// Span is a finished span of a trace, one hop of a request.
type Span struct {
	TraceID    string            `json:"trace"`
	SpanID     string            `json:"span"`
	ParentID   string            `json:"parent,omitempty"`
	Name       string            `json:"name"`
	Start      time.Time         `json:"start"`
	Duration   time.Duration     `json:"took"`
	Attributes map[string]string `json:"fields,omitempty"`
}

// ringCapacity is the number of spans kept.
const ringCapacity = 512

// Ring is a span processor that keeps the most recent spans of this process.
type Ring struct {
	mu    sync.Mutex
	spans []Span
	next  int
}

// New installs the global tracer provider, and returns the ring of spans and a function that
// flushes pending spans and shuts tracing down. The ring stays empty if spans go to a collector.
func New(c Config) (*Ring, func()) {
	ring := &Ring{}
	if c.Endpoint != "" {
		trace.StartAgent(trace.Config{Name: c.ServiceName, Endpoint: c.Endpoint, Sampler: c.SampleRatio, Batcher: c.Exporter})
		return ring, trace.StopAgent
	}
	provider := sdk.NewTracerProvider(
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(c.SampleRatio))),
		sdk.WithSpanProcessor(ring),
	)
	otel.SetTracerProvider(provider)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	return ring, func() { _ = provider.Shutdown(context.Background()) }
}

// Recent returns the most recent spans, oldest first.
func (r *Ring) Recent() []Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	spans := make([]Span, 0, len(r.spans))
	spans = append(spans, r.spans[r.next:]...)
	return append(spans, r.spans[:r.next]...)
}

// OnStart does nothing. Spans are recorded when they end.
func (r *Ring) OnStart(context.Context, sdk.ReadWriteSpan) {}

// OnEnd records a finished span.
func (r *Ring) OnEnd(s sdk.ReadOnlySpan) {
	span := Span{
		TraceID:  s.SpanContext().TraceID().String(),
		SpanID:   s.SpanContext().SpanID().String(),
		Name:     s.Name(),
		Start:    s.StartTime(),
		Duration: s.EndTime().Sub(s.StartTime()),
	}
	if s.Parent().HasSpanID() {
		span.ParentID = s.Parent().SpanID().String()
	}
	if attributes := s.Attributes(); len(attributes) > 0 {
		span.Attributes = make(map[string]string, len(attributes))
		for _, a := range attributes {
			span.Attributes[string(a.Key)] = a.Value.String()
		}
	}
	r.add(span)
}

func (r *Ring) add(s Span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.spans) < ringCapacity {
		r.spans = append(r.spans, s)
		return
	}
	r.spans[r.next] = s
	r.next = (r.next + 1) % ringCapacity
}

// Shutdown does nothing, because spans are kept only in memory.
func (r *Ring) Shutdown(context.Context) error { return nil }

// ForceFlush does nothing, because spans are kept only in memory.
func (r *Ring) ForceFlush(context.Context) error { return nil }
