package runtimes

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var build = Operation{Service: "builds", Name: "compile"}

// around returns a run time with the given median; 3 in 100 take seven times as long.
func around(r *rand.Rand, median time.Duration) time.Duration {
	d := time.Duration(float64(median) * math.Exp(0.5*r.NormFloat64()))
	if r.Float64() < 0.03 {
		d *= 7
	}
	return d
}

// Guards against an image that becomes three times slower and is expected to be fast for
// hundreds of runs.
func TestChangeTakesEffectAfterTensOfRuns(t *testing.T) {
	for name, change := range map[string]struct{ before, after time.Duration }{
		"slower": {time.Second, 3 * time.Second}, "faster": {3 * time.Second, time.Second},
	} {
		for seed := range uint64(20) {
			r := rand.New(rand.NewPCG(seed, 1))
			l := NewLearner()
			l.ForgetOnChange = true
			for range 500 {
				l.Observe(build, 0, around(r, change.before))
			}
			for range 40 {
				l.Observe(build, 0, around(r, change.after))
			}
			if e, _ := l.Estimate(build, 0); e.Median < change.after/2 || e.Median > 2*change.after {
				t.Errorf("%s, seed %d: median %s 40 runs after the change to %s", name, seed, e.Median, change.after)
			}
		}
	}
}

// Guards against a tail that is lost because ordinary long runs are taken for a change.
func TestTailIsKept(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	l := NewLearner()
	l.ForgetOnChange = true
	low := 0
	for n := range 20_000 {
		l.Observe(build, 0, around(r, time.Second))
		if e, _ := l.Estimate(build, 0); n >= 500 && n%100 == 0 && e.P99 < 3500*time.Millisecond {
			low++
		}
	}
	// The 99th percentile is 7 s; a twentieth of the readings may follow a false change.
	if low > 10 {
		t.Errorf("99th percentile below 3.5 s in %d of 195 readings, want at most 10", low)
	}
	median, share, ok := l.Beyond(build, 0, 4*time.Second)
	if !ok || median < 5*time.Second || median > 12*time.Second || share < 0.01 || share > 0.06 {
		t.Errorf("run of 4 s is expected to take %s (share %.3f, %t), want about 7 s and 0.03", median, share, ok)
	}
}

// Guards against a caller with a new image for each job that drives out the images that
// are in use.
func TestLeastRecentlyUsedImageIsEvicted(t *testing.T) {
	l := NewLearner()
	for range minimumSamples {
		l.Observe(build, 0, time.Second)
	}
	for i := range 3 * maximumHistograms {
		l.Observe(Operation{Service: "builds", Name: string(rune(i + 1000))}, 0, time.Minute)
		if _, ok := l.Estimate(build, 0); !ok {
			t.Fatalf("image in use was evicted after %d new ones", i)
		}
	}
	if n := l.Operations(); n > maximumHistograms {
		t.Errorf("%d operations, more than the limit", n)
	}
}

// Guards against a new owner that expects other run times than the former one, and against
// summaries with bad indexes that end its process.
func TestSummariesAreRestored(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	l := NewLearner()
	for range 300 {
		l.Observe(build, time.Second, around(r, time.Second))
	}
	next := NewLearner()
	if invalid := next.Restore(l.Summaries(10)); invalid > 0 {
		t.Errorf("%d of the learner's own summaries are invalid", invalid)
	}
	before, _ := l.Estimate(build, time.Second)
	after, ok := next.Estimate(build, time.Second)
	if !ok || float64(after.Median) > 1.3*float64(before.Median) || float64(before.Median) > 1.3*float64(after.Median) || after.P99 < before.P95 {
		t.Errorf("restored %+v %t, was %+v", after, ok, before)
	}
	bad := []Summary{
		{Service: "a", First: -1, Buckets: []uint32{9}}, {Service: "b", First: bucketCount, Buckets: []uint32{9}},
		{Service: "c", First: 80, Buckets: make([]uint32, 20)}, {Service: "d", First: 1, Buckets: []uint32{0}}, {Service: "e", Class: -2, Buckets: []uint32{9}},
	}
	if invalid := next.Restore(bad); invalid != len(bad) {
		t.Errorf("%d of %d bad summaries rejected", invalid, len(bad))
	}
}
