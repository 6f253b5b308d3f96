package runtimes

import "time"

const (
	// The last recentCount samples are compared with the older ones: changedCount of them
	// beyond the same quartile mean that the run times have changed. Without a change, 12
	// of 16 independent samples are that far out once in about 13,000 cases, whatever the
	// shape of the distribution. A wrong decision costs the older samples, no more.
	recentCount  = 16
	changedCount = 12
)

// recentSamples holds the buckets of the last samples of a histogram.
type recentSamples struct {
	buckets [recentCount]uint8
	// added counts the samples since the histogram was created or forgot its older ones.
	added int
}

// forgetIfChanged records a sample that was added, and drops the older samples if the
// recent ones differ from them.
func (h *histogram) forgetIfChanged(d time.Duration) {
	r := &h.recent
	r.buckets[r.added%recentCount] = uint8(bucketOf(d))
	r.added++
	if r.added < recentCount || h.count < 2*recentCount {
		return
	}
	older, count := h.counts, 0.0
	for _, b := range r.buckets {
		older[b] = max(older[b]-1, 0)
	}
	for _, n := range older {
		count += n
	}
	low, high := quantileBucket(&older, 0.25*count), quantileBucket(&older, 0.75*count)
	shorter, longer := 0, 0
	for _, b := range r.buckets {
		if int(b) < low {
			shorter++
		}
		if int(b) > high {
			longer++
		}
	}
	if max(shorter, longer) < changedCount {
		return
	}
	h.counts, h.count, h.sum = [bucketCount]float64{}, 0, 0
	for _, b := range r.buckets {
		h.counts[b]++
		h.count++
		h.sum += float64(upperBound(int(b)))
	}
	h.recent, h.cached, h.newSamples = recentSamples{}, Estimate{}, 1
}
