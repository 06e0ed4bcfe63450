// Package seamtrace sets up tracing: spans go to a collector through go-zero's
// agent if one is configured, and otherwise stay in a ring for operators to read.
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

// Config says which requests are traced and where their spans go.
type Config struct {
	// Name is the name of the service in the collector.
	ServiceName string
	// Sampler is the share of requests that are traced, from 0 to 1.
	SampleRatio float64
	// Endpoint is the collector's address; empty keeps spans in memory.
	Endpoint string
	// Batcher is the exporter of go-zero's agent: otlpgrpc, otlphttp, zipkin or file.
	Exporter string
}

// Span is one finished hop of a request.
type Span struct {
	TraceID  string        `json:"trace"`
	SpanID   string        `json:"span"`
	ParentID string        `json:"parent,omitempty"`
	Name     string        `json:"name"`
	Start    time.Time     `json:"start"`
	Duration time.Duration `json:"took"`
	// Fields are the attributes of the span.
	Attributes map[string]string `json:"fields,omitempty"`
}

// ringLimit is the number of spans kept.
const ringLimit = 512

// Ring keeps the latest spans of this process.
type Ring struct {
	mu    sync.Mutex
	spans []Span
	next  int
}

// New installs the global tracer provider. The ring stays empty if spans go to
// a collector. The clean-up function flushes what is pending.
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

// Recent returns the kept spans, oldest first.
func (r *Ring) Recent() []Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	spans := make([]Span, 0, len(r.spans))
	spans = append(spans, r.spans[r.next:]...)
	return append(spans, r.spans[:r.next]...)
}

// OnStart does nothing; spans are kept when they end.
func (r *Ring) OnStart(context.Context, sdk.ReadWriteSpan) {}

// OnEnd keeps the span.
func (r *Ring) OnEnd(s sdk.ReadOnlySpan) {
	kept := Span{
		TraceID:  s.SpanContext().TraceID().String(),
		SpanID:   s.SpanContext().SpanID().String(),
		Name:     s.Name(),
		Start:    s.StartTime(),
		Duration: s.EndTime().Sub(s.StartTime()),
	}
	if s.Parent().HasSpanID() {
		kept.ParentID = s.Parent().SpanID().String()
	}
	if attributes := s.Attributes(); len(attributes) > 0 {
		kept.Attributes = make(map[string]string, len(attributes))
		for _, a := range attributes {
			kept.Attributes[string(a.Key)] = a.Value.String()
		}
	}
	r.keep(kept)
}

func (r *Ring) keep(s Span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.spans) < ringLimit {
		r.spans = append(r.spans, s)
		return
	}
	r.spans[r.next] = s
	r.next = (r.next + 1) % ringLimit
}

// Shutdown does nothing; the ring is memory only.
func (r *Ring) Shutdown(context.Context) error { return nil }

// ForceFlush does nothing; the ring is memory only.
func (r *Ring) ForceFlush(context.Context) error { return nil }
