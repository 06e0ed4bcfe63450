package seamtrace_test

import (
	"context"
	"testing"

	"go.opentelemetry.io/otel"

	"cardamomseam/internal/observe/seamtrace"
)

func TestRingKeepsParentAndChild(t *testing.T) {
	ring, cleanup := seamtrace.New(seamtrace.Config{ServiceName: "test", SampleRatio: 1})
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
	if spans[0].TraceID != spans[1].TraceID || spans[0].ParentID != spans[1].SpanID {
		t.Fatalf("child %+v does not belong to parent %+v", spans[0], spans[1])
	}
}
