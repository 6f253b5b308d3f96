package execution

import (
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// expectDone fails unless the job of one item is completed, nothing of it is started
// and its progress is to be written before the end is acknowledged to the worker.
func (b *testbed) expectDone(id, worker string) {
	b.Helper()
	if o := b.roundAfter(time.Second); len(o.Starts) > 0 {
		b.Fatalf("started %v although the item is done", o.Starts[0].Run)
	}
	if h, ok := b.core.HoldFor(worker, b.now); ok && h.AcknowledgedEnd > 0 {
		b.Fatalf("end %d is acknowledged before the progress that follows from it is committed", h.AcknowledgedEnd)
	}
	writes := b.core.TakeWrites(10)
	if len(writes) != 1 || writes[0].JobID != id || writes[0].Progress.Phase != job.Completed {
		b.Fatalf("writes %+v, want job %s as completed", writes, id)
	}
	b.core.MarkCommitted(writes)
	if h, _ := b.core.HoldFor(worker, b.now); h.AcknowledgedEnd != 1 {
		b.Fatalf("end %d is acknowledged after the commit, want 1", h.AcknowledgedEnd)
	}
}

// Guards against an item that starts again after an acknowledged end: a new owner had
// adopted one copy of a speculative item, dropped the end of the other one and
// acknowledged it, and started the item again when the adopted copy was lost.
func TestDoneEndCountsBesideAnAdoptedCopy(t *testing.T) {
	b := newTestbed(t, 1)
	b.core.SetFormerHolders(map[string]time.Duration{"w1": testHold, "w2": testHold}, b.now)
	b.core.AddJob(oneStep(jobA, job.Step{Speculative: true}), job.Progress{Phase: job.Running}, true, wall, b.now)
	b.worker(testWorker("w1", 1000), Report{Running: []RunningItem{{Run: testRun(jobA, 0, 1), Percent: 10}}})
	b.worker(testWorker("w2", 1000), Report{Ended: []EndedItem{{Number: 1, Run: testRun(jobA, 0, 2), Kind: EndDone}}})
	b.round()
	b.report("w1", Report{Ended: []EndedItem{{Number: 1, Run: testRun(jobA, 0, 1), Kind: EndLapsed}}})
	b.expectDone(jobA, "w2")
}

// Guards against an item that starts again after an acknowledged end: the owner had
// taken the lease of its worker to have lapsed and had started it elsewhere when the
// worker listed its end as done, and started it a third time when the second run was
// lost.
func TestDoneEndCountsAfterTheItemWasStartedElsewhere(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	first := b.round().Starts[0]
	b.core.StartDone(first, Started, b.now)
	b.core.TakeWrites(10)
	b.core.HoldFailed("w1", "no_answer", b.now)
	b.worker(testWorker("w2", 1000), Report{})
	second := b.roundAfter(2 * testHold).Starts
	if len(second) != 1 || second[0].Worker.ID != "w2" {
		t.Fatalf("starts %v after the lease has lapsed, want one on w2", second)
	}
	b.core.StartDone(second[0], StartUnknown, b.now)
	b.report("w1", Report{Ended: []EndedItem{{Number: 1, Run: first.Run, Kind: EndDone}}})
	stops := b.round().Stops
	if len(stops) != 1 || stops[0].Run != second[0].Run {
		t.Fatalf("stops %v, want the second run to end, which is not needed any more", stops)
	}
	b.core.StopDone(stops[0], true, b.now)
	b.now += time.Second
	b.report("w2", Report{})
	b.expectDone(jobA, "w1")
}

// Guards against members of a gang that go on, or start again, after an end as done of
// an earlier run of the gang, which the owner had taken to be lost.
func TestDoneEndOfAnEarlierRunStopsTheGang(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{})
	b.worker(testWorker("w2", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{Count: 2, Gang: true}), job.Progress{}, false, wall, b.now)
	first := b.round().Starts
	if len(first) != 2 {
		t.Fatalf("starts %v, want both members", first)
	}
	for _, s := range first {
		b.core.StartDone(s, Started, b.now)
		b.core.HoldFailed(s.Worker.ID, "no_answer", b.now)
	}
	b.core.TakeWrites(10)
	b.worker(testWorker("w3", 2000), Report{})
	second := b.roundAfter(2 * testHold).Starts
	if len(second) != 2 {
		t.Fatalf("starts %v after the leases have lapsed, want both members on w3", second)
	}
	for _, s := range second {
		b.core.StartDone(s, Started, b.now)
	}
	done := first[0]
	b.report(done.Worker.ID, Report{Ended: []EndedItem{{Number: 1, Run: done.Run, Kind: EndDone}}})
	stops := b.round().Stops
	if len(stops) != 2 || stops[0].Worker.ID != "w3" || stops[1].Worker.ID != "w3" {
		t.Fatalf("stops %v, want both members of the later run on w3", stops)
	}
	b.report("w3", Report{Ended: []EndedItem{
		{Number: 1, Run: second[0].Run, Kind: EndStopped}, {Number: 2, Run: second[1].Run, Kind: EndBroken},
	}})
	b.expectDone(jobA, done.Worker.ID)
}

// A new owner took a worker that had listed its first 500 ends to be settled, and started
// the items whose ends as done the worker had not listed yet.
func TestTakeoverWaitsForAllEnds(t *testing.T) {
	const count = maxEndsPerReport + 1
	b := newTestbed(t, 1)
	b.core.SetFormerHolders(map[string]time.Duration{"w1": testHold}, b.now)
	b.core.AddJob(oneStep(jobA, job.Step{Count: count}), job.Progress{Phase: job.Running}, true, wall, b.now)
	var ends []EndedItem
	for n := range count {
		ends = append(ends, EndedItem{Number: int64(n + 1), Run: testRun(jobA, n, 1), Kind: EndDone})
	}
	b.worker(testWorker("w1", 100_000), Report{Ended: ends[:maxEndsPerReport]})
	if o := b.round(); len(o.Starts) > 0 {
		t.Fatalf("started %v, whose end as done is listed next", o.Starts[0].Run)
	}
	b.core.MarkCommitted(b.core.TakeWrites(1))
	b.report("w1", Report{Ended: ends[maxEndsPerReport:]})
}

// A worker whose ends were not committed counted as empty, and its VM was taken for
// maintenance. If the owner was lost before the commit, done work ran again.
func TestWorkerWithUncommittedEndsIsNotEmpty(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	first := b.round().Starts[0]
	b.core.StartDone(first, Started, b.now)
	b.core.SetClosed("w1", true)
	b.report("w1", Report{Ended: []EndedItem{{Number: 1, Run: first.Run, Kind: EndDone}}})
	if b.core.Empty("w1") {
		t.Error("w1 counts as empty although it alone knows that an item is done")
	}
}

// The next owner did not wait for a worker with ends that were not committed if the
// worker had no registry entry and its lease had lapsed.
func TestRemovedWorkerWithUncommittedEndsStaysRecorded(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	first := b.round().Starts[0]
	b.core.StartDone(first, Started, b.now)
	b.report("w1", Report{Ended: []EndedItem{{Number: 1, Run: first.Run, Kind: EndDone}}})
	b.core.WorkerGone("w1")
	b.roundAfter(2 * testHold)
	if ids, _ := b.core.HoldersToRecord(); len(ids) != 1 {
		t.Errorf("holders %v, want w1, whose end is not committed", ids)
	}
}

// A new owner went on once the former lease had lapsed, although the worker still answered
// and had not listed all of its ends: done items started again.
func TestTakeoverWaitsForAllEndsOfAWorkerThatAnswers(t *testing.T) {
	const count = maxEndsPerReport + 1
	b := newTestbed(t, 1)
	b.core.SetFormerHolders(map[string]time.Duration{"w1": testHold}, b.now)
	b.core.AddJob(oneStep(jobA, job.Step{Count: count}), job.Progress{Phase: job.Running}, true, wall, b.now)
	b.core.AddJob(oneStep(jobB, job.Step{}), job.Progress{Phase: job.Running}, true, wall, b.now)
	r := Report{Running: []RunningItem{{Run: testRun(jobB, 0, 1), Percent: 10}}}
	for n := range maxEndsPerReport {
		r.Ended = append(r.Ended, EndedItem{Number: int64(n + 1), Run: testRun(jobA, n, 1), Kind: EndDone})
	}
	b.worker(testWorker("w1", 100_000), r)
	for until := b.now + testHold + time.Second; b.now < until; {
		// The store is slow, so that no end is committed and acknowledged.
		b.report("w1", r)
		if o := b.roundAfter(500 * time.Millisecond); len(o.Starts) > 0 {
			t.Fatalf("started %v, whose end as done is listed next", o.Starts[0].Run)
		}
	}
	b.core.HoldFailed("w1", "no_answer", b.now)
	if b.roundAfter(2 * testHold); !b.core.TakeoverSettled() {
		t.Fatal("not settled although the lease of the worker, which does not answer, has lapsed")
	}
}

// Guards against inherited jobs that never start: new jobs kept the list of ends of a
// worker cut off for which the takeover waited.
func TestWorkerThatTheTakeoverWaitsForGetsNoWork(t *testing.T) {
	b := newTestbed(t, 1)
	b.core.SetFormerHolders(map[string]time.Duration{"w1": testHold}, b.now)
	var ends []EndedItem
	for n := range maxEndsPerReport {
		ends = append(ends, EndedItem{Number: int64(n + 1), Run: testRun(jobA, n, 1), Kind: EndDone})
	}
	b.worker(testWorker("w1", 1000), Report{Ended: ends})
	b.core.AddJob(oneStep(jobB, job.Step{}), job.Progress{}, false, wall, b.now)
	if o := b.round(); len(o.Starts) > 0 {
		t.Errorf("started %v on the worker", o.Starts[0].Run)
	}
	b.report("w1", Report{})
	if o := b.round(); len(o.Starts) != 1 {
		t.Errorf("%d starts once all ends are listed, want 1", len(o.Starts))
	}
}

// A new owner that gave a run the number of one that it did not know of would take the
// failures of both for the same and start the item once more than it has attempts.
func TestFailureOfARunOfAFormerOwnerCounts(t *testing.T) {
	b := newTestbed(t, 1)
	b.core.SetFormerHolders(map[string]time.Duration{"w1": testHold}, b.now)
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, true, wall, b.now)
	b.worker(testWorker("w2", 1000), Report{})
	start := b.roundAfter(2 * testHold).Starts[0]
	b.core.StartDone(start, Started, b.now)
	b.report("w2", Report{Ended: []EndedItem{{Number: 1, Run: start.Run, Kind: EndFailed}}})
	b.worker(testWorker("w1", 1000), Report{Ended: []EndedItem{{Number: 1, Run: testRun(jobA, 0, 1), Kind: EndFailed}}})
	if o := b.roundAfter(time.Second); len(o.Starts) > 0 {
		t.Errorf("started %v after as many failures as there are attempts", o.Starts[0].Run)
	}
}

// An owner that was paused, or short of processor time, took the lease of a worker to have
// lapsed before it had read the worker's answer, which listed the end of the run, and
// started the item elsewhere.
func TestLeaseHasNotLapsedWhileTheWorkerAnswers(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	first := b.round().Starts[0]
	b.core.StartDone(first, Started, b.now)
	b.core.TakeWrites(10)
	b.worker(testWorker("w2", 1000), Report{})
	h, _ := b.core.HoldFor("w1", b.now)
	sent := b.now
	if o := b.roundAfter(2 * testHold); len(o.Starts) > 0 {
		t.Fatalf("started %v although the worker of its last run has not failed to answer", o.Starts[0].Run)
	}
	b.core.HoldDone(h, Report{Clock: sent, StartMillis: 1, Ended: []EndedItem{{Number: 1, Run: first.Run, Kind: EndDone}}}, sent, b.now)
	b.expectDone(jobA, "w1")
}

// Guards against holds that follow each other without a pause: a worker answers at once
// while it lists an end, and an end whose consequences were committed before is not
// acknowledged until the owner has written something.
func TestWorkerWithEndsThatMayNotBeAcknowledgedYetIsNotCalledAtOnce(t *testing.T) {
	b := newTestbed(t, 1)
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{Phase: job.Completed}, true, wall, b.now)
	b.core.WorkerSeen(testWorker("w1", 1000), b.now)
	b.report("w1", Report{Ended: []EndedItem{{Number: 1, Run: testRun(jobA, 0, 1), Kind: EndDone}}})
	if h, due := b.core.HoldFor("w1", b.now); due && h.AcknowledgedEnd == 0 && !b.core.NeedsImmediateAnswer("w1") {
		t.Error("the next hold is due at once, acknowledges nothing and so is answered at once")
	}
	b.core.MarkCommitted(nil)
	if h, _ := b.core.HoldFor("w1", b.now); h.AcknowledgedEnd != 1 || b.core.NeedsImmediateAnswer("w1") {
		t.Errorf("ends up to %d are acknowledged after a write, want 1 without a pause", h.AcknowledgedEnd)
	}
}

// Guards against the same after a change of owner: the new owner took a takeover to be
// settled before it had read the first answer of a worker whose former lease was over.
func TestTakeoverIsNotSettledWhileAWorkerAnswers(t *testing.T) {
	b := newTestbed(t, 1)
	b.core.SetFormerHolders(map[string]time.Duration{"w1": testHold}, b.now)
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{Phase: job.Running}, true, wall, b.now)
	b.worker(testWorker("w2", 1000), Report{})
	b.core.WorkerSeen(testWorker("w1", 1000), b.now)
	h, _ := b.core.HoldFor("w1", b.now)
	sent := b.now
	if o := b.roundAfter(2 * testHold); len(o.Starts) > 0 {
		t.Fatalf("started %v although the worker of its last run has not failed to answer", o.Starts[0].Run)
	}
	b.core.HoldDone(h, Report{Clock: sent, StartMillis: 1, Ended: []EndedItem{{Number: 1, Run: testRun(jobA, 0, 1), Kind: EndDone}}}, sent, b.now)
	b.core.MarkCommitted(nil)
	b.expectDone(jobA, "w1")
}
