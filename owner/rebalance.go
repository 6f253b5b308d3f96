package owner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/scheduler/capacity"
	"dotterelhead.example/dotterelhead/scheduler/execution"
)

// ErrWrongPool reports that the platform does not allow the VM in the pool.
var ErrWrongPool = errors.New("VM is not allowed in the pool")

// pendingMove is an ordered move of a VM to another pool that is not known to
// be finished. worker and workerStart identify the worker process that the move
// ends; workerStart is its start time in Unix milliseconds.
type pendingMove struct {
	to          string
	worker      string
	workerStart int64
	since       time.Duration
}

// rebalancing is the state of the moves of VMs between pools in one term. Only
// the VM loop uses it, and the calls of move that the loop starts and waits for;
// these run concurrently, so they hold the term's mutex.
type rebalancing struct {
	planner *capacity.Rebalancer
	moves   map[string]*pendingMove
	// draining holds, by VM, the workers that are drained so that their VMs can
	// move to another pool.
	draining map[string]string
	// refused holds pairs of a VM and a pool that the platform does not allow.
	refused map[[2]string]bool
	// recordDue is when the learned bursts are next recorded.
	recordDue time.Duration
}

func newRebalancing(moveTime time.Duration) *rebalancing {
	return &rebalancing{
		planner: capacity.NewRebalancer(capacity.RebalancingOptions{MoveTime: moveTime}),
		moves:   map[string]*pendingMove{}, draining: map[string]string{}, refused: map[[2]string]bool{},
	}
}

// rebalance moves VMs between the pools. selectedByWaves holds the VMs that a
// wave is draining or has taken down.
func (t *term) rebalance(ctx context.Context, rb *rebalancing, list []VM, selectedByWaves map[string]bool) {
	t.removeFinishedMoves(rb, list)
	moves := t.planMoves(rb, list, selectedByWaves)
	if len(moves) == 0 {
		return
	}
	ids := make([]string, 0, len(moves))
	for _, m := range moves {
		ids = append(ids, m.VM)
	}
	if !t.recordOrders(ctx, ids) {
		t.dropMoves(rb, ids)
		return
	}
	var group sync.WaitGroup
	for _, m := range moves {
		group.Go(func() { t.move(ctx, rb, m) })
	}
	group.Wait()
}

// dropMoves removes planned moves that were not ordered.
func (t *term) dropMoves(rb *rebalancing, ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		t.core.SetClosed(rb.moves[id].worker, false)
		delete(rb.moves, id)
	}
}

// removeFinishedMoves removes the moves that the list shows as done, and those
// that it still does not show after the time of a move and the list's lag.
func (t *term) removeFinishedMoves(rb *rebalancing, list []VM) {
	now := boottime.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range list {
		mv := rb.moves[m.ID]
		if mv == nil || now-mv.since < t.options.MoveTime {
			continue
		}
		arrived := m.Pool == mv.to && m.Up
		if arrived || now-mv.since > t.options.MoveTime+listLag {
			t.core.SetClosed(mv.worker, false)
			delete(rb.moves, m.ID)
		}
	}
}

// planMoves decides which VMs to move and keeps new work off their workers.
func (t *term) planMoves(rb *rebalancing, list []VM, selectedByWaves map[string]bool) []capacity.Move {
	now := boottime.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var vms []capacity.ManagedVM
	workers := map[string]string{}
	free := execution.FreeVMs{Idle: map[string]int{}, Arriving: map[string]int{}}
	for _, m := range list {
		workers[m.ID] = m.Worker
		vm := capacity.ManagedVM{
			ID: m.ID, Pool: m.Pool, WorkItems: t.core.RunCount(m.Worker), MovingIn: !m.Up, LongRunning: t.core.HasLongRunning(m.Worker),
			Draining: rb.draining[m.ID] != "",
		}
		if mv := rb.moves[m.ID]; mv != nil {
			vm.Pool, vm.MovingIn = mv.to, true
		}
		switch {
		case selectedByWaves[m.ID]:
			vm.OutOfService = true
		case vm.Draining:
			// The worker takes no work because this owner drains it.
		case m.Worker != "" && t.core.Contacted(m.Worker) && !t.core.Usable(m.Worker):
			// The worker takes no work. It is expected back if its VM is moving or
			// not up.
			vm.OutOfService = !vm.MovingIn
		case m.Worker != "" && !t.core.Contacted(m.Worker), t.core.HasOtherWorker(m.ID, m.Worker), t.formerlyOrdered(m.ID):
			// The worker has not answered this owner yet, the list does not show the
			// VM's newest worker yet, or the VM may be down by the order of a former
			// owner: it is expected to take work soon.
			vm.MovingIn = true
		}
		vms = append(vms, vm)
		switch {
		case vm.OutOfService:
		case vm.MovingIn:
			free.Arriving[vm.Pool]++
		case vm.WorkItems == 0:
			free.Idle[vm.Pool]++
		}
	}
	t.admission.free = &free
	var moves []capacity.Move
	demands := t.core.Demands(now)
	planned, drain := rb.planner.Plan(now, demands, vms)
	t.targets = rb.planner.Targets()
	t.recordBurstsLocked(rb, demands, now)
	t.drainLocked(rb, drain, workers, selectedByWaves, now)
	for _, m := range planned {
		if rb.refused[[2]string{m.VM, m.To}] {
			continue
		}
		if !t.vmOrderLimit.Allow() {
			break
		}
		workerStart, _ := t.core.WorkerStartMillis(workers[m.VM])
		rb.moves[m.VM] = &pendingMove{to: m.To, worker: workers[m.VM], workerStart: workerStart, since: now}
		t.core.SetClosed(workers[m.VM], true)
		moves = append(moves, m)
	}
	return moves
}

// drainLocked drains the workers of the VMs in drain: it keeps new work off them,
// and moves their work to other workers where no progress is lost. Workers that
// are no longer to be drained take work again. The event vm_emptied is logged
// when the draining begins.
func (t *term) drainLocked(rb *rebalancing, drain []string, workers map[string]string, selectedByWaves map[string]bool, now time.Duration) {
	wanted := map[string]bool{}
	for _, vm := range drain {
		wanted[vm] = true
		if rb.draining[vm] == "" {
			t.options.Log.Info().Str("event", "vm_emptied").Str("vm", vm).Str("worker", workers[vm]).Int("runs", t.core.RunCount(workers[vm])).Msg("")
		}
		rb.draining[vm] = workers[vm]
		t.core.SetClosed(workers[vm], true)
		t.core.Evacuate(workers[vm], false, now)
	}
	for vm, worker := range rb.draining {
		if !wanted[vm] {
			delete(rb.draining, vm)
			if rb.moves[vm] == nil && !selectedByWaves[vm] {
				t.core.SetClosed(worker, false)
			}
		}
	}
}

// move orders one move. An order without an answer may have been carried out:
// the move stays pending until the list shows whether it was.
func (t *term) move(ctx context.Context, rb *rebalancing, m capacity.Move) {
	t.mu.Lock()
	mv := rb.moves[m.VM]
	allowed := t.mayTakeDownLocked(m.VM, mv.worker, mv.workerStart)
	t.mu.Unlock()
	if !allowed {
		t.options.Log.Info().Str("event", "move_cancelled").Str("vm", m.VM).Str("worker", mv.worker).Msg("")
		t.dropMoves(rb, []string{m.VM})
		return
	}
	err := t.options.VMs.Move(ctx, m.VM, m.To, t.ownership.Fence)
	t.options.Log.Info().Str("event", "vm_moved").Str("vm", m.VM).Str("from", m.From).Str("to", m.To).
		Int64("fence", t.ownership.Fence).AnErr("error", err).Msg("")
	t.endIfFenced(err)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		t.core.Terminated(mv.worker, mv.workerStart, boottime.Now())
	}
	if errors.Is(err, ErrBusy) || errors.Is(err, ErrWrongPool) || errors.Is(err, ErrNotExecuted) {
		t.core.SetClosed(mv.worker, false)
		delete(rb.moves, m.VM)
		rb.refused[[2]string{m.VM, m.To}] = errors.Is(err, ErrWrongPool)
	}
}
