package seamtrace_test

import (
	"context"
	"testing"

	"go.opentelemetry.io/otel"

	"cardamomseam/internal/observe/seamtrace"
)

func TestRingKeepsParentAndChild(t *testing.T) {
	ring, cleanup := seamtrace.New(seamtrace.Config{Name: "test", Sampler: 1})
	defer cleanup()
	tracer := otel.Tracer("test")
	ctx, parent := tracer.Start(context.Background(), "ingress")
	_, child := tracer.Start(ctx, "egress")
	child.End()
	parent.End()
	spans := ring.Recent()
	if len(spans) != 2 {
		t.Fatalf("%d spans", len(spans))
	}
	if spans[0].Trace != spans[1].Trace || spans[0].Parent != spans[1].Span {
		t.Fatalf("child %+v does not belong to parent %+v", spans[0], spans[1])
	}
}
