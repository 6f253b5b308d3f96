package execution

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// Guards against owners that are killed, one after the other, for the memory of occurrences
// that are due and wait, are not due yet, or are done. An entry VM has 284 MB.
func TestMemoryOfOccurrences(t *testing.T) {
	const limitMB = 284 / 2
	tests := []struct {
		name       string
		jobs, done int
		firstDue   time.Duration
	}{
		{"due", 12, 0, -time.Minute},
		{"not due", 1000, 0, time.Hour},
		{"done but for one", 12, job.MaxOccurrences - 1, -time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t, 0)
			b.worker(testWorker("w", 4000), Report{})
			before := heapMB()
			for n := range test.jobs {
				j := largestJob(fmt.Sprintf("%016x", n), job.Step{})
				j.Occurrences, j.FirstDue, j.Interval = job.MaxOccurrences, wall.Add(b.now+test.firstDue), time.Millisecond
				b.core.AddJob(j, job.Progress{}, false, wall.Add(b.now), b.now)
				for number := range test.done {
					b.finishOccurrence(j.ID, number)
				}
			}
			for range 3 {
				b.now += time.Second
				b.round()
			}
			if grown := heapMB() - before; grown > limitMB {
				t.Errorf("%d jobs take %d MB, want at most %d MB", test.jobs, grown, limitMB)
			}
			runtime.KeepAlive(b)
		})
	}
}

// finishOccurrence marks all steps of an occurrence as done.
func (b *testbed) finishOccurrence(id string, number int) {
	j := b.core.jobs[id]
	o := j.occurrence(number)
	for _, s := range o.steps {
		s.setAllDone()
	}
	o.stepsLeft = 0
	j.setFinished(o)
}

// Guards against occurrences that are never started, or twice, because they wait behind
// others of their job: while they run, and when another owner takes over.
func TestOccurrencesBehindOthersAreStarted(t *testing.T) {
	const occurrences, capacity = 2 * maxWaitingSteps, 100
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 1000*capacity), Report{})
	j := oneStep(jobA, job.Step{Needs: job.Resources{MilliCPU: 1000, MemoryMB: 1}})
	j.Steps = append(j.Steps, job.Step{Count: 1, Needs: job.Resources{MilliCPU: 1000, MemoryMB: 1}, After: []int{0}})
	j.Occurrences, j.FirstDue, j.Interval = occurrences, wall.Add(b.now-time.Minute), time.Millisecond
	b.core.AddJob(j, job.Progress{}, false, wall.Add(b.now), b.now)
	started, ends := map[job.ItemID]int{}, int64(0)
	for rounds := 0; !b.core.jobs[jobA].final(); rounds++ {
		b.now += 100 * time.Millisecond
		starts := b.start()
		if len(starts) == 0 {
			t.Fatalf("nothing is started in round %d, after %d runs", rounds, len(started))
		}
		if open := len(b.core.jobs[jobA].open); open > maxWaitingSteps/len(j.Steps)+capacity {
			t.Fatalf("%d occurrences are open in round %d", open, rounds)
		}
		r := Report{}
		for _, s := range starts {
			started[s.Item]++
			ends++
			r.Ended = append(r.Ended, EndedItem{Number: ends, Run: s.Run, Kind: EndDone})
		}
		b.report("w1", r)
		if rounds == 10 {
			b.takeOver(t, j)
			ends = 0
		}
	}
	if len(started) != 2*occurrences {
		t.Errorf("%d items were started, want %d", len(started), 2*occurrences)
	}
	for id, n := range started {
		if n != 1 {
			t.Errorf("item %s was started %d times", id, n)
		}
	}
}

// takeOver replaces the owner by one that has the job's durable record.
func (b *testbed) takeOver(t *testing.T, j *job.Job) {
	t.Helper()
	writes := b.core.TakeWrites(1)
	if len(writes) != 1 {
		t.Fatalf("%d records are to be written, want 1", len(writes))
	}
	now := b.now
	*b = *newTestbed(t, 1)
	b.now = now
	b.core.AddJob(j, writes[0].Progress, true, wall.Add(b.now), b.now)
	w := testWorker("w1", 100_000)
	w.StartMillis = 2
	b.worker(w, Report{})
}

// BenchmarkRoundOfLargeJobs measures a round in which 100 jobs of 64 steps wait.
func BenchmarkRoundOfLargeJobs(b *testing.B) {
	core := New(Options{LeaseDuration: time.Second}, 0)
	core.SetManifest(&job.Manifest{Version: 1, Queues: []job.Queue{{Name: testQueue, Service: testService, Attempts: 2}}})
	core.WorkerSeen(testWorker("w", 1), 0)
	h, _ := core.HoldFor("w", 0)
	core.HoldDone(h, Report{Clock: time.Second, StartMillis: 1}, 0, 0)
	holders, _ := core.HoldersToRecord()
	core.HoldersRecorded(holders)
	for n := range 100 {
		core.AddJob(largestJob(fmt.Sprintf("%016x", n), job.Step{Needs: job.Resources{MilliCPU: 1000}}), job.Progress{}, false, wall, 0)
	}
	now := Time(0)
	for b.Loop() {
		now += time.Millisecond
		core.Round(wall, now)
	}
}
