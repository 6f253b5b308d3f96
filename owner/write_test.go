package owner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
)

// Load pattern: more jobs change than a transaction holds, all the time. Their
// records filled every transaction, and the counts of waiting jobs, lease
// holders and waves were not written any more (niederalm-cut-grown trouble-2:
// counts 5 s old).
func TestProgressLeavesRoomForOtherRecords(t *testing.T) {
	tm := testTerm(t, &fakeMachines{})
	tm.mu.Lock()
	for n := range 3 * tm.writer.MaxRecords() {
		id := fmt.Sprintf("%016x", n)
		tm.core.AddJob(&job.Job{ID: id, Steps: []job.Step{{Count: 1}}}, job.Progress{}, false, time.Now(), boottime.Now())
		tm.core.Cancel(id, boottime.Now())
	}
	tm.records[jobstore.WaitingKey] = []byte("{}")
	tm.mu.Unlock()
	progress, records := tm.nextBatch()
	if len(records) != tm.writer.MaxRecords() || len(progress) == 0 {
		t.Errorf("%d records, %d of them progress; want a full transaction of both", len(records), len(progress))
	}
	if !slices.ContainsFunc(records, func(r jobstore.Record) bool { return r.Key == jobstore.WaitingKey }) {
		t.Error("the counts have no place in the transaction")
	}
}
