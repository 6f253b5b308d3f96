// Package retry limits how many requests are sent a second time.
package retry

import "time"

// Options configure a Budget. Zero values stand for the defaults.
type Options struct {
	// Ratio is the share of recent requests that may be retries; default 0.1.
	Ratio float64
	// Minimum is the number of retries that are allowed within Window
	// regardless of the traffic; default 3. Without it a caller that sends a
	// request every few seconds could never retry.
	Minimum int
	// Window is the time over which requests and retries count; default 10 s.
	Window time.Duration
}

// buckets is the resolution of the sliding window.
const buckets = 10

// Budget counts requests and retries over a sliding window. It is not safe for
// concurrent use.
//
// Invariant: whenever a retry is allowed, the retries of the window that ends
// with it do not exceed the larger of Minimum and Ratio times the requests of
// the same window.
type Budget struct {
	options  Options
	width    time.Duration
	start    time.Time
	last     int64
	requests [buckets]int
	retries  [buckets]int
}

// NewBudget returns a budget that has seen no request.
func NewBudget(options Options) *Budget {
	if options.Ratio <= 0 {
		options.Ratio = 0.1
	}
	if options.Minimum <= 0 {
		options.Minimum = 3
	}
	if options.Window <= 0 {
		options.Window = 10 * time.Second
	}
	return &Budget{options: options, width: max(options.Window/buckets, 1)}
}

// Request counts a first attempt.
func (b *Budget) Request(now time.Time) {
	b.requests[b.bucket(now)]++
}

// Allow reports whether one more retry fits the budget and counts it if so.
func (b *Budget) Allow(now time.Time) bool {
	current := b.bucket(now)
	requests, retries := 0, 0
	for i := range buckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if float64(retries+1) > max(float64(b.options.Minimum), b.options.Ratio*float64(requests)) {
		return false
	}
	b.retries[current]++
	return true
}

// bucket clears the buckets that left the window and returns the current one.
// A time before the newest one seen counts in the newest bucket.
func (b *Budget) bucket(now time.Time) int64 {
	if b.start.IsZero() {
		b.start = now
	}
	current := max(int64(now.Sub(b.start)/b.width), b.last)
	for i := max(b.last+1, current-buckets+1); i <= current; i++ {
		b.requests[i%buckets], b.retries[i%buckets] = 0, 0
	}
	b.last = current
	return current % buckets
}
