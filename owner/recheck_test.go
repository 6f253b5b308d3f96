package owner

import (
	"context"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/scheduler/execution"
)

// orderRecorder records the starts and stops that are sent.
type orderRecorder struct {
	Workers
	starts []execution.Start
	stops  []execution.Stop
}

func (r *orderRecorder) Start(_ context.Context, s execution.Start) (execution.StartResult, error) {
	r.starts = append(r.starts, s)
	return execution.Started, nil
}

func (r *orderRecorder) Stop(_ context.Context, s execution.Stop) error {
	r.stops = append(r.stops, s)
	return nil
}

const testJob = "00000000000000aa"

// reported passes the core an answer of a worker of testWorker to a hold.
func (t *term) reported(worker string, r execution.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := boottime.Now()
	if r.StartMillis == 0 {
		r.StartMillis = 1
	}
	r.Clock = time.Second
	h, _ := t.core.HoldFor(worker, now)
	h.Worker.ID, h.Worker.StartMillis = worker, r.StartMillis
	t.core.HoldDone(h, r, now, boottime.Now())
}

// roundOrders records the possible lease holders and returns the orders of a round.
func (t *term) roundOrders() execution.Orders {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids, _ := t.core.HoldersToRecord()
	t.core.HoldersRecorded(ids)
	return t.core.Round(time.Now(), boottime.Now())
}

// termWithJob returns a term with the worker w1 and a job of one step, each item of
// which takes a whole worker.
func termWithJob(t *testing.T, s job.Step) (*term, *orderRecorder) {
	t.Helper()
	tm := testTerm(t, &fakeVMs{})
	workers := &orderRecorder{}
	tm.options.Workers = workers
	tm.testWorker("w1")
	tm.mu.Lock()
	defer tm.mu.Unlock()
	tm.core.SetManifest(&job.Manifest{Version: 1, Queues: []job.Queue{{Name: "q", Service: "a", Attempts: 2}}})
	s.Count, s.Needs = max(s.Count, 1), job.Resources{MilliCPU: 1000, MemoryMB: 1}
	tm.core.AddJob(&job.Job{ID: testJob, Queue: "q", Service: "a", Steps: []job.Step{s}}, job.Progress{}, false, time.Now(), boottime.Now())
	return tm, workers
}

// Guards against a start of an item that is done: a copy was decided on while the first
// worker did not answer, and the end as done was read before the order was sent.
func TestStartOfADoneItemIsNotSent(t *testing.T) {
	tm, workers := termWithJob(t, job.Step{Speculative: true})
	ctx := context.Background()
	first := tm.roundOrders().Starts
	if len(first) != 1 {
		t.Fatalf("starts %v, want 1", first)
	}
	tm.sendStart(ctx, first[0])
	if len(workers.starts) != 1 {
		t.Fatalf("starts %v sent, want the first", workers.starts)
	}
	tm.testWorker("w2")
	tm.mu.Lock()
	tm.core.HoldFailed("w1", "no_answer", boottime.Now())
	tm.mu.Unlock()
	second := tm.roundOrders().Starts
	if len(second) != 1 {
		t.Fatalf("starts %v, want a copy", second)
	}
	tm.reported("w1", execution.Report{Ended: []execution.EndedItem{{Number: 1, Run: first[0].Run, Kind: execution.EndDone}}})
	tm.sendStart(ctx, second[0])
	if len(workers.starts) > 1 {
		t.Errorf("sent the start %v of an item that is done", workers.starts[1].Run)
	}
	if n := tm.core.RunCount("w2"); n != 0 {
		t.Errorf("%d runs on the worker whose start was not sent, want 0", n)
	}
}

// Guards against a start of a cancelled job whose order waited to be sent.
func TestStartOfACancelledJobIsNotSent(t *testing.T) {
	tm, workers := termWithJob(t, job.Step{})
	starts := tm.roundOrders().Starts
	tm.mu.Lock()
	tm.core.Cancel(testJob, boottime.Now())
	tm.mu.Unlock()
	tm.sendStart(context.Background(), starts[0])
	if len(workers.starts) > 0 {
		t.Errorf("sent the start %v of a cancelled job", workers.starts[0].Run)
	}
}

// Guards against members of a gang that wait for one whose start was not sent, because
// its worker had started again since the round.
func TestGangIsStoppedIfTheStartOfAMemberIsNotSent(t *testing.T) {
	tm, workers := termWithJob(t, job.Step{Gang: true, Count: 2})
	tm.testWorker("w2")
	starts := tm.roundOrders().Starts
	if len(starts) != 2 {
		t.Fatalf("starts %v, want the gang", starts)
	}
	ctx := context.Background()
	tm.sendStart(ctx, starts[0])
	restarted := starts[1].Worker
	restarted.StartMillis++
	tm.mu.Lock()
	tm.core.WorkerSeen(restarted, boottime.Now())
	tm.mu.Unlock()
	tm.sendStart(ctx, starts[1])
	if len(workers.starts) != 1 {
		t.Errorf("starts %v sent, want only that on the worker that has not restarted", workers.starts)
	}
	if n := tm.core.RunCount(restarted.ID); n != 0 {
		t.Errorf("%d runs on the worker that has restarted, want 0", n)
	}
	stops := tm.roundOrders().Stops
	if len(stops) != 1 || stops[0].Run != starts[0].Run {
		t.Errorf("stops %v, want that of the member that was started", stops)
	}
}

// Guards against a planned stop whose step has lost another item between the decision and
// the sending of the order.
func TestStopThatItsStepAllowsNoMoreIsNotSent(t *testing.T) {
	tm, workers := termWithJob(t, job.Step{LongRunning: true, Count: 2, MaxUnavailable: 1})
	tm.testWorker("w2")
	ctx := context.Background()
	run := map[string]execution.Run{}
	for _, s := range tm.roundOrders().Starts {
		tm.sendStart(ctx, s)
		run[s.Worker.ID] = s.Run
	}
	if len(run) != 2 {
		t.Fatalf("started %v, want both items", run)
	}
	report := func(worker string, percent int) {
		tm.reported(worker, execution.Report{Running: []execution.RunningItem{{Run: run[worker], Percent: percent}}})
	}
	report("w1", 100)
	report("w2", 100)
	tm.mu.Lock()
	tm.core.SetClosed("w1", true)
	tm.core.Evacuate("w1", true, boottime.Now())
	tm.mu.Unlock()
	stops := tm.roundOrders().Stops
	if len(stops) != 1 || stops[0].Run != run["w1"] {
		t.Fatalf("stops %v, want that of the run on w1", stops)
	}
	report("w2", 10)
	tm.sendStop(ctx, stops[0])
	if len(workers.stops) > 0 {
		t.Error("the last item that serves was ordered to stop")
	}
	report("w2", 100)
	tm.sendStop(ctx, stops[0])
	if len(workers.stops) != 1 {
		t.Error("the stop was not sent although the other item serves")
	}
}
