package owner

import (
	"encoding/json"
	"time"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/scheduler/capacity"
)

const (
	// burstsEvery is how often the learned bursts are recorded. A burst lasts about 4 s, so
	// that most records hold the burst in progress.
	burstsEvery = 2 * time.Second
	// maxBurstsBytes bounds the record of learned bursts. A pool takes about 100 bytes.
	maxBurstsBytes = 16 << 10
)

// recordBurstsLocked queues the record of the learned bursts if it is due.
func (t *term) recordBurstsLocked(rb *rebalancing, demands []capacity.CoreDemand, now time.Duration) {
	if now < rb.recordDue {
		return
	}
	rb.recordDue = now + burstsEvery
	names := make([]string, 0, len(demands))
	for _, d := range demands {
		names = append(names, d.Pool)
	}
	if learned := rb.planner.Learned(names, now, time.Now()); len(learned) > 0 {
		t.recordJSONLocked(jobstore.BurstsKey, learned)
	}
}

// loadBursts reads the bursts that a former owner has learned. Without the record, or with
// one that cannot be read, they are learned anew.
func (t *term) loadBursts(value []byte) {
	var learned []capacity.LearnedPool
	if len(value) > maxBurstsBytes {
		t.options.Log.Error().Str("event", "bursts_unreadable").Int("bytes", len(value)).Msg("")
		return
	}
	if err := json.Unmarshal(value, &learned); err != nil {
		t.options.Log.Error().Str("event", "bursts_unreadable").Err(err).Msg("")
		return
	}
	t.formerBursts = learned
}

// restoreBursts gives the planner of a new term what former owners have learned.
func (t *term) restoreBursts(rb *rebalancing) {
	if len(t.formerBursts) == 0 {
		return
	}
	n := rb.planner.Restore(t.formerBursts, boottime.Now(), time.Now())
	t.options.Log.Info().Str("event", "bursts_restored").Int("pools", n).Int("recorded", len(t.formerBursts)).Msg("")
}
