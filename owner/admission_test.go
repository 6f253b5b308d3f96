package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/scheduler/execution"
	"dotterelhead.example/dotterelhead/store"
	"dotterelhead.example/dotterelhead/store/storetest"
)

// overloadedTerm returns a term with a pool of one core and 40 jobs of 1 s that wait.
func overloadedTerm(t *testing.T) *term {
	tm := testTerm(t, &fakeVMs{})
	organisations := job.NewOrganisations()
	organisations.Add(job.Organisation{Name: "o", Weight: 1}, nil)
	tm.testWorker("w1")
	tm.mu.Lock()
	defer tm.mu.Unlock()
	tm.core.SetManifest(&job.Manifest{
		Services: []job.Service{{Name: "a"}}, Organisations: organisations,
		Queues: []job.Queue{{Name: "q", Service: "a", Attempts: 1, LatencyFactor: 1, TargetLatency: 600 * time.Millisecond}},
	})
	for n := range 40 {
		step := job.Step{Count: 1, Needs: job.Resources{MilliCPU: 1000, MemoryMB: 1}, Estimate: time.Second}
		tm.core.AddJob(&job.Job{ID: fmt.Sprintf("%016x", n+1), Queue: "q", Organisation: "o", Steps: []job.Step{step}}, job.Progress{}, false, time.Now(), boottime.Now())
	}
	tm.core.MarkDue(time.Now(), boottime.Now())
	return tm
}

// refusalsInStore returns the refusals that the store has after the term's last writes.
func refusalsInStore(t *testing.T, tm *term) []jobstore.LoadRefusal {
	t.Helper()
	for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(writeGap) {
		item, err := tm.options.Store.Get(context.Background(), jobstore.BacklogKey)
		if err == nil {
			b, err := jobstore.DecodeBacklog(item.Value)
			if err != nil {
				t.Fatal(err)
			}
			return b.Refusals
		}
		if time.Now().After(deadline) {
			return nil
		}
	}
}

// Guards against an owner that refuses jobs before it knows which VMs a pool can get, or
// although others' idle VMs can do the work in time.
func TestNothingIsRefusedWhileVMsCanBeHad(t *testing.T) {
	for name, free := range map[string]*execution.FreeVMs{
		"not listed yet": nil, "spare VMs": {Idle: map[string]int{"spare": 100}}, "VMs move in": {Arriving: map[string]int{"a": 100}},
	} {
		tm := overloadedTerm(t)
		tm.mu.Lock()
		tm.admission.free = free
		tm.checkAdmissionLocked(boottime.Now())
		refused := len(tm.admission.refused)
		tm.mu.Unlock()
		if refused > 0 {
			t.Errorf("%s: jobs are refused", name)
		}
	}
}

// Guards against a decision that is lost when the store fails before it has the record, and
// against records that are written more often than every 200 ms.
func TestRefusalIsRecordedAfterTheStoreFailed(t *testing.T) {
	tm := overloadedTerm(t)
	var down atomic.Bool
	down.Store(true)
	tm.options.Store.(*storetest.Store).OutcomeOf = func(store.Transaction) storetest.Outcome {
		if down.Load() {
			return storetest.Refused
		}
		return storetest.Applied
	}
	tm.mu.Lock()
	tm.admission.free = &execution.FreeVMs{}
	now := boottime.Now()
	tm.checkAdmissionLocked(now)
	renewal := tm.admission.renewal
	tm.checkAdmissionLocked(now + admissionEvery/2)
	again := tm.admission.renewal
	tm.mu.Unlock()
	if renewal == 0 || again != renewal {
		t.Fatalf("renewal %d, and %d after half the shortest pause", renewal, again)
	}
	time.Sleep(5 * writeGap)
	down.Store(false)
	tm.wakeWriter()
	if refusals := refusalsInStore(t, tm); len(refusals) != 1 || refusals[0].Queue != "q" || refusals[0].After <= 0 {
		t.Errorf("refusals %+v in the store, want one of queue q", refusals)
	}
}
