package execution

import (
	"fmt"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// noticedAfter is how long after its start an owner that is short of processor time
// notices that a run has crashed its worker. It exceeds maxAgeUncertainty.
const noticedAfter = 170 * time.Millisecond

// fleet is a testbed with some VMs and jobs of one item each that crash their workers.
type fleet struct {
	*testbed
	workers  []Worker
	jobs     []*job.Job
	progress map[string]job.Progress
	starts   map[string]int
}

func newFleet(t *testing.T, vms, jobs int) *fleet {
	f := &fleet{testbed: newTestbed(t, 0), progress: map[string]job.Progress{}, starts: map[string]int{}}
	for n := range vms {
		w := testWorker(fmt.Sprintf("w%d", n), 1000)
		w.VM = fmt.Sprintf("vm%d", n)
		f.worker(w, Report{})
		f.workers = append(f.workers, w)
	}
	for n := range jobs {
		j := oneStep(fmt.Sprintf("%016x", n), job.Step{})
		f.jobs = append(f.jobs, j)
		f.core.AddJob(j, job.Progress{}, false, wall, f.now)
	}
	return f
}

// crash starts what can be started. Each run crashes its worker; seen is set if the owner
// notices it.
func (f *fleet) crash(seen bool) {
	f.Helper()
	starts := f.round().Starts
	for _, s := range starts {
		f.starts[s.Item.Job]++
		f.core.StartDone(s, Started, f.now)
	}
	f.commit()
	f.now += noticedAfter
	for _, s := range starts {
		if seen {
			f.core.HoldFailed(s.Worker.ID, ConnectionRefused, f.now)
		}
		for n := range f.workers {
			if f.workers[n].ID == s.Worker.ID {
				f.workers[n].StartMillis++
				f.workers[n].ID += "'"
			}
		}
	}
	f.commit()
}

func (f *fleet) commit() {
	writes := f.core.TakeWrites(100)
	for _, w := range writes {
		f.progress[w.JobID] = w.Progress
	}
	f.core.MarkCommitted(writes)
}

// restart lets time pass until the VMs have registered new workers.
func (f *fleet) restart() {
	f.Helper()
	f.now += restartTime
	for _, w := range f.workers {
		if f.core.workers[w.ID] == nil {
			f.worker(w, Report{})
		}
	}
}

// replaceOwner lets the next owner take over.
func (f *fleet) replaceOwner(term int64) {
	next := newTestbed(f.T, term)
	next.now = f.now
	f.testbed = next
	for _, j := range f.jobs {
		f.core.AddJob(j, f.progress[j.ID], true, wall, f.now)
	}
}

// Items that crashed their workers 10 ms after each start got a sixth start: owners that were
// short of processor time noticed it 170 ms after the starts, and as many workers had
// crashed together, the crashes were taken to have an outside cause. The first owner is
// killed before it notices the crash, the second one before the VMs are back.
func TestItemsThatCrashManyWorkersUnderStarvedOwnersGetNoSixthStart(t *testing.T) {
	f := newFleet(t, 16, 7)
	f.crash(false)
	f.replaceOwner(1)
	f.restart()
	f.crash(true)
	f.replaceOwner(2)
	for range 8 {
		f.restart()
		f.crash(true)
	}
	for _, j := range f.jobs {
		if phase := f.core.jobs[j.ID].phase; f.starts[j.ID] > 5 || phase != job.Failed {
			t.Errorf("job %s is %s after %d starts, want failed after at most 5", j.ID, phase, f.starts[j.ID])
		}
	}
}

// A sound job was given up because it was new on its worker each time when many workers
// crashed from outside. The runs on most of the others had been listed long before.
func TestItemsThatAreNewWhenManyWorkersCrashAreNotGivenUp(t *testing.T) {
	b := newTestbed(t, 0)
	var workers []Worker
	for n := range 8 {
		w := testWorker(fmt.Sprintf("w%d", n), 1000)
		w.VM = fmt.Sprintf("vm%d", n)
		b.worker(w, Report{})
		workers = append(workers, w)
	}
	b.core.AddJob(oneStep(jobB, job.Step{Count: 6}), job.Progress{}, false, wall, b.now)
	for n := range maxCrashes {
		old := map[string][]RunningItem{}
		for _, s := range b.round().Starts {
			b.core.StartDone(s, Started, b.now)
			old[s.Worker.ID] = []RunningItem{{Run: s.Run, Percent: 10 + n}}
		}
		b.now += time.Second
		for id, running := range old {
			b.report(id, Report{Running: running})
		}
		if n == 0 {
			b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
		}
		for _, s := range b.round().Starts {
			b.core.StartDone(s, Started, b.now)
		}
		b.now += noticedAfter
		for _, w := range workers {
			b.core.HoldFailed(w.ID, ConnectionClosed, b.now)
		}
		b.now += restartTime
		for k, w := range workers {
			former := w.ID
			w.ID, w.StartMillis = former+"'", w.StartMillis+1
			b.worker(w, Report{})
			b.core.WorkerGone(former)
			workers[k] = w
		}
		if b.core.jobs[jobA].final() {
			t.Fatalf("the job is given up after %d crashes, each together with %d other workers", n+1, len(workers)-1)
		}
	}
}

// Guards against a crash that the next owner does not know of: the worker fell silent before
// the answer to the start was processed, and the run was only recorded once the VM was back.
func TestCrashBeforeTheResultOfAStartIsRecorded(t *testing.T) {
	for _, result := range []StartResult{Started, StartUnknown} {
		b := newTestbed(t, 0)
		w := testWorker("w", 1000)
		w.VM = "vm1"
		b.worker(w, Report{})
		b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
		s := b.round().Starts[0]
		b.now += 10 * time.Millisecond
		b.core.HoldFailed(w.ID, ConnectionClosed, b.now)
		b.now += 250 * time.Millisecond
		b.core.StartDone(s, result, b.now)
		writes := b.core.TakeWrites(1)
		if len(writes) != 1 || len(writes[0].Progress.Items) != 1 || len(writes[0].Progress.Items[0].LostRuns) != 1 {
			t.Errorf("result %v: records %+v, want one with the lost run", result, writes)
			continue
		}
		if lost := writes[0].Progress.Items[0].LostRuns[0]; lost.Weak || lost.MaxAgeMillis > 15 {
			t.Errorf("result %v: lost run %+v, want the age at which the worker fell silent", result, lost)
		}
		want := job.Queued
		if result == Started {
			want = job.Running
		}
		if p := writes[0].Progress.Phase; p != want {
			t.Errorf("result %v: the record shows the job as %s, want %s", result, p, want)
		}
	}
}

// Guards against a count that is lost with its owner: an item that may have crashed a worker was
// started again before the store had the crash.
func TestSuspectIsStartedOnceTheStoreHasItsCrashes(t *testing.T) {
	b := newTestbed(t, 0)
	w := testWorker("w", 1000)
	w.VM = "vm1"
	b.worker(w, Report{})
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	startOnly(b)
	b.core.HoldFailed(w.ID, ConnectionClosed, b.now)
	restartVM(b, w)
	s := b.round().Starts[0]
	if b.core.StartWanted(s) {
		t.Error("the start may be sent before the store has the crash")
	}
	b.core.StartWithdrawn(s, b.now)
	if starts := b.roundAfter(time.Second).Starts; len(starts) > 0 {
		t.Errorf("starts %v before the store has the crash, want none", starts)
	}
	b.core.MarkCommitted(b.core.TakeWrites(1))
	if s = b.round().Starts[0]; !b.core.StartWanted(s) {
		t.Error("the start may not be sent although the store has the crash")
	}
}

// Guards against an age that is known less closely than it could be: an owner that was short of
// processor time sent the start long after it was ordered, and read the answer late.
func TestAgeOfARunCountsFromTheCalls(t *testing.T) {
	b := newTestbed(t, 0)
	w := testWorker("w", 1000)
	w.VM = "vm1"
	b.worker(w, Report{})
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	s := b.round().Starts[0]
	b.now += 120 * time.Millisecond
	b.core.StartSent(s, b.now)
	b.now += 100 * time.Millisecond
	b.core.StartDone(s, Started, b.now)
	b.report(w.ID, Report{Running: []RunningItem{{Run: s.Run, Percent: 1}}})
	b.now += 10 * time.Millisecond
	b.core.HoldFailed(w.ID, ConnectionClosed, b.now)
	lost := b.core.jobs[jobA].occurrence(0).steps[0].item(0).lostRuns
	if len(lost) != 1 || lost[0].MinAgeMillis != 1 || lost[0].MaxAgeMillis != 111 {
		t.Errorf("lost runs %+v, want one that was 1 to 111 ms old", lost)
	}
}

// An item that crashed its workers got a sixth start because the crashes that were weak did not
// count at all: two of its starts were not seen to crash a worker by any owner, and one of
// the others was weak. An item that is not the cause may have several weak ones.
func TestOneWeakCrashCountsIfItsAgeIsKnown(t *testing.T) {
	weak := func(reason string, maxAge int64) job.Crash {
		return job.Crash{MaxAgeMillis: maxAge, Weak: true, WeakReason: reason}
	}
	strong := job.Crash{MaxAgeMillis: 90}
	for _, c := range []struct {
		name    string
		crashes []job.Crash
		want    int
	}{
		{"one of three is weak", []job.Crash{strong, weak(crashTogether, 167), strong}, 3},
		{"one of two is weak", []job.Crash{weak(crashNoticedLate, 420), strong}, 2},
		{"three of four are weak", []job.Crash{strong, weak(crashTogether, 167), weak(crashNoticedLate, 420), weak(crashNotListed, 180)}, 2},
		{"the time of the crash is not known", []job.Crash{strong, weak(crashUntimed, 165), weak(crashUntimed, 165), strong}, 2},
		{"the age is hardly known", []job.Crash{strong, weak(crashNoticedLate, 1500), weak(crashNotListed, 1500), strong}, 2},
		{"all are weak", []job.Crash{weak(crashTogether, 160), weak(crashTogether, 170), weak(crashTogether, 180), weak(crashNotListed, 190)}, 0},
	} {
		i := item{crashes: c.crashes}
		if got := i.matchingCrashes(); got != c.want {
			t.Errorf("%s: %d matching crashes, want %d", c.name, got, c.want)
		}
	}
}

// Guards against a crash whose time is taken to be unknown although it is known closely: a
// starved owner first got no answer, and was refused a connection by the next call.
func TestWorkerThatRefusesSoonAfterItFellSilentHasCrashed(t *testing.T) {
	b := newTestbed(t, 0)
	w := testWorker("w", 1000)
	w.VM = "vm1"
	b.worker(w, Report{})
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	startOnly(b)
	b.now += 160 * time.Millisecond
	b.core.HoldFailed(w.ID, "no_answer", b.now)
	for range 2 {
		b.now += 200 * time.Millisecond
		b.core.HoldFailed(w.ID, ConnectionRefused, b.now)
	}
	lost := b.core.jobs[jobA].occurrence(0).steps[0].item(0).lostRuns
	if len(lost) != 1 || lost[0].WeakReason != crashNoticedLate || lost[0].MaxAgeMillis != 360 {
		t.Errorf("lost runs %+v, want one that was 360 ms old at most", lost)
	}
}

// Guards against two workers that one item crashes before the store has a word of it: the
// second copy of a speculative item was started as soon as the first worker fell silent.
func TestSecondCopyIsStartedOnceTheStoreHasTheLostRun(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{})
	b.worker(testWorker("w2", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{Speculative: true}), job.Progress{}, false, wall, b.now)
	first := startOnly(b)
	b.core.HoldFailed(first.Worker.ID, ConnectionClosed, b.now)
	second := b.round().Starts[0]
	if b.core.StartWanted(second) {
		t.Error("the second copy may be started before the store has the lost run")
	}
	b.core.StartWithdrawn(second, b.now)
	if starts := b.roundAfter(time.Second).Starts; len(starts) > 0 {
		t.Errorf("starts %v before the store has the lost run, want none", starts)
	}
	b.core.MarkCommitted(b.core.TakeWrites(1))
	if starts := b.round().Starts; len(starts) != 1 || !b.core.StartWanted(starts[0]) {
		t.Errorf("starts %v once the store has the lost run, want one that may be sent", starts)
	}
}

// Guards against a start too many: an item that had failed was started again before the store had
// the failure, which nobody knows of if its worker and the owner are lost then.
func TestFailedItemIsStartedOnceTheStoreHasTheFailure(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	r := startOnly(b).Run
	b.core.MarkCommitted(b.core.TakeWrites(1))
	b.report("w", Report{Ended: []EndedItem{{Number: 1, Run: r, Kind: EndFailed}}})
	s := b.roundAfter(failureBackoff).Starts[0]
	if b.core.StartWanted(s) {
		t.Error("the start may be sent before the store has the failure")
	}
	b.core.StartWithdrawn(s, b.now)
	b.core.MarkCommitted(b.core.TakeWrites(1))
	if s = b.round().Starts[0]; !b.core.StartWanted(s) {
		t.Error("the start may not be sent although the store has the failure")
	}
}

// A crash was not counted because the owner closed the worker for maintenance after it had found
// that its process had ended. Seen in TestNoItemRunsTwice with -rapid.seed=32021 after 216
// histories, as a sixth start.
func TestWorkerThatIsClosedAfterItsCrashHasCrashed(t *testing.T) {
	b := newTestbed(t, 0)
	w := testWorker("w", 1000)
	w.VM = "vm1"
	b.worker(w, Report{})
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	startOnly(b)
	b.core.HoldFailed(w.ID, ConnectionRefused, b.now)
	b.core.SetClosed(w.ID, true)
	restartVM(b, w)
	if n := len(b.core.jobs[jobA].occurrence(0).steps[0].item(0).crashes); n != 1 {
		t.Errorf("%d crashes are counted, want 1", n)
	}
}
