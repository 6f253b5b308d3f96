package owner

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/scheduler/execution"
)

const (
	// writeGap is the shortest pause between transactions: what ends meanwhile
	// is written together.
	writeGap = 8 * time.Millisecond
	// summaryEvery is how often the counts of waiting jobs are written.
	summaryEvery = 700 * time.Millisecond
	// otherRecords is how many records beside the progress of jobs have a place
	// in each transaction; progress alone fills every one under load.
	otherRecords = 5
	// forgetAtOnce bounds the finished jobs that are deleted together.
	forgetAtOnce = 5
)

// writeLoop writes what has changed to the store.
func (t *term) writeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, t.wakeWrite, summaryEvery)
		t.summarizeIfDue()
		for t.writeBatch(ctx) {
			// Under load there is always something to write.
			t.summarizeIfDue()
		}
		wait(ctx, nil, writeGap)
	}
}

func (t *term) summarizeIfDue() {
	if now := boottime.Now(); now >= t.summaryDue {
		t.summaryDue = now + summaryEvery
		t.summarize()
	}
}

// summarize queues the counts of waiting jobs and the deletion of old ones.
func (t *term) summarize() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.logPoolsLocked()
	t.recordJSONLocked(jobstore.WaitingKey, t.core.Waiting())
	for _, id := range t.core.Forget(t.options.KeepFinished, forgetAtOnce, boottime.Now()) {
		for _, key := range []string{jobstore.JobKey(id), jobstore.CancelKey(id), jobstore.ProgressKey(id)} {
			t.records[key] = nil
		}
	}
}

// logPoolsLocked writes what each pool asks for and has.
func (t *term) logPoolsLocked() {
	vms := t.core.WorkersByService()
	for _, d := range t.core.Demands(boottime.Now()) {
		if d.Spare {
			continue
		}
		t.options.Log.Info().Str("event", "pool_state").Str("service", d.Pool).Int("vms", vms[d.Pool]).Float64("used_cores", d.Used).
			Float64("waiting_cores", d.Waiting).Float64("backlog_core_seconds", d.Backlog).Float64("arriving_cores", d.Arriving).Float64("lasting_cores", d.Lasting).Msg("")
		tags := t.metrics.scope.Tagged(map[string]string{"service": d.Pool})
		tags.Gauge("pool_vms").Update(float64(vms[d.Pool]))
		tags.Gauge("pool_used_cores").Update(d.Used)
		tags.Gauge("pool_waiting_cores").Update(d.Waiting)
	}
}

// recordJSONLocked queues a record unless the store has it already.
func (t *term) recordJSONLocked(key string, v any) {
	value, err := json.Marshal(v)
	if err != nil {
		t.options.Log.Error().Str("event", "record_not_encoded").Str("key", key).Err(err).Msg("")
		return
	}
	if t.written[key] != string(value) {
		t.records[key] = value
	}
}

// recordHoldersLocked queues the record of the workers that may hold leases,
// with the longest time in milliseconds that these can last once this owner
// gives no more orders.
func (t *term) recordHoldersLocked(left map[string]time.Duration) {
	holders := map[string]int64{}
	for id, d := range left {
		holders[id] = d.Milliseconds() + 1
	}
	value, err := json.Marshal(holders)
	if err != nil {
		t.options.Log.Error().Str("event", "record_not_encoded").Str("key", jobstore.HoldersKey).Err(err).Msg("")
		return
	}
	// It is written even if the store has it, because a different one may be
	// on its way.
	if t.queuedHolders != string(value) {
		t.queuedHolders = string(value)
		t.records[jobstore.HoldersKey] = value
	}
}

// batch is what one transaction writes: the progress of jobs, and the records
// that stand beside it.
type batch struct {
	progress       []execution.ProgressWrite
	progressValues []jobstore.Record
	others         []jobstore.Record
}

func (b batch) records() []jobstore.Record { return slices.Concat(b.progressValues, b.others) }

// nextBatch takes what the next transaction holds.
func (t *term) nextBatch() batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b batch
	for _, p := range t.core.TakeWrites(t.writer.MaxRecords() - min(len(t.records), otherRecords)) {
		value, err := json.Marshal(p.Progress)
		if err != nil {
			t.options.Log.Error().Str("event", "record_not_encoded").Str("job", p.JobID).Err(err).Msg("")
			continue
		}
		b.progress = append(b.progress, p)
		b.progressValues = append(b.progressValues, jobstore.Record{Key: jobstore.ProgressKey(p.JobID), Value: value})
	}
	for key, value := range t.records {
		if len(b.progress)+len(b.others) == t.writer.MaxRecords() {
			break
		}
		b.others = append(b.others, jobstore.Record{Key: key, Value: value})
		delete(t.records, key)
	}
	return b
}

// writeBatch writes one transaction and reports whether there was something to
// write.
func (t *term) writeBatch(ctx context.Context) bool {
	b := t.nextBatch()
	records := b.records()
	if len(records) == 0 {
		return false
	}
	started := time.Now()
	err := t.writer.Write(ctx, records)
	t.metrics.commit.Record(time.Since(started))
	if err != nil {
		if ctx.Err() == nil {
			t.options.Log.Error().Str("event", "progress_not_written").Err(err).Msg("")
			t.end(errors.Wrap(err, "write progress"))
		}
		return false
	}
	t.committed(b)
	return true
}

// holderIDs returns the workers of a record of lease holders that this process
// wrote.
func holderIDs(value []byte) []string {
	var holders map[string]int64
	if err := json.Unmarshal(value, &holders); err != nil {
		return nil
	}
	return slices.Sorted(maps.Keys(holders))
}

func durations(milliseconds map[string]int64) map[string]time.Duration {
	out := map[string]time.Duration{}
	for id, ms := range milliseconds {
		out[id] = time.Duration(ms) * time.Millisecond
	}
	return out
}

func (t *term) committed(b batch) {
	t.mu.Lock()
	t.core.Committed(b.progress)
	t.wakeAcknowledgedLocked()
	for _, r := range b.others {
		t.written[r.Key] = string(r.Value)
		if done := t.onWritten[r.Key]; done != nil {
			close(done)
			delete(t.onWritten, r.Key)
		}
		if r.Key == jobstore.HoldersKey {
			t.core.HoldersRecorded(holderIDs(r.Value))
			if t.queuedHolders == string(r.Value) {
				t.queuedHolders = ""
			}
		}
	}
	t.mu.Unlock()
	t.kick()
}
