package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
)

// timerBounds are the upper bounds of the buckets of timers, in seconds.
var timerBounds = []float64{.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60}

// reporter stores the values that a tally scope reports and renders them in the
// Prometheus text format. The Prometheus reporter of tally is not used because this
// project does not have its dependencies.
//
// The parts of a metric name are joined by '_', and characters that Prometheus does
// not allow are replaced by '_'. A metric whose name is already used by a metric of
// another type is dropped and counted in
// telemetry_conflicting_metrics_total.
type reporter struct {
	mu        sync.Mutex
	families  map[string]*family
	conflicts atomic.Int64
	started   time.Time
}

// family holds all series of one metric name.
type family struct {
	kind   string
	series map[string]*series
}

// series holds the value of one metric with one set of tags.
type series struct {
	labels  string
	counter atomic.Int64
	gauge   atomic.Uint64
	buckets *buckets
}

// buckets holds the buckets of a histogram. The counts are not cumulative. The last
// count belongs to the bucket without an upper bound.
type buckets struct {
	bounds []float64
	counts []atomic.Int64
	mu     sync.Mutex
	sum    float64
}

func newReporter() *reporter {
	return &reporter{families: map[string]*family{}, started: time.Now()}
}

// Capabilities implements tally.BaseStatsReporter.
func (r *reporter) Capabilities() tally.Capabilities { return capabilities{} }

// Flush implements tally.BaseStatsReporter.
func (r *reporter) Flush() {}

type capabilities struct{}

func (capabilities) Reporting() bool { return true }
func (capabilities) Tagging() bool   { return true }

// AllocateCounter implements tally.CachedStatsReporter.
func (r *reporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return r.allocate("counter", name, tags, nil)
}

// AllocateGauge implements tally.CachedStatsReporter.
func (r *reporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return r.allocate("gauge", name, tags, nil)
}

// AllocateTimer implements tally.CachedStatsReporter. A timer is rendered as a
// histogram in seconds.
func (r *reporter) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return r.allocate("histogram", name, tags, timerBounds)
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (r *reporter) AllocateHistogram(name string, tags map[string]string, b tally.Buckets) tally.CachedHistogram {
	bounds := b.AsValues()
	if _, ok := b.(tally.DurationBuckets); ok {
		bounds = make([]float64, 0, b.Len())
		for _, d := range b.AsDurations() {
			bounds = append(bounds, d.Seconds())
		}
	}
	return r.allocate("histogram", name, tags, bounds)
}

func (r *reporter) allocate(kind, name string, tags map[string]string, bounds []float64) *series {
	name = metricName(name)
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.families[name]
	if f == nil {
		f = &family{kind: kind, series: map[string]*series{}}
		r.families[name] = f
	}
	labels := renderLabels(tags)
	s := f.series[labels]
	if s == nil || f.kind != kind {
		s = &series{labels: labels}
		if bounds != nil {
			s.buckets = newBuckets(bounds)
		}
	}
	if f.kind != kind {
		r.conflicts.Add(1)
		return s
	}
	f.series[labels] = s
	return s
}

// ReportCount implements tally.CachedCount.
func (s *series) ReportCount(value int64) { s.counter.Add(value) }

// ReportGauge implements tally.CachedGauge.
func (s *series) ReportGauge(value float64) { s.gauge.Store(math.Float64bits(value)) }

// ReportTimer implements tally.CachedTimer.
func (s *series) ReportTimer(interval time.Duration) {
	v := interval.Seconds()
	s.buckets.add(s.buckets.index(v), 1, v)
}

// ValueBucket implements tally.CachedHistogram.
func (s *series) ValueBucket(lower, upper float64) tally.CachedHistogramBucket {
	if upper == math.MaxFloat64 {
		upper = math.Inf(1)
	}
	return s.buckets.bucket(lower, upper)
}

// DurationBucket implements tally.CachedHistogram.
func (s *series) DurationBucket(lower, upper time.Duration) tally.CachedHistogramBucket {
	bound := upper.Seconds()
	if upper == math.MaxInt64 {
		bound = math.Inf(1)
	}
	return s.buckets.bucket(lower.Seconds(), bound)
}

func newBuckets(bounds []float64) *buckets {
	sorted := slices.Clone(bounds)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	return &buckets{bounds: sorted, counts: make([]atomic.Int64, len(sorted)+1)}
}

func (b *buckets) index(v float64) int {
	i, _ := slices.BinarySearch(b.bounds, v)
	return i
}

func (b *buckets) add(index int, n int64, sum float64) {
	b.counts[index].Add(n)
	b.mu.Lock()
	b.sum += sum
	b.mu.Unlock()
}

type bucketReporter struct {
	buckets *buckets
	index   int
	value   float64
}

// bucket returns the reporter of one bucket. tally reports only the number of
// samples, so the sum is approximate: each sample counts with the upper bound of its
// bucket, or with the lower bound in the bucket without an upper bound.
func (b *buckets) bucket(lower, upper float64) bucketReporter {
	value := upper
	if math.IsInf(upper, 1) {
		value = lower
	}
	return bucketReporter{buckets: b, index: b.index(upper), value: value}
}

// ReportSamples implements tally.CachedHistogramBucket.
func (b bucketReporter) ReportSamples(n int64) { b.buckets.add(b.index, n, b.value*float64(n)) }

// metricName replaces the characters that Prometheus does not allow.
func metricName(name string) string {
	clean := strings.Map(func(r rune) rune {
		if r == '_' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
	if clean == "" || clean[0] >= '0' && clean[0] <= '9' {
		return "_" + clean
	}
	return clean
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// renderLabels renders tags as key="value" pairs, sorted by key.
func renderLabels(tags map[string]string) string {
	var b strings.Builder
	for _, key := range slices.Sorted(maps.Keys(tags)) {
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		b.WriteString(metricName(key) + `="` + labelEscaper.Replace(strings.ToValidUTF8(tags[key], "�")) + `"`)
	}
	return b.String()
}

// ServeHTTP renders the metrics.
func (r *reporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var b bytes.Buffer
	r.render(&b)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_, _ = w.Write(b.Bytes())
}

func (r *reporter) render(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.families)) {
		f := r.families[name]
		fmt.Fprintf(w, "# TYPE %s %s\n", name, f.kind)
		for _, labels := range slices.Sorted(maps.Keys(f.series)) {
			f.series[labels].render(w, f.kind, name)
		}
	}
	fmt.Fprintf(w, "# TYPE telemetry_conflicting_metrics_total counter\ntelemetry_conflicting_metrics_total %d\n", r.conflicts.Load())
	r.renderProcess(w)
}

func (s *series) render(w io.Writer, kind, name string) {
	switch kind {
	case "counter":
		fmt.Fprintf(w, "%s %d\n", seriesName(name, s.labels), s.counter.Load())
	case "gauge":
		fmt.Fprintf(w, "%s %s\n", seriesName(name, s.labels), formatFloat(math.Float64frombits(s.gauge.Load())))
	case "histogram":
		s.buckets.render(w, name, s.labels)
	}
}

func (b *buckets) render(w io.Writer, name, labels string) {
	separator := ""
	if labels != "" {
		separator = ","
	}
	var total int64
	for i := range b.counts {
		total += b.counts[i].Load()
		bound := "+Inf"
		if i < len(b.bounds) {
			bound = formatFloat(b.bounds[i])
		}
		fmt.Fprintf(w, "%s %d\n", seriesName(name+"_bucket", labels+separator+`le="`+bound+`"`), total)
	}
	b.mu.Lock()
	sum := b.sum
	b.mu.Unlock()
	fmt.Fprintf(w, "%s %s\n%s %d\n", seriesName(name+"_sum", labels), formatFloat(sum), seriesName(name+"_count", labels), total)
}

func seriesName(name, labels string) string {
	if labels == "" {
		return name
	}
	return name + "{" + labels + "}"
}

func formatFloat(v float64) string {
	switch {
	case math.IsInf(v, 1):
		return "+Inf"
	case math.IsInf(v, -1):
		return "-Inf"
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

// renderProcess renders the CPU time, the memory, the start time and the number of
// goroutines of the process under their usual Prometheus names.
func (r *reporter) renderProcess(w io.Writer) {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		cpu := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
		fmt.Fprintf(w, "# TYPE process_cpu_seconds_total counter\nprocess_cpu_seconds_total %s\n", formatFloat(cpu.Seconds()))
	}
	if pages, ok := residentPages(); ok {
		fmt.Fprintf(w, "# TYPE process_resident_memory_bytes gauge\nprocess_resident_memory_bytes %d\n", pages*int64(os.Getpagesize()))
	}
	fmt.Fprintf(w, "# TYPE process_start_time_seconds gauge\nprocess_start_time_seconds %s\n", formatFloat(float64(r.started.UnixMilli())/1000))
	fmt.Fprintf(w, "# TYPE go_goroutines gauge\ngo_goroutines %d\n", runtime.NumGoroutine())
}

func residentPages() (int64, bool) {
	data, err := os.ReadFile("/proc/self/statm")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0, false
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages, err == nil
}
