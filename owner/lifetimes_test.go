package owner

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/scheduler/execution"
)

// restartingWorkers are workers that may start again under their IDs. They carry out
// calls that were meant for a former lifetime, as a worker knows only its ID and the
// highest fencing token of its present lifetime.
type restartingWorkers struct {
	mu      sync.Mutex
	workers map[string]*restartingWorker
	// keep returns whether a call is kept: it gets no answer, and carryOutKept
	// carries it out.
	keep func(call any) bool
	kept []func() error
	// starts counts the starts of each item that were carried out.
	starts map[job.ItemID]int
	// endAtOnce makes runs end as done as soon as they have started.
	endAtOnce bool
}

type restartingWorker struct {
	startMillis int64
	startedAt   time.Duration
	fence       int64
	running     map[execution.Run]bool
	highest     map[job.ItemID]int64
	ended       []execution.EndedItem
	lastEnd     int64
}

func (r *restartingWorkers) restart(id string, startMillis int64) {
	r.workers[id] = &restartingWorker{
		startMillis: startMillis, startedAt: boottime.Now(), running: map[execution.Run]bool{}, highest: map[job.ItemID]int64{},
	}
}

// do carries out a call, or keeps it. It is called with r.mu held.
func (r *restartingWorkers) do(id string, fence int64, call any, carryOut func(*restartingWorker)) error {
	execute := func() error {
		w := r.workers[id]
		if fence < w.fence {
			return ErrFenced
		}
		w.fence = fence
		carryOut(w)
		return nil
	}
	if r.keep != nil && r.keep(call) {
		r.kept = append(r.kept, execute)
		return errors.New("no answer")
	}
	return execute()
}

// carryOutKept carries out the kept calls and returns their errors.
func (r *restartingWorkers) carryOutKept() []error {
	var errs []error
	for _, execute := range r.kept {
		errs = append(errs, execute())
	}
	r.kept = nil
	return errs
}

func (r *restartingWorkers) Start(_ context.Context, s execution.Start) (execution.StartResult, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := execution.Started
	err := r.do(s.Worker.ID, s.Fence, s, func(w *restartingWorker) {
		if s.Run.Number <= w.highest[s.Item] {
			result = execution.RejectedStale
			return
		}
		r.starts[s.Item]++
		w.running[s.Run] = true
		if r.endAtOnce {
			w.end(s.Run, execution.EndDone)
		}
	})
	switch {
	case errors.Is(err, ErrFenced):
		return execution.NotStarted, err
	case err != nil:
		return execution.StartUnknown, err
	}
	return result, nil
}

func (w *restartingWorker) end(run execution.Run, kind execution.End) {
	delete(w.running, run)
	w.lastEnd++
	w.ended = append(w.ended, execution.EndedItem{Number: w.lastEnd, Run: run, Kind: kind})
}

func (r *restartingWorkers) Stop(_ context.Context, s execution.Stop) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.do(s.Worker.ID, s.Fence, s, func(w *restartingWorker) {
		w.highest[s.Item] = max(w.highest[s.Item], s.Run.Number)
		if w.running[s.Run] {
			w.end(s.Run, execution.EndStopped)
		}
	})
}

func (r *restartingWorkers) Pace(context.Context, execution.Pace) error { return nil }

func (r *restartingWorkers) Hold(_ context.Context, h execution.Hold) (execution.Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var report execution.Report
	err := r.do(h.Worker.ID, h.Fence, h, func(w *restartingWorker) {
		for len(w.ended) > 0 && w.ended[0].Number <= h.AcknowledgedEnd {
			w.ended = w.ended[1:]
		}
		report = execution.Report{Clock: boottime.Now() - w.startedAt, StartMillis: w.startMillis, Ended: append([]execution.EndedItem(nil), w.ended...)}
		for run := range w.running {
			report.Running = append(report.Running, execution.RunningItem{Run: run})
		}
	})
	return report, err
}

const (
	lifetimeJobA = "00000000000000aa"
	lifetimeJobB = "00000000000000bb"
)

// lifetimeTerm runs the rounds of a term whose workers may start again.
func lifetimeTerm(t *testing.T) (*term, *restartingWorkers) {
	return runLifetimeTerm(t, testTerm(t, nil))
}

func runLifetimeTerm(t *testing.T, tm *term) (*term, *restartingWorkers) {
	r := &restartingWorkers{workers: map[string]*restartingWorker{}, starts: map[job.ItemID]int{}}
	tm.options.Workers = r
	manifest := &job.Manifest{Queues: []job.Queue{{Name: "q", Service: "a", Attempts: 2}}}
	tm.options.Manifest = func() *job.Manifest { return manifest }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { tm.rounds(ctx); close(done) }()
	t.Cleanup(func() {
		cancel()
		<-done
		waitAtMost(&tm.pendingCalls, time.Second)
	})
	return tm, r
}

// addWorker starts a lifetime of a worker and registers it.
func (t *term) addWorker(r *restartingWorkers, id string, startMillis int64) {
	r.mu.Lock()
	r.restart(id, startMillis)
	r.mu.Unlock()
	t.registerWorker(id, startMillis)
}

func (t *term) registerWorker(id string, startMillis int64) {
	t.changeWorkers([]execution.Worker{{
		ID: id, Service: "a", StartMillis: startMillis, Capacity: job.Resources{MilliCPU: 1000, MemoryMB: 10},
	}}, nil)
}

func (t *term) addJob(id string) job.ItemID {
	t.mu.Lock()
	t.core.AddJob(&job.Job{ID: id, Queue: "q", Service: "a", Steps: []job.Step{{Count: 1, Needs: job.Resources{MilliCPU: 1000, MemoryMB: 1}}}},
		job.Progress{}, false, time.Now(), boottime.Now())
	t.mu.Unlock()
	t.wakeRounds()
	return job.ItemID{Job: id}
}

// eventuallyTimeout is how long a test waits for what takes less than a second.
const eventuallyTimeout = 10 * time.Second

// eventually waits until a condition holds, which is checked with r.mu held.
func (r *restartingWorkers) eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventuallyTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if r.locked(holds) {
			return
		}
	}
	t.Fatalf("not within %v: %s", eventuallyTimeout, what)
}

func (r *restartingWorkers) locked(f func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return f()
}

// contacted waits until the owner has called the present lifetime of a worker.
func (t *term) contacted(test *testing.T, r *restartingWorkers, id string) {
	test.Helper()
	r.eventually(test, "the owner has called "+id, func() bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.core.Contacted(id)
	})
}

func (t *term) completed(id string) bool {
	item, err := t.options.Store.Get(context.Background(), jobstore.ProgressKey(id))
	var p job.Progress
	return err == nil && json.Unmarshal(item.Value, &p) == nil && p.Phase == job.Completed
}

// Guards against an item that runs again after it was done: a hold that was meant for a
// former lifetime of the worker made the present one forget an end that the owner had
// not seen.
func TestLateHoldDoesNotReachALaterLifetime(t *testing.T) {
	tm, r := lifetimeTerm(t)
	r.endAtOnce = true
	r.keep = func(call any) bool {
		h, ok := call.(execution.Hold)
		return ok && h.AcknowledgedEnd > 0 && len(r.kept) == 0 && r.workers["w1"].startMillis == 1
	}
	tm.addWorker(r, "w1", 1)
	tm.addJob(lifetimeJobA)
	r.eventually(t, "a hold that acknowledges an end gets no answer", func() bool { return len(r.kept) == 1 })
	tm.addWorker(r, "w1", 2)
	tm.contacted(t, r, "w1")
	// The late hold is carried out between the end of the next run and the answer that
	// would list it.
	r.mu.Lock()
	r.keep = func(call any) bool {
		if h, ok := call.(execution.Hold); ok && h.Worker.StartMillis == 2 && len(r.workers["w1"].ended) > 0 {
			r.carryOutKept()
		}
		return false
	}
	r.mu.Unlock()
	item := tm.addJob(lifetimeJobB)
	r.eventually(t, "job B is completed", func() bool {
		if r.starts[item] > 1 {
			t.Fatal("the item was started again after it was done")
		}
		return tm.completed(lifetimeJobB)
	})
}

// Guards against two runs of an item at the same time: a start without an answer, which
// the owner had ruled out by a stop, was carried out by a later lifetime of the worker,
// which did not know of the stop.
func TestLateStartDoesNotReachALaterLifetime(t *testing.T) {
	tm, r := lifetimeTerm(t)
	r.keep = func(call any) bool {
		s, ok := call.(execution.Start)
		return ok && s.Worker.ID == "w1" && len(r.kept) == 0
	}
	tm.addWorker(r, "w1", 1)
	item := tm.addJob(lifetimeJobA)
	r.eventually(t, "a start gets no answer", func() bool { return len(r.kept) == 1 })
	tm.addWorker(r, "w2", 1)
	r.eventually(t, "the item runs after the first start was ruled out", func() bool { return r.starts[item] == 1 })
	tm.addWorker(r, "w1", 2)
	tm.contacted(t, r, "w1")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.carryOutKept()
	if r.starts[item] != 1 {
		t.Fatalf("%d runs of the item at the same time", r.starts[item])
	}
}

// Guards against two runs of an item at the same time: a worker that had started again unknown
// to the owner got a start by the clock of its former lifetime, and then could not be reached
// for as long as its lease lasted.
func TestRunOfAnUnseenLifetimeIsNotStartedElsewhere(t *testing.T) {
	// Longer than what the owner takes the lease of the former lifetime to last: it extends it for
	// up to 2 s after the last answer.
	const maxLease = 3500 * time.Millisecond
	tm := testTerm(t, nil)
	tm.mu.Lock()
	tm.core = execution.New(execution.Options{LeaseDuration: 300 * time.Millisecond, MaxLease: maxLease, StopTimeout: time.Second, Trace: tm.trace}, 0)
	tm.core.SetFence(tm.ownership.Fence)
	tm.mu.Unlock()
	tm, r := runLifetimeTerm(t, tm)
	r.mu.Lock()
	r.restart("w1", 1)
	r.workers["w1"].startedAt -= time.Hour
	r.mu.Unlock()
	tm.registerWorker("w1", 1)
	tm.contacted(t, r, "w1")
	var leaseUntil, startedAgain time.Duration
	r.mu.Lock()
	r.restart("w1", 2)
	r.keep = func(call any) bool {
		s, start := call.(execution.Start)
		switch {
		case start && s.Worker.ID == "w1":
			leaseUntil = boottime.Now() + min(s.Deadline-(boottime.Now()-r.workers["w1"].startedAt), maxLease)
		case start:
			startedAgain = boottime.Now()
		default:
			h, hold := call.(execution.Hold)
			return hold && h.Worker.ID == "w1" && leaseUntil > 0
		}
		return false
	}
	r.mu.Unlock()
	item := tm.addJob(lifetimeJobA)
	r.eventually(t, "the item runs on w1", func() bool { return r.starts[item] == 1 })
	tm.addWorker(r, "w2", 1)
	r.eventually(t, "the item is started again", func() bool { return r.starts[item] == 2 })
	r.mu.Lock()
	defer r.mu.Unlock()
	if startedAgain <= leaseUntil {
		t.Errorf("the item started on w2 %v before the end of its lease on w1", leaseUntil-startedAgain)
	}
}

// Guards against an owner that gives up because a worker rejected a call that was meant
// for its former lifetime.
func TestCallForAFormerLifetimeDoesNotEndTheTerm(t *testing.T) {
	tm, r := lifetimeTerm(t)
	tm.addWorker(r, "w1", 1)
	tm.contacted(t, r, "w1")
	stop := execution.Stop{Run: execution.Run{Item: job.ItemID{Job: lifetimeJobB}, Number: 1}, Worker: execution.Worker{ID: "w1", StartMillis: 1}}
	r.locked(func() bool { stop.Fence = r.workers["w1"].fence; return true })
	r.endAtOnce = true
	tm.addJob(lifetimeJobA)
	r.eventually(t, "job A is completed", func() bool { return tm.completed(lifetimeJobA) })
	tm.addWorker(r, "w1", 2)
	tm.contacted(t, r, "w1")
	tm.sendStop(context.Background(), stop)
	reasons := make(chan error, 10)
	tm.end = func(err error) { reasons <- err }
	r.locked(func() bool { stop.Fence = r.workers["w1"].fence; r.workers["w1"].fence++; return true })
	tm.sendStop(context.Background(), stop)
	select {
	case err := <-reasons:
		if !errors.Is(err, ErrFenced) {
			t.Errorf("term ended: %v, want %v", err, ErrFenced)
		}
	default:
		t.Error("the term goes on although the worker has seen the token of another owner")
	}
}
