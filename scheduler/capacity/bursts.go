package capacity

import (
	"math"
	"slices"
	"time"
)

// maxStarts is the number of starts that burstDue compares: two intervals.
const maxStarts = 3

// rebalancingHistory is the learned demand of a pool.
type rebalancingHistory struct {
	// since is when the rebalancer first saw the pool.
	since time.Duration
	// recent holds the needs within the longest time that unused VMs are kept.
	recent []rebalancingNeed
	// inBurst tells whether a burst is in progress.
	inBurst bool
	// starts holds the start times of the last maxStarts bursts.
	starts []time.Duration
	// lastPeak is the largest need of the last complete burst.
	lastPeak int
	// peak is the largest need of the current burst.
	peak int
	// initialSize is how many VMs the pool had when the rebalancer first saw some.
	initialSize int
}

// rebalancingNeed is the number of VMs that a pool needed at a time, without
// those for an expected burst or for RequiredVMs.
type rebalancingNeed struct {
	at  time.Duration
	vms int
	// current is the part of vms that doesn't rest on a growth of the load, and sure
	// includes that growth only as far as it is certain.
	current, sure int
}

// burstGrowth returns the factor by which a burst is expected to exceed the
// initial size of its pool: the smallest one of the last bursts of all pools, at
// least 1.
func (r *Rebalancer) burstGrowth(now time.Duration) float64 {
	least := math.Inf(1)
	for _, h := range r.pools {
		if peak := h.knownPeak(now, r.options.MoveTime+rampTime); peak > 0 && h.initialSize > 0 {
			least = min(least, float64(peak)/float64(h.initialSize))
		}
	}
	if math.IsInf(least, 1) {
		return 1
	}
	return max(least, 1)
}

// knownPeak returns the largest need of the last burst that is complete, or of
// the one in progress if it started more than ramp ago and needed more. It
// returns 0 if neither is known.
func (h *rebalancingHistory) knownPeak(now, ramp time.Duration) int {
	if h.inBurst && !h.burstJustStarted(now, ramp) {
		return max(h.lastPeak, h.peak)
	}
	return h.lastPeak
}

// burstJustStarted reports whether a burst started less than ramp ago. A burst
// that was in progress when the rebalancer first saw the pool does not count,
// because its start is not known.
func (h *rebalancingHistory) burstJustStarted(now, ramp time.Duration) bool {
	if !h.inBurst {
		return false
	}
	start := h.starts[len(h.starts)-1]
	return start > h.since && now-start < ramp
}

// threshold returns how many VMs a pool has to need for a burst, beyond those
// for its long-running work and the headroom.
func (h *rebalancingHistory) threshold() int {
	return max(burstVMs, int(burstShare*float64(h.initialSize)))
}

// observe adds the need at a time and detects the start and the end of bursts.
func (h *rebalancingHistory) observe(now time.Duration, need rebalancingNeed, base int, keep time.Duration) {
	h.recent = append(h.recent, need)
	h.recent = slices.DeleteFunc(h.recent, func(w rebalancingNeed) bool { return now-w.at > max(keep, burstKeepTime) })
	_, most := h.largest(now, keep)
	switch {
	case !h.inBurst && need.sure >= base+h.threshold():
		h.inBurst, h.peak = true, need.vms
		h.starts = append(h.starts, now)
		if len(h.starts) > maxStarts {
			h.starts = h.starts[1:]
		}
	case h.inBurst && most < base+h.threshold():
		h.inBurst, h.lastPeak = false, h.peak
	}
	if h.inBurst {
		h.peak = max(h.peak, need.vms)
	}
}

// largest returns the largest needs of the time within before now, without and
// with the growth of the load.
func (h *rebalancingHistory) largest(now, within time.Duration) (current, expected int) {
	for _, w := range h.recent {
		if now-w.at <= within {
			current, expected = max(current, w.current), max(expected, w.vms)
		}
	}
	return current, expected
}

// burstDue reports whether a burst is due within lead, or overdue by at most
// forecastWait, judging by the interval between the starts of the last bursts.
func (h *rebalancingHistory) burstDue(now, lead time.Duration) bool {
	n := len(h.starts)
	if h.inBurst || n < 2 {
		return false
	}
	gap := h.starts[n-1] - h.starts[n-2]
	if n > 2 {
		before := h.starts[n-2] - h.starts[n-3]
		if math.Abs(float64(gap-before)) > intervalTolerance*float64(gap) {
			return false
		}
	}
	next := h.starts[n-1] + gap
	return now >= next-lead && now <= next+forecastWait
}
