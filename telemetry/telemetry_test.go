package telemetry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/propagation"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"
)

func newTelemetry(t *testing.T, o Options) *Telemetry {
	t.Helper()
	tel, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	return tel
}

func shutdown(t *testing.T, tel *Telemetry) {
	t.Helper()
	if err := tel.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// Guards against log lines that a logfmt parser splits at the wrong position.
func TestLogfmt(t *testing.T) {
	var out bytes.Buffer
	tel := newTelemetry(t, Options{InstanceID: "e1", LogWriter: &out})
	defer shutdown(t, tel)
	tel.Log.Debug().Str("event", "hidden").Msg("")
	tel.Log.Info().Str("event", "ready").Bool("ok", true).Bool("no", false).Int("n", 7).Str("empty", "").
		Str("text", "two words=\"x\"\nnext").Err(errors.New("boom")).Strs("list", []string{"a", "b"}).Msg("")
	_, line, _ := strings.Cut(out.String(), " ")
	want := `level=info entry=e1 event=ready ok=true no=false n=7 empty="" text="two words=\"x\"\nnext" error=boom list="[\"a\",\"b\"]"` + "\n"
	if line != want {
		t.Fatalf("line\n%q, want\n%q", line, want)
	}
	if _, err := NewLogger(LoggerOptions{Level: "loud"}); err == nil {
		t.Error("an unknown level was accepted")
	}
}

// Guards against metrics that a Prometheus server rejects or misinterprets.
func TestMetrics(t *testing.T) {
	tel := newTelemetry(t, Options{MetricsTags: map[string]string{"zone": "z1"}, LogWriter: io.Discard, MetricsInterval: time.Hour})
	scope := tel.Scope.SubScope("queue-1").Tagged(map[string]string{"pool": "a\"b\\\n"})
	scope.Counter("requests_total").Inc(3)
	tel.Scope.Gauge("depth").Update(2.5)
	h := tel.Scope.Histogram("wait_seconds", tally.DurationBuckets{time.Millisecond, time.Second})
	for _, d := range []time.Duration{time.Microsecond, time.Millisecond, 20 * time.Millisecond, time.Minute} {
		h.RecordDuration(d)
	}
	tel.Scope.Histogram("size_bytes", tally.ValueBuckets{10, 100}).RecordValue(50)
	tel.Scope.Timer("round_seconds").Record(3 * time.Millisecond)
	tel.Scope.Counter("depth").Inc(1)
	shutdown(t, tel)
	w := httptest.NewRecorder()
	tel.MetricsHandler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if got := w.Header().Get("Content-Type"); !strings.HasPrefix(got, "text/plain; version=0.0.4") {
		t.Errorf("content type %q", got)
	}
	for _, line := range []string{
		`# TYPE dotterelhead_queue_1_requests_total counter`,
		`dotterelhead_queue_1_requests_total{pool="a\"b\\\n",zone="z1"} 3`,
		`dotterelhead_depth{zone="z1"} 2.5`,
		`dotterelhead_wait_seconds_bucket{zone="z1",le="0.001"} 2`,
		`dotterelhead_wait_seconds_bucket{zone="z1",le="1"} 3`,
		`dotterelhead_wait_seconds_bucket{zone="z1",le="+Inf"} 4`,
		`dotterelhead_wait_seconds_count{zone="z1"} 4`,
		`dotterelhead_size_bytes_bucket{zone="z1",le="10"} 0`,
		`dotterelhead_size_bytes_bucket{zone="z1",le="100"} 1`,
		`dotterelhead_round_seconds_bucket{zone="z1",le="0.0025"} 0`,
		`dotterelhead_round_seconds_bucket{zone="z1",le="0.005"} 1`,
		`dotterelhead_round_seconds_sum{zone="z1"} 0.003`,
		`telemetry_conflicting_metrics_total 1`,
	} {
		if !strings.Contains(w.Body.String(), line+"\n") {
			t.Errorf("no line %q in\n%s", line, w.Body)
		}
	}
	if n := strings.Count(w.Body.String(), "# TYPE dotterelhead_depth "); n != 1 {
		t.Errorf("%d types of one metric", n)
	}
}

// Guards against spans that are lost at shutdown.
func TestLogExporter(t *testing.T) {
	var out bytes.Buffer
	tel := newTelemetry(t, Options{LogWriter: &out, TraceExporter: ExporterLog})
	tracer := tel.TracerProvider.Tracer("test")
	ctx, parent := tracer.Start(context.Background(), "ingress")
	_, child := tracer.Start(ctx, "forward")
	child.End()
	parent.End()
	shutdown(t, tel)
	for _, part := range []string{
		"event=span name=ingress trace_id=" + parent.SpanContext().TraceID().String(),
		"event=span name=forward trace_id=" + parent.SpanContext().TraceID().String(),
		"parent_id=" + parent.SpanContext().SpanID().String(),
	} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("no %q in\n%s", part, out.String())
		}
	}
}

// Guards against spans that an OTLP collector cannot decode.
func TestOTLPExporter(t *testing.T) {
	received := make(chan *collector.ExportTraceServiceRequest, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var export collector.ExportTraceServiceRequest
		if err := proto.Unmarshal(body, &export); err != nil || r.URL.Path != "/v1/traces" {
			t.Errorf("path %s error %v", r.URL.Path, err)
		}
		received <- &export
	}))
	defer server.Close()
	tel := newTelemetry(t, Options{LogWriter: io.Discard, TraceExporter: ExporterOTLP, OTLPEndpoint: server.Listener.Addr().String()})
	_, span := tel.TracerProvider.Tracer("test").Start(context.Background(), "ingress")
	span.End()
	shutdown(t, tel)
	export := <-received
	if got := export.ResourceSpans[0].ScopeSpans[0].Spans[0].Name; got != "ingress" {
		t.Errorf("span %q", got)
	}
	for _, o := range []Options{{TraceExporter: ExporterOTLP}, {TraceExporter: "paper"}} {
		if _, err := New(o); err == nil {
			t.Errorf("%+v was accepted", o)
		}
	}
}

// Guards against requests that lose their trace context in an entry VM that does
// not export traces.
func TestPropagationWithoutExporter(t *testing.T) {
	tel := newTelemetry(t, Options{LogWriter: io.Discard})
	defer shutdown(t, tel)
	const trace = "0af7651916cd43dd8448eb211c80319c"
	carrier := propagation.MapCarrier{"traceparent": "00-" + trace + "-b7ad6b7169203331-01"}
	for incoming, wantTrace := range map[bool]string{true: trace, false: ""} {
		ctx := context.Background()
		if incoming {
			ctx = tel.Propagator.Extract(ctx, carrier)
		}
		ctx, span := tel.TracerProvider.Tracer("test").Start(ctx, "ingress")
		span.End()
		out := propagation.MapCarrier{}
		tel.Propagator.Inject(ctx, out)
		if got := out["traceparent"]; got == "" || !strings.Contains(got, wantTrace) {
			t.Errorf("incoming %v: traceparent %q", incoming, got)
		}
	}
}
