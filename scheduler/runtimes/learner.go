// Package runtimes learns the run times of operations as quantiles.
package runtimes

import (
	"math"
	"time"
)

const (
	// Buckets grow by a quarter from 100 µs, so that a quantile is at most a
	// quarter too high; 90 of them reach beyond half a day.
	bucketCount = 90
	bucketBase  = float64(100 * time.Microsecond)
	bucketRatio = 1.25
	// halveAt is the weight at which old samples are halved, so that a change
	// of run times shows after a few hundred samples.
	halveAt = 512
	// minimumSamples is the number of samples below which an operation counts
	// as unknown.
	minimumSamples = 5
	// maximumOperations bounds the memory against callers that put unbounded
	// values into the operation.
	maximumOperations = 2000
)

// Estimate summarises the run times of one operation.
type Estimate struct {
	Median, P75, P95, Mean time.Duration
}

// Operation names an operation of a service.
type Operation struct{ Service, Name string }

// declaredClass groups declared run times by factors of four. Declared run
// times are wrong by up to ten times, but a request that declares far more than
// the rest of its operation usually does run longer.
func declaredClass(declared time.Duration) int {
	if declared <= 0 {
		return 0
	}
	return 1 + int(math.Log2(float64(declared))/2)
}

// key is an operation with a class of declared run times; class -1 holds all.
type key struct {
	operation Operation
	class     int
}

// Learner holds the run times of operations and of all work together.
type Learner struct {
	operations map[key]*histogram
	all        histogram
}

// NewLearner returns a learner without samples.
func NewLearner() *Learner { return &Learner{operations: map[key]*histogram{}} }

// Observe adds the run time of a completed request.
func (l *Learner) Observe(o Operation, declared, ran time.Duration) {
	l.all.add(ran)
	l.observe(key{o, -1}, ran)
	l.observe(key{o, declaredClass(declared)}, ran)
}

func (l *Learner) observe(k key, ran time.Duration) {
	h := l.operations[k]
	if h == nil {
		if len(l.operations) >= maximumOperations {
			return
		}
		h = &histogram{}
		l.operations[k] = h
	}
	h.add(ran)
}

// Estimate returns the run times of the requests of an operation that declare
// about as much, else those of the whole operation, false when too few are
// known.
func (l *Learner) Estimate(o Operation, declared time.Duration) (Estimate, bool) {
	for _, class := range [2]int{declaredClass(declared), -1} {
		if h := l.operations[key{o, class}]; h != nil && h.count >= minimumSamples {
			return h.estimate(), true
		}
	}
	return Estimate{}, false
}

// Overall returns the run times of all work, false when too few are known.
func (l *Learner) Overall() (Estimate, bool) {
	return l.all.estimate(), l.all.count >= minimumSamples
}

type histogram struct {
	counts [bucketCount]float64
	count  float64
	sum    float64
	// stale counts the samples added since cached was computed.
	cached Estimate
	stale  int
}

func (h *histogram) add(d time.Duration) {
	bucket := int(math.Ceil(math.Log(max(float64(d), 1)/bucketBase) / math.Log(bucketRatio)))
	h.counts[min(max(bucket, 0), bucketCount-1)]++
	h.count++
	h.sum += float64(d)
	h.stale++
	if h.count < halveAt {
		return
	}
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.count /= 2
	h.sum /= 2
}

// estimate recomputes the quantiles after an eighth more samples at the
// latest, which keeps them cheap without letting them lag.
func (h *histogram) estimate() Estimate {
	if h.stale == 0 || float64(h.stale) < h.count/8 && h.cached.Mean > 0 {
		return h.cached
	}
	h.stale = 0
	h.cached = Estimate{
		Median: h.quantile(0.5), P75: h.quantile(0.75), P95: h.quantile(0.95),
		Mean: time.Duration(h.sum / max(h.count, 1)),
	}
	return h.cached
}

func (h *histogram) quantile(q float64) time.Duration {
	rest := q * h.count
	for i, n := range h.counts {
		if rest -= n; rest <= 0 {
			return time.Duration(bucketBase * math.Pow(bucketRatio, float64(i)))
		}
	}
	return 0
}
