// Package runtimes learns the distribution of the run times of operations and
// estimates their quantiles.
package runtimes

import (
	"math"
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
	// in case callers use an unbounded number of operation names.
	maximumHistograms = 2000
)

// Estimate summarises the run times of one operation.
type Estimate struct {
	Median, P75, P95, Mean time.Duration
}

// Operation names an operation of a service.
type Operation struct{ Service, Name string }

// declaredClass returns the class of a declared run time; the bounds of the
// classes are a factor of four apart, and class 0 is for requests that declare
// none. Declared run times are wrong by a factor of up to ten, but a request
// that declares far more than the others of its operation usually does run
// longer.
func declaredClass(declared time.Duration) int {
	if declared <= 0 {
		return 0
	}
	return 1 + int(math.Log2(float64(declared))/2)
}

// histogramKey identifies the histogram of an operation for a class of declared
// run times. Class -1 stands for all requests of the operation.
type histogramKey struct {
	operation Operation
	class     int
}

// Learner holds the run times of operations and of all work together.
type Learner struct {
	histograms map[histogramKey]*histogram
	all        histogram
}

// NewLearner returns a learner without samples.
func NewLearner() *Learner { return &Learner{histograms: map[histogramKey]*histogram{}} }

// Observe adds the run time of a completed request.
func (l *Learner) Observe(o Operation, declared, ran time.Duration) {
	l.all.add(ran)
	l.observe(histogramKey{o, -1}, ran)
	l.observe(histogramKey{o, declaredClass(declared)}, ran)
}

func (l *Learner) observe(k histogramKey, ran time.Duration) {
	h := l.histograms[k]
	if h == nil {
		if len(l.histograms) >= maximumHistograms {
			return
		}
		h = &histogram{}
		l.histograms[k] = h
	}
	h.add(ran)
}

// Estimate returns the estimate for the requests of an operation in the same
// class of declared run times, or for all requests of the operation if there are
// too few samples of that class. It returns false if there are too few samples
// of the operation as well.
func (l *Learner) Estimate(o Operation, declared time.Duration) (Estimate, bool) {
	for _, class := range [2]int{declaredClass(declared), -1} {
		if h := l.histograms[histogramKey{o, class}]; h != nil && h.count >= minimumSamples {
			return h.estimate(), true
		}
	}
	return Estimate{}, false
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
}

func (h *histogram) add(d time.Duration) {
	bucket := int(math.Ceil(math.Log(max(float64(d), 1)/bucketBase) / math.Log(bucketRatio)))
	h.counts[min(max(bucket, 0), bucketCount-1)]++
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
		Median: h.quantile(0.5), P75: h.quantile(0.75), P95: h.quantile(0.95),
		Mean: time.Duration(h.sum / max(h.count, 1)),
	}
	return h.cached
}

// quantile returns the upper bound of the bucket that contains the q-quantile.
func (h *histogram) quantile(q float64) time.Duration {
	remaining := q * h.count
	for i, n := range h.counts {
		if remaining -= n; remaining <= 0 {
			return time.Duration(bucketBase * math.Pow(bucketRatio, float64(i)))
		}
	}
	return 0
}
