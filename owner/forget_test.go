package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/store"
	"dotterelhead.example/dotterelhead/store/storetest"
)

// finishedTerm returns a term whose store and state machine have count jobs that have
// been completed.
func finishedTerm(t *testing.T, count int) *term {
	t.Helper()
	tm := testTerm(t, &fakeVMs{})
	ctx := context.Background()
	for n := range count {
		id := fmt.Sprintf("%016x", n)
		value, err := json.Marshal(job.Job{Queue: "q", Service: "a", Steps: []job.Step{{Count: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		progress, err := json.Marshal(job.Progress{Phase: job.Completed})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tm.options.Store.Commit(ctx, store.Transaction{Writes: []store.Write{
			{Key: jobstore.JobKey(id), Value: value}, {Key: jobstore.ProgressKey(id), Value: progress},
		}}); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := tm.load(ctx); err != nil {
		t.Fatal(err)
	}
	return tm
}

func (t *term) waitingJobs() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Waiting()["q"]
}

// Guards against a finished job that runs again: its progress was deleted in one
// transaction and its inbox record in a later one, and an owner that took over in
// between found an accepted job of which nothing had run.
func TestFinishedJobIsDeletedAtOnce(t *testing.T) {
	const count = 3 * maxForgetBatch
	tm := finishedTerm(t, count)
	tm.mu.Lock()
	tm.options.Store.(*storetest.Store).OutcomeOf = func(tx store.Transaction) storetest.Outcome {
		for n := range count {
			id := fmt.Sprintf("%016x", n)
			if slices.Contains(tx.Deletes, jobstore.ProgressKey(id)) != slices.Contains(tx.Deletes, jobstore.JobKey(id)) {
				t.Errorf("a transaction deletes only a part of the records of job %s: %v", id, tx.Deletes)
			}
		}
		return storetest.Applied
	}
	// More records than fit into one transaction beside the deletions.
	for n := range jobstore.NewWriter(nil, 0, nil).MaxRecords() {
		tm.queuedRecords[fmt.Sprintf("%sload/%d", jobstore.OwnerPrefix, n)] = []byte("{}")
	}
	tm.mu.Unlock()
	deadline := time.Now().Add(10 * time.Second)
	for {
		tm.summarize()
		tm.wakeWriter()
		items, _, err := store.ReadAll(context.Background(), tm.options.Store, jobstore.InboxPrefix)
		if err == nil && len(items) == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d inbox records are left of finished jobs (error %v)", len(items), err)
		}
		time.Sleep(writeGap)
	}
}

// Guards against a finished job that runs again: the owner had dropped it from memory,
// its deletion was not in the store yet, and the inbox was read anew after its history
// had been compacted.
func TestFinishedJobDoesNotComeBackFromTheInbox(t *testing.T) {
	tm := finishedTerm(t, 1)
	s := tm.options.Store.(*storetest.Store)
	items, revision, err := store.ReadAll(context.Background(), s, jobstore.InboxPrefix)
	if err != nil || len(items) != 1 {
		t.Fatalf("%d inbox records, error %v", len(items), err)
	}
	tm.mu.Lock()
	removed := tm.core.RemoveFinished(0, maxForgetBatch, boottime.Now()+time.Second)
	tm.forgetLocked(removed)
	tm.mu.Unlock()
	if len(removed) != 1 {
		t.Fatalf("removed %v, want the finished job", removed)
	}
	tm.resetInbox(items, revision)
	if n := tm.waitingJobs(); n != 0 {
		t.Errorf("%d finished jobs wait to run again", n)
	}
	tm.resetInbox(nil, revision+1)
	if len(tm.forgotten) > 0 {
		t.Errorf("%v are still remembered after the inbox was read without them", tm.forgotten)
	}
}

// Guards against an accepted job that is never run: its ID is that of a finished job, and
// the inbox was read anew after the history with the deletion of that one was compacted.
func TestNewJobWithTheIDOfAForgottenOneIsTaken(t *testing.T) {
	tm := finishedTerm(t, 1)
	ctx := context.Background()
	former, _, err := store.ReadAll(ctx, tm.options.Store, jobstore.InboxPrefix)
	if err != nil || len(former) != 1 {
		t.Fatalf("%d inbox records, error %v", len(former), err)
	}
	tm.mu.Lock()
	tm.forgetLocked(tm.core.RemoveFinished(0, maxForgetBatch, boottime.Now()+time.Second))
	tm.mu.Unlock()
	tm.wakeWriter()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(writeGap) {
		if _, err := tm.options.Store.Get(ctx, former[0].Key); err != nil {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the finished job is not deleted")
		}
	}
	if _, err := tm.options.Store.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: former[0].Key, Value: former[0].Value}}}); err != nil {
		t.Fatal(err)
	}
	items, revision, err := store.ReadAll(ctx, tm.options.Store, jobstore.InboxPrefix)
	if err != nil || len(items) != 1 || items[0].Revision == former[0].Revision {
		t.Fatalf("inbox records %v, error %v; want the new job", items, err)
	}
	tm.resetInbox(former, former[0].Revision)
	if n := tm.waitingJobs(); n != 0 {
		t.Errorf("%d finished jobs wait to run again", n)
	}
	tm.resetInbox(items, revision)
	if n := tm.waitingJobs(); n != 1 {
		t.Errorf("%d jobs wait to run, want the new job", n)
	}
}

// Guards against cancellations of unknown jobs that fill the store, and against a new job
// that is deleted in place of the cancellation that came before it.
func TestEarlyCancellationsAreDeletedInTime(t *testing.T) {
	tm := testTerm(t, &fakeVMs{})
	ctx := context.Background()
	s := tm.options.Store.(*storetest.Store)
	const count = 2 * maxForgetBatch
	for n := range count {
		key := jobstore.JobKey(fmt.Sprintf("%016x", n))
		if _, err := s.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: key, Value: jobstore.EarlyCancellation()}}}); err != nil {
			t.Fatal(err)
		}
	}
	items, revision, err := store.ReadAll(ctx, s, jobstore.InboxPrefix)
	if err != nil {
		t.Fatal(err)
	}
	keep := func(d time.Duration) {
		tm.mu.Lock()
		defer tm.mu.Unlock()
		tm.options.KeepFinished = d
	}
	keep(time.Hour)
	tm.resetInbox(items, revision)
	tm.summarize()
	tm.mu.Lock()
	early, jobs := len(tm.deletions), len(tm.inboxRevisions)
	tm.mu.Unlock()
	if early > 0 || jobs > 0 {
		t.Fatalf("%d cancellations are deleted at once, %d are taken for jobs", early, jobs)
	}
	// Another process has replaced the first one by a job meanwhile.
	value, err := json.Marshal(job.Job{Queue: "q", Service: "a", Steps: []job.Step{{Count: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: items[0].Key, Value: value}}}); err != nil {
		t.Fatal(err)
	}
	keep(0)
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(writeGap) {
		tm.summarize()
		tm.wakeWriter()
		left, _, err := store.ReadAll(ctx, s, jobstore.InboxPrefix)
		if err != nil {
			t.Fatal(err)
		}
		if len(left) == 1 && left[0].Key == items[0].Key {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d records are left, want that of the new job", len(left))
		}
	}
}

// Guards against finished jobs that pile up in the store and in the owner's memory, because
// more jobs end than are deleted. The largest site submits 58 jobs a second.
func TestFinishedJobsAreDeletedAsFastAsTheyEnd(t *testing.T) {
	const jobsPerSecond, summaries = 58, 4
	count := int(jobsPerSecond * (summaries * summaryEvery).Seconds())
	tm := finishedTerm(t, count)
	for range summaries {
		tm.summarize()
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(writeGap) {
		tm.wakeWriter()
		items, _, err := store.ReadAll(context.Background(), tm.options.Store, jobstore.InboxPrefix)
		if err == nil && len(items) == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d finished jobs are left (error %v)", len(items), count, err)
		}
	}
}
