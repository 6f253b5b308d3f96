package telemetry

import (
	"context"
	"strings"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// Names of trace exporters.
const (
	ExporterNone = "none"
	ExporterLog  = "log"
	ExporterOTLP = "otlp"
)

func newTracerProvider(o Options, l *Logger) (*sdktrace.TracerProvider, error) {
	attributes := []attribute.KeyValue{attribute.String("service.name", o.ServiceName)}
	if o.InstanceID != "" {
		attributes = append(attributes, attribute.String("service.instance.id", o.InstanceID))
	}
	opts := []sdktrace.TracerProviderOption{sdktrace.WithResource(resource.NewSchemaless(attributes...))}
	sampler := sdktrace.TraceIDRatioBased(o.SampleRatio)
	switch o.TraceExporter {
	case ExporterNone, "":
		// Nothing is exported, so nothing is recorded. Trace ids are still created
		// and passed to the next hop.
		sampler = sdktrace.NeverSample()
	case ExporterLog:
		opts = append(opts, sdktrace.WithBatcher(&logExporter{log: l}))
	case ExporterOTLP:
		exporter, err := newOTLP(o)
		if err != nil {
			return nil, err
		}
		opts = append(opts, sdktrace.WithBatcher(exporter))
	default:
		return nil, errors.Errorf("unknown trace exporter %q", o.TraceExporter)
	}
	opts = append(opts, sdktrace.WithSampler(sdktrace.ParentBased(sampler)))
	return sdktrace.NewTracerProvider(opts...), nil
}

func newOTLP(o Options) (sdktrace.SpanExporter, error) {
	if o.OTLPEndpoint == "" {
		return nil, errors.New("the otlp trace exporter needs an endpoint")
	}
	var opts []otlptracehttp.Option
	if strings.Contains(o.OTLPEndpoint, "://") {
		opts = append(opts, otlptracehttp.WithEndpointURL(o.OTLPEndpoint))
	} else {
		opts = append(opts, otlptracehttp.WithEndpoint(o.OTLPEndpoint), otlptracehttp.WithInsecure())
	}
	if o.OTLPTLS != nil {
		opts = append(opts, otlptracehttp.WithTLSClientConfig(o.OTLPTLS))
	}
	exporter, err := otlptracehttp.New(context.Background(), opts...)
	return exporter, errors.Wrap(err, "otlp trace exporter")
}

// logExporter writes one log line for each span.
type logExporter struct{ log *Logger }

// ExportSpans implements sdktrace.SpanExporter.
func (e *logExporter) ExportSpans(_ context.Context, spans []sdktrace.ReadOnlySpan) error {
	for _, s := range spans {
		line := e.log.Info().Str("event", "span").Str("name", s.Name()).
			Str("trace_id", s.SpanContext().TraceID().String()).
			Str("span_id", s.SpanContext().SpanID().String())
		if s.Parent().SpanID().IsValid() {
			line = line.Str("parent_id", s.Parent().SpanID().String())
		}
		line = line.Str("kind", s.SpanKind().String()).
			Float64("duration_seconds", s.EndTime().Sub(s.StartTime()).Seconds()).
			Str("status", s.Status().Code.String())
		for _, a := range s.Attributes() {
			line = line.Str("attr."+string(a.Key), a.Value.String())
		}
		line.Msg("")
	}
	return nil
}

// Shutdown implements sdktrace.SpanExporter.
func (e *logExporter) Shutdown(context.Context) error { return nil }
