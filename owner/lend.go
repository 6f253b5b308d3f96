package owner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/scheduler/capacity"
)

// ErrWrongPool reports that the platform does not allow the VM in the pool.
var ErrWrongPool = errors.New("VM is not allowed in the pool")

// pendingMove is an ordered move of a VM to another pool that is not known to
// be finished. worker and lifetime are those that the move ends.
type pendingMove struct {
	to       string
	worker   string
	lifetime int64
	since    time.Duration
}

// rebalancing is the state of the moves of VMs between pools in one term. The
// upkeep loop uses it, and under the term's mutex the calls of move that the
// loop waits for.
type rebalancing struct {
	lender *capacity.Lender
	moves  map[string]*pendingMove
	// draining holds the worker of each VM that is being emptied for a move to
	// another pool.
	draining map[string]string
	// refused holds pairs of a VM and a pool that the platform does not allow.
	refused map[[2]string]bool
}

func newRebalancing(moveTime time.Duration) *rebalancing {
	return &rebalancing{
		lender: capacity.NewLender(capacity.LendingOptions{MoveTime: moveTime}),
		moves:  map[string]*pendingMove{}, draining: map[string]string{}, refused: map[[2]string]bool{},
	}
}

// rebalance moves VMs between the pools. inUpkeep holds the VMs that a wave has
// taken out of service.
func (t *term) rebalance(ctx context.Context, r *rebalancing, list []Machine, inUpkeep map[string]bool) {
	t.removeFinishedMoves(r, list)
	moves := t.planMoves(r, list, inUpkeep)
	if len(moves) == 0 {
		return
	}
	ids := make([]string, 0, len(moves))
	for _, m := range moves {
		ids = append(ids, m.VM)
	}
	if !t.recordOrders(ctx, ids) {
		t.dropMoves(r, ids)
		return
	}
	var group sync.WaitGroup
	for _, m := range moves {
		group.Go(func() { t.move(ctx, r, m) })
	}
	group.Wait()
}

// dropMoves removes planned moves that were not ordered.
func (t *term) dropMoves(r *rebalancing, ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		t.core.Close(r.moves[id].worker, false)
		delete(r.moves, id)
	}
}

// removeFinishedMoves removes the moves that the list shows as done, and those
// that it still does not show after the time of a move and the list's lag.
func (t *term) removeFinishedMoves(r *rebalancing, list []Machine) {
	now := boottime.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range list {
		mv := r.moves[m.ID]
		if mv == nil || now-mv.since < t.options.MoveTime {
			continue
		}
		arrived := m.Pool == mv.to && m.Up
		if arrived || now-mv.since > t.options.MoveTime+listLag {
			t.core.Close(mv.worker, false)
			delete(r.moves, m.ID)
		}
	}
}

// planMoves decides which VMs to move and keeps new work off their workers.
func (t *term) planMoves(r *rebalancing, list []Machine, inUpkeep map[string]bool) []capacity.Move {
	now := boottime.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var vms []capacity.LentVM
	workers := map[string]string{}
	for _, m := range list {
		workers[m.ID] = m.Worker
		vm := capacity.LentVM{
			ID: m.ID, Pool: m.Pool, Runs: t.core.Load(m.Worker), Arriving: !m.Up, Lasting: t.core.RunsLasting(m.Worker),
			Draining: r.draining[m.ID] != "",
		}
		if mv := r.moves[m.ID]; mv != nil {
			vm.Pool, vm.Arriving = mv.to, true
		}
		switch {
		case inUpkeep[m.ID]:
			vm.Out = true
		case vm.Draining:
		case m.Worker != "" && t.core.Called(m.Worker) && !t.core.Usable(m.Worker):
			vm.Out = !vm.Arriving
		case m.Worker != "" && !t.core.Called(m.Worker), t.formerlyOrdered(m.ID):
			vm.Arriving = true
		}
		vms = append(vms, vm)
	}
	var moves []capacity.Move
	planned, drain := r.lender.Plan(now, t.core.Demands(now), vms)
	t.drainLocked(r, drain, workers, inUpkeep, now)
	for _, m := range planned {
		if r.refused[[2]string{m.VM, m.To}] {
			continue
		}
		if !t.orderLimit.Allow() {
			break
		}
		lifetime, _ := t.core.Lifetime(workers[m.VM])
		r.moves[m.VM] = &pendingMove{to: m.To, worker: workers[m.VM], lifetime: lifetime, since: now}
		t.core.Close(workers[m.VM], true)
		moves = append(moves, m)
	}
	return moves
}

// drainLocked keeps new work off the workers of the VMs that are to be emptied,
// and moves their work to other workers where no progress is lost. Workers of
// VMs that are no longer to be emptied take work again.
func (t *term) drainLocked(r *rebalancing, drain []string, workers map[string]string, inUpkeep map[string]bool, now time.Duration) {
	wanted := map[string]bool{}
	for _, vm := range drain {
		wanted[vm] = true
		if r.draining[vm] == "" {
			t.options.Log.Info().Str("event", "vm_emptied").Str("vm", vm).Str("worker", workers[vm]).Int("runs", t.core.Load(workers[vm])).Msg("")
		}
		r.draining[vm] = workers[vm]
		t.core.Close(workers[vm], true)
		t.core.Evacuate(workers[vm], false, now)
	}
	for vm, worker := range r.draining {
		if !wanted[vm] {
			delete(r.draining, vm)
			if r.moves[vm] == nil && !inUpkeep[vm] {
				t.core.Close(worker, false)
			}
		}
	}
}

// move orders one move. An order without an answer may have been carried out:
// the move stays pending until the list shows whether it was.
func (t *term) move(ctx context.Context, r *rebalancing, m capacity.Move) {
	if !t.authorized() {
		return
	}
	err := t.options.Machines.Move(ctx, m.VM, m.To, t.held.Fence)
	t.options.Log.Info().Str("event", "vm_moved").Str("vm", m.VM).Str("from", m.From).Str("to", m.To).
		Int64("fence", t.held.Fence).AnErr("error", err).Msg("")
	t.endIfFenced(err)
	t.mu.Lock()
	defer t.mu.Unlock()
	mv := r.moves[m.VM]
	if mv == nil {
		return
	}
	if err == nil {
		t.core.Terminated(mv.worker, mv.lifetime, boottime.Now())
	}
	if errors.Is(err, ErrBusy) || errors.Is(err, ErrWrongPool) || errors.Is(err, ErrNotSent) {
		t.core.Close(mv.worker, false)
		delete(r.moves, m.VM)
		r.refused[[2]string{m.VM, m.To}] = errors.Is(err, ErrWrongPool)
	}
}
