package daemon

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// silentFactor times the 99th percentile of an operation is the silence
	// after which its connection is suspected.
	silentFactor = 4
	// minimumSamples is the number of answers before a percentile is trusted.
	minimumSamples = 50
	// maxOperations bounds the operations that are learned; callers choose
	// their names.
	maxOperations = 1000
	maxRunTime    = time.Hour
)

// runTimes learns the run times of operations for the suspicion of silent
// connections.
type runTimes struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

func newRunTimes() *runTimes {
	return &runTimes{histograms: map[string]*hdrhistogram.Histogram{}}
}

func (t *runTimes) observe(service, operation string, run time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := service + "\x00" + operation
	histogram, ok := t.histograms[name]
	if !ok {
		if len(t.histograms) >= maxOperations {
			return
		}
		histogram = hdrhistogram.New(1, maxRunTime.Milliseconds(), 1)
		t.histograms[name] = histogram
	}
	// Longer runs than the histogram holds count as its maximum.
	_ = histogram.RecordValue(min(max(1, run.Milliseconds()), maxRunTime.Milliseconds()))
}

// silentAfter returns 0 while too little is known of the operation.
func (t *runTimes) silentAfter(service, operation string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	histogram, ok := t.histograms[service+"\x00"+operation]
	if !ok || histogram.TotalCount() < minimumSamples {
		return 0
	}
	return silentFactor * time.Duration(histogram.ValueAtQuantile(99)) * time.Millisecond
}
