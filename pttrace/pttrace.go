// Package pttrace creates a trace span for each hop of a task: the request at the entry, the
// wait in its queue, the dispatch, the time at the agent and the run at the upstream.
//
// # Usage
//
//	tracer, stop, err := pttrace.New(ctx, "otlp:http://127.0.0.1:4318", "entry", "entry1")
//	span := tracer.Start(traceparent, pttrace.SpanQueue, job, index)
//	span.End(err)
//
// # Rules
//
//  1. The methods of a nil *Tracer and a nil *Span do nothing and allocate nothing, so disabled
//     tracing costs one comparison.
//  2. The trace context is passed between processes, and to the upstream, as a W3C traceparent.
package pttrace

import (
	"context"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Names of the spans, one per hop.
const (
	SpanRequest  = "request"
	SpanQueue    = "queue"
	SpanDispatch = "dispatch"
	SpanAgent    = "agent"
	SpanUpstream = "upstream"
)

const traceparentKey = "traceparent"

// Tracer creates spans. A nil Tracer creates none.
type Tracer struct {
	tracer     trace.Tracer
	propagator propagation.TraceContext
}

// Span is the span of one hop. The methods of a nil Span do nothing.
type Span struct {
	span   trace.Span
	tracer *Tracer
	ctx    context.Context
}

// New returns a tracer for an exporter: "stdout", or "otlp:URL". The tracer is nil for "" and
// "off". stop exports the remaining spans and shuts the exporter down.
func New(ctx context.Context, exporter, role, name string) (tracer *Tracer, stop func(context.Context) error, err error) {
	defer func() { err = errors.Wrapf(err, "open the trace exporter %q", exporter) }()
	if exporter == "" || exporter == "off" {
		return nil, func(context.Context) error { return nil }, nil
	}
	spanExporter, err := newExporter(ctx, exporter)
	if err != nil {
		return nil, nil, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(spanExporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "primrosetiller-"+role),
			attribute.String("service.instance.id", name),
		)),
	)
	return &Tracer{tracer: provider.Tracer("primrosetiller")}, provider.Shutdown, nil
}

func newExporter(ctx context.Context, exporter string) (spanExporter sdktrace.SpanExporter, err error) {
	if exporter == "stdout" {
		return stdouttrace.New(stdouttrace.WithWriter(os.Stdout))
	}
	target, isOTLP := strings.CutPrefix(exporter, "otlp:")
	endpoint, err := url.Parse(target)
	if !isOTLP || err != nil || endpoint.Host == "" {
		return nil, errors.New("want off, stdout or otlp:http://IP:PORT")
	}
	return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(target+"/v1/traces"))
}

// FromProvider returns a tracer that uses an existing provider, for tests.
func FromProvider(provider trace.TracerProvider) *Tracer {
	return &Tracer{tracer: provider.Tracer("primrosetiller")}
}

// Start starts a span as a child of the span in traceparent. If traceparent is empty, the span
// is the root of a new trace.
func (tracer *Tracer) Start(traceparent, name, job string, index uint32) *Span {
	if tracer == nil {
		return nil
	}
	return tracer.startSpan(traceparent, name, job, index)
}

func (tracer *Tracer) startSpan(traceparent, name, job string, index uint32, options ...trace.SpanStartOption) *Span {
	parent := tracer.propagator.Extract(context.Background(), propagation.MapCarrier{traceparentKey: traceparent})
	options = append(options, trace.WithAttributes(attribute.String("job", job), attribute.Int64("task", int64(index))))
	ctx, span := tracer.tracer.Start(parent, name, options...)
	return &Span{span: span, tracer: tracer, ctx: ctx}
}

// RecordCompleted records a span of the given duration that ends now.
func (tracer *Tracer) RecordCompleted(traceparent, name, job string, index uint32, duration time.Duration) {
	if tracer == nil {
		return
	}
	now := time.Now()
	tracer.startSpan(traceparent, name, job, index, trace.WithTimestamp(now.Add(-duration))).span.End(trace.WithTimestamp(now))
}

// Traceparent returns the W3C traceparent of the span, with which children are started.
func (span *Span) Traceparent() string {
	if span == nil {
		return ""
	}
	carrier := propagation.MapCarrier{}
	span.tracer.propagator.Inject(span.ctx, carrier)
	return carrier[traceparentKey]
}

// End ends the span. A non-nil error marks it as failed.
func (span *Span) End(err error) {
	if span == nil {
		return
	}
	if err != nil {
		span.span.SetStatus(codes.Error, err.Error())
	}
	span.span.End()
}
