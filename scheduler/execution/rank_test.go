package execution

import (
	"fmt"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// For some seconds a queue asks for several times what its workers can run. First
// come first served would make every job late; the jobs that can still meet their
// objective have to go first, and the late ones after them.
func TestBurstServesJobsThatCanStillBeInTime(t *testing.T) {
	b := newTestbed(t, 0)
	b.core.SetManifest(&job.Manifest{Version: 2, Queues: []job.Queue{{
		Name: testQueue, Service: testService, Attempts: 2, LatencyFactor: 1.6, TargetLatency: 600 * time.Millisecond,
	}}})
	b.worker(testWorker("w1", 2000), Report{})
	const (
		jobs    = 60
		runTime = 500 * time.Millisecond
		arrival = 50 * time.Millisecond
	)
	for n := range jobs {
		id := fmt.Sprintf("%016x", n)
		b.core.AddJob(oneStep(id, job.Step{Estimate: runTime}), job.Progress{}, false, wall, b.now+time.Duration(n)*arrival)
	}
	// The workers run 4 items a second, 20 arrive: a fifth of the burst fits.
	running := map[Run]Time{}
	inTime, ends := 0, int64(0)
	for step := 0; step < 400; step++ {
		for _, s := range b.roundAfter(10 * time.Millisecond).Starts {
			b.core.StartDone(s, Started, b.now)
			running[s.Run] = b.now
		}
		for r, started := range running {
			if b.now-started < runTime {
				continue
			}
			delete(running, r)
			ends++
			b.report("w1", Report{Ended: []EndedItem{{Number: ends, Run: r, Kind: EndDone}}, Running: rows(running)})
			b.core.MarkCommitted(b.core.TakeWrites(10))
			if j := b.core.jobs[r.Item.Job]; j.phase == job.Completed && j.finishedAt-j.acceptedAt < 1400*time.Millisecond {
				inTime++
			}
		}
	}
	// With first come first served, 5 or 6 of the first jobs are in time.
	if inTime < 12 {
		t.Fatalf("%d of %d jobs in time, want at least 12 of the 16 that fit", inTime, jobs)
	}
}

func rows(running map[Run]Time) []RunningItem {
	var out []RunningItem
	for r := range running {
		out = append(out, RunningItem{Run: r, Percent: 1})
	}
	return out
}

// A rack fails during a burst. Because placement prefers loaded workers, new
// items were sent to the rack's silent workers, where each was stuck until the
// lease had lapsed.
func TestSilentWorkerGetsNoWork(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 4000), Report{})
	b.worker(testWorker("w2", 4000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{Speculative: true}), job.Progress{}, false, wall, b.now)
	first := b.round().Starts[0]
	b.core.StartDone(first, Started, b.now)
	b.core.HoldFailed(first.Worker.ID, "no_answer", b.now)
	b.core.AddJob(oneStep(jobB, job.Step{}), job.Progress{}, false, wall, b.now)
	starts := b.round().Starts
	if len(starts) != 2 {
		t.Fatalf("starts %v, want the new item and a copy of the one on the silent worker", starts)
	}
	for _, s := range starts {
		if s.Worker.ID == first.Worker.ID {
			t.Errorf("%v starts on the silent worker", s.Run)
		}
	}
}
