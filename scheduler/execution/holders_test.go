package execution

import (
	"slices"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// The record of possible lease holders kept workers whose VMs had been moved
// away, so that each takeover waited for the leases of workers that no longer
// existed.
func TestTerminatedWorkerIsNoHolder(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{})
	b.worker(testWorker("w2", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	start := b.round().Starts[0]
	b.core.StartDone(start, Started, b.now)
	b.core.Terminated(start.Worker.ID, start.Worker.StartMillis, b.now)
	if ids, changed := b.core.HoldersToRecord(); len(ids) != 1 || !changed {
		t.Fatalf("holders %v, changed %v; want only the other worker, and a changed record", ids, changed)
	}
	if o := b.round(); len(o.Starts) != 1 || o.Starts[0].Worker.ID == start.Worker.ID {
		t.Fatalf("starts %v; the item of the terminated worker must start elsewhere at once", o.Starts)
	}
}

func TestWorkerWithLapsedLeaseIsNoHolder(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{})
	b.core.WorkerGone("w1")
	b.roundAfter(2 * testHold)
	if ids, changed := b.core.HoldersToRecord(); len(ids) != 0 || !changed {
		t.Fatalf("holders %v, changed %v; want none, and a changed record", ids, changed)
	}
}

// A worker that a new owner had not contacted was removed from the record of
// lease holders when its registry entry was deleted. The owner after that one
// started the worker's item a second time. Found by TestNoItemRunsTwice.
func TestUncontactedFormerHolderStaysRecorded(t *testing.T) {
	b := newTestbed(t, 1)
	b.core.SetFormerHolders(map[string]time.Duration{"w1": testHold}, b.now)
	b.core.WorkerSeen(testWorker("w1", 1000), b.now)
	b.core.WorkerGone("w1")
	b.roundAfter(time.Second)
	if ids, _ := b.core.HoldersToRecord(); len(ids) != 1 {
		t.Fatalf("holders %v, want w1 until its lease has lapsed", ids)
	}
	b.roundAfter(testHold)
	if ids, _ := b.core.HoldersToRecord(); len(ids) != 0 {
		t.Fatalf("holders %v, want none after the lease", ids)
	}
}

// A worker that came back after its lease had lapsed never got work again. The
// stored record of lease holders still named it, so the record was not written
// again, and only a write marks a worker as recorded. A long-running item was
// unavailable for 16 s.
func TestReturningWorkerGetsWork(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{})
	b.core.WorkerGone("w1")
	b.roundAfter(2 * testHold)
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	b.core.WorkerSeen(testWorker("w1", 1000), b.now)
	b.report("w1", Report{})
	ids, changed := b.core.HoldersToRecord()
	if !changed {
		t.Fatal("the record of holders is not to be written again for the returning worker")
	}
	b.core.HoldersRecorded(ids)
	if o := b.round(); len(o.Starts) != 1 {
		t.Fatalf("%d starts on the worker that returned, want 1", len(o.Starts))
	}
}

// Entry VMs are restarted one after the other while other VMs are moved or under
// maintenance. The next owner waited for the leases of workers that ran nothing
// and no longer existed when it contacted them.
func TestPlannedOwnerChangeDoesNotWaitForIdleWorkers(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{})
	b.worker(testWorker("w2", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{Count: 2}), job.Progress{}, false, wall, b.now)
	for _, s := range b.round().Starts {
		b.core.StartDone(s, Started, b.now)
	}
	b.report("w1", Report{Ended: []EndedItem{{Number: 1, Run: testRun(jobA, 0, 1), Kind: EndDone}}})
	b.core.MarkCommitted(b.core.TakeWrites(1))
	holders := b.core.LeaseHolders(b.now)
	if _, idle := holders["w1"]; idle || len(holders) != 1 {
		t.Errorf("holders %v, want the worker that runs something", holders)
	}
}

// Each planned change of owner restarted the wait for the lease of a silent
// worker. With entry VMs restarted every 2 s, inherited work waited for 10 s.
func TestPlannedOwnerChangePassesOnRemainingLease(t *testing.T) {
	b := newTestbed(t, 1)
	b.core.SetFormerHolders(map[string]time.Duration{"gone": 3 * time.Second}, b.now)
	b.roundAfter(2 * time.Second)
	left := b.core.LeaseHolders(b.now)
	if left["gone"] > time.Second || left["gone"] < 900*time.Millisecond {
		t.Fatalf("%v left of the lease, want 1 s", left["gone"])
	}
	next := New(b.core.options, 2)
	next.SetFormerHolders(left, b.now)
	next.Round(wall, b.now+1100*time.Millisecond)
	if !next.TakeoverSettled() {
		t.Error("the next owner waits longer than the lease lasts")
	}
}

// A wave had 76 VMs down when the owner was lost. The record of lease holders
// still named their workers, so the next owner waited 3.6 s for leases that had
// ended with the workers, and started nothing of what it had inherited.
func TestClosedEmptyWorkerIsNoHolder(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{})
	b.worker(testWorker("w2", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	start := b.round().Starts[0]
	b.core.StartDone(start, Started, b.now)
	b.core.SetClosed("w1", true)
	b.core.SetClosed("w2", true)
	ids, changed := b.core.HoldersToRecord()
	if !changed || len(ids) != 1 || ids[0] != start.Worker.ID {
		t.Fatalf("holders %v, changed %v; want only %s, which runs something", ids, changed, start.Worker.ID)
	}
	b.core.HoldersRecorded(ids)
	b.report(start.Worker.ID, Report{Ended: []EndedItem{{Number: 1, Run: start.Run, Kind: EndDone}}})
	b.core.MarkCommitted(b.core.TakeWrites(1))
	if ids, changed := b.core.HoldersToRecord(); !changed || len(ids) != 0 {
		t.Errorf("holders %v, changed %v; want none once the item has ended", ids, changed)
	}
}

// An end was processed but not committed when its worker, which ran nothing else,
// was left out of the record of lease holders. The next owner did not ask that
// worker, started the item again, and acknowledged the end later. Found by
// TestNoItemRunsTwice.
func TestWorkerWithUncommittedEndIsHolder(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	start := b.round().Starts[0]
	b.core.StartDone(start, Started, b.now)
	b.core.SetClosed("w1", true)
	b.report("w1", Report{Ended: []EndedItem{{Number: 1, Run: start.Run, Kind: EndDone}}})
	if ids, _ := b.core.HoldersToRecord(); len(ids) != 1 {
		t.Errorf("holders %v before the end is committed, want w1", ids)
	}
	if holders := b.core.LeaseHolders(b.now); holders["w1"] == 0 {
		t.Errorf("holders %v at a planned change of owner, want w1", holders)
	}
	b.core.MarkCommitted(b.core.TakeWrites(1))
	if ids, changed := b.core.HoldersToRecord(); len(ids) != 0 || !changed {
		t.Errorf("holders %v, changed %v once the end is committed; want none", ids, changed)
	}
	if holders := b.core.LeaseHolders(b.now); len(holders) != 0 {
		t.Errorf("holders %v at a planned change of owner, want none", holders)
	}
}

// A worker that takes work again has to be in the record before it gets any, also
// if an older record that names it is confirmed only now.
func TestReopenedWorkerIsRecordedBeforeItGetsWork(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	b.core.SetClosed("w1", true)
	b.core.HoldersToRecord()
	b.core.HoldersRecorded([]string{"w1"})
	b.core.SetClosed("w1", false)
	if o := b.round(); len(o.Starts) != 0 {
		t.Fatalf("started %v before the store names the worker", o.Starts)
	}
	ids, changed := b.core.HoldersToRecord()
	if !changed || len(ids) != 1 {
		t.Fatalf("holders %v, changed %v; want w1 in a new record", ids, changed)
	}
	b.core.HoldersRecorded(ids)
	if o := b.round(); len(o.Starts) != 1 {
		t.Errorf("%d starts, want 1 once the store names the worker", len(o.Starts))
	}
}

// Workers of a rack that had lost its connection stayed in the record of lease
// holders, and each later takeover waited for their leases again.
func TestSilentWorkerIsNoHolderOnceItsLeaseHasLapsed(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{})
	b.core.HoldFailed("w1", "no_answer", b.now)
	if ids, _ := b.core.HoldersToRecord(); len(ids) != 1 {
		t.Errorf("holders %v, want w1 while its lease may be in force", ids)
	}
	b.roundAfter(2 * testHold)
	ids, changed := b.core.HoldersToRecord()
	if !changed || len(ids) != 0 {
		t.Fatalf("holders %v, changed %v; want none after the lease", ids, changed)
	}
	b.core.HoldersRecorded(ids)
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	b.core.HoldDone(Hold{Worker: testWorker("w1", 1000)}, Report{Clock: b.now, StartMillis: 1}, b.now, b.now)
	if ids, changed := b.core.HoldersToRecord(); !changed || len(ids) != 1 {
		t.Errorf("holders %v, changed %v; want w1 again once it answers", ids, changed)
	}
}

// A worker was cut off until its lease had lapsed, and then ran nothing. It was
// not called again, so it counted as silent for the rest of the owner's term and
// got no work, although it answered. Three items of a long-running step had no
// other worker and were unavailable for 20 s.
func TestSilentWorkerIsCalledUntilItAnswers(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{LongRunning: true}), job.Progress{}, false, wall, b.now)
	start := b.round().Starts[0]
	b.core.StartDone(start, Started, b.now)
	b.core.HoldFailed("w1", "no_answer", b.now)
	b.roundAfter(2 * testHold)
	h, due := b.core.HoldFor("w1", b.now)
	if !due || !slices.Contains(b.core.WorkersToHold(b.now), "w1") {
		t.Fatal("the silent worker is not to be called any more")
	}
	if h.LongPollTimeout > 0 || h.Deadline > 0 {
		t.Errorf("hold %+v; want an immediate answer and no lease", h)
	}
	b.report("w1", Report{Ended: []EndedItem{{Number: 1, Run: start.Run, Kind: EndLapsed}}})
	b.recordHolders()
	if o := b.round(); len(o.Starts) != 1 {
		t.Errorf("%d starts once the worker answers again, want 1", len(o.Starts))
	}
}

// The registry still had the entry of a worker whose VM had been moved away when
// it sent the worker again. The worker was recorded as a lease holder although
// no owner had ever given it anything, and the next owner waited for its lease.
func TestUncontactedWorkerIsNoHolder(t *testing.T) {
	b := newTestbed(t, 1)
	b.core.SetFormerHolders(map[string]time.Duration{"former": testHold}, b.now)
	b.core.WorkerSeen(testWorker("former", 1000), b.now)
	b.core.WorkerSeen(testWorker("new", 1000), b.now)
	if ids, _ := b.core.HoldersToRecord(); len(ids) != 1 || ids[0] != "former" {
		t.Errorf("holders %v, want only the worker to which a former owner may have given a lease", ids)
	}
	b.report("new", Report{})
	if ids, changed := b.core.HoldersToRecord(); !changed || len(ids) != 2 {
		t.Errorf("holders %v, changed %v; want the contacted worker too, before it gets work", ids, changed)
	}
}

// Guards against a done item that the next owner starts again: after a pause, the planned
// end of a term left out a worker whose lease was over and whose answer was not read yet.
func TestWorkerWhoseAnswerIsNotReadStaysALeaseHolder(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	b.core.StartDone(b.round().Starts[0], Started, b.now)
	b.core.HoldFor("w1", b.now)
	b.roundAfter(2 * testHold)
	if left := b.core.LeaseHolders(b.now)["w1"]; left == 0 {
		t.Error("w1 is left out although it may list the run as done")
	}
}

// runsOfHolders returns the runs that a record of lease holders lists.
func runsOfHolders(c *Core, ids []string) map[string][]job.ItemID {
	runs := map[string][]job.ItemID{}
	for _, id := range ids {
		if items, ok := c.MayRun(id); ok {
			runs[id] = items
		}
	}
	return runs
}

// An entry VM was removed 3 s after 20 workers had gone for good. The next owner knew only
// that they might hold leases, and started none of the inherited work for 3.6 s, with a
// third of the pool idle.
func TestTakeoverWaitsOnlyForItemsOfSilentWorkers(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{})
	b.worker(testWorker("w2", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{Count: 3, Needs: job.Resources{MilliCPU: 1000}}), job.Progress{}, false, wall, b.now)
	for _, s := range b.round().Starts {
		b.core.StartDone(s, Started, b.now)
	}
	b.core.HoldFailed("w1", "no_answer", b.now)
	ids, changed := b.core.HoldersToRecord()
	if !changed {
		t.Fatal("the record is not to be written again for a worker that fell silent")
	}
	runs := runsOfHolders(b.core, ids)
	if len(runs) != 1 || len(runs["w1"]) != 1 {
		t.Fatalf("runs %v, want the one of w1", runs)
	}

	next := newTestbed(t, 1)
	next.core.SetFormerHolders(map[string]time.Duration{"w1": testHold, "w2": testHold}, next.now)
	next.core.SetFormerRuns(runs)
	next.core.AddJob(oneStep(jobA, job.Step{Count: 3, Needs: job.Resources{MilliCPU: 1000}}), job.Progress{}, true, wall, next.now)
	next.worker(testWorker("w3", 3000), Report{})
	if o := next.round(); len(o.Starts) != 0 {
		t.Fatalf("starts %v before w2, whose runs are not known, was contacted", o.Starts)
	}
	next.worker(testWorker("w2", 1000), Report{Running: []RunningItem{{Run: testRun(jobA, 1, 1)}}})
	o := next.round()
	if len(o.Starts) != 1 || o.Starts[0].Item == runs["w1"][0] {
		t.Fatalf("starts %v, want the one item that no worker can run", o.Starts)
	}
	if o := next.roundAfter(2 * testHold); len(o.Starts) != 1 || o.Starts[0].Item != runs["w1"][0] {
		t.Fatalf("starts %v after the lease, want that of the item of w1", o.Starts)
	}
}

// A worker that answers again gets no work before the store has a record that does not list
// its runs: the next owner would start the new ones a second time.
func TestReturningWorkerWaitsForRecordWithoutRuns(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 2000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{Count: 1, Needs: job.Resources{MilliCPU: 1000}}), job.Progress{}, false, wall, b.now)
	start := b.round().Starts[0]
	b.core.StartDone(start, Started, b.now)
	b.core.HoldFailed("w1", "no_answer", b.now)
	ids, _ := b.core.HoldersToRecord()
	b.core.HoldersRecorded(ids, "w1")
	b.core.AddJob(oneStep(jobB, job.Step{Count: 1, Needs: job.Resources{MilliCPU: 1000}}), job.Progress{}, false, wall, b.now)
	b.report("w1", Report{Running: []RunningItem{{Run: start.Run}}})
	if o := b.core.Round(wall, b.now); len(o.Starts) != 0 {
		t.Fatalf("starts %v while the store's record lists the runs of the worker", o.Starts)
	}
	ids, changed := b.core.HoldersToRecord()
	if !changed || len(runsOfHolders(b.core, ids)) != 0 {
		t.Fatalf("changed %v, runs %v; want a record without runs", changed, runsOfHolders(b.core, ids))
	}
	// A record that was on its way lists the runs.
	b.core.HoldersRecorded(ids, "w1")
	if o := b.core.Round(wall, b.now); len(o.Starts) != 0 {
		t.Fatalf("starts %v after an older record", o.Starts)
	}
	b.core.HoldersRecorded(ids)
	if o := b.core.Round(wall, b.now); len(o.Starts) != 1 {
		t.Fatalf("%d starts after the record without runs, want 1", len(o.Starts))
	}
}

// Guards against a list of runs without those whose ends the store does not have: the next
// owner would start these items again, although they are done.
func TestRunsAreUnknownUntilEndsAreCommitted(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	start := b.round().Starts[0]
	b.core.StartDone(start, Started, b.now)
	b.report("w1", Report{Ended: []EndedItem{{Number: 1, Run: start.Run, Kind: EndDone}}})
	b.core.HoldFailed("w1", "timeout", b.now)
	if items, known := b.core.MayRun("w1"); known {
		t.Errorf("runs %v are known before the end is committed", items)
	}
	b.core.MarkCommitted(b.core.TakeWrites(10))
	if items, known := b.core.MayRun("w1"); !known || len(items) > 0 {
		t.Errorf("runs %v, known %t, want none", items, known)
	}
}

// Guards against inherited work that waits for a worker that fell silent during a planned change
// of owner: the former owner knew what runs there, and its last record did not say so.
func TestPlannedOwnerChangeListsTheRunsOfAllWorkers(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{})
	b.worker(testWorker("w2", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{Count: 3}), job.Progress{}, false, wall, b.now)
	for _, s := range b.round().Starts {
		b.core.StartDone(s, Started, b.now)
	}
	left := b.core.LeaseHolders(b.now)
	next := newTestbed(t, 1)
	next.core.SetFormerHolders(left, next.now)
	next.core.SetFormerRuns(runsOfHolders(b.core, []string{"w1", "w2"}))
	next.core.AddJob(oneStep(jobA, job.Step{Count: 3}), job.Progress{}, true, wall, next.now)
	next.worker(testWorker("w3", 3000), Report{})
	if o := next.round(); len(o.Starts) != 1 || o.Starts[0].Item.Index != 2 {
		t.Fatalf("starts %v, want the one item that neither w1 nor w2 can run", o.Starts)
	}
	if o := next.roundAfter(2 * testHold); len(o.Starts) != 2 {
		t.Fatalf("starts %v after the leases, want the two other items", o.Starts)
	}
}
