package owner

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/scheduler/execution"
)

const (
	// writeGap is the pause before the write loop waits for changes again: what
	// changes during the pause is written together.
	writeGap = 8 * time.Millisecond
	// summaryEvery is how often the counts of waiting jobs are written.
	summaryEvery = 700 * time.Millisecond
	// reservedRecords is the number of places in each transaction that are
	// reserved for records other than the progress of jobs. Under load, progress
	// alone would fill every transaction.
	reservedRecords = 5
	// backlogResumeShare is the share of a full queue's limit below which its jobs are
	// accepted again, so that the record does not change with every job.
	backlogResumeShare = 0.9
	// maxForgetBatch bounds the number of finished jobs whose deletion is queued at once. It
	// allows for 100 jobs a second; the largest site submits 58.
	maxForgetBatch = 70
)

// writeLoop writes changed records to the store until ctx ends.
func (t *term) writeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, t.writeSignal, summaryEvery)
		t.summarizeIfDue()
		t.checkAdmission()
		for t.writeBatch(ctx) {
			// Under load there is always something to write.
			t.summarizeIfDue()
			t.checkAdmission()
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

func (t *term) checkAdmission() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checkAdmissionLocked(boottime.Now())
}

// summarize logs the state of the pools, and queues the counts of waiting jobs
// and the deletion of finished jobs that were kept for long enough.
func (t *term) summarize() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.logPoolsLocked()
	t.updateOrganisationGaugesLocked()
	t.recordRunTimesLocked(boottime.Now())
	t.metrics.lag.Record(t.lag.longest(boottime.Now()))
	t.recordJSONLocked(jobstore.WaitingKey, t.core.Waiting())
	now := boottime.Now()
	t.forgetLocked(t.core.RemoveFinished(t.options.KeepFinished, maxForgetBatch, now))
	t.forgetCancellationsLocked(now)
	t.checkBacklogLocked()
}

// checkBacklogLocked tells the entry VMs which queues' jobs take as much memory as they may:
// more than is left. So one queue alone can take a half, two a third each, and there is always
// room for the jobs of a further one. An owner that took more would be killed, and so would
// each next one, which reads the same jobs.
func (t *term) checkBacklogLocked() {
	if t.options.MaxJobBytes == 0 {
		return
	}
	held, left := t.core.HeldBytes(), t.options.MaxJobBytes
	for _, n := range held {
		left -= n
	}
	t.metrics.heldBytes.Update(float64(t.options.MaxJobBytes - left))
	full := map[string]bool{}
	for queue, n := range held {
		limit := float64(left)
		if t.fullQueues[queue] {
			limit *= backlogResumeShare
		}
		if full[queue] = float64(n) > limit; full[queue] != t.fullQueues[queue] {
			t.options.Log.Warn().Str("event", "queue_backlog").Str("queue", queue).Bool("full", full[queue]).Int64("held_bytes", n).Int64("left_bytes", left).Msg("")
		}
	}
	maps.DeleteFunc(full, func(_ string, full bool) bool { return !full })
	if maps.Equal(full, t.fullQueues) {
		return
	}
	t.fullQueues = full
	t.recordBacklogLocked()
}

// forgetLocked queues the deletion of the records of finished jobs. Until they are
// gone, a new reading of the inbox shows the jobs without their progress.
func (t *term) forgetLocked(ids []string) {
	for _, id := range ids {
		t.deletions = append(t.deletions, deletionOf(id, t.inboxRevisions[id]))
		t.forgotten[id] = t.inboxRevisions[id]
		delete(t.inboxRevisions, id)
	}
}

// earlyCancellation is a cancellation that came before its job, as this owner found it.
type earlyCancellation struct {
	revision int64
	foundAt  time.Duration
}

func (t *term) noteEarlyCancellation(id string, revision int64, now time.Duration) {
	if t.earlyCancellations[id].revision != revision {
		t.earlyCancellations[id] = earlyCancellation{revision, now}
	}
}

// forgetCancellationsLocked queues the deletion of the early cancellations that were kept
// for as long as finished jobs. Their jobs would be accepted from then on.
func (t *term) forgetCancellationsLocked(now time.Duration) {
	for id, e := range t.earlyCancellations {
		if now-e.foundAt > t.options.KeepFinished {
			delete(t.earlyCancellations, id)
			t.deletions = append(t.deletions, []jobstore.Record{{Key: jobstore.JobKey(id), Revision: e.revision}})
		}
	}
}

// deletionOf returns the deletion of all records of a job whose inbox record has the given
// revision. They belong into one transaction: an owner that found the job in the inbox
// without its progress would run it again.
func deletionOf(id string, revision int64) []jobstore.Record {
	return []jobstore.Record{{Key: jobstore.JobKey(id), Revision: revision}, {Key: jobstore.CancelKey(id)}, {Key: jobstore.ProgressKey(id)}}
}

// logPoolsLocked logs the demand and the VMs of each pool, and updates their
// gauges.
func (t *term) logPoolsLocked() {
	vms := t.core.WorkersByService()
	for _, d := range t.core.Demands(boottime.Now()) {
		if d.Spare {
			continue
		}
		target := t.targets[d.Pool]
		t.options.Log.Info().Str("event", "pool_state").Str("service", d.Pool).Int("vms", vms[d.Pool]).Float64("used_cores", d.RunningCores).
			Float64("waiting_cores", d.WaitingCores).Float64("backlog_core_seconds", d.BacklogCoreSeconds).Float64("arriving_cores", d.ArrivalRate).Float64("arrival_growth", d.ArrivalGrowth).Float64("lasting_cores", d.LongRunningCores).
			Int("needed_vms", target.Needed).Int("expected_vms", target.Wanted).Float64("expectation_sure", target.Sure).Float64("arrival_jobs", d.ArrivalJobs).Msg("")
		tags := t.metrics.scope.Tagged(map[string]string{"service": d.Pool})
		tags.Gauge("pool_vms").Update(float64(vms[d.Pool]))
		tags.Gauge("pool_used_cores").Update(d.RunningCores)
		tags.Gauge("pool_waiting_cores").Update(d.WaitingCores)
		tags.Gauge("pool_needed_vms").Update(float64(target.Needed))
		tags.Gauge("pool_expected_vms").Update(float64(target.Wanted))
	}
}

// recordJSONLocked queues a record unless this owner wrote the same value last.
func (t *term) recordJSONLocked(key string, v any) {
	value, err := json.Marshal(v)
	if err != nil {
		t.options.Log.Error().Str("event", "record_not_encoded").Str("key", key).Err(err).Msg("")
		return
	}
	if t.written[key] != string(value) {
		t.queuedRecords[key] = value
	}
}

// recordChangedHoldersLocked queues the record of possible lease holders if these
// have changed, and reports whether they have. While a record is being written, another
// one could not be written before it: the holders are looked at again after that.
func (t *term) recordChangedHoldersLocked() bool {
	if _, queued := t.queuedRecords[jobstore.HoldersKey]; t.queuedHolders != nil && !queued {
		return false
	}
	holders, changed := t.core.HoldersToRecord()
	if !changed {
		return false
	}
	now := boottime.Now()
	t.queueHoldersLocked(holders, func(id string) time.Duration { return t.core.RecordedLeaseTime(id, now) })
	return true
}

// recordHoldersLocked queues the record of the workers that may hold leases, each with the
// longest time that its leases can last once this owner gives no more orders.
func (t *term) recordHoldersLocked(left map[string]time.Duration) {
	t.queueHoldersLocked(slices.Sorted(maps.Keys(left)), func(id string) time.Duration { return left[id] })
}

func (t *term) queueHoldersLocked(ids []string, left func(id string) time.Duration) {
	runs := map[string][]job.ItemID{}
	for _, id := range ids {
		if items, known := t.core.MayRun(id); known {
			runs[id] = items
		}
	}
	value := jobstore.EncodeLeaseHolders(ids, left, runs)
	// The record is written even if the store has it already, because a different
	// one may be queued or being written.
	if !bytes.Equal(t.queuedHolders, value) {
		t.queuedHolders, t.queuedHolderIDs, t.queuedHolderRuns = value, ids, slices.Sorted(maps.Keys(runs))
		t.queuedRecords[jobstore.HoldersKey] = value
	}
}

// batch is the content of one transaction: the progress of jobs, and other
// records. progressRecords holds the records that encode progress. deletions are those
// entries of term.deletions that are among the others.
type batch struct {
	progress        []execution.ProgressWrite
	progressRecords []jobstore.Record
	others          []jobstore.Record
	deletions       [][]jobstore.Record
}

func (b batch) records() []jobstore.Record { return slices.Concat(b.progressRecords, b.others) }

// nextBatch takes the records of the next transaction from the queues.
func (t *term) nextBatch() batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b batch
	queued := len(t.queuedRecords)
	for _, d := range t.deletions[:min(len(t.deletions), reservedRecords)] {
		queued += len(d)
	}
	for _, p := range t.core.TakeWrites(t.writer.MaxRecords() - min(queued, reservedRecords)) {
		value, err := json.Marshal(p.Progress)
		if err != nil {
			t.options.Log.Error().Str("event", "record_not_encoded").Str("job", p.JobID).Err(err).Msg("")
			continue
		}
		b.progress = append(b.progress, p)
		b.progressRecords = append(b.progressRecords, jobstore.Record{Key: jobstore.ProgressKey(p.JobID), Value: value})
	}
	for key, value := range t.queuedRecords {
		if len(b.progress)+len(b.others) == t.writer.MaxRecords() {
			break
		}
		b.others = append(b.others, jobstore.Record{Key: key, Value: value})
		delete(t.queuedRecords, key)
	}
	for len(t.deletions) > 0 && len(b.progress)+len(b.others)+len(t.deletions[0]) <= t.writer.MaxRecords() {
		b.others = append(b.others, t.deletions[0]...)
		b.deletions = append(b.deletions, t.deletions[0])
		t.deletions = t.deletions[1:]
	}
	return b
}

// requeue puts a batch that was not written back into the queues. It keeps records that
// were queued since.
func (t *term) requeue(b batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.ReturnWrites(b.progress)
	for _, r := range b.others {
		if _, newer := t.queuedRecords[r.Key]; r.Value != nil && !newer {
			t.queuedRecords[r.Key] = r.Value
		}
	}
	t.deletions = append(b.deletions, t.deletions...)
}

// writeBatch writes one transaction. It returns false if there was nothing to
// write or the write failed; the records stay queued then.
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
		t.requeue(b)
		if ctx.Err() == nil {
			// The two texts below also apply to batches without progress.
			t.options.Log.Error().Str("event", "progress_not_written").Err(err).Msg("")
			t.end(errors.Wrap(err, "write progress"))
		}
		return false
	}
	t.committed(b)
	return true
}

// loadHoldersRecord passes the record of lease holders of a former owner to the core. Items
// that cannot be decoded leave it unknown what their worker may run.
func (t *term) loadHoldersRecord(value []byte) error {
	holders, err := jobstore.DecodeLeaseHolders(value)
	if err != nil {
		return err
	}
	left, runs := map[string]time.Duration{}, map[string][]job.ItemID{}
	for id, ms := range holders.LeaseMillis {
		left[id] = time.Duration(ms) * time.Millisecond
	}
	for id, names := range holders.MayRun {
		items := make([]job.ItemID, 0, len(names))
		for _, name := range names {
			item, err := job.ParseItemID(name)
			if err != nil {
				t.options.Log.Error().Str("event", "lease_holder_unreadable").Str("worker", id).Err(err).Msg("")
				break
			}
			items = append(items, item)
		}
		if len(items) == len(names) {
			runs[id] = items
		}
	}
	t.core.SetFormerHolders(left, t.startedAt)
	t.core.SetFormerRuns(runs)
	return nil
}

// committed updates the state after a batch was written.
func (t *term) committed(b batch) {
	t.mu.Lock()
	t.core.SetFence(t.writer.Revision())
	t.horizon.observe(t.writer.Revision(), boottime.Now())
	t.core.MarkCommitted(b.progress)
	t.wakeSettledLocked()
	for _, r := range b.others {
		if r.Value == nil {
			delete(t.written, r.Key)
		} else {
			t.written[r.Key] = string(r.Value)
		}
		// An older record of the key may have been on its way when the one that is
		// waited for was queued.
		if p, waiting := t.onWritten[r.Key]; waiting && p.value == string(r.Value) {
			close(p.done)
			delete(t.onWritten, r.Key)
		}
		if r.Key == jobstore.HorizonKey {
			t.horizonWrittenLocked(r.Value)
		}
		if r.Key == jobstore.HoldersKey {
			if bytes.Equal(t.queuedHolders, r.Value) {
				t.core.HoldersRecorded(t.queuedHolderIDs, t.queuedHolderRuns...)
				t.queuedHolders, t.queuedHolderIDs, t.queuedHolderRuns = nil, nil, nil
			} else if holders, err := jobstore.DecodeLeaseHolders(r.Value); err == nil {
				// This process wrote the record, so that it can be decoded.
				all, withItems := holders.IDs()
				t.core.HoldersRecorded(all, withItems...)
			}
		}
	}
	t.mu.Unlock()
	t.wakeRounds()
}
