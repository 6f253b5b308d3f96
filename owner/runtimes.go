package owner

import (
	"time"

	"dotterelhead.example/dotterelhead/jobstore"
)

// runTimesEvery is how often the learned run times are recorded. They go into a transaction
// with the counts of waiting jobs and the progress of jobs.
const runTimesEvery = 5 * time.Second

// recordRunTimesLocked queues the record of the learned run times if it is due and
// something was learned.
func (t *term) recordRunTimesLocked(now time.Duration) {
	t.metrics.knownImages.Update(float64(t.core.KnownImages()))
	if now < t.runTimesDue {
		return
	}
	t.runTimesDue = now + runTimesEvery
	summaries := t.core.LearnedRunTimes()
	if len(summaries) == 0 {
		return
	}
	value, err := jobstore.EncodeRunTimes(summaries)
	if err != nil {
		t.options.Log.Error().Str("event", "record_not_encoded").Str("key", jobstore.RunTimesKey).Err(err).Msg("")
		return
	}
	if t.written[jobstore.RunTimesKey] != string(value) {
		t.queuedRecords[jobstore.RunTimesKey] = value
	}
}

// loadRunTimes takes over what a former owner has learned. Without the record, or with one
// that cannot be read, the run times are learned anew.
func (t *term) loadRunTimes(value []byte) {
	record, err := jobstore.DecodeRunTimes(value)
	if err != nil {
		t.options.Log.Error().Str("event", "run_times_unreadable").Err(err).Msg("")
		return
	}
	if invalid := t.core.RestoreRunTimes(record.Operations); invalid > 0 {
		t.options.Log.Error().Str("event", "run_times_unreadable").Int("invalid", invalid).Msg("")
	}
}
