package execution

import (
	"fmt"
	"testing"

	"dotterelhead.example/dotterelhead/job"
)

// failingPool returns a testbed with a pool of workers that get no work for a while, as
// each of them has failed n items.
func failingPool(t *testing.T, workers, n int) *testbed {
	b := newTestbed(t, 0)
	for k := range workers {
		b.worker(testWorker(fmt.Sprintf("w%d", k), 4000), Report{})
	}
	for k := range workers {
		id := fmt.Sprintf("w%d", k)
		for range n {
			b.core.recordFailure(b.core.workers[id], &item{}, b.now)
		}
	}
	return b
}

// All workers of a service failed what they started for some seconds. After that, none of
// them got work for up to 8 s, and long-running items waited beside empty workers.
func TestLongRunningItemStartsOnAnAvoidedWorker(t *testing.T) {
	b := failingPool(t, 2, failuresToAvoid+3)
	b.core.AddJob(oneStep(jobA, job.Step{LongRunning: true}), job.Progress{}, false, wall, b.now)
	if o := b.round(); len(o.Starts) != 1 {
		t.Errorf("%d starts, want 1", len(o.Starts))
	}
}

// Guards against the same wait of a long-running gang.
func TestLongRunningGangStartsOnAvoidedWorkers(t *testing.T) {
	for _, sameRack := range []bool{false, true} {
		b := failingPool(t, 2, failuresToAvoid+3)
		b.worker(testWorker("w9", 1000), Report{})
		b.core.AddJob(oneStep(jobA, job.Step{LongRunning: true, Gang: true, SameRack: sameRack, Count: 4}), job.Progress{}, false, wall, b.now)
		o := b.round()
		used := map[string]int{}
		for _, s := range o.Starts {
			used[s.Worker.ID]++
		}
		if len(o.Starts) != 4 || used["w9"] != 1 {
			t.Errorf("starts %v, want 4, one of them on the worker that is not avoided", used)
		}
	}
}

// A worker that fails what it starts must not get long-running items while others have
// room for them, and no other work.
func TestAvoidedWorkerIsTheLastChoice(t *testing.T) {
	b := failingPool(t, 2, failuresToAvoid+3)
	b.worker(testWorker("w9", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{LongRunning: true}), job.Progress{}, false, wall, b.now)
	b.core.AddJob(oneStep(jobB, job.Step{Count: 3}), job.Progress{}, false, wall, b.now)
	o := b.round()
	if len(o.Starts) != 1 || o.Starts[0].Worker.ID != "w9" || o.Starts[0].Item.Job != jobA {
		t.Errorf("starts %+v, want only the long-running item on w9", o.Starts)
	}
}

// A worker that serves the users of a long-running item was still avoided for failures
// before that.
func TestAvoidanceEndsOnceAnItemServes(t *testing.T) {
	b := failingPool(t, 1, failuresToAvoid+3)
	b.core.AddJob(oneStep(jobA, job.Step{LongRunning: true}), job.Progress{}, false, wall, b.now)
	o := b.round()
	if len(o.Starts) != 1 {
		t.Fatalf("%d starts, want 1", len(o.Starts))
	}
	b.core.StartDone(o.Starts[0], Started, b.now)
	b.core.AddJob(oneStep(jobB, job.Step{}), job.Progress{}, false, wall, b.now)
	b.report("w0", Report{Running: []RunningItem{{Run: o.Starts[0].Run, Percent: 50}}})
	if o := b.round(); len(o.Starts) != 0 {
		t.Errorf("%d starts while the item does not serve yet, want none", len(o.Starts))
	}
	b.report("w0", Report{Running: []RunningItem{{Run: o.Starts[0].Run, Percent: 100}}})
	if o := b.round(); len(o.Starts) != 1 {
		t.Errorf("%d starts once the item serves, want 1", len(o.Starts))
	}
}

// An item that served before its worker began to fail others says nothing about what the
// worker starts now.
func TestItemThatServedBeforeDoesNotEndTheAvoidance(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w0", 4000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{LongRunning: true}), job.Progress{}, false, wall, b.now)
	serving := Report{Running: []RunningItem{{Run: startOnly(b).Run, Percent: 100}}}
	b.report("w0", serving)
	for range failuresToAvoid {
		b.core.recordFailure(b.core.workers["w0"], &item{}, b.now)
	}
	b.core.AddJob(oneStep(jobB, job.Step{}), job.Progress{}, false, wall, b.now)
	b.report("w0", serving)
	if o := b.round(); len(o.Starts) != 0 {
		t.Errorf("%d starts on a worker that fails others, want none", len(o.Starts))
	}
	if o := b.roundAfter(avoidTime); len(o.Starts) != 1 {
		t.Errorf("%d starts after %v, want 1", len(o.Starts), avoidTime)
	}
}

// Long-running items may fail at any time. Their failures added up on a worker that ran
// nothing else, until it was avoided for 8 s after each of them.
func TestFailuresBetweenWhichItemsServeDoNotAddUp(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w0", 4000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{LongRunning: true}), job.Progress{}, false, wall, b.now)
	for end := range int64(2 * failuresToAvoid) {
		o := b.round()
		if len(o.Starts) != 1 {
			t.Fatalf("%d starts after %d failures, want 1", len(o.Starts), end)
		}
		b.core.StartDone(o.Starts[0], Started, b.now)
		b.report("w0", Report{Running: []RunningItem{{Run: o.Starts[0].Run, Percent: 100}}})
		if w := b.core.workers["w0"]; w.failures != 0 || b.now < w.avoidUntil {
			t.Fatalf("%d failures count once the item serves, want none", w.failures)
		}
		b.report("w0", Report{Ended: []EndedItem{{Number: end + 1, Run: o.Starts[0].Run, Kind: EndFailed}}})
	}
}
