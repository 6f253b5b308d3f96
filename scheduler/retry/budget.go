// Package retry limits the number of retries relative to the number of requests.
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

// bucketCount is the number of buckets of the sliding window.
const bucketCount = 10

// Budget counts requests and retries over a sliding window. It is not safe for
// concurrent use.
//
// Invariant: whenever a retry is allowed, the retries of the window that ends
// with it do not exceed the larger of Minimum and Ratio times the requests of
// the same window.
type Budget struct {
	options     Options
	bucketWidth time.Duration
	// firstTime is the first time passed in. Buckets are numbered from it.
	firstTime time.Time
	// newestBucket is the number of the newest bucket. Its counts are at index
	// newestBucket modulo bucketCount.
	newestBucket int64
	requests     [bucketCount]int
	retries      [bucketCount]int
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
	return &Budget{options: options, bucketWidth: max(options.Window/bucketCount, 1)}
}

// Request counts a first attempt.
func (b *Budget) Request(now time.Time) {
	b.requests[b.currentBucket(now)]++
}

// Allow reports whether one more retry fits the budget and counts it if so.
func (b *Budget) Allow(now time.Time) bool {
	current := b.currentBucket(now)
	requests, retries := 0, 0
	for i := range bucketCount {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if float64(retries+1) > max(float64(b.options.Minimum), b.options.Ratio*float64(requests)) {
		return false
	}
	b.retries[current]++
	return true
}

// currentBucket clears the buckets that have left the window and returns the
// index of the current one. A time before the newest one passed in counts
// towards the newest bucket.
func (b *Budget) currentBucket(now time.Time) int64 {
	if b.firstTime.IsZero() {
		b.firstTime = now
	}
	current := max(int64(now.Sub(b.firstTime)/b.bucketWidth), b.newestBucket)
	for i := max(b.newestBucket+1, current-bucketCount+1); i <= current; i++ {
		b.requests[i%bucketCount], b.retries[i%bucketCount] = 0, 0
	}
	b.newestBucket = current
	return current % bucketCount
}
