package owner

import (
	"context"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/scheduler/capacity"
	"dotterelhead.example/dotterelhead/store"
)

// Guards against a new owner that learns the bursts of the pools anew, one that ends because
// of a record that it cannot read, and a record that is written with every plan.
func TestBurstsAreReadByTheNextOwner(t *testing.T) {
	demands := []capacity.CoreDemand{{Pool: "a", CoresPerVM: 16, WaitingCores: 800, BacklogCoreSeconds: 800}}
	vms := []capacity.ManagedVM{{ID: "m1", Pool: "a"}}
	tm, rb, now := testTerm(t, &fakeVMs{}), newRebalancing(0), boottime.Now()
	rb.planner.Plan(now, demands, vms)
	tm.mu.Lock()
	tm.recordBurstsLocked(rb, demands, now)
	written := tm.queuedRecords[jobstore.BurstsKey]
	delete(tm.queuedRecords, jobstore.BurstsKey)
	tm.recordBurstsLocked(rb, demands, now+burstsEvery/2)
	if tm.queuedRecords[jobstore.BurstsKey] != nil {
		t.Error("the record is written more often than every burstsEvery")
	}
	tm.mu.Unlock()
	for name, c := range map[string]struct {
		value []byte
		known int
	}{
		"written by an owner": {written, 1},
		"no JSON":             {[]byte("{"), 0},
		"wrong types":         {[]byte(`[{"p":1}]`), 0},
		"too large":           {append(make([]byte, maxBurstsBytes), written...), 0},
	} {
		next, nextRB := testTerm(t, &fakeVMs{}), newRebalancing(0)
		ctx := context.Background()
		if _, err := next.options.Store.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: jobstore.BurstsKey, Value: c.value}}}); err != nil {
			t.Fatal(err)
		}
		if _, _, err := next.load(ctx); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		next.restoreBursts(nextRB)
		if n := len(nextRB.planner.Learned([]string{"a"}, boottime.Now(), time.Now())); n != c.known {
			t.Errorf("%s: bursts of %d pools known, want %d", name, n, c.known)
		}
	}
}
