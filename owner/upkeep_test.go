package owner

import (
	"context"
	"sync"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/scheduler/execution"
	"dotterelhead.example/dotterelhead/store/storetest"
	"dotterelhead.example/dotterelhead/telemetry"
)

// fakeVMs records the orders for VMs.
type fakeVMs struct {
	mu             sync.Mutex
	upkeeps, moves []string
}

func (f *fakeVMs) List(context.Context) ([]VM, error) { return nil, nil }

func (f *fakeVMs) Upkeep(_ context.Context, vm string, _, _ int64) error {
	f.upkeeps = append(f.upkeeps, vm)
	return nil
}

func (f *fakeVMs) Move(_ context.Context, vm, _ string, _ int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.moves = append(f.moves, vm)
	return nil
}

func (f *fakeVMs) WaveStatus(int64, bool) jobstore.Record {
	return jobstore.Record{Key: "status", Value: []byte("{}")}
}

// testTerm returns a term that writes to a store in memory.
func testTerm(t *testing.T, vms VMOperations) *term {
	t.Helper()
	return testTermAtRate(t, vms, 30)
}

// testTermAtRate returns a term on a platform that accepts ordersPerSecond
// orders for VMs. The negative UpkeepTime lets a VM count as back at once.
func testTermAtRate(t *testing.T, vms VMOperations, ordersPerSecond float64) *term {
	t.Helper()
	s := storetest.New()
	o := New(Options{
		Node: "entry-0", Store: s, VMs: vms, Log: telemetry.Discard(), Lease: time.Minute,
		UpkeepTime: -listLag, OrdersPerSecond: ordersPerSecond, Manifest: func() *job.Manifest { return &job.Manifest{} },
		Execution: execution.Options{LeaseDuration: time.Second, StopTimeout: time.Second},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ownership, err := jobstore.Acquire(ctx, s, o.claim(), time.Minute)
	if err != nil || ownership == nil {
		t.Fatalf("not acquired: %v", err)
	}
	tm := newTerm(o, ownership, boottime.Now())
	tm.end = func(err error) { t.Errorf("term ended: %v", err) }
	tm.writer = jobstore.NewWriter(s, ownership.Fence, nil)
	done := make(chan struct{})
	go func() { tm.writeLoop(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return tm
}

// testWorker adds a worker that has answered its first hold.
func (t *term) testWorker(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := boottime.Now()
	t.core.WorkerSeen(execution.Worker{ID: id, Service: "a", StartMillis: 1, Capacity: job.Resources{MilliCPU: 1000, MemoryMB: 10}}, now)
	h, _ := t.core.HoldFor(id, now)
	t.core.HoldDone(h, execution.Report{Clock: time.Second, StartMillis: 1}, now, boottime.Now())
}

// A VM that had its upkeep from a former owner keeps its worker. The new owner
// waited forever for the worker to start again, and the wave never ended:
// 4 of 21 VMs were left after rolling restarts of the entry VMs.
func TestUpkeepDoneByAFormerOwner(t *testing.T) {
	vms := &fakeVMs{}
	tm := testTerm(t, vms)
	tm.testWorker("w1")
	ws := tm.newWaveState(Wave{Number: 1, VMs: []string{"m1"}, Duration: time.Minute, MaxConcurrent: 1, FirstSeenAt: time.Now()})
	list := []VM{{ID: "m1", Pool: "a", Worker: "w1", Up: true}}
	for range 4 {
		tm.advanceWaves(context.Background(), []*waveState{ws}, list, newRebalancing(0))
	}
	if len(vms.upkeeps) != 1 {
		t.Errorf("%d orders for the VM, want 1", len(vms.upkeeps))
	}
	if !ws.reported {
		t.Errorf("the wave is not completed; the VM is %s", ws.vms["m1"].state)
	}
	if !tm.core.Usable("w1") {
		t.Error("the worker takes no work after the wave")
	}
}

// VMs of a spare pool are off and have no worker that could show that they are
// back. They counted as down for the whole lag of the list, so a wave of 24 VMs,
// many of them off, did not end in time.
func TestUpkeepOfAVMThatIsOff(t *testing.T) {
	tm := testTerm(t, &fakeVMs{})
	// A VM that is off counts as back at once, others only after the list's lag.
	tm.options.UpkeepTime = -upkeepMargin
	ws := tm.newWaveState(Wave{Number: 1, VMs: []string{"off", "on"}, Duration: time.Minute, MaxConcurrent: 2, FirstSeenAt: time.Now()})
	tm.testWorker("w1")
	list := []VM{{ID: "off", Pool: "spare", Up: true}, {ID: "on", Pool: "a", Worker: "w1", Up: true}}
	for _, id := range []string{"off", "on"} {
		ws.vms[id].state, ws.vms[id].since = upkeepDown, boottime.Now()
	}
	ws.vms["on"].worker, ws.vms["on"].workerStart = "w1", 1
	time.Sleep(time.Millisecond)
	tm.advanceWaves(context.Background(), []*waveState{ws}, list, newRebalancing(0))
	if s := ws.vms["off"].state; s != upkeepDone {
		t.Errorf("the VM that is off is %s after the time of an upkeep, want done", s)
	}
	if s := ws.vms["on"].state; s != upkeepDown {
		t.Errorf("the VM whose worker is the same as before is %s, want down", s)
	}
}

// A VM that a former owner took down counts against the number of VMs that may
// be down at a time. Otherwise more VMs are down than the wave allows.
func TestVMsTakenDownByAFormerOwnerCount(t *testing.T) {
	vms := &fakeVMs{}
	tm := testTerm(t, vms)
	tm.testWorker("w1")
	ws := tm.newWaveState(Wave{Number: 1, VMs: []string{"m1", "m2"}, Duration: time.Minute, MaxConcurrent: 1, FirstSeenAt: time.Now()})
	list := []VM{{ID: "m1", Pool: "a", Worker: "w1", Up: true}, {ID: "m2", Pool: "a", InUpkeep: true}}
	for range 3 {
		tm.advanceWaves(context.Background(), []*waveState{ws}, list, newRebalancing(0))
	}
	if len(vms.upkeeps) != 0 {
		t.Errorf("orders %v while another VM is down", vms.upkeeps)
	}
}

// The upkeep of a VM ends its worker, and the VM comes back with another one. The
// worker that had ended was opened again and so named as a holder of leases until
// its registry entry ended; an owner that took over waited 3.6 s for it.
func TestWorkerBeforeTheUpkeepStaysClosed(t *testing.T) {
	tm := testTerm(t, &fakeVMs{})
	tm.testWorker("before")
	tm.testWorker("after")
	ws := tm.newWaveState(Wave{Number: 1, VMs: []string{"m1"}, Duration: time.Minute, MaxConcurrent: 1, FirstSeenAt: time.Now()})
	list := []VM{{ID: "m1", Pool: "a", Worker: "before", Up: true}}
	tm.advanceWaves(context.Background(), []*waveState{ws}, list, newRebalancing(0))
	list[0].Worker = "after"
	tm.advanceWaves(context.Background(), []*waveState{ws}, list, newRebalancing(0))
	if s := ws.vms["m1"].state; s != upkeepDone {
		t.Fatalf("the VM is %s, want done", s)
	}
	if tm.core.Usable("before") {
		t.Error("the worker from before the upkeep takes work")
	}
	if !tm.core.Usable("after") {
		t.Error("the worker after the upkeep takes no work")
	}
}

// A worker whose registry entry was missing when its VM was taken down counted as a new one
// when the entry was read again, so that the next VM went down beside more than allowed.
func TestWorkerThatRegistersLateIsNotTakenForANewOne(t *testing.T) {
	for name, dropped := range map[string]bool{"unregistered": false, "dropped": true} {
		t.Run(name, func(t *testing.T) {
			vms := &fakeVMs{}
			tm := testTerm(t, vms)
			tm.options.UpkeepTime = time.Minute
			tm.testWorker("w1")
			tm.mu.Lock()
			tm.core.WorkerGone("w1")
			if dropped {
				tm.core.Round(time.Now(), boottime.Now()+time.Hour)
			}
			tm.mu.Unlock()
			ws := tm.newWaveState(Wave{Number: 1, VMs: []string{"m1"}, Duration: time.Minute, MaxConcurrent: 1, FirstSeenAt: time.Now()})
			byID := map[string]VM{"m1": {ID: "m1", Pool: "a", Worker: "w1", Up: true}}
			tm.selectVMs(ws, byID)
			tm.drainSelected(context.Background(), ws, byID)
			if len(vms.upkeeps) != 1 {
				t.Fatalf("upkeeps %v, want m1", vms.upkeeps)
			}
			tm.testWorker("w1")
			tm.markReturned(ws, byID)
			if s := ws.vms["m1"].state; s != upkeepDown {
				t.Errorf("the VM is %s right after its order, want down", s)
			}
		})
	}
}
