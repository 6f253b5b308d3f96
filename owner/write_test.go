package owner

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/store"
	"dotterelhead.example/dotterelhead/store/storetest"
	"dotterelhead.example/dotterelhead/telemetry"
)

// Load pattern: more jobs change than a transaction holds, all the time. Their
// progress filled every transaction, and the records of waiting jobs, lease
// holders and waves were not written any more; the counts of waiting jobs were
// 5 s old.
func TestProgressLeavesRoomForOtherRecords(t *testing.T) {
	tm := testTerm(t, &fakeVMs{})
	tm.mu.Lock()
	for n := range 3 * tm.writer.MaxRecords() {
		id := fmt.Sprintf("%016x", n)
		tm.core.AddJob(&job.Job{ID: id, Steps: []job.Step{{Count: 1}}}, job.Progress{}, false, time.Now(), boottime.Now())
		tm.core.Cancel(id, boottime.Now())
	}
	tm.queuedRecords[jobstore.WaitingKey] = []byte("{}")
	tm.mu.Unlock()
	b := tm.nextBatch()
	records := b.records()
	if len(records) != tm.writer.MaxRecords() || len(b.progress) == 0 {
		t.Errorf("%d records, %d of them progress; want a full transaction of both", len(records), len(b.progress))
	}
	if !slices.ContainsFunc(records, func(r jobstore.Record) bool { return r.Key == jobstore.WaitingKey }) {
		t.Error("the counts have no place in the transaction")
	}
}

// Load pattern: there are always new records to write, for longer than the
// maximum age of the counts of waiting jobs. The counts were written only once
// nothing else was left: 0 jobs were reported as waiting while 7 waited.
func TestCountsAreWrittenUnderLoad(t *testing.T) {
	tm := testTerm(t, &fakeVMs{})
	var stopped atomic.Bool
	t.Cleanup(func() { stopped.Store(true) })
	written := make(chan struct{}, 1)
	tm.mu.Lock()
	transactions := 0
	tm.options.Store.(*storetest.Store).OutcomeOf = func(tx store.Transaction) storetest.Outcome {
		time.Sleep(time.Millisecond)
		if slices.ContainsFunc(tx.Writes, func(w store.Write) bool { return w.Key == jobstore.WaitingKey }) {
			signal(written)
		}
		if !stopped.Load() {
			transactions++
			tm.mu.Lock()
			tm.queuedRecords[fmt.Sprintf("load/%d", transactions)] = []byte("{}")
			tm.mu.Unlock()
		}
		return storetest.Applied
	}
	tm.queuedRecords["load/0"] = []byte("{}")
	tm.mu.Unlock()
	tm.wakeWriter()
	select {
	case <-written:
	case <-time.After(3 * summaryEvery):
		t.Errorf("the counts are not written within %v", 3*summaryEvery)
	}
}

// Guards against records that a planned end of a term leaves unwritten: the write in
// progress was broken off, and the last writes left its records out. The next owner
// started what was done, and kept finished jobs.
func TestInterruptedWriteIsRepeatedAtTheEndOfTheTerm(t *testing.T) {
	ctx := context.Background()
	s := storetest.New()
	o := New(Options{Node: "entry-0", Store: s, Log: telemetry.Discard()})
	ownership, err := jobstore.Acquire(ctx, s, o.claim(), time.Minute)
	if err != nil || ownership == nil {
		t.Fatalf("not acquired: %v", err)
	}
	tm := newTerm(o, ownership, boottime.Now())
	tm.writer = jobstore.NewWriter(s, ownership.Fence, nil)
	const finished = "00000000000000bb"
	if _, err := s.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: jobstore.JobKey(finished), Value: []byte("{}")}}}); err != nil {
		t.Fatal(err)
	}
	tm.core.AddJob(&job.Job{ID: testJob, Queue: "q", Service: "a", Steps: []job.Step{{Count: 1}}}, job.Progress{}, false, time.Now(), boottime.Now())
	tm.core.Cancel(testJob, boottime.Now())
	tm.queuedRecords["interrupted"] = []byte("1")
	tm.queuedRecords["changed"] = []byte("old")
	tm.forgetLocked([]string{finished})
	s.OutcomeOf = func(store.Transaction) storetest.Outcome { return storetest.Refused }
	ended, cancel := context.WithCancel(ctx)
	cancel()
	if tm.writeBatch(ended) {
		t.Fatal("written after the end")
	}
	s.OutcomeOf = nil
	tm.queuedRecords["changed"] = []byte("new")
	tm.flush()
	for key, want := range map[string]string{jobstore.ProgressKey(testJob): `"cancelled"`, "interrupted": "1", "changed": "new"} {
		if item, err := s.Get(ctx, key); err != nil || !strings.Contains(string(item.Value), want) {
			t.Errorf("%s after the last writes: %q, %v; want %s", key, item.Value, err, want)
		}
	}
	if _, err := s.Get(ctx, jobstore.JobKey(finished)); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("the finished job is not deleted: %v", err)
	}
}

// Guards against a record of lease holders that the next owner cannot decode, or that names
// less time than is left: it would not wait for the leases.
func TestRecordOfHoldersIsDecoded(t *testing.T) {
	left := map[string]time.Duration{"i-1": 1500 * time.Microsecond, `a"b\c<d>`: time.Second, "": 0, "é": time.Millisecond}
	ids := slices.Sorted(maps.Keys(left))
	runs := map[string][]job.ItemID{ids[0]: {{Job: testJob, Step: 1, Index: 2}}, ids[1]: nil}
	value := jobstore.EncodeLeaseHolders(ids, func(id string) time.Duration { return left[id] }, runs)
	record, err := jobstore.DecodeLeaseHolders(value)
	if err != nil {
		t.Fatalf("decode %s: %v", value, err)
	}
	if items := record.MayRun[ids[0]]; len(record.MayRun) != 2 || len(items) != 1 || items[0] != testJob+".0.1.2" {
		t.Errorf("items %v, want those of two workers", record.MayRun)
	}
	decoded := record.LeaseMillis
	for id, d := range left {
		if got, known := decoded[id]; !known || time.Duration(got)*time.Millisecond < d {
			t.Errorf("%q has %d ms, want at least %v", id, got, d)
		}
	}
	if len(decoded) != len(left) {
		t.Errorf("%d workers, want %d", len(decoded), len(left))
	}
}
