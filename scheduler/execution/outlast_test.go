package execution

import (
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// Answers work of which 3 in 100 items take seven times as long, on a pool with slow
// workers: guards against second copies of long items, which would take as long, and
// against items that stay on a slow worker to their end.
func TestOnlyRunsWithEvidenceOutlast(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		evidence runEvidence
		want     string
	}{
		"as expected":                       {runEvidence{elapsed: s, total: s, typical: s, suspicious: 2 * s, extreme: 3 * s, siblings: true}, ""},
		"beyond all siblings":               {runEvidence{elapsed: s, total: 7 * s, typical: s, suspicious: 2 * s, extreme: 3 * s, siblings: true}, "siblings"},
		"long item of an uneven step":       {runEvidence{elapsed: s, total: 7 * s, typical: s, suspicious: 2 * s, extreme: 9 * s, siblings: true}, ""},
		"same on a slow worker":             {runEvidence{elapsed: s, total: 7 * s, typical: s, suspicious: 2 * s, extreme: 9 * s, siblings: true, workerSlow: true}, "slow_worker"},
		"step of unknown length":            {runEvidence{elapsed: 7 * s, typical: s, suspicious: 2 * s, extreme: 3 * s}, ""},
		"same on a slow worker, no sibling": {runEvidence{elapsed: 3 * s, typical: s, suspicious: 2 * s, extreme: 9 * s, workerSlow: true}, "slow_worker"},
		"nearly done":                       {runEvidence{elapsed: 6 * s, total: 7 * s, typical: s, suspicious: 2 * s, extreme: 3 * s, siblings: true}, ""},
		"stands still":                      {runEvidence{elapsed: 2 * s, total: 3 * s, typical: s, suspicious: 4 * s, extreme: 9 * s, still: standstillTime}, "no_progress"},
		"stands still, not yet due":         {runEvidence{elapsed: 2 * s, typical: 3 * s, still: standstillTime}, ""},
		"nothing known":                     {runEvidence{elapsed: 20 * s, workerSlow: true, still: 2 * s}, ""},
	} {
		if got := c.evidence.outlastReason(); got != c.want {
			t.Errorf("%s: reason %q, want %q", name, got, c.want)
		}
	}
}

// speedBed runs one item of each of two steps on each of four workers, which report the
// progress of each item after 500 ms as percent returns it.
func speedBed(t *testing.T, speculative bool, percent func(worker string, j string) int) *testbed {
	b := newTestbed(t, 0)
	ids := []string{"w1", "w2", "w3", "w4"}
	for _, id := range ids {
		b.worker(testWorker(id, 2000), Report{})
	}
	for _, j := range []string{jobA, jobB} {
		b.core.AddJob(oneStep(j, job.Step{Count: 4, MaxPerWorker: 1, Speculative: speculative}), job.Progress{}, false, wall, b.now)
	}
	on := map[string][]RunningItem{}
	for _, s := range b.start() {
		on[s.Worker.ID] = append(on[s.Worker.ID], RunningItem{Run: s.Run, Percent: percent(s.Worker.ID, s.Item.Job)})
	}
	b.worker(testWorker("w5", 2000), Report{})
	for n := range 6 {
		b.roundAfter(100 * time.Millisecond)
		for _, id := range ids {
			rows := on[id]
			if n < 5 {
				rows = nil
				for _, r := range on[id] {
					rows = append(rows, RunningItem{Run: r.Run, Percent: r.Percent * (n + 1) / 6})
				}
			}
			b.report(id, Report{Running: rows})
		}
	}
	return b
}

// secondCopies returns the workers whose runs get a second copy in the next rounds.
func (b *testbed) secondCopies() map[string]int {
	got := map[string]int{}
	for range 12 {
		for _, s := range b.roundAfter(100 * time.Millisecond).Starts {
			got[b.core.jobs[s.Item.Job].item(s.Item).copies[0].worker.ID]++
		}
	}
	return got
}

// Guards against items that wait for a slow worker while there is room on others, and
// against copies of items that are long on all workers alike.
func TestItemOnSlowWorkerGetsSecondCopy(t *testing.T) {
	slow := func(worker, _ string) int {
		if worker == "w2" {
			return 12
		}
		return 80
	}
	if got := speedBed(t, true, slow).secondCopies(); got["w2"] != 2 || len(got) != 1 {
		t.Errorf("second copies of the runs on %v, want both on w2", got)
	}
	if got := speedBed(t, false, slow).secondCopies(); len(got) > 0 {
		t.Errorf("second copies of the runs on %v, which are not speculative", got)
	}
	long := func(_, j string) int {
		if j == jobB {
			return 12
		}
		return 80
	}
	if got := speedBed(t, true, long).secondCopies(); len(got) > 0 {
		t.Errorf("second copies of the runs on %v of a step that is long on all workers", got)
	}
}

// Guards against second copies that take room for which other work waits.
func TestSecondCopyLeavesRoomToWaitingWork(t *testing.T) {
	b := speedBed(t, true, func(worker, _ string) int {
		if worker == "w2" {
			return 12
		}
		return 80
	})
	b.core.AddJob(oneStep("00000000000000cc", job.Step{Count: 8}), job.Progress{}, false, wall, b.now)
	if got := b.secondCopies(); len(got) > 2 || got["w2"] > 0 {
		t.Errorf("second copies of the runs on %v while other items wait", got)
	}
}

// slowAt sets how long the runs on a worker took compared with others.
func (b *testbed) slowAt(id string, ratio float64) {
	for range 6 {
		b.core.workers[id].speed.add(ratio, b.now)
	}
}

// Guards against new work on slow workers, a slow worker that gets no work for ever, and
// a pool of slow workers of which all are avoided.
func TestSlowWorkerIsAvoidedAndTriedAgain(t *testing.T) {
	b := newTestbed(t, 0)
	for _, id := range []string{"w1", "w2", "w3", "w4"} {
		b.worker(testWorker(id, 1000), Report{})
		b.slowAt(id, 1)
	}
	b.slowAt("w1", 4)
	b.core.compareSpeeds(b.now)
	for id, want := range map[string]bool{"w1": true, "w2": false, "w3": false, "w4": false} {
		if got := b.core.workers[id].speed.slow; got != want {
			t.Errorf("%s slow: %t, want %t", id, got, want)
		}
	}
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	if starts := b.round().Starts; len(starts) != 1 || starts[0].Worker.ID == "w1" {
		t.Errorf("starts %v, want one on a worker that is not slow", starts)
	}
	b.core.compareSpeeds(b.now + 10*time.Second)
	if b.core.workers["w1"].speed.slow {
		t.Errorf("w1 is still slow 10 s after its last run, so that it gets no work")
	}
	for _, id := range []string{"w1", "w2", "w3", "w4"} {
		b.core.workers[id].speed = workerSpeed{}
		b.slowAt(id, 4)
	}
	b.core.speedsAt = 0
	b.core.compareSpeeds(b.now)
	if b.core.workers["w1"].speed.slow {
		t.Errorf("w1 is slow although all workers of the pool are as slow")
	}
}

// Answers maintenance of half a pool: guards against work that runs for long on a worker
// that must soon be stopped, where it would be lost or hold up the maintenance.
func TestLongWorkIsNotPlacedWhereAStopIsExpected(t *testing.T) {
	for image, want := range map[string]string{"long": "w2", "short": "w1"} {
		b := newTestbed(t, 0)
		for _, id := range []string{"w1", "w2"} {
			b.worker(testWorker(id, 4000), Report{})
		}
		b.core.ExpectStop(map[string]bool{"w1": true})
		b.core.AddJob(oneStep(jobA, job.Step{Image: image, Estimate: time.Second}), job.Progress{}, false, wall, b.now)
		s := b.core.jobs[jobA].occurrence(0).steps[0]
		for range 10 {
			b.core.learner.Observe(s.operation(), time.Second, map[string]time.Duration{"long": 6 * time.Second, "short": time.Second / 2}[image])
		}
		if starts := b.round().Starts; len(starts) != 1 || starts[0].Worker.ID != want {
			t.Errorf("%s work starts on %v, want %s", image, starts, want)
		}
	}
}

// Guards against a second copy on the worker that runs the first one.
func TestSecondCopyNeedsAnotherWorker(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 8000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{Speculative: true}), job.Progress{}, false, wall, b.now)
	start := b.wantStarts(1, "first copy")[0]
	i := b.core.jobs[jobA].item(start.Item)
	if w := b.core.chooseWorker(i, []*worker{b.core.workers["w1"]}, nil); w != nil {
		t.Errorf("second copy on %s beside the first", w.ID)
	}
}
