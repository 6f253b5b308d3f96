package execution

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dotterelhead.example/dotterelhead/job"
)

// Guards against owners that are killed, one after the other, for the memory that accepted
// jobs of the largest size take. An entry VM has 284 MB.
func TestMemoryOfLargeJobs(t *testing.T) {
	const jobs = 12
	// The heap may grow to twice what is in use before it is collected.
	const limitMB = 284 / 2
	tests := []struct {
		name string
		step job.Step
		done bool
	}{
		{"waiting", job.Step{}, false},
		{"long-running", job.Step{LongRunning: true}, false},
		{"gang", job.Step{Gang: true}, false},
		{"done but for one item", job.Step{}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t, 0)
			b.worker(testWorker("w", 4000), Report{})
			before := heapMB()
			for n := range jobs {
				j := largestJob(fmt.Sprintf("%016x", n), test.step)
				var p job.Progress
				for k := 1; test.done && k < j.ItemsPerOccurrence(); k++ {
					p.Done = append(p.Done, k)
				}
				b.core.AddJob(j, p, false, wall, b.now)
			}
			for range 3 {
				b.now += time.Second
				b.round()
			}
			if grown := heapMB() - before; grown > limitMB {
				t.Errorf("%d jobs take %d MB, want at most %d MB", jobs, grown, limitMB)
			}
			runtime.KeepAlive(b)
		})
	}
}

func largestJob(id string, s job.Step) *job.Job {
	j := oneStep(id, s)
	j.Steps[0].Count = job.MaxItemsPerStep
	for len(j.Steps) < job.MaxSteps {
		j.Steps = append(j.Steps, j.Steps[0])
	}
	return j
}

func heapMB() int64 { return heapBytes() >> 20 }

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestItemSetKeepsCounts guards against items that are counted as waiting although they run
// or are done, or that are started twice because their state was dropped.
func TestItemSetKeepsCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := job.Step{Count: rapid.IntRange(1, 130).Draw(t, "count")}
		j := &jobState{Job: &job.Job{Steps: []job.Step{spec}}, phase: job.Queued}
		s := j.occurrence(0).steps[0]
		running, done := map[int]*itemCopy{}, map[int]bool{}
		index := rapid.IntRange(0, spec.Count-1)
		t.Repeat(map[string]func(*rapid.T){
			"start fresh": func(t *rapid.T) {
				if s.fresh == 0 {
					t.Skip("no fresh item")
				}
				i := s.item(s.firstFresh().index)
				if running[i.index] != nil || done[i.index] {
					t.Fatalf("item %d is fresh, running %t, done %t", i.index, running[i.index] != nil, done[i.index])
				}
				running[i.index] = &itemCopy{item: i}
				i.copies = append(i.copies, running[i.index])
			},
			"end": func(t *rapid.T) {
				n := index.Draw(t, "index")
				if running[n] == nil {
					t.Skip("not running")
				}
				i := running[n].item
				i.copies = nil
				delete(running, n)
				if rapid.Bool().Draw(t, "done") {
					done[n] = true
					s.setDone(i)
				}
				s.release(i)
			},
			"look up": func(t *rapid.T) { s.item(index.Draw(t, "index")) },
			"": func(t *rapid.T) {
				if got, want := s.startableItems(), spec.Count-len(running)-len(done); got != want || s.itemsLeft != spec.Count-len(done) {
					t.Fatalf("%d startable items and %d left, want %d and %d", got, s.itemsLeft, want, spec.Count-len(done))
				}
				for n := range spec.Count {
					if i := s.peek(n); i.done != done[n] || len(i.copies) > 0 != (running[n] != nil) {
						t.Fatalf("item %d: done %t, %d copies", n, i.done, len(i.copies))
					}
				}
			},
		})
	})
}
