package owner

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/store"
	"dotterelhead.example/dotterelhead/store/storetest"
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
