package execution

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// Guards against runs that no round looks at: stops, stalls and lapsed leases are looked for
// on the busy workers only.
func TestBusyWorkersAreThoseWithRuns(t *testing.T) {
	b := newTestbed(t, 0)
	unwanted := Run{job.ItemID{Job: "unknown"}, 1}
	b.worker(testWorker("w2", 1000), Report{})
	b.worker(testWorker("w1", 1000), Report{})
	check := func(when string, want ...string) {
		t.Helper()
		var ids []string
		for _, w := range b.core.busyWorkers {
			ids = append(ids, w.ID)
		}
		if !slices.Equal(ids, want) {
			t.Errorf("%s: busy workers %v, want %v", when, ids, want)
		}
	}
	check("idle")
	b.worker(testWorker("w3", 1000), Report{Running: []RunningItem{{Run: unwanted}}})
	check("unwanted run", "w3")
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	start := b.round().Starts[0]
	check("start", slices.Sorted(slices.Values([]string{start.Worker.ID, "w3"}))...)
	b.core.StartDone(start, Started, b.now)
	b.report(start.Worker.ID, Report{Ended: []EndedItem{{Number: 1, Run: start.Run, Kind: EndDone}}})
	check("end", "w3")
	b.core.Terminated("w3", 1, b.now)
	check("taken VM")
}

// Guards against rounds whose length follows the fleet and not the work: at 3,003 workers they
// took a sixth of the owner's time.
func BenchmarkRoundBesideIdleWorkers(bm *testing.B) {
	for _, idle := range []int{300, 3000} {
		bm.Run(fmt.Sprint(idle), func(bm *testing.B) {
			b := newTestbed(&testing.T{}, 0)
			for n := range idle {
				b.core.WorkerSeen(testWorker(fmt.Sprintf("i-%08x", n), 1000), b.now)
				h, _ := b.core.HoldFor(fmt.Sprintf("i-%08x", n), b.now)
				b.core.HoldDone(h, Report{Clock: b.now, StartMillis: 1}, b.now, b.now)
			}
			for bm.Loop() {
				b.now += 3 * time.Millisecond
				b.core.Round(wall, b.now)
				b.core.WorkersToHold(b.now)
			}
		})
	}
}
