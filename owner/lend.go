package owner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/scheduler/capacity"
)

// ErrWrongPool reports a pool that cannot take the VM.
var ErrWrongPool = errors.New("VM cannot be in that pool")

// moving is a VM that was ordered into another pool.
type moving struct {
	to     string
	worker string
	born   int64
	since  time.Duration
}

// lending is the state of the moves of one term. Only the machines' loop uses
// it.
type lending struct {
	lender *capacity.Lender
	moves  map[string]*moving
	// draining are the workers of VMs that are emptied for another pool.
	draining map[string]string
	// refused are pairs of a VM and a pool that the platform does not allow.
	refused map[[2]string]bool
}

func newLending(moveTime time.Duration) *lending {
	return &lending{
		lender: capacity.NewLender(capacity.LendingOptions{MoveTime: moveTime}),
		moves:  map[string]*moving{}, draining: map[string]string{}, refused: map[[2]string]bool{},
	}
}

// lend moves VMs between the pools. inUpkeep are VMs that a wave works on.
func (t *term) lend(ctx context.Context, l *lending, list []Machine, inUpkeep map[string]bool) {
	t.settleMoves(l, list)
	moves := t.planMoves(l, list, inUpkeep)
	if len(moves) == 0 {
		return
	}
	ids := make([]string, 0, len(moves))
	for _, m := range moves {
		ids = append(ids, m.VM)
	}
	if !t.announceOrders(ctx, ids) {
		t.dropMoves(l, ids)
		return
	}
	var group sync.WaitGroup
	for _, m := range moves {
		group.Go(func() { t.move(ctx, l, m) })
	}
	group.Wait()
}

// dropMoves forgets moves that were not ordered.
func (t *term) dropMoves(l *lending, ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		t.core.Close(l.moves[id].worker, false)
		delete(l.moves, id)
	}
}

// settleMoves forgets the moves that the list shows as done, and those of
// which nothing came.
func (t *term) settleMoves(l *lending, list []Machine) {
	now := boottime.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range list {
		mv := l.moves[m.ID]
		if mv == nil || now-mv.since < t.options.MoveTime {
			continue
		}
		arrived := m.Pool == mv.to && m.Up
		if arrived || now-mv.since > t.options.MoveTime+listLag {
			t.core.Close(mv.worker, false)
			delete(l.moves, m.ID)
		}
	}
}

// planMoves decides the moves and closes the workers that they end.
func (t *term) planMoves(l *lending, list []Machine, inUpkeep map[string]bool) []capacity.Move {
	now := boottime.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var vms []capacity.LentVM
	workers := map[string]string{}
	for _, m := range list {
		workers[m.ID] = m.Worker
		vm := capacity.LentVM{
			ID: m.ID, Pool: m.Pool, Runs: t.core.Load(m.Worker), Arriving: !m.Up, Lasting: t.core.RunsLasting(m.Worker),
			Draining: l.draining[m.ID] != "",
		}
		if mv := l.moves[m.ID]; mv != nil {
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
	planned, drain := l.lender.Plan(now, t.core.Demands(now), vms)
	t.drainLocked(l, drain, workers, inUpkeep, now)
	for _, m := range planned {
		if l.refused[[2]string{m.VM, m.To}] {
			continue
		}
		if !t.orderLimit.Allow() {
			break
		}
		born, _ := t.core.Lifetime(workers[m.VM])
		l.moves[m.VM] = &moving{to: m.To, worker: workers[m.VM], born: born, since: now}
		t.core.Close(workers[m.VM], true)
		moves = append(moves, m)
	}
	return moves
}

// drainLocked closes the workers of the VMs that are to be emptied, lets their
// work go on elsewhere where nothing is lost by it, and opens the others.
func (t *term) drainLocked(l *lending, drain []string, workers map[string]string, inUpkeep map[string]bool, now time.Duration) {
	wanted := map[string]bool{}
	for _, vm := range drain {
		wanted[vm] = true
		if l.draining[vm] == "" {
			t.options.Log.Info().Str("event", "vm_emptied").Str("vm", vm).Str("worker", workers[vm]).Int("runs", t.core.Load(workers[vm])).Msg("")
		}
		l.draining[vm] = workers[vm]
		t.core.Close(workers[vm], true)
		t.core.Evacuate(workers[vm], false, now)
	}
	for vm, worker := range l.draining {
		if !wanted[vm] {
			delete(l.draining, vm)
			if l.moves[vm] == nil && !inUpkeep[vm] {
				t.core.Close(worker, false)
			}
		}
	}
}

// move orders one move. An order without an answer may have been carried out;
// the list tells.
func (t *term) move(ctx context.Context, l *lending, m capacity.Move) {
	if !t.authorized() {
		return
	}
	err := t.options.Machines.Move(ctx, m.VM, m.To, t.held.Fence)
	t.options.Log.Info().Str("event", "vm_moved").Str("vm", m.VM).Str("from", m.From).Str("to", m.To).
		Int64("fence", t.held.Fence).AnErr("error", err).Msg("")
	t.fenced(err)
	t.mu.Lock()
	defer t.mu.Unlock()
	mv := l.moves[m.VM]
	if mv == nil {
		return
	}
	if err == nil {
		t.core.Terminated(mv.worker, mv.born, boottime.Now())
	}
	if errors.Is(err, ErrBusy) || errors.Is(err, ErrWrongPool) || errors.Is(err, ErrNotSent) {
		t.core.Close(mv.worker, false)
		delete(l.moves, m.VM)
		l.refused[[2]string{m.VM, m.To}] = errors.Is(err, ErrWrongPool)
	}
}
