package daemon

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// suspectFactor times the 99th percentile of an operation's duration is the
	// time without progress after which its connection is suspected to be dead.
	suspectFactor = 4
	// minSamples is the number of samples from which on a percentile is used.
	minSamples = 50
	// maxOperations bounds the memory for histograms, because callers choose
	// the names of operations. Further operations are not recorded, so their
	// connections are never suspected.
	maxOperations = 1000
	maxDuration   = time.Hour
)

// durationTracker records how long operations run. From that it derives the time
// without progress of a request after which the forwarder suspects the connection to
// be dead and checks whether the worker responds on a new one.
type durationTracker struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

func newDurationTracker() *durationTracker {
	return &durationTracker{histograms: map[string]*hdrhistogram.Histogram{}}
}

func (t *durationTracker) observe(service, operation string, run time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := service + "\x00" + operation
	histogram, ok := t.histograms[name]
	if !ok {
		if len(t.histograms) >= maxOperations {
			return
		}
		histogram = hdrhistogram.New(1, maxDuration.Milliseconds(), 1)
		t.histograms[name] = histogram
	}
	// Durations above the maximum of the histogram are recorded as the maximum.
	_ = histogram.RecordValue(min(max(1, run.Milliseconds()), maxDuration.Milliseconds()))
}

// suspectAfter returns the time without progress after which a connection is
// suspected, or 0 while the operation has fewer than minSamples samples.
func (t *durationTracker) suspectAfter(service, operation string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	histogram, ok := t.histograms[service+"\x00"+operation]
	if !ok || histogram.TotalCount() < minSamples {
		return 0
	}
	return suspectFactor * time.Duration(histogram.ValueAtQuantile(99)) * time.Millisecond
}
