// Package telemetry provides the logger, the metrics and the tracer provider of a
// process.
package telemetry

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// defaultMetricsInterval is the default of Options.MetricsInterval.
const defaultMetricsInterval = time.Second

// Options configure New.
type Options struct {
	// ServiceName names the process in traces; the default is "dotterelhead".
	ServiceName string
	// InstanceID is the id of the entry VM. It appears in traces and as entry=
	// in the log.
	InstanceID string

	LogLevel  string
	LogWriter io.Writer

	// MetricsPrefix is the prefix of all metric names; the default is
	// "dotterelhead".
	MetricsPrefix string
	MetricsTags   map[string]string
	// MetricsInterval is how often the scope reports, and so the maximum age of
	// the metrics that are served; the default is 1 s.
	MetricsInterval time.Duration

	// TraceExporter is ExporterNone (the default), ExporterLog or ExporterOTLP.
	TraceExporter string
	// OTLPEndpoint is a URL, or host:port without TLS.
	OTLPEndpoint string
	OTLPTLS      *tls.Config
	// SampleRatio is the share of new traces that are recorded; 0 means all.
	SampleRatio float64

	// Global registers the tracer provider, the propagator and an error handler
	// that logs as the global ones of OpenTelemetry. A process that calls New
	// for each of several entry VMs leaves it unset in these calls.
	Global bool
}

// Telemetry holds the logger, the metrics scope and the tracer provider.
type Telemetry struct {
	Log   *Logger
	Scope tally.Scope
	// MetricsHandler serves the metrics in the Prometheus text format.
	MetricsHandler http.Handler
	TracerProvider trace.TracerProvider
	// Propagator is the W3C trace context.
	Propagator propagation.TextMapPropagator

	provider *sdktrace.TracerProvider
	closer   io.Closer
}

// New returns the telemetry of a process.
func New(o Options) (*Telemetry, error) {
	o.setDefaults()
	var fields []string
	if o.InstanceID != "" {
		fields = []string{"entry", o.InstanceID}
	}
	l, err := NewLogger(LoggerOptions{Level: o.LogLevel, Writer: o.LogWriter, Fields: fields})
	if err != nil {
		return nil, err
	}
	provider, err := newTracerProvider(o, l)
	if err != nil {
		return nil, err
	}
	r := newReporter()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: o.MetricsPrefix, Tags: o.MetricsTags, CachedReporter: r, Separator: "_", OmitCardinalityMetrics: true,
	}, o.MetricsInterval)
	t := &Telemetry{
		Log: l, Scope: scope, MetricsHandler: r,
		TracerProvider: provider, Propagator: propagation.TraceContext{},
		provider: provider, closer: closer,
	}
	if o.Global {
		otel.SetTracerProvider(t.TracerProvider)
		otel.SetTextMapPropagator(t.Propagator)
		otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
			l.Warn().Str("event", "telemetry_error").Err(err).Msg("")
		}))
	}
	return t, nil
}

func (o *Options) setDefaults() {
	if o.ServiceName == "" {
		o.ServiceName = "dotterelhead"
	}
	if o.MetricsPrefix == "" {
		o.MetricsPrefix = "dotterelhead"
	}
	if o.MetricsInterval <= 0 {
		o.MetricsInterval = defaultMetricsInterval
	}
	if o.SampleRatio <= 0 {
		o.SampleRatio = 1
	}
}

// Shutdown exports the remaining spans and reports the metrics a last time.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	err := t.provider.Shutdown(ctx)
	if closeErr := t.closer.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "telemetry shutdown")
}
