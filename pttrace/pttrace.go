// Package pttrace makes a span for each hop of a task: the request at the entry,
// the wait in its queue, the dispatch, the stay at the agent and the run at the
// upstream.
//
// # Usage
//
//	tracer, stop, err := pttrace.New(ctx, "otlp:http://127.0.0.1:4318", "entry", "entry1")
//	span := tracer.Start(traceparent, "queue", "job", id)
//	span.End(err)
//
// # Rules
//
//  1. A nil *Tracer and a nil *Span do nothing and allocate nothing, so that
//     tracing that is off costs a comparison.
//  2. Context crosses processes as the W3C traceparent text, also towards the
//     upstream.
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

// Names of the spans, one for each hop.
const (
	SpanRequest  = "request"
	SpanQueue    = "queue"
	SpanDispatch = "dispatch"
	SpanAgent    = "agent"
	SpanUpstream = "upstream"
)

const traceparentKey = "traceparent"

// Tracer makes spans. A nil tracer makes none.
type Tracer struct {
	tracer     trace.Tracer
	propagator propagation.TraceContext
}

// Span is one hop. A nil span does nothing.
type Span struct {
	span   trace.Span
	tracer *Tracer
	ctx    context.Context
}

// New returns the tracer for an exporter: "" or "off" for none, "stdout", or
// "otlp:URL". stop flushes what is left.
func New(ctx context.Context, exporter, role, name string) (tracer *Tracer, stop func(context.Context) error, err error) {
	defer func() { err = errors.Wrapf(err, "tracing to %q", exporter) }()
	if exporter == "" || exporter == "off" {
		return nil, func(context.Context) error { return nil }, nil
	}
	spans, err := openExporter(ctx, exporter)
	if err != nil {
		return nil, nil, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(spans),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "primrosetiller-"+role),
			attribute.String("service.instance.id", name),
		)),
	)
	return &Tracer{tracer: provider.Tracer("primrosetiller")}, provider.Shutdown, nil
}

func openExporter(ctx context.Context, exporter string) (spans sdktrace.SpanExporter, err error) {
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

// FromProvider returns a tracer on an existing provider, for tests.
func FromProvider(provider trace.TracerProvider) *Tracer {
	return &Tracer{tracer: provider.Tracer("primrosetiller")}
}

// Start opens a span below the parent that a traceparent names, if any.
func (tracer *Tracer) Start(traceparent, name, job string, index uint32) *Span {
	if tracer == nil {
		return nil
	}
	return tracer.open(traceparent, name, job, index)
}

func (tracer *Tracer) open(traceparent, name, job string, index uint32, options ...trace.SpanStartOption) *Span {
	parent := tracer.propagator.Extract(context.Background(), propagation.MapCarrier{traceparentKey: traceparent})
	options = append(options, trace.WithAttributes(attribute.String("job", job), attribute.Int64("task", int64(index))))
	ctx, span := tracer.tracer.Start(parent, name, options...)
	return &Span{span: span, tracer: tracer, ctx: ctx}
}

// RecordCompleted makes the span of a hop that ends now and took some time.
func (tracer *Tracer) RecordCompleted(traceparent, name, job string, index uint32, span time.Duration) {
	if tracer == nil {
		return
	}
	now := time.Now()
	tracer.open(traceparent, name, job, index, trace.WithTimestamp(now.Add(-span))).span.End(trace.WithTimestamp(now))
}

// Traceparent returns the text that makes other spans children of this one.
func (span *Span) Traceparent() string {
	if span == nil {
		return ""
	}
	carrier := propagation.MapCarrier{}
	span.tracer.propagator.Inject(span.ctx, carrier)
	return carrier[traceparentKey]
}

// End closes the span; a non-nil error marks it as failed.
func (span *Span) End(err error) {
	if span == nil {
		return
	}
	if err != nil {
		span.span.SetStatus(codes.Error, err.Error())
	}
	span.span.End()
}
