package execution

import (
	"fmt"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// crashbed runs the workers of some VMs. A crash ends the worker of a VM, and some
// seconds later the VM registers a new worker.
type crashbed struct {
	*testbed
	worker map[string]Worker
	// running holds the runs on each worker.
	running map[string][]Run
	ends    map[string]int64
	born    int64
	// crashes and starts count, for each item, the workers that crashed under it
	// and its starts.
	crashes, starts map[job.ItemID]int
}

// restartTime is how long a VM takes to register a new worker after a crash.
const restartTime = 3 * time.Second

func newCrashbed(t *testing.T, vms int, milliCPU int64) *crashbed {
	b := &crashbed{
		testbed: newTestbed(t, 0), worker: map[string]Worker{}, running: map[string][]Run{}, ends: map[string]int64{},
		crashes: map[job.ItemID]int{}, starts: map[job.ItemID]int{},
	}
	for n := range vms {
		b.register(fmt.Sprintf("vm%d", n), milliCPU)
	}
	return b
}

// register starts a new worker on a VM.
func (b *crashbed) register(vm string, milliCPU int64) {
	b.Helper()
	b.born++
	w := testWorker(fmt.Sprintf("w%d", b.born), milliCPU)
	w.VM, w.StartMillis = vm, b.born
	b.worker[vm] = w
	b.testbed.worker(w, Report{})
}

// play runs rounds for d. deadly items crash their worker right after the start;
// all other items take a second.
func (b *crashbed) play(d time.Duration, deadly func(job.ItemID) bool) {
	b.Helper()
	const step = 50 * time.Millisecond
	type event struct {
		at time.Duration
		do func()
	}
	var events []event
	for until := b.now + d; b.now < until; b.now += step {
		for n := 0; n < len(events); n++ {
			if events[n].at <= b.now {
				events[n].do()
				events = append(events[:n], events[n+1:]...)
				n--
			}
		}
		crashed := map[string]bool{}
		for _, s := range b.round().Starts {
			b.core.StartDone(s, Started, b.now)
			b.starts[s.Item]++
			b.running[s.Worker.ID] = append(b.running[s.Worker.ID], s.Run)
			if deadly(s.Item) {
				crashed[s.Worker.VM] = true
				continue
			}
			events = append(events, event{b.now + time.Second, func() { b.done(s) }})
		}
		for vm := range crashed {
			w := b.worker[vm]
			for _, r := range b.running[w.ID] {
				b.crashes[r.Item]++
			}
			b.core.HoldFailed(w.ID, "connection_refused", b.now)
			delete(b.running, w.ID)
			events = append(events, event{b.now + restartTime, func() { b.register(vm, w.Capacity.MilliCPU) }})
		}
		for _, w := range b.worker {
			if runs := b.running[w.ID]; len(runs) > 0 {
				report := Report{}
				for _, r := range runs {
					report.Running = append(report.Running, RunningItem{Run: r, Percent: 10})
				}
				b.report(w.ID, report)
			}
		}
		b.recordHolders()
		b.core.MarkCommitted(b.core.TakeWrites(100))
	}
}

// done ends a run, unless its worker has crashed.
func (b *crashbed) done(s Start) {
	for n, r := range b.running[s.Worker.ID] {
		if r == s.Run {
			b.running[s.Worker.ID] = append(b.running[s.Worker.ID][:n:n], b.running[s.Worker.ID][n+1:]...)
			b.ends[s.Worker.ID]++
			b.report(s.Worker.ID, Report{Ended: []EndedItem{{Number: b.ends[s.Worker.ID], Run: r, Kind: EndDone}}})
			return
		}
	}
}

// A job whose item crashes every worker that starts it took one worker after the
// other out of service: lost runs were started again without a limit.
func TestItemThatCrashesWorkersIsGivenUp(t *testing.T) {
	b := newCrashbed(t, 4, 4000)
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	b.play(time.Minute, func(job.ItemID) bool { return true })
	id := job.ItemID{Job: jobA}
	if b.core.jobs[jobA].phase != job.Failed {
		t.Errorf("job is %s after %d starts that each crashed a worker, want failed", b.core.jobs[jobA].phase, b.starts[id])
	}
	if b.starts[id] < 2 || b.starts[id] > 5 {
		t.Errorf("%d starts, want 2 to 5", b.starts[id])
	}
}
