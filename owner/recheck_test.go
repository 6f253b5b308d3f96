package owner

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/scheduler/execution"
	"dotterelhead.example/dotterelhead/store"
	"dotterelhead.example/dotterelhead/store/storetest"
	"dotterelhead.example/dotterelhead/telemetry"
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
	var lines bytes.Buffer
	tm.mu.Lock()
	tm.options.Log = &telemetry.Logger{Writer: log.IOWriter{Writer: &lines}}
	tm.mu.Unlock()
	tm.sendStop(ctx, stops[0])
	if len(workers.stops) > 0 {
		t.Fatal("the last item that serves was ordered to stop")
	}
	if !strings.Contains(lines.String(), `"stop_postponed"`) {
		t.Errorf("the stop that was not sent is not logged: %s", lines.String())
	}
	report("w2", 100)
	tm.sendStop(ctx, stops[0])
	if len(workers.stops) != 1 {
		t.Error("the stop was not sent although the other item serves")
	}
}

// whileOrdersAreRecorded calls f once, when the record of orders is written.
func (t *term) whileOrdersAreRecorded(f func()) {
	var once sync.Once
	t.options.Store.(*storetest.Store).OutcomeOf = func(tx store.Transaction) storetest.Outcome {
		if slices.ContainsFunc(tx.Writes, func(w store.Write) bool { return w.Key == jobstore.OrdersKey }) {
			once.Do(f)
		}
		return storetest.Applied
	}
}

// Guards against maintenance that ends a run which was found, or a lifetime of the worker
// which began, while the order was recorded, and against a VM that stays out of use
// because it was not ordered at once.
func TestUpkeepIsCheckedAgainAfterItsRecord(t *testing.T) {
	run := execution.Run{Item: job.ItemID{Job: testJob}, Number: 1}
	for name, report := range map[string]execution.Report{
		"running":   {Running: []execution.RunningItem{{Run: run, Percent: 100}}},
		"restarted": {StartMillis: 2},
	} {
		t.Run(name, func(t *testing.T) {
			vms := &fakeVMs{}
			tm := testTerm(t, vms)
			tm.testWorker("w1")
			tm.whileOrdersAreRecorded(func() { tm.restartIfNewer("w1", report); tm.reported("w1", report) })
			ws := tm.newWaveState(Wave{Number: 1, VMs: []string{"m1"}, Duration: time.Minute, MaxConcurrent: 1, FirstSeenAt: time.Now()})
			byID := map[string]VM{"m1": {ID: "m1", Pool: "a", Worker: "w1", Up: true}}
			tm.selectVMs(ws, byID)
			tm.drainSelected(context.Background(), ws, byID)
			if len(vms.upkeeps) > 0 {
				t.Fatalf("upkeep of %v ordered, which was decided on before", vms.upkeeps)
			}
			tm.reported("w1", execution.Report{StartMillis: report.StartMillis})
			tm.drainSelected(context.Background(), ws, byID)
			if len(vms.upkeeps) != 1 || ws.vms["m1"].state != upkeepDown {
				t.Errorf("upkeeps %v, the VM is %s, want it down once it is empty", vms.upkeeps, ws.vms["m1"].state)
			}
		})
	}
}

// restartIfNewer registers a new lifetime of a worker if the report is from one.
func (t *term) restartIfNewer(id string, r execution.Report) {
	if r.StartMillis > 1 {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.core.WorkerSeen(execution.Worker{ID: id, Service: "a", StartMillis: r.StartMillis, Capacity: job.Resources{MilliCPU: 1000, MemoryMB: 10}}, boottime.Now())
	}
}

// Guards against a move of a VM that ends a run which was found, or a lifetime of the
// worker which began, while the order was recorded, against a move without authority, and
// against a worker that stays closed because its VM was not moved.
func TestMoveIsCheckedAgainAfterItsRecord(t *testing.T) {
	run := execution.Run{Item: job.ItemID{Job: testJob}, Number: 1}
	for name, report := range map[string]execution.Report{
		"running":   {Running: []execution.RunningItem{{Run: run, Percent: 100}}},
		"restarted": {StartMillis: 2},
	} {
		t.Run(name, func(t *testing.T) {
			vms := &fakeVMs{}
			tm := testTerm(t, vms)
			list := tm.poolThatNeedsAVM()
			tm.whileOrdersAreRecorded(func() { tm.restartIfNewer("idle", report); tm.reported("idle", report) })
			rb := newRebalancing(0)
			tm.rebalance(context.Background(), rb, list, nil)
			if len(vms.moves) > 0 {
				t.Errorf("moves of %v ordered, which were decided on before", vms.moves)
			}
			if len(rb.moves) > 0 || !tm.core.Usable("idle") {
				t.Errorf("%d moves pending, worker usable: %t; want the worker to take work again", len(rb.moves), tm.core.Usable("idle"))
			}
		})
	}
	t.Run("no authority", func(t *testing.T) {
		vms := &fakeVMs{}
		tm := testTerm(t, vms)
		list := tm.poolThatNeedsAVM()
		rb := newRebalancing(0)
		moves := tm.planMoves(rb, list, nil)
		if len(moves) != 1 {
			t.Fatalf("moves %v, want 1", moves)
		}
		tm.mu.Lock()
		tm.authorityUntil = boottime.Now()
		tm.mu.Unlock()
		tm.move(context.Background(), rb, moves[0])
		if len(vms.moves) > 0 || len(rb.moves) > 0 || !tm.core.Usable("idle") {
			t.Errorf("moves %v, %d pending, worker usable: %t; want no move", vms.moves, len(rb.moves), tm.core.Usable("idle"))
		}
	})
}

// poolThatNeedsAVM sets up a pool with more work than its VM can run, and returns the
// list of VMs, with one of a spare pool whose worker is idle.
func (t *term) poolThatNeedsAVM() []VM {
	t.testWorker("busy")
	t.testWorker("idle")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.SetManifest(&job.Manifest{
		Services: []job.Service{{Name: "a"}, {Name: "spare", Spare: true}},
		Queues:   []job.Queue{{Name: "q", Service: "a", Attempts: 1, LatencyFactor: 1}},
	})
	step := job.Step{Count: 1000, Needs: job.Resources{MilliCPU: 1000, MemoryMB: 1}}
	t.core.AddJob(&job.Job{ID: "0000000000000001", Queue: "q", Steps: []job.Step{step}}, job.Progress{}, false, time.Now(), boottime.Now())
	t.core.MarkDue(time.Now(), boottime.Now())
	return []VM{{ID: "m1", Pool: "a", Worker: "busy", Up: true}, {ID: "s1", Pool: "spare", Worker: "idle", Up: true}}
}

// Guards against a start on a VM that is about to be taken down: its worker was dropped and
// registered again while the order was recorded, and was open to new work then.
func TestUpkeepNeedsAWorkerThatIsStillClosed(t *testing.T) {
	vms := &fakeVMs{}
	tm := testTerm(t, vms)
	tm.testWorker("w1")
	tm.whileOrdersAreRecorded(func() {
		tm.mu.Lock()
		tm.core.WorkerGone("w1")
		tm.core.Round(time.Now(), boottime.Now()+time.Hour)
		dropped := !tm.core.HasWorker("w1")
		tm.mu.Unlock()
		if !dropped {
			t.Error("the worker is still known")
		}
		tm.testWorker("w1")
	})
	ws := tm.newWaveState(Wave{Number: 1, VMs: []string{"m1"}, Duration: time.Minute, MaxConcurrent: 1, FirstSeenAt: time.Now()})
	byID := map[string]VM{"m1": {ID: "m1", Pool: "a", Worker: "w1", Up: true}}
	tm.selectVMs(ws, byID)
	tm.drainSelected(context.Background(), ws, byID)
	if len(vms.upkeeps) > 0 {
		t.Fatalf("upkeep of %v ordered while the worker takes work", vms.upkeeps)
	}
	tm.drainSelected(context.Background(), ws, byID)
	if len(vms.upkeeps) != 1 || tm.core.Usable("w1") {
		t.Errorf("upkeeps %v, worker takes work: %t; want the VM down", vms.upkeeps, tm.core.Usable("w1"))
	}
}

// Guards against an order that ends work on a VM whose worker has crashed and been replaced,
// while the list of VMs, which lags, still shows the former worker or none.
func TestVMWithANewerWorkerIsNotTakenDown(t *testing.T) {
	for name, listed := range map[string]string{"former worker": "w1", "no worker": ""} {
		t.Run(name, func(t *testing.T) {
			vms := &fakeVMs{}
			tm := testTerm(t, vms)
			list := tm.poolThatNeedsAVM()
			tm.mu.Lock()
			for n, id := range []string{"w1", "w2"} {
				tm.core.WorkerSeen(execution.Worker{ID: id, VM: "s1", Service: "a", StartMillis: int64(n + 1), Capacity: job.Resources{MilliCPU: 1000, MemoryMB: 10}}, boottime.Now())
			}
			tm.core.Round(time.Now(), boottime.Now())
			tm.mu.Unlock()
			tm.reported("w2", execution.Report{StartMillis: 2, Running: []execution.RunningItem{{Run: execution.Run{Item: job.ItemID{Job: testJob}, Number: 1}, Percent: 100}}})
			list[1].Worker = listed
			ws := tm.newWaveState(Wave{Number: 1, VMs: []string{"s1"}, Duration: time.Minute, MaxConcurrent: 1, FirstSeenAt: time.Now()})
			byID := map[string]VM{"s1": list[1]}
			tm.selectVMs(ws, byID)
			tm.drainSelected(context.Background(), ws, byID)
			tm.rebalance(context.Background(), newRebalancing(0), list, nil)
			if len(vms.upkeeps)+len(vms.moves) > 0 {
				t.Errorf("upkeeps %v and moves %v ordered of a VM whose worker runs an item", vms.upkeeps, vms.moves)
			}
		})
	}
}
