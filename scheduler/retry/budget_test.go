package retry

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// Guards against a retry storm: more retries in a window than the budget
// allows for the requests of that window.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := Options{Ratio: 0.1, Minimum: 3, Window: 10 * time.Second}
		b := NewBudget(options)
		now := time.Unix(1000, 0)
		requests, retries := []time.Time{}, []time.Time{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "milliseconds")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				requests = append(requests, now)
				continue
			}
			if !b.Allow(now) {
				continue
			}
			retries = append(retries, now)
			// The window consists of whole buckets of one second. It always
			// covers the last nine seconds, and never more than the last eleven.
			inRetries := count(retries, now.Add(-9*time.Second))
			inRequests := count(requests, now.Add(-11*time.Second))
			if limit := max(3, 0.1*float64(inRequests)); float64(inRetries) > limit {
				t.Fatalf("%d retries, limit %.1f", inRetries, limit)
			}
		}
	})
}

// Guards against a budget that never recovers after it was used up.
func TestBudgetRecovers(t *testing.T) {
	b := NewBudget(Options{Minimum: 1})
	now := time.Unix(1000, 0)
	if !b.Allow(now) || b.Allow(now) {
		t.Fatal("the minimum allows exactly one retry")
	}
	if !b.Allow(now.Add(time.Hour)) {
		t.Fatal("no retry allowed after an hour")
	}
}

func count(times []time.Time, after time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(after) {
			n++
		}
	}
	return n
}
