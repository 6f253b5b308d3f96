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
	events          []crashbedEvent
}

type crashbedEvent struct {
	at time.Duration
	do func()
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
	for until := b.now + d; b.now < until; b.now += step {
		due := b.events
		b.events = nil
		for _, e := range due {
			if e.at <= b.now {
				e.do()
			} else {
				b.events = append(b.events, e)
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
			b.events = append(b.events, crashbedEvent{b.now + time.Second, func() { b.done(s) }})
		}
		for vm := range crashed {
			w := b.worker[vm]
			for _, r := range b.running[w.ID] {
				b.crashes[r.Item]++
			}
			b.core.HoldFailed(w.ID, "connection_refused", b.now)
			delete(b.running, w.ID)
			b.events = append(b.events, crashbedEvent{b.now + restartTime, func() { b.register(vm, w.Capacity.MilliCPU) }})
		}
		for _, w := range b.worker {
			if len(b.running[w.ID]) > 0 {
				b.report(w.ID, Report{Running: b.listing(w.ID)})
			}
		}
		b.recordHolders()
		b.core.MarkCommitted(b.core.TakeWrites(100))
	}
}

// listing is what a worker lists as running.
func (b *crashbed) listing(worker string) []RunningItem {
	var items []RunningItem
	for _, r := range b.running[worker] {
		items = append(items, RunningItem{Run: r, Percent: 10})
	}
	return items
}

// done ends a run, unless its worker has crashed.
func (b *crashbed) done(s Start) {
	for n, r := range b.running[s.Worker.ID] {
		if r == s.Run {
			b.running[s.Worker.ID] = append(b.running[s.Worker.ID][:n:n], b.running[s.Worker.ID][n+1:]...)
			b.ends[s.Worker.ID]++
			b.report(s.Worker.ID, Report{
				Running: b.listing(s.Worker.ID), Ended: []EndedItem{{Number: b.ends[s.Worker.ID], Run: r, Kind: EndDone}},
			})
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

// Each crash takes the other runs on the worker with it. An item that is not the
// cause and was on several workers when they crashed must not be given up.
func TestItemsBesideOneThatCrashesWorkersEnd(t *testing.T) {
	b := newCrashbed(t, 4, 8000)
	deadly := job.ItemID{Job: jobA, Index: 3}
	b.core.AddJob(oneStep(jobA, job.Step{Count: 4}), job.Progress{}, false, wall, b.now)
	var others []string
	for n := range 10 {
		id := fmt.Sprintf("%016x", n)
		others = append(others, id)
		b.core.AddJob(oneStep(id, job.Step{Count: 2}), job.Progress{}, false, wall, b.now)
	}
	b.play(40*time.Second, func(id job.ItemID) bool { return id == deadly })
	if phase := b.core.jobs[jobA].phase; phase != job.Failed || b.crashes[deadly] != crashesToGiveUp {
		t.Errorf("job is %s after %d crashes, want failed after %d", phase, b.crashes[deadly], crashesToGiveUp)
	}
	for _, id := range others {
		if phase := b.core.jobs[id].phase; phase != job.Completed {
			t.Errorf("job %s beside it is %s, want completed", id, phase)
		}
	}
}

// With many jobs that crash workers at once, other items were beside several of
// them one after the other.
func TestManyItemsThatCrashWorkers(t *testing.T) {
	b := newCrashbed(t, 9, 32000)
	isDeadly := map[string]bool{}
	for n := range 60 {
		id := fmt.Sprintf("%016x", n)
		isDeadly[id] = n%12 == 0
		b.core.AddJob(oneStep(id, job.Step{Count: 6, Needs: job.Resources{MilliCPU: 2300, MemoryMB: 10}}), job.Progress{}, false, wall, b.now)
		b.play(200*time.Millisecond, func(i job.ItemID) bool { return isDeadly[i.Job] && i.Index == 0 })
	}
	b.play(time.Minute, func(i job.ItemID) bool { return isDeadly[i.Job] && i.Index == 0 })
	for id, deadly := range isDeadly {
		want := job.Completed
		if deadly {
			want = job.Failed
		}
		if phase := b.core.jobs[id].phase; phase != want {
			t.Errorf("job %s is %s, want %s", id, phase, want)
		}
	}
	for id, starts := range b.starts {
		if isDeadly[id.Job] && id.Index == 0 && (b.crashes[id] < 2 || starts > 5) {
			t.Errorf("%v: %d starts and %d crashes; want 5 starts at most, and a verdict after 2 crashes or more", id, starts, b.crashes[id])
		}
	}
}

// A worker that was only cut off lists the runs that lapsed once it answers again.
// Such losses must not count as crashes, however many there are.
func TestCutOffWorkersAreNotCrashes(t *testing.T) {
	b := newTestbed(t, 0)
	w := testWorker("w1", 1000)
	w.VM = "vm1"
	b.worker(w, Report{})
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	for n := range 2 * maxCrashes {
		o := b.round()
		if len(o.Starts) != 1 {
			t.Fatalf("%d starts after %d losses, want 1", len(o.Starts), n)
		}
		b.core.StartDone(o.Starts[0], Started, b.now)
		b.core.HoldFailed("w1", "no_answer", b.now)
		b.roundAfter(2 * testHold)
		b.report("w1", Report{Ended: []EndedItem{{Number: int64(n + 1), Run: o.Starts[0].Run, Kind: EndLapsed}}})
		b.recordHolders()
	}
	if b.core.jobs[jobA].phase.Final() || len(b.core.lostAt) > 0 {
		t.Errorf("job is %s and lost runs at %v remain", b.core.jobs[jobA].phase, b.core.lostAt)
	}
}

// crashUnder starts the only waiting item and crashes its worker w, and returns the
// worker that its VM registers then.
func crashUnder(b *testbed, w Worker) Worker {
	b.Helper()
	o := b.round()
	if len(o.Starts) != 1 {
		b.Fatalf("%d starts, want 1", len(o.Starts))
	}
	b.core.StartDone(o.Starts[0], Started, b.now)
	b.core.HoldFailed(w.ID, "connection_refused", b.now)
	b.now += restartTime
	w.ID, w.StartMillis = w.ID+"'", w.StartMillis+1
	return w
}

// A crash whose VM came back after the lease of its worker had lapsed was not known
// as one when the run was lost.
func TestLateRestartCountsAsCrash(t *testing.T) {
	b := newTestbed(t, 0)
	w := testWorker("w", 1000)
	w.VM = "vm1"
	b.worker(w, Report{})
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	for range crashesToGiveUp {
		former := w.ID
		w = crashUnder(b, w)
		b.core.WorkerGone(former)
		b.roundAfter(2 * testHold)
		b.worker(w, Report{})
	}
	if phase := b.core.jobs[jobA].phase; phase != job.Failed {
		t.Errorf("job is %s after %d crashes, want failed", phase, crashesToGiveUp)
	}
}

// The owner changed between the crash of a worker and the restart of its VM, which
// the next owner alone saw. Crashes under several owners have to add up.
func TestCrashesAddUpOverOwners(t *testing.T) {
	b := newTestbed(t, 0)
	w := testWorker("w", 1000)
	w.VM = "vm1"
	b.worker(w, Report{})
	spec := oneStep(jobA, job.Step{})
	b.core.AddJob(spec, job.Progress{}, false, wall, b.now)
	for n := range crashesToGiveUp {
		w = crashUnder(b, w)
		writes := b.core.TakeWrites(1)
		if len(writes) != 1 {
			t.Fatalf("no record of the run that was lost with its worker, crash %d", n+1)
		}
		next := newTestbed(t, int64(n+1))
		next.now = b.now + 2*testHold
		b = next
		if n%2 == 0 {
			// The registry may be read before the jobs.
			b.core.WorkerSeen(w, b.now)
		}
		b.core.AddJob(spec, writes[0].Progress, true, wall, b.now)
		b.worker(w, Report{})
	}
	if phase := b.core.jobs[jobA].phase; phase != job.Failed {
		t.Errorf("job is %s after %d crashes under as many owners, want failed", phase, crashesToGiveUp)
	}
}

// Planned maintenance ends a worker that is closed, or one that drains leaves: no
// item is the cause.
func TestPlannedEndOfAWorkerIsNoCrash(t *testing.T) {
	for _, draining := range []bool{false, true} {
		b := newTestbed(t, 0)
		w := testWorker("w", 1000)
		w.VM = "vm1"
		b.worker(w, Report{})
		b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
		b.core.StartDone(b.round().Starts[0], Started, b.now)
		b.core.SetClosed("w", !draining)
		w.Draining = draining
		b.core.WorkerSeen(w, b.now)
		b.core.HoldFailed("w", "connection_refused", b.now)
		b.now += restartTime
		w.ID, w.StartMillis, w.Draining = "next", 2, false
		b.worker(w, Report{})
		if item := b.core.jobs[jobA].occurrence(0).steps[0].item(0); item.suspect() || len(item.lostRuns) > 0 {
			t.Errorf("draining %t: the item is a suspect after a planned end of its worker", draining)
		}
		if o := b.round(); len(o.Starts) != 1 {
			t.Errorf("draining %t: %d starts once the VM has a new worker, want 1", draining, len(o.Starts))
		}
	}
}

// The runs of a worker that had crashed waited for its lease, although its VM ran
// another worker already.
func TestRunsOfARestartedVMStartAtOnce(t *testing.T) {
	b := newTestbed(t, 0)
	w := testWorker("w", 1000)
	w.VM = "vm1"
	b.worker(w, Report{})
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	next := crashUnder(b, w)
	b.worker(next, Report{})
	// The registry keeps the entry of the former worker for a while.
	b.core.WorkerSeen(w, b.now)
	if o := b.round(); len(o.Starts) != 1 || o.Starts[0].Worker.ID != next.ID {
		t.Errorf("starts %v, want one on the new worker", o.Starts)
	}
}

// An isolated item shares its worker only with runs that have outlived their start, and
// nothing is started beside it: otherwise the next crash proves nothing.
func TestIsolatedItemRunsAlone(t *testing.T) {
	b := newTestbed(t, 0)
	for _, id := range []string{"w1", "w2"} {
		b.worker(testWorker(id, 4000), Report{})
	}
	b.core.AddJob(oneStep(jobA, job.Step{Count: 2, LongRunning: true, MaxPerWorker: 1}), job.Progress{}, false, wall, b.now)
	serving := map[string]RunningItem{}
	for _, s := range b.round().Starts {
		b.core.StartDone(s, Started, b.now)
		serving[s.Worker.ID] = RunningItem{Run: s.Run, Percent: 100}
		b.report(s.Worker.ID, Report{Running: []RunningItem{serving[s.Worker.ID]}})
	}
	needsIsolation := oneStep(jobB, job.Step{})
	b.core.AddJob(oneStep("00000000000000c0", job.Step{Count: 2, MaxPerWorker: 1}), job.Progress{}, false, wall, b.now)
	normal := b.round().Starts
	for _, s := range normal {
		b.core.StartDone(s, Started, b.now)
	}
	b.core.AddJob(needsIsolation, job.Progress{Phase: job.Running, Items: []job.ItemProgress{{LastRun: 2, Crashes: []job.Crash{{Run: 1, MaxAgeMillis: 20}, {Run: 2, MaxAgeMillis: 30}}}}}, false, wall, b.now)
	b.core.AddJob(oneStep("00000000000000c1", job.Step{Count: 2}), job.Progress{}, false, wall, b.now)
	var reserved string
	for _, s := range b.round().Starts {
		if s.Item.Job == jobB {
			t.Fatalf("the item started beside a run that is not known to go well")
		}
		reserved = s.Worker.ID
		b.core.StartDone(s, Started, b.now)
	}
	// reserved is now the worker that takes other work; the other one gets free.
	own := "w1"
	if reserved == "w1" {
		own = "w2"
	}
	for _, s := range normal {
		if s.Worker.ID == own {
			b.report(own, Report{Running: []RunningItem{serving[own]}, Ended: []EndedItem{{Number: 1, Run: s.Run, Kind: EndDone}}})
		}
	}
	o := b.round()
	if len(o.Starts) != 1 || o.Starts[0].Item.Job != jobB || o.Starts[0].Worker.ID != own {
		t.Fatalf("starts %v, want the isolated item on %s", o.Starts, own)
	}
	b.core.StartDone(o.Starts[0], Started, b.now)
	b.core.AddJob(oneStep("00000000000000c2", job.Step{Count: 2}), job.Progress{}, false, wall, b.now)
	for _, s := range b.round().Starts {
		if s.Worker.ID == own {
			t.Errorf("%v starts beside the isolated item", s.Run)
		}
	}
}

// Crashes counted against an item although their runs had quite different ages. One that
// crashes its workers does so at about the same age.
func TestCrashesAtDifferentAgesDoNotMatch(t *testing.T) {
	for _, c := range []struct {
		name    string
		crashes []job.Crash
		want    int
	}{
		{"right after the start, noticed early or late", []job.Crash{{MaxAgeMillis: 12}, {MaxAgeMillis: 700}, {MaxAgeMillis: 110}}, 3},
		{"an item beside the cause: once in the middle of its run", []job.Crash{{MinAgeMillis: 300, MaxAgeMillis: 480}, {MaxAgeMillis: 15}, {MaxAgeMillis: 20}}, 2},
		{"right after the start, with an order that took longer", []job.Crash{{MaxAgeMillis: 11}, {MinAgeMillis: 40, MaxAgeMillis: 44}, {MaxAgeMillis: 12}}, 3},
		{"at half a second", []job.Crash{{MinAgeMillis: 420, MaxAgeMillis: 520}, {MinAgeMillis: 480, MaxAgeMillis: 900}, {MinAgeMillis: 100, MaxAgeMillis: 510}}, 3},
	} {
		i := item{crashes: c.crashes}
		if got := i.matchingCrashes(); got != c.want {
			t.Errorf("%s: %d matching crashes, want %d", c.name, got, c.want)
		}
	}
}

// A long-running item that failed on every worker was started again without a pause,
// and each worker that it failed on got no work for a while: one item took the
// workers of its queue out of use, one after the other.
func TestItemThatFailsEverywhereLeavesWorkersInUse(t *testing.T) {
	b := newTestbed(t, 0)
	ends := map[string]int64{}
	for _, id := range []string{"w1", "w2", "w3", "w4"} {
		b.worker(testWorker(id, 4000), Report{})
	}
	b.core.AddJob(oneStep(jobA, job.Step{LongRunning: true}), job.Progress{}, false, wall, b.now)
	starts := 0
	for until := b.now + 10*time.Second; b.now < until; b.now += 10 * time.Millisecond {
		for _, s := range b.round().Starts {
			starts++
			b.core.StartDone(s, Started, b.now)
			ends[s.Worker.ID]++
			b.report(s.Worker.ID, Report{Ended: []EndedItem{{Number: ends[s.Worker.ID], Run: s.Run, Kind: EndFailed}}})
		}
	}
	if starts > 20 {
		t.Errorf("%d starts in 10 s of an item that fails at once, want at most 20", starts)
	}
	if starts < 4 {
		t.Errorf("%d starts in 10 s, want one every 2 s at least", starts)
	}
	avoided := 0
	for _, w := range b.core.sortedWorkers {
		if b.now < w.avoidUntil {
			avoided++
		}
	}
	if avoided > 0 {
		t.Errorf("%d of 4 workers get no work because of one item", avoided)
	}
}

// A new owner that found the restart of a third worker gave the job up before it had
// called the worker on which the item went on, or had ended as done.
func TestNewOwnerAsksForOtherRunsBeforeItGivesUp(t *testing.T) {
	crash := job.Crash{Run: 1, MaxAgeMillis: 100}
	item := job.ItemProgress{LastRun: 4, Crashes: []job.Crash{crash, {Run: 2, MaxAgeMillis: 100}}}
	item.LostRuns = []job.LostRun{{Crash: job.Crash{Run: 3, MaxAgeMillis: 100}, Worker: "w1", StartMillis: 1}}
	for _, done := range []bool{true, false} {
		b := newTestbed(t, 1)
		b.core.SetFormerHolders(map[string]time.Duration{"w2": testHold}, b.now)
		b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{Phase: job.Running, Items: []job.ItemProgress{item}}, true, wall, b.now)
		restarted := testWorker("w1", 1000)
		restarted.StartMillis = 2
		b.worker(restarted, Report{})
		b.round()
		if !done {
			b.core.WorkerSeen(testWorker("w2", 1000), b.now)
			b.core.HoldFailed("w2", "no_answer", b.now)
			b.roundAfter(2 * testHold)
			if p := b.core.jobs[jobA].phase; p != job.Failed {
				t.Errorf("job is %s once no former run can go on, want failed", p)
			}
			continue
		}
		b.worker(testWorker("w2", 1000), Report{Ended: []EndedItem{{Number: 1, Run: testRun(jobA, 0, 4), Kind: EndDone}}})
		if b.round(); b.core.jobs[jobA].phase != job.Completed {
			t.Errorf("job is %s although its item is done, want completed", b.core.jobs[jobA].phase)
		}
	}
}

// Guards against a sixth start of an item that crashes workers: the former owner had
// counted the last crash, put the decision off until its takeover was settled and was
// replaced before that.
func TestNextOwnerGivesUpWhatTheFormerOwnerPutOff(t *testing.T) {
	b := newTestbed(t, 1)
	b.core.SetFormerHolders(map[string]time.Duration{"w1": testHold}, b.now)
	item := job.ItemProgress{LastRun: 3}
	for run := range int64(crashesToGiveUp) {
		item.Crashes = append(item.Crashes, job.Crash{Run: run + 1, MaxAgeMillis: 100})
	}
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{Phase: job.Running, Items: []job.ItemProgress{item}}, true, wall, b.now)
	b.worker(testWorker("w1", 1000), Report{})
	if o := b.round(); len(o.Starts) > 0 || b.core.jobs[jobA].phase != job.Failed {
		t.Errorf("starts %v, job is %s, want no start and failed", o.Starts, b.core.jobs[jobA].phase)
	}
}
