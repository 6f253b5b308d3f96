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
)

// Guards against owners that are killed for the memory of accepted jobs, one after the
// other, and against a queue whose jobs leave no room for those of others: the entry VMs
// have to hear which queues are full, also from a next owner, and which no longer are.
func TestOwnerTellsWhichQueuesAreFull(t *testing.T) {
	tm := testTerm(t, &fakeVMs{})
	ctx := context.Background()
	s := tm.options.Store
	// One job takes at least 1,000 bytes, so that 20 take more than half of the bound.
	const many = 20
	for n := range many + 1 {
		j := job.Job{Queue: "many", Service: "a", Steps: []job.Step{{Count: 1}}}
		if n == many {
			j.Queue = "one"
		}
		value, err := json.Marshal(j)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: jobstore.JobKey(fmt.Sprintf("%016x", n)), Value: value}}}); err != nil {
			t.Fatal(err)
		}
	}
	waitForBacklog := func(want ...string) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(writeGap) {
			item, err := s.Get(ctx, jobstore.BacklogKey)
			if err == nil {
				if b, err := jobstore.DecodeBacklog(item.Value); err == nil && slices.Equal(b.FullQueues, want) {
					return
				}
			}
			if time.Now().After(deadline) {
				t.Fatalf("record %q, error %v, want %v", item.Value, err, want)
			}
		}
	}
	tm.mu.Lock()
	tm.options.MaxJobBytes = 2 * many * 1000
	tm.mu.Unlock()
	if _, _, err := tm.load(ctx); err != nil {
		t.Fatal(err)
	}
	waitForBacklog("many")
	tm.mu.Lock()
	for n := range many - 1 {
		tm.core.Cancel(fmt.Sprintf("%016x", n), boottime.Now())
	}
	tm.mu.Unlock()
	tm.wakeWriter()
	waitForBacklog()
}
