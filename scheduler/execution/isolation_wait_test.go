package execution

import (
	"fmt"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// A long-running item that has to run isolated waited until the other suspects on its
// worker had ended, for up to their run time of 20 s, beside free capacity.
func TestLongRunningItemDoesNotWaitLongForIsolation(t *testing.T) {
	for _, workers := range []int{1, 2, 4} {
		b := newTestbed(t, 0)
		for n := range workers {
			b.worker(testWorker(fmt.Sprintf("w%d", n), 4000), Report{})
		}
		crash := job.Crash{Run: 1, MinAgeMillis: 10, MaxAgeMillis: 20}
		b.core.AddJob(oneStep(jobB, job.Step{Count: workers, MaxPerWorker: 1}), job.Progress{}, false, wall, b.now)
		for n := range workers {
			i := b.core.jobs[jobB].occurrence(0).steps[0].item(n)
			i.setCrashes([]job.Crash{crash})
			i.lastRun = 1
		}
		reports := map[string]Report{}
		for _, s := range b.round().Starts {
			b.core.StartDone(s, Started, b.now)
			reports[s.Worker.ID] = Report{Running: []RunningItem{{Run: s.Run, Percent: 1}}}
		}
		b.core.AddJob(oneStep(jobA, job.Step{LongRunning: true}), job.Progress{}, false, wall, b.now)
		i := b.core.jobs[jobA].occurrence(0).steps[0].item(0)
		second := crash
		second.Run = 2
		i.setCrashes([]job.Crash{crash, second})
		i.lastRun = 2
		began, started := b.now, Time(0)
		for b.now < began+10*time.Second && started == 0 {
			for id, r := range reports {
				r.Running[0].Percent++
				b.report(id, r)
			}
			if len(b.roundAfter(100*time.Millisecond).Starts) > 0 {
				started = b.now
			}
		}
		if waited := started - began; started == 0 || waited < maxIsolationWait || waited > 3*time.Second {
			t.Errorf("%d workers with a suspect each: started after %v, want %v to 3s", workers, waited, maxIsolationWait)
		}
	}
}

// pool is a testbed with workers that answer and with the runs that they list.
type pool struct {
	*testbed
	running map[string][]RunningItem
}

func newPool(t *testing.T, workers int) *pool {
	p := &pool{newTestbed(t, 0), map[string][]RunningItem{}}
	for n := range workers {
		id := fmt.Sprintf("w%d", n)
		p.running[id] = nil
		p.worker(testWorker(id, 16_000), Report{})
	}
	return p
}

// crash restarts a worker at once.
func (p *pool) crash(id string) {
	w := testWorker(id, 16_000)
	w.StartMillis = p.core.workers[id].StartMillis + 1
	p.core.WorkerSeen(w, p.now)
	p.running[id] = nil
	p.report(id, Report{StartMillis: w.StartMillis})
	p.recordHolders()
}

// run lets the owner work for d. Ordinary items progress by 0.5 % in 0.1 s, and long-running
// ones serve at once. It returns when each item was started first.
func (p *pool) run(d time.Duration) map[job.ItemID]Time {
	started := map[job.ItemID]Time{}
	for until := p.now + d; p.now < until; {
		for _, s := range p.roundAfter(100 * time.Millisecond).Starts {
			p.core.StartDone(s, Started, p.now)
			percent := 0
			if p.core.jobs[s.Item.Job].Steps[s.Item.Step].LongRunning {
				percent = 100
			}
			p.running[s.Worker.ID] = append(p.running[s.Worker.ID], RunningItem{Run: s.Run, Percent: percent})
			if started[s.Item] == 0 {
				started[s.Item] = p.now
			}
		}
		for _, id := range sortedKeys(p.running) {
			for n := range p.running[id] {
				p.running[id][n].Percent = min(p.running[id][n].Percent+1, 100)
			}
			if _, due := p.core.HoldFor(id, p.now); due {
				p.report(id, Report{Running: p.running[id], StartMillis: p.core.workers[id].StartMillis})
			}
		}
		p.core.MarkCommitted(p.core.TakeWrites(10))
	}
	return started
}

// addIsolated adds a job all of whose items have to run isolated.
func (p *pool) addIsolated(id string, s job.Step) {
	p.core.AddJob(oneStep(id, s), job.Progress{}, false, wall, p.now)
	for n := range s.Count {
		i := p.core.jobs[id].occurrence(0).steps[0].item(n)
		i.setCrashes([]job.Crash{{Run: 1, MinAgeMillis: 10, MaxAgeMillis: 20}, {Run: 2, MinAgeMillis: 10, MaxAgeMillis: 20}})
		i.lastRun = 2
	}
}

// Guards against long-running items that wait beside nearly idle workers for as long as
// isolated items run there, up to 20 s. The items of a step that are kept apart need exactly
// these workers.
func TestLongRunningItemDoesNotWaitForIsolatedItemsToEnd(t *testing.T) {
	const workers, crashed = 6, 2
	p := newPool(t, workers)
	p.core.AddJob(oneStep(jobA, job.Step{LongRunning: true, Count: workers, MaxPerWorker: 1}), job.Progress{}, false, wall, p.now)
	p.run(time.Second)
	p.addIsolated(jobB, job.Step{Count: crashed})
	for n := range crashed {
		p.crash(fmt.Sprintf("w%d", n))
	}
	began := p.now
	started := p.run(10 * time.Second)
	for n := range crashed {
		if waited := started[job.ItemID{Job: jobA, Index: n}] - began; waited < 0 || waited > simMaxWait {
			t.Errorf("item %d started again after %v, want %v at most", n, waited, simMaxWait)
		}
	}
}

// Guards against a long-running item that has to run isolated and waits until one of the
// isolated items ends that take all places: half of the workers.
func TestLongRunningItemDoesNotWaitForAPlaceToRunIsolated(t *testing.T) {
	p := newPool(t, 4)
	p.addIsolated(jobB, job.Step{Count: 2})
	p.run(time.Second)
	p.addIsolated(jobA, job.Step{LongRunning: true})
	began := p.now
	started := p.run(10 * time.Second)
	if waited := started[job.ItemID{Job: jobA}] - began; waited < 0 || waited > simMaxWait {
		t.Errorf("started after %v, want %v at most", waited, simMaxWait)
	}
}
