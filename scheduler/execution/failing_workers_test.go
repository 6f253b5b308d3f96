package execution

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

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
		b.failItems(fmt.Sprintf("w%d", k), n)
	}
	return b
}

// failItems records n failures of items of different steps on a worker.
func (b *testbed) failItems(worker string, n int) {
	for range n {
		j := &jobState{Job: oneStep("", job.Step{})}
		b.core.recordFailure(b.core.workers[worker], j.occurrence(0).steps[0].item(0), b.now)
	}
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
	b.failItems("w0", failuresToAvoid)
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
		if w := b.core.workers["w0"]; len(w.blames) != 0 || b.now < w.avoidUntil {
			t.Fatalf("failures %v count once the item serves, want none", w.blames)
		}
		b.report("w0", Report{Ended: []EndedItem{{Number: end + 1, Run: o.Starts[0].Run, Kind: EndFailed}}})
	}
}

// failAll reports runs as failed on their workers.
func (b *testbed) failAll(starts []Start, ends map[string]int64) {
	byWorker := map[string]Report{}
	for _, s := range starts {
		b.core.StartDone(s, Started, b.now)
		id := s.Worker.ID
		ends[id]++
		byWorker[id] = Report{Ended: append(byWorker[id].Ended, EndedItem{Number: ends[id], Run: s.Run, Kind: EndFailed})}
	}
	for _, id := range slices.Sorted(maps.Keys(byWorker)) {
		b.report(id, byWorker[id])
	}
	b.core.MarkCommitted(b.core.TakeWrites(10))
}

// Guards against an idle pool: a job that fails wherever it runs made all workers avoided
// for 8 s, and jobs that can be done waited.
func TestStepThatFailsOnAllWorkersIsTheCause(t *testing.T) {
	for _, workers := range []int{2, 3, 9} {
		b := newTestbed(t, 0)
		for k := range workers {
			b.worker(testWorker(fmt.Sprintf("w%d", k), 6000), Report{})
		}
		ends := map[string]int64{}
		for _, id := range []string{"0000000000000001", "0000000000000002"} {
			b.core.AddJob(oneStep(id, job.Step{Count: 6 * workers}), job.Progress{}, false, wall, b.now)
			for range 2 {
				b.failAll(b.roundAfter(100*time.Millisecond).Starts, ends)
			}
			if phase := b.core.jobs[id].phase; phase != job.Failed {
				t.Errorf("%d workers: hopeless job is %s after two failures of each item, want failed", workers, phase)
			}
		}
		b.core.AddJob(oneStep(jobA, job.Step{Count: 6 * workers}), job.Progress{}, false, wall, b.now)
		if o := b.roundAfter(100 * time.Millisecond); len(o.Starts) != 6*workers {
			t.Errorf("%d workers: %d starts after hopeless jobs, want %d", workers, len(o.Starts), 6*workers)
		}
	}
}

// Workers that fail what others can run stay avoided, also if the step looked like the
// cause before one of its items was done.
func TestWorkersThatFailAStepThatWorksElsewhereAreAvoided(t *testing.T) {
	b := newTestbed(t, 0)
	for k := range 3 {
		b.worker(testWorker(fmt.Sprintf("w%d", k), 3000), Report{})
	}
	b.core.AddJob(oneStep(jobA, job.Step{Count: 9}), job.Progress{}, false, wall, b.now)
	byWorker := map[string][]Start{}
	for _, s := range b.round().Starts {
		byWorker[s.Worker.ID] = append(byWorker[s.Worker.ID], s)
	}
	avoided := func(id string) bool { return b.now < b.core.workers[id].avoidUntil }
	ends := map[string]int64{}
	b.failAll(byWorker["w0"], ends)
	b.failAll(byWorker["w1"], ends)
	if !avoided("w0") || !avoided("w1") {
		t.Error("workers that fail all items are not avoided while others run on w2")
	}
	b.failAll(byWorker["w2"][:2], ends)
	if avoided("w0") || avoided("w1") || avoided("w2") {
		t.Error("workers are avoided although the step fails on all of them")
	}
	ends["w2"]++
	b.report("w2", Report{Ended: []EndedItem{{Number: ends["w2"], Run: byWorker["w2"][2].Run, Kind: EndDone}}})
	if !avoided("w0") || !avoided("w1") || avoided("w2") {
		t.Errorf("avoided: %t, %t, %t, want w0 and w1 once an item of the step is done on w2", avoided("w0"), avoided("w1"), avoided("w2"))
	}
}

// Guards against jobs that wait for 8 s beside the only worker of a pool: there is no other
// one on which a hopeless step could fail as well.
func TestAvoidedWorkerWithoutOthersGetsATrial(t *testing.T) {
	b := failingPool(t, 1, failuresToAvoid+3)
	b.core.AddJob(oneStep(jobA, job.Step{Count: 4}), job.Progress{}, false, wall, b.now)
	if o := b.roundAfter(avoidTime / 2); len(o.Starts) != 0 {
		t.Errorf("%d starts %v after the last failure, want none", len(o.Starts), avoidTime/2)
	}
	o := b.roundAfter(avoidTime / 2)
	if len(o.Starts) != 1 {
		t.Fatalf("%d starts after %v, want one as a trial", len(o.Starts), avoidTime)
	}
	if more := b.roundAfter(time.Second); len(more.Starts) != 0 {
		t.Errorf("%d more starts during the trial, want none", len(more.Starts))
	}
	b.core.StartDone(o.Starts[0], Started, b.now)
	b.report("w0", Report{Ended: []EndedItem{{Number: 1, Run: o.Starts[0].Run, Kind: EndDone}}})
	if o := b.round(); len(o.Starts) != 3 {
		t.Errorf("%d starts after the trial has worked, want the other 3", len(o.Starts))
	}
}

// Guards against a sound worker that stays avoided: a run of another job that was started
// before the failures of a hopeless step is done before the step has failed on all workers.
func TestRunOfAnotherJobKeepsTheBlameOfAStep(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w0", 7000), Report{})
	b.core.AddJob(oneStep(jobB, job.Step{}), job.Progress{}, false, wall, b.now)
	sound := startOnly(b)
	b.worker(testWorker("w1", 6000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{Count: 12}), job.Progress{}, false, wall, b.now)
	byWorker := map[string][]Start{}
	for _, s := range b.roundAfter(100 * time.Millisecond).Starts {
		byWorker[s.Worker.ID] = append(byWorker[s.Worker.ID], s)
	}
	ends := map[string]int64{}
	b.failAll(byWorker["w0"], ends)
	ends["w0"]++
	b.report("w0", Report{Ended: []EndedItem{{Number: ends["w0"], Run: sound.Run, Kind: EndDone}}})
	if b.now >= b.core.workers["w0"].avoidUntil {
		t.Error("w0 is not avoided while the step runs on w1")
	}
	b.failAll(byWorker["w1"], ends)
	for id, w := range b.core.workers {
		if b.now < w.avoidUntil {
			t.Errorf("%s is avoided although the step fails on both workers", id)
		}
	}
}

// Guards against an idle pool: each step of one hopeless job counted as a job of its own, so
// that the workers were held to have a fault in common.
func TestJobWithManyHopelessStepsIsOneCause(t *testing.T) {
	b := newTestbed(t, 0)
	for k := range 3 {
		b.worker(testWorker(fmt.Sprintf("w%d", k), 20_000), Report{})
	}
	hopeless := oneStep(jobB, job.Step{Count: 3, MaxPerWorker: 1})
	for len(hopeless.Steps) < 2*maxCauses {
		hopeless.Steps = append(hopeless.Steps, hopeless.Steps[0])
	}
	b.core.AddJob(hopeless, job.Progress{}, false, wall, b.now)
	ends := map[string]int64{}
	for range 2 {
		b.failAll(b.roundAfter(100*time.Millisecond).Starts, ends)
	}
	if phase := b.core.jobs[jobB].phase; phase != job.Failed {
		t.Fatalf("hopeless job is %s after two failures of each item, want failed", phase)
	}
	b.core.AddJob(oneStep(jobA, job.Step{Count: 6}), job.Progress{}, false, wall, b.now)
	if o := b.roundAfter(100 * time.Millisecond); len(o.Starts) != 6 {
		t.Errorf("%d starts after a hopeless job of %d steps, want 6", len(o.Starts), len(hopeless.Steps))
	}
}

// Workers that all fail what they start must not use up the attempts of one job after the
// other: so many steps are not the cause.
func TestWorkersThatFailManyStepsAreAvoided(t *testing.T) {
	b := newTestbed(t, 0)
	for _, id := range []string{"w0", "w1"} {
		b.worker(testWorker(id, 6000), Report{})
	}
	ends := map[string]int64{}
	for n := range 2 * maxCauses {
		b.core.AddJob(oneStep(fmt.Sprintf("%016x", n), job.Step{Count: 12}), job.Progress{}, false, wall, b.now)
		for range 2 {
			b.failAll(b.roundAfter(100*time.Millisecond).Starts, ends)
		}
	}
	failed := 0
	for _, j := range b.core.jobs {
		if j.phase == job.Failed {
			failed++
		}
	}
	if failed > maxCauses+1 {
		t.Errorf("%d jobs have failed, want %d at most", failed, maxCauses+1)
	}
	for id, w := range b.core.workers {
		if b.now >= w.avoidUntil {
			t.Errorf("%s is not avoided after it failed %d steps", id, len(w.blames))
		}
	}
}
