// Package runtimes learns the distribution of the run times of operations and
// estimates their quantiles.
package runtimes

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// The upper bounds of the histogram buckets start at 100 µs and grow by a
	// quarter from one to the next, so that a quantile is at most a quarter too
	// high. 90 buckets reach beyond half a day.
	bucketCount = 90
	bucketBase  = float64(100 * time.Microsecond)
	bucketRatio = 1.25
	// maximumSampleWeight is the total weight of the samples of a histogram at
	// which all counts are halved, so that a change of the run times takes effect
	// after a few hundred samples.
	maximumSampleWeight = 512
	// minimumSamples is the number of samples from which there is an estimate
	// for an operation.
	minimumSamples = 5
	// maximumHistograms limits the number of histograms and thereby the memory,
	// in case callers use an unbounded number of operation names. Beyond it, the
	// evictedShare of them that was used least recently is dropped.
	maximumHistograms = 2000
	evictedShare      = 8
)

// Estimate summarises the run times of one operation.
type Estimate struct {
	Median, P75, P95, P99, Mean time.Duration
}

// Operation names an operation of a service.
type Operation struct{ Service, Name string }

// declaredClass returns the class of a declared run time; the bounds of the
// classes are a factor of four apart, and class 0 is for requests that declare
// none. Declared run times are wrong by a factor of up to ten, but a request
// that declares far more than the others of its operation usually does run
// longer.
func (l *Learner) declaredClass(declared time.Duration) int {
	if declared <= 0 {
		return 0
	}
	return 1 + int(math.Log2(float64(declared))*float64(max(l.ClassesPerDoubling, 0.5)))
}

// histogramKey identifies the histogram of an operation for a class of declared
// run times. Class allClasses stands for all requests of the operation.
type histogramKey struct {
	operation Operation
	class     int
}

const allClasses = -1

// Learner holds the run times of operations and of all work together.
type Learner struct {
	// ForgetOnChange makes a histogram drop its older samples once the recent ones show
	// that the run times have changed. It is for independent samples: run times that rise
	// and fall together with the load would be forgotten again and again.
	ForgetOnChange bool
	// ClassesPerDoubling is how many classes of declared run times there are between one
	// and its double. The default is a half.
	ClassesPerDoubling float64

	histograms map[histogramKey]*histogram
	all        histogram
	// uses counts the uses of histograms; it orders them by their last use.
	uses uint64
}

// NewLearner returns a learner without samples.
func NewLearner() *Learner { return &Learner{histograms: map[histogramKey]*histogram{}} }

// Observe adds the run time of a completed request.
func (l *Learner) Observe(o Operation, declared, ran time.Duration) {
	l.all.add(ran)
	l.observe(histogramKey{o, allClasses}, ran)
	l.observe(histogramKey{o, l.declaredClass(declared)}, ran)
}

func (l *Learner) observe(k histogramKey, ran time.Duration) {
	h := l.histograms[k]
	if h == nil {
		if len(l.histograms) >= maximumHistograms {
			l.evict()
		}
		h = &histogram{}
		l.histograms[k] = h
	}
	l.use(h)
	h.add(ran)
	if l.ForgetOnChange {
		h.forgetIfChanged(ran)
	}
}

func (l *Learner) use(h *histogram) {
	l.uses++
	h.lastUse = l.uses
}

// evict drops the histograms that were used least recently. It drops many at once, so
// that its cost is spread over as many new operations.
func (l *Learner) evict() {
	keys := l.byLastUse()
	for _, k := range keys[:max(len(keys)/evictedShare, 1)] {
		delete(l.histograms, k)
	}
}

// byLastUse returns the keys of the histograms, the one that was used last at the end.
func (l *Learner) byLastUse() []histogramKey {
	return slices.SortedFunc(maps.Keys(l.histograms), func(a, b histogramKey) int {
		return cmp.Compare(l.histograms[a].lastUse, l.histograms[b].lastUse)
	})
}

// Estimate returns the estimate for the requests of an operation in the same
// class of declared run times, or for all requests of the operation if there are
// too few samples of that class. It returns false if there are too few samples
// of the operation as well.
func (l *Learner) Estimate(o Operation, declared time.Duration) (Estimate, bool) {
	if h := l.histogramOf(o, declared); h != nil {
		return h.estimate(), true
	}
	return Estimate{}, false
}

// histogramOf returns the histogram that Estimate uses, or nil.
func (l *Learner) histogramOf(o Operation, declared time.Duration) *histogram {
	for _, class := range [2]int{l.declaredClass(declared), allClasses} {
		if h := l.histograms[histogramKey{o, class}]; h != nil && h.count >= minimumSamples {
			l.use(h)
			return h
		}
	}
	return nil
}

// Beyond returns the median run time of those requests that take longer than elapsed, and
// the share of these among all. It returns false if there are too few samples of the
// operation, or none that took longer.
func (l *Learner) Beyond(o Operation, declared, elapsed time.Duration) (median time.Duration, share float64, ok bool) {
	h := l.histogramOf(o, declared)
	if h == nil {
		return 0, 0, false
	}
	first := bucketOf(elapsed) + 1
	longer := 0.0
	for _, n := range h.counts[min(first, bucketCount):] {
		longer += n
	}
	// Halved counts may leave a fraction of a sample.
	if longer < 0.5 {
		return 0, 0, false
	}
	return h.quantile(1 - longer/2/h.count), longer / h.count, true
}

// Operations returns the number of operations of which something is known.
func (l *Learner) Operations() int {
	n := 0
	for k := range l.histograms {
		if k.class == allClasses {
			n++
		}
	}
	return n
}

// Overall returns the estimate for all work; false if there are too few samples.
func (l *Learner) Overall() (Estimate, bool) {
	return l.all.estimate(), l.all.count >= minimumSamples
}

// histogram holds weighted samples of run times.
type histogram struct {
	counts [bucketCount]float64
	count  float64
	sum    float64
	// newSamples counts the samples added since cached was computed.
	cached     Estimate
	newSamples int
	// lastUse is the number of the last use of the histogram.
	lastUse uint64
	recent  recentSamples
}

// bucketOf returns the bucket of a run time.
func bucketOf(d time.Duration) int {
	bucket := int(math.Ceil(math.Log(max(float64(d), 1)/bucketBase) / math.Log(bucketRatio)))
	return min(max(bucket, 0), bucketCount-1)
}

// upperBound returns the longest run time of a bucket.
func upperBound(bucket int) time.Duration {
	return time.Duration(bucketBase * math.Pow(bucketRatio, float64(bucket)))
}

func (h *histogram) add(d time.Duration) {
	h.counts[bucketOf(d)]++
	h.count++
	h.sum += float64(d)
	h.newSamples++
	if h.count < maximumSampleWeight {
		return
	}
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.count /= 2
	h.sum /= 2
}

// estimate returns the estimate from the samples. To save CPU time it is
// recomputed only when the new samples amount to at least an eighth of all, so
// that it lags only slightly.
func (h *histogram) estimate() Estimate {
	if h.newSamples == 0 || float64(h.newSamples) < h.count/8 && h.cached.Mean > 0 {
		return h.cached
	}
	h.newSamples = 0
	h.cached = Estimate{
		Median: h.quantile(0.5), P75: h.quantile(0.75), P95: h.quantile(0.95), P99: h.quantile(0.99),
		Mean: time.Duration(h.sum / max(h.count, 1)),
	}
	return h.cached
}

// quantile returns the upper bound of the bucket that contains the q-quantile.
func (h *histogram) quantile(q float64) time.Duration {
	return upperBound(quantileBucket(&h.counts, q*h.count))
}

// quantileBucket returns the first bucket up to which the counts add up to rank.
func quantileBucket(counts *[bucketCount]float64, rank float64) int {
	for i, n := range counts {
		if rank -= n; rank <= 0 {
			return i
		}
	}
	return bucketCount - 1
}
