package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/scheduler/maintenance"
	"dotterelhead.example/dotterelhead/store"
)

// VM is a VM as the platform lists it.
type VM struct {
	ID   string
	Pool string
	// Worker is the ID of the worker on the VM, empty if there is none.
	Worker string
	// Up is set while the VM is neither moving, nor in upkeep, nor down.
	Up bool
	// InUpkeep is set while the VM is down for its upkeep.
	InUpkeep bool
}

// VMOperations moves VMs between pools and takes them down for upkeep, which is
// planned maintenance.
type VMOperations interface {
	List(ctx context.Context) ([]VM, error)
	// Upkeep takes a VM down for its upkeep in a wave. It also succeeds if the
	// VM already had its upkeep in that wave.
	Upkeep(ctx context.Context, vm string, wave int64, fence int64) error
	Move(ctx context.Context, vm, pool string, fence int64) error
	// WaveStatus returns the record that shows operators the state of a wave.
	WaveStatus(wave int64, completed bool) jobstore.Record
}

// Errors of VMOperations.
var (
	// ErrBusy reports a VM that is moving, in upkeep or leaving.
	ErrBusy = errors.New("VM is busy")
	// ErrNotInWave reports a VM that is not part of the wave.
	ErrNotInWave = errors.New("VM is not in the wave")
)

// Wave is an operator's request for the upkeep of a set of VMs.
type Wave struct {
	Number   int64
	VMs      []string
	Duration time.Duration
	// MaxConcurrent is the maximum number of VMs that may be down for it at a time.
	MaxConcurrent int
	// FirstSeenAt is when this process first read the request.
	FirstSeenAt time.Time
}

const (
	// minVMLoopPause is the shortest pause between iterations of the VM loop.
	minVMLoopPause = 150 * time.Millisecond
	// pausePerVM makes the pause proportional to the length of a long list. An
	// entry takes about 10 µs to read, so reading takes a small part of the time.
	pausePerVM = 300 * time.Microsecond
	// listLag is the maximum age of the platform's list of VMs.
	listLag = 2 * time.Second
	// upkeepMargin is added to UpkeepTime for a VM that has no worker to show
	// that it is back.
	upkeepMargin = 300 * time.Millisecond
	// progressEvery is the pause between the progress lines that are logged for
	// a wave, maxProgressVMs the number of VMs that one line names at most.
	progressEvery  = 3 * time.Second
	maxProgressVMs = 5
	// vmTurnaround is the time from the selection of a VM until it is back: the
	// rest of its work, the upkeep itself, and the lag of the list.
	vmTurnaround = 6 * time.Second
	// waveTimeMargin raises the number of VMs that are draining or down together,
	// so that a wave ends before its time is up.
	waveTimeMargin = 1.5
	// forceEvacuateAfter is how long work whose progress would be lost may
	// continue on a VM that is selected for upkeep.
	forceEvacuateAfter = 2500 * time.Millisecond
	// orderIntervalMargin is added to the minimum time between the orders of
	// successive owners, to allow for clocks that differ.
	orderIntervalMargin = 300 * time.Millisecond
)

// upkeepState is the state of a VM in a wave.
type upkeepState int

const (
	upkeepPending upkeepState = iota
	upkeepDraining
	upkeepDown
	upkeepDone
)

func (s upkeepState) String() string { return [...]string{"pending", "draining", "down", "done"}[s] }

// waveVM is one VM of a wave.
type waveVM struct {
	state upkeepState
	// since is when the state began.
	since time.Duration
	// worker and workerStart identify the worker process that the upkeep ends;
	// workerStart is its start time in Unix milliseconds, or zero if it is not known.
	worker      string
	workerStart int64
}

// waveState is the state of a wave in this term.
type waveState struct {
	Wave
	vms      map[string]*waveVM
	reported bool
	loggedAt time.Duration
}

// vmLoop carries out the waves and moves VMs between pools until ctx ends.
func (t *term) vmLoop(ctx context.Context) {
	waves := map[int64]*waveState{}
	rb := newRebalancing(t.options.MoveTime)
	t.restoreBursts(rb)
	for ctx.Err() == nil {
		for _, w := range t.options.Waves() {
			if waves[w.Number] == nil {
				waves[w.Number] = t.newWaveState(w)
			}
		}
		pause := minVMLoopPause
		if t.authorized() {
			if list, err := t.options.VMs.List(ctx); err == nil {
				open := openWaves(waves)
				pause = max(pause, time.Duration(len(list))*pausePerVM)
				t.advanceWaves(ctx, open, list, rb)
				t.rebalance(ctx, rb, list, selectedByWaves(open))
			} else if ctx.Err() == nil {
				t.options.Log.Warn().Str("event", "vm_list_failed").Err(err).Msg("")
			}
		}
		wait(ctx, nil, pause)
	}
}

// selectedByWaves returns the VMs that the waves are draining or have taken down.
func selectedByWaves(open []*waveState) map[string]bool {
	ids := map[string]bool{}
	for _, ws := range open {
		for id, p := range ws.vms {
			if p.state == upkeepDraining || p.state == upkeepDown {
				ids[id] = true
			}
		}
	}
	return ids
}

func openWaves(waves map[int64]*waveState) []*waveState {
	var open []*waveState
	for _, ws := range waves {
		if !ws.reported {
			open = append(open, ws)
		}
	}
	slices.SortFunc(open, func(a, b *waveState) int { return int(a.Number - b.Number) })
	return open
}

// newWaveState starts a wave, or continues it from the progress that the store
// had when this term began.
func (t *term) newWaveState(w Wave) *waveState {
	ws := &waveState{Wave: w, vms: map[string]*waveVM{}}
	for _, id := range w.VMs {
		ws.vms[id] = &waveVM{}
	}
	for _, id := range t.waveDone[w.Number] {
		if p := ws.vms[id]; p != nil {
			p.state = upkeepDone
		}
	}
	if _, begun := t.waveDone[w.Number]; !begun {
		t.queueStatus(ws, false)
	}
	return ws
}

// loadWaveRecord reads the progress of a wave as a former owner recorded it.
func (t *term) loadWaveRecord(item store.Item) error {
	n, err := strconv.ParseInt(item.Key[len(jobstore.WavePrefix):], 10, 64)
	if err != nil {
		return errors.Wrapf(err, "parse number of wave in key %s", item.Key)
	}
	var done []string
	if err := json.Unmarshal(item.Value, &done); err != nil {
		return errors.Wrapf(err, "decode %s", item.Key)
	}
	t.waveDone[n] = done
	return nil
}

// advanceWaves updates every open wave from the list and gives its next orders.
func (t *term) advanceWaves(ctx context.Context, open []*waveState, list []VM, rb *rebalancing) {
	byID := map[string]VM{}
	for _, m := range list {
		if rb.moves[m.ID] != nil || t.formerlyOrdered(m.ID) {
			m.Up = false
		}
		byID[m.ID] = m
	}
	t.expectStops(open, byID)
	for _, ws := range open {
		t.markReturned(ws, byID)
		t.selectVMs(ws, byID)
		t.drainSelected(ctx, ws, byID)
		t.finishIfDone(ws, byID)
	}
}

// expectStops tells the core, for the placement of work, which workers the waves
// will stop.
func (t *term) expectStops(open []*waveState, byID map[string]VM) {
	ids := map[string]bool{}
	for _, ws := range open {
		for id, p := range ws.vms {
			if m, ok := byID[id]; ok && (p.state == upkeepPending || p.state == upkeepDraining) {
				ids[m.Worker] = true
			}
		}
	}
	t.mu.Lock()
	t.core.ExpectStop(ids)
	t.mu.Unlock()
}

// markReturned marks the VMs as done that are back from their upkeep, and
// records the progress of the wave.
func (t *term) markReturned(ws *waveState, byID map[string]VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for id, p := range ws.vms {
		m, listed := byID[id]
		switch {
		case p.state == upkeepDown && !listed:
			p.state = upkeepDone
		case p.state == upkeepDown && m.Up:
			// The list lags, so it may show the VM as it was before the upkeep. A
			// new worker process proves that the VM is back. There is none if the
			// VM is off, or had its upkeep from a former owner, and nothing to compare
			// if the former process was not known; then the VM counts as back after
			// some time.
			workerStart, registered := t.core.WorkerStartMillis(m.Worker)
			renewed := registered && (m.Worker != p.worker || p.workerStart != 0 && workerStart != p.workerStart)
			lasted := boottime.Now() - p.since
			// VMs of a spare pool are off and have no worker. since is when the
			// platform confirmed the order.
			off := p.worker == "" && m.Worker == "" && lasted > t.options.UpkeepTime+upkeepMargin
			if renewed || off || lasted > t.options.UpkeepTime+listLag {
				p.state = upkeepDone
				// If the VM has another worker now, the former one has gone with the
				// upkeep. It stays closed, so that it does not count as a possible
				// holder of leases until its registry entry ends.
				if m.Worker == p.worker {
					t.core.SetClosed(p.worker, false)
				}
			}
		case p.state == upkeepPending && !listed:
			// The VM is gone; if it comes back, its upkeep is due again.
			continue
		}
		changed = changed || p.state == upkeepDone
	}
	if changed {
		t.recordJSONLocked(jobstore.WavePrefix+strconv.FormatInt(ws.Number, 10), ws.doneVMs())
	}
}

func (ws *waveState) doneVMs() []string {
	var ids []string
	for id, p := range ws.vms {
		if p.state == upkeepDone {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// selectVMs selects the next VMs for upkeep and keeps new work off their
// workers.
func (t *term) selectVMs(ws *waveState, byID map[string]VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := strconv.FormatInt(ws.Number, 10)
	spare := t.core.SpareServices()
	s := maintenance.Snapshot{
		Pools: []maintenance.Pool{{Name: name, MaxUnavailable: maintenance.Unlimited}},
		Waves: []maintenance.Wave{{Name: name, Pools: []string{name}, MaxConcurrent: ws.concurrency(), AnyRack: true, Done: ws.doneVMs()}},
	}
	for id, p := range ws.vms {
		m, listed := byID[id]
		vm := maintenance.VM{ID: id, Pool: name, HomePool: name, Busy: t.core.RunCount(m.Worker)}
		if !spare[m.Pool] {
			// Idle VMs of a pool may get work soon; VMs that are off do not, so
			// they are selected first.
			vm.Busy++
		}
		switch {
		case p.state == upkeepDraining || p.state == upkeepDown:
			vm.State, vm.Wave = maintenance.PlannedOutage, name
		case !listed:
			vm.State = maintenance.Removed
		case !m.Up:
			vm.State = maintenance.Failed
		}
		s.VMs = append(s.VMs, vm)
	}
	for _, withdrawal := range maintenance.Next(s).Withdrawals {
		p := ws.vms[withdrawal.VM]
		p.state, p.since, p.worker = upkeepDraining, boottime.Now(), byID[withdrawal.VM].Worker
		t.core.SetClosed(p.worker, true)
		t.options.Log.Info().Str("event", "upkeep_draining").Int64("wave", ws.Number).Str("vm", withdrawal.VM).Str("worker", p.worker).Msg("")
	}
}

// concurrency returns how many VMs have to be draining or down at a time for the
// wave to end in time.
func (ws *waveState) concurrency() int {
	open := 0
	for _, p := range ws.vms {
		if p.state != upkeepDone {
			open++
		}
	}
	left := ws.Duration - time.Since(ws.FirstSeenAt)
	if left < vmTurnaround {
		return ws.MaxConcurrent
	}
	need := int(math.Ceil(waveTimeMargin * float64(open) * float64(vmTurnaround) / float64(left)))
	return min(ws.MaxConcurrent, max(need, 1))
}

// drainSelected moves work off the selected VMs and orders the upkeep of those
// that are empty.
func (t *term) drainSelected(ctx context.Context, ws *waveState, byID map[string]VM) {
	down := t.countDown(ws, byID)
	for id, p := range ws.vms {
		if p.state != upkeepDraining {
			continue
		}
		if m, listed := byID[id]; !listed || m.Worker != p.worker {
			// The VM is gone or has another worker: it has to be selected again.
			t.cancelDraining(p)
			continue
		}
		now := boottime.Now()
		t.mu.Lock()
		// A worker that was dropped and has registered again is open.
		t.core.SetClosed(p.worker, true)
		t.core.Evacuate(p.worker, now-p.since > forceEvacuateAfter, now)
		empty := (p.worker == "" || t.core.Empty(p.worker)) && !t.core.HasOtherWorker(id, p.worker)
		p.workerStart, _ = t.core.WorkerStartMillis(p.worker)
		t.mu.Unlock()
		t.wakeRounds()
		if !empty || down >= ws.MaxConcurrent || !t.authorized() || !t.vmOrderLimit.Allow() {
			continue
		}
		if t.orderUpkeep(ctx, ws, id, p) {
			down++
		}
	}
}

// countDown returns how many VMs of a wave are down for it, or may be: the
// recent orders of a former owner count too.
func (t *term) countDown(ws *waveState, byID map[string]VM) int {
	n := 0
	for id, p := range ws.vms {
		if p.state == upkeepDown || p.state != upkeepDone && (byID[id].InUpkeep || t.formerlyOrdered(id)) {
			n++
		}
	}
	return n
}

// cancelDraining makes a VM selectable again and lets its worker take new work.
func (t *term) cancelDraining(p *waveVM) {
	t.mu.Lock()
	t.core.SetClosed(p.worker, false)
	t.mu.Unlock()
	p.state = upkeepPending
}

// orderUpkeep orders the upkeep of a VM and reports whether the VM is, or may
// be, down. A VM that may not be taken down any more is drained further.
func (t *term) orderUpkeep(ctx context.Context, ws *waveState, id string, p *waveVM) bool {
	if !t.recordOrders(ctx, []string{id}) {
		return false
	}
	t.mu.Lock()
	allowed := t.mayTakeDownLocked(id, p.worker, p.workerStart)
	t.mu.Unlock()
	if !allowed {
		t.options.Log.Info().Str("event", "upkeep_postponed").Int64("wave", ws.Number).Str("vm", id).Str("worker", p.worker).Msg("")
		return false
	}
	err := t.options.VMs.Upkeep(ctx, id, ws.Number, t.ownership.Fence)
	t.options.Log.Info().Str("event", "upkeep_ordered").Int64("wave", ws.Number).Str("vm", id).Str("worker", p.worker).
		Int64("fence", t.ownership.Fence).AnErr("error", err).Msg("")
	switch {
	case err == nil:
		p.state, p.since = upkeepDown, boottime.Now()
		return true
	case errors.Is(err, ErrFenced):
		t.endIfFenced(err)
	case errors.Is(err, ErrNotInWave):
		t.cancelDraining(p)
		p.state = upkeepDone
	case errors.Is(err, ErrBusy):
		t.cancelDraining(p)
	default:
		// The order may have been carried out. It is repeated: the platform
		// confirms it without a second upkeep.
		return true
	}
	return false
}

// finishIfDone reports a wave as completed once all its VMs are done or gone.
func (t *term) finishIfDone(ws *waveState, byID map[string]VM) {
	for id, p := range ws.vms {
		if _, listed := byID[id]; p.state != upkeepDone && (listed || p.state != upkeepPending) {
			t.logProgress(ws, byID)
			return
		}
	}
	t.queueStatus(ws, true)
	ws.reported = true
	t.options.Log.Info().Str("event", "wave_completed").Int64("wave", ws.Number).Int("vms", len(ws.vms)).
		Dur("took", time.Since(ws.FirstSeenAt)).Msg("")
}

// logProgress logs, at most every progressEvery, the VMs of a wave that have
// not had their upkeep.
func (t *term) logProgress(ws *waveState, byID map[string]VM) {
	if boottime.Now()-ws.loggedAt < progressEvery {
		return
	}
	ws.loggedAt = boottime.Now()
	var left []string
	for id, p := range ws.vms {
		if m, listed := byID[id]; p.state != upkeepDone {
			left = append(left, fmt.Sprintf("%s:%s:listed=%t:up=%t:worker=%s", id, p.state, listed, m.Up, m.Worker))
		}
	}
	slices.Sort(left)
	t.options.Log.Info().Str("event", "wave_progress").Int64("wave", ws.Number).Int("left", len(left)).
		Str("vms", strings.Join(left[:min(len(left), maxProgressVMs)], ",")).Msg("")
}

// queueStatus queues the record that shows operators the state of a wave.
func (t *term) queueStatus(ws *waveState, completed bool) {
	record := t.options.VMs.WaveStatus(ws.Number, completed)
	t.mu.Lock()
	if t.written[record.Key] != string(record.Value) {
		t.queuedRecords[record.Key] = record.Value
	}
	t.mu.Unlock()
	t.wakeWriter()
}
