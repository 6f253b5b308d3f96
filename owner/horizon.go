package owner

import (
	"math"
	"time"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/store"
)

// startHorizon keeps, in the store, up to which revision the owner may have started jobs. The
// next owner starts those that were accepted after that at once: most jobs that come while
// there is no owner. It is written ahead, so that a job seldom waits for the write.
type startHorizon struct {
	// former is that of the former owner.
	former int64
	// recorded is the last one that the store has, queued the last one to be written.
	recorded, queued int64
	// seen is the highest revision known, and growth how much it grew within the last
	// horizonWindow, which ended with seenBefore at measuredAt.
	seen, seenBefore, growth int64
	measuredAt               time.Duration
}

const (
	// horizonWindow is the time for which the horizon is written ahead. A write takes about
	// 20 ms. What is accepted within this time of an owner's end counts as inherited.
	horizonWindow = 100 * time.Millisecond
	// noFormerHorizon is for jobs that were accepted under this owner.
	noFormerHorizon = 0
	// minHorizonAhead covers the jobs of two transactions of an entry VM.
	minHorizonAhead = 16
)

// newStartHorizon returns the horizon of an owner that found the given one, or nil, in the
// store.
func newStartHorizon(former *jobstore.Horizon) startHorizon {
	if former == nil {
		return startHorizon{former: math.MaxInt64}
	}
	return startHorizon{former: former.Revision, recorded: former.Revision}
}

// observe notes a revision of the store. The growth is measured whenever horizonWindow has
// passed.
func (h *startHorizon) observe(revision int64, now time.Duration) {
	h.seen = max(h.seen, revision)
	if h.seenBefore == 0 {
		h.seenBefore, h.measuredAt = h.seen, now
	}
	if passed := now - h.measuredAt; passed >= horizonWindow {
		h.growth = int64(float64(h.seen-h.seenBefore) * float64(horizonWindow) / float64(passed))
		h.seenBefore, h.measuredAt = h.seen, now
	}
}

// next returns the horizon to be written, or false if what is recorded or queued reaches far
// enough.
func (h *startHorizon) next() (int64, bool) {
	ahead := max(h.growth, minHorizonAhead)
	if max(h.recorded, h.queued) >= h.seen+ahead/2 {
		return 0, false
	}
	h.queued = h.seen + ahead
	return h.queued, true
}

// loadHorizonLocked takes the horizon of the former owner from the records of the store.
func (t *term) loadHorizonLocked(items []store.Item) {
	var former *jobstore.Horizon
	for _, i := range items {
		if i.Key != jobstore.HorizonKey {
			continue
		}
		h, err := jobstore.DecodeHorizon(i.Value)
		if err != nil {
			// Without it all jobs count as inherited.
			t.options.Log.Error().Str("event", "start_horizon_unreadable").Err(err).Msg("")
			continue
		}
		former = &h
	}
	t.horizon = newStartHorizon(former)
	t.horizon.observe(t.ownership.Fence, boottime.Now())
	t.core.SetStartHorizon(t.horizon.recorded)
}

// recordHorizonLocked queues the record of the start horizon if it has to be moved, and
// reports whether it has.
func (t *term) recordHorizonLocked() bool {
	revision, changed := t.horizon.next()
	if changed {
		t.recordJSONLocked(jobstore.HorizonKey, jobstore.Horizon{Revision: revision})
	}
	return changed
}

// horizonWrittenLocked lets the core start the jobs up to the horizon that the store has.
func (t *term) horizonWrittenLocked(value []byte) {
	// This process wrote the record, so that it can be decoded.
	if h, err := jobstore.DecodeHorizon(value); err == nil {
		t.horizon.recorded = max(t.horizon.recorded, h.Revision)
		t.core.SetStartHorizon(t.horizon.recorded)
	}
}
