package runtimes

import (
	"flag"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// Guards against quantiles that are off by more than the width of a bucket.
func TestQuantilesAreClose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Operation{Service: "s", Name: "get"}
		l := NewLearner()
		samples := rapid.SliceOfN(rapid.IntRange(1, 60_000), minimumSamples, 200).Draw(t, "milliseconds")
		for _, ms := range samples {
			l.Observe(o, 0, time.Duration(ms)*time.Millisecond)
		}
		slices.Sort(samples)
		exact := time.Duration(samples[(len(samples)-1)/2]) * time.Millisecond
		e, ok := l.Estimate(o, 0)
		if !ok || e.Median < exact || float64(e.Median) > bucketRatio*float64(exact)*1.001 {
			t.Fatalf("median %s %t, exact %s", e.Median, ok, exact)
		}
	})
}

// Guards against requests that declare a much longer run time than the others of
// their operation and are still estimated to be short.
func TestDeclaredClassTellsLongFromShort(t *testing.T) {
	o := Operation{Service: "s", Name: "get"}
	l := NewLearner()
	for range 100 {
		l.Observe(o, 20*time.Millisecond, 20*time.Millisecond)
	}
	for range minimumSamples {
		l.Observe(o, 4*time.Second, 2*time.Second)
	}
	if e, _ := l.Estimate(o, 4*time.Second); e.Median < time.Second {
		t.Errorf("median %s of the requests that declare 4 s, want at least 1 s", e.Median)
	}
	if e, _ := l.Estimate(o, 0); e.Median > 30*time.Millisecond {
		t.Errorf("median %s of the requests that declare nothing, want at most 30 ms", e.Median)
	}
}

// Guards against unbounded memory when callers use a new operation name for each
// request.
func TestHistogramsAreBounded(t *testing.T) {
	l := NewLearner()
	for i := range 3 * maximumHistograms {
		l.Observe(Operation{Service: "s", Name: string(rune(i))}, 0, time.Second)
	}
	if n := len(l.histograms); n > maximumHistograms {
		t.Errorf("%d histograms, more than the limit", n)
	}
}
