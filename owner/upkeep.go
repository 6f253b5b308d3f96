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

// Machine is a VM as the platform lists it.
type Machine struct {
	ID   string
	Pool string
	// Worker is the ID of the worker on the VM, empty if there is none.
	Worker string
	// Up is set while the VM is neither moving, nor in upkeep, nor down.
	Up bool
	// InUpkeep is set while the VM is down for its upkeep.
	InUpkeep bool
}

// Machines moves VMs between pools and takes them down for upkeep, which is
// planned maintenance.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	// Upkeep takes a VM down for its upkeep in a wave. It also succeeds if the
	// VM already had its upkeep in that wave.
	Upkeep(ctx context.Context, machine string, wave int64, fence int64) error
	Move(ctx context.Context, machine, pool string, fence int64) error
	// WaveStatus returns the record that shows operators the state of a wave.
	WaveStatus(wave int64, completed bool) jobstore.Record
}

// Errors of Machines.
var (
	// ErrBusy reports a VM that is moving, in upkeep or leaving.
	ErrBusy = errors.New("VM is busy")
	// ErrNotInWave reports a VM that is not part of the wave.
	ErrNotInWave = errors.New("VM is not in the wave")
)

// Wave is an operator's request for the upkeep of a set of VMs.
type Wave struct {
	Number   int64
	Machines []string
	Duration time.Duration
	// AtOnce is the maximum number of VMs that may be down for it at a time.
	AtOnce int
	// SeenAt is when this process first read the request.
	SeenAt time.Time
}

const (
	// upkeepEvery is the shortest pause between iterations of the upkeep loop.
	upkeepEvery = 150 * time.Millisecond
	// pausePerVM makes the pause proportional to the length of a long list:
	// reading an entry takes about 10 µs.
	pausePerVM = 300 * time.Microsecond
	// listLag is the maximum age of the platform's list of VMs.
	listLag = 2 * time.Second
	// upkeepMargin is added to the time that an upkeep takes.
	upkeepMargin = 300 * time.Millisecond
	// progressEvery is the pause between the progress lines that are logged for
	// a wave, maxProgressVMs the number of VMs that one line names at most.
	progressEvery  = 3 * time.Second
	maxProgressVMs = 5
	// vmTurnaround is the time from the selection of a VM until it is back: the
	// rest of its work, the upkeep itself, and the lag of the list.
	vmTurnaround = 6 * time.Second
	// waveTimeMargin raises the number of VMs that are out of service together,
	// so that a wave ends before its time is up.
	waveTimeMargin = 1.5
	// forceEvacuateAfter is how long work whose progress would be lost may
	// continue on a VM that is selected for upkeep.
	forceEvacuateAfter = 2500 * time.Millisecond
	// handOverMargin is added to the minimum time between the orders of
	// successive owners, to allow for clocks that differ.
	handOverMargin = 300 * time.Millisecond
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

// waveVM is one VM of a wave, with the worker, and the lifetime of the worker,
// that its upkeep ends.
type waveVM struct {
	state upkeepState
	// since is when the state began.
	since    time.Duration
	worker   string
	lifetime int64
}

// waveRun is the progress of a wave in this term.
type waveRun struct {
	Wave
	vms      map[string]*waveVM
	reported bool
	loggedAt time.Duration
}

// upkeep carries out the waves and moves VMs between pools until ctx ends.
func (t *term) upkeep(ctx context.Context) {
	runs := map[int64]*waveRun{}
	moveState := newRebalancing(t.options.MoveTime)
	for ctx.Err() == nil {
		for _, w := range t.options.Waves() {
			if runs[w.Number] == nil {
				runs[w.Number] = t.newWaveRun(w)
			}
		}
		pause := upkeepEvery
		if t.authorized() {
			if list, err := t.options.Machines.List(ctx); err == nil {
				open := openRuns(runs)
				pause = max(pause, time.Duration(len(list))*pausePerVM)
				t.advanceWaves(ctx, open, list, moveState)
				t.rebalance(ctx, moveState, list, inUpkeep(open))
			} else if ctx.Err() == nil {
				t.options.Log.Warn().Str("event", "vm_list_failed").Err(err).Msg("")
			}
		}
		wait(ctx, nil, pause)
	}
}

// inUpkeep returns the VMs that the waves have taken out of service.
func inUpkeep(open []*waveRun) map[string]bool {
	ids := map[string]bool{}
	for _, r := range open {
		for id, p := range r.vms {
			if p.state == upkeepDraining || p.state == upkeepDown {
				ids[id] = true
			}
		}
	}
	return ids
}

func openRuns(runs map[int64]*waveRun) []*waveRun {
	var open []*waveRun
	for _, r := range runs {
		if !r.reported {
			open = append(open, r)
		}
	}
	slices.SortFunc(open, func(a, b *waveRun) int { return int(a.Number - b.Number) })
	return open
}

// newWaveRun starts a wave, or continues it from the progress that the store
// had when this term began.
func (t *term) newWaveRun(w Wave) *waveRun {
	r := &waveRun{Wave: w, vms: map[string]*waveVM{}}
	for _, id := range w.Machines {
		r.vms[id] = &waveVM{}
	}
	for _, id := range t.waveDone[w.Number] {
		if p := r.vms[id]; p != nil {
			p.state = upkeepDone
		}
	}
	if _, begun := t.waveDone[w.Number]; !begun {
		t.queueStatus(r, false)
	}
	return r
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
func (t *term) advanceWaves(ctx context.Context, open []*waveRun, list []Machine, moveState *rebalancing) {
	byID := map[string]Machine{}
	for _, m := range list {
		if moveState.moves[m.ID] != nil || t.formerlyOrdered(m.ID) {
			m.Up = false
		}
		byID[m.ID] = m
	}
	t.expectStops(open, byID)
	for _, r := range open {
		t.markReturned(r, byID)
		t.selectVMs(r, byID)
		t.drainSelected(ctx, r, byID)
		t.finishIfDone(r, byID)
	}
}

// expectStops tells the core, for the placement of work, which workers the waves
// will stop.
func (t *term) expectStops(open []*waveRun, byID map[string]Machine) {
	ids := map[string]bool{}
	for _, r := range open {
		for id, p := range r.vms {
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
func (t *term) markReturned(r *waveRun, byID map[string]Machine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for id, p := range r.vms {
		m, listed := byID[id]
		switch {
		case p.state == upkeepDown && !listed:
			p.state = upkeepDone
		case p.state == upkeepDown && m.Up:
			// A VM whose worker has no new lifetime is off, is in a spare pool, or
			// had its upkeep from a former owner. The list lags, so it may still
			// show the state before the upkeep.
			lifetime, registered := t.core.Lifetime(m.Worker)
			renewed := registered && (m.Worker != p.worker || lifetime != p.lifetime)
			lasted := boottime.Now() - p.since
			// A VM that is off has no worker that could show its return; its order
			// was answered at since.
			off := p.worker == "" && m.Worker == "" && lasted > t.options.UpkeepTime+upkeepMargin
			if renewed || off || lasted > t.options.UpkeepTime+listLag {
				p.state = upkeepDone
				t.core.Close(p.worker, false)
			}
		case p.state == upkeepPending && !listed:
			// The VM is gone; if it comes back, its upkeep is due again.
			continue
		}
		changed = changed || p.state == upkeepDone
	}
	if changed {
		t.recordJSONLocked(jobstore.WavePrefix+strconv.FormatInt(r.Number, 10), r.doneVMs())
	}
}

func (r *waveRun) doneVMs() []string {
	var ids []string
	for id, p := range r.vms {
		if p.state == upkeepDone {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// selectVMs selects the next VMs for upkeep and keeps new work off their
// workers.
func (t *term) selectVMs(r *waveRun, byID map[string]Machine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := strconv.FormatInt(r.Number, 10)
	spare := t.core.SparePools()
	s := maintenance.Snapshot{
		Pools: []maintenance.Pool{{Name: name, MaxUnavailable: maintenance.Unlimited}},
		Waves: []maintenance.Wave{{Name: name, Pools: []string{name}, MaxConcurrent: r.concurrency(), AnyRack: true, Done: r.doneVMs()}},
	}
	for id, p := range r.vms {
		m, listed := byID[id]
		vm := maintenance.VM{ID: id, Pool: name, HomePool: name, Busy: t.core.Load(m.Worker)}
		if !spare[m.Pool] {
			// Idle VMs of a pool may get work soon; VMs that are off do not, so
			// they are selected first.
			vm.Busy++
		}
		switch {
		case p.state == upkeepDraining || p.state == upkeepDown:
			vm.State, vm.Wave = maintenance.Planned, name
		case !listed:
			vm.State = maintenance.Removed
		case !m.Up:
			vm.State = maintenance.Failed
		}
		s.VMs = append(s.VMs, vm)
	}
	for _, start := range maintenance.Next(s).Starts {
		p := r.vms[start.VM]
		p.state, p.since, p.worker = upkeepDraining, boottime.Now(), byID[start.VM].Worker
		t.core.Close(p.worker, true)
		t.options.Log.Info().Str("event", "upkeep_draining").Int64("wave", r.Number).Str("vm", start.VM).Str("worker", p.worker).Msg("")
	}
}

// concurrency returns how many VMs have to be out of service at a time for the
// wave to end in time.
func (r *waveRun) concurrency() int {
	open := 0
	for _, p := range r.vms {
		if p.state != upkeepDone {
			open++
		}
	}
	left := r.Duration - time.Since(r.SeenAt)
	if left < vmTurnaround {
		return r.AtOnce
	}
	need := int(math.Ceil(waveTimeMargin * float64(open) * float64(vmTurnaround) / float64(left)))
	return min(r.AtOnce, max(need, 1))
}

// drainSelected moves work off the selected VMs and orders the upkeep of those
// that are empty.
func (t *term) drainSelected(ctx context.Context, r *waveRun, byID map[string]Machine) {
	down := t.countDown(r, byID)
	for id, p := range r.vms {
		if p.state != upkeepDraining {
			continue
		}
		if m, listed := byID[id]; !listed || m.Worker != p.worker {
			// The VM is gone or has another worker: it has to be selected again.
			t.returnToPending(p)
			continue
		}
		now := boottime.Now()
		t.mu.Lock()
		t.core.Evacuate(p.worker, now-p.since > forceEvacuateAfter, now)
		empty := p.worker == "" || t.core.Empty(p.worker)
		p.lifetime, _ = t.core.Lifetime(p.worker)
		t.mu.Unlock()
		t.wakeRounds()
		if !empty || down >= r.AtOnce || !t.authorized() || !t.orderLimit.Allow() {
			continue
		}
		if t.orderUpkeep(ctx, r, id, p) {
			down++
		}
	}
}

// countDown returns how many VMs of a wave are down for it, or may be: the
// recent orders of a former owner count too.
func (t *term) countDown(r *waveRun, byID map[string]Machine) int {
	n := 0
	for id, p := range r.vms {
		if p.state == upkeepDown || p.state != upkeepDone && (byID[id].InUpkeep || t.formerlyOrdered(id)) {
			n++
		}
	}
	return n
}

func (t *term) returnToPending(p *waveVM) {
	t.mu.Lock()
	t.core.Close(p.worker, false)
	t.mu.Unlock()
	p.state = upkeepPending
}

// orderUpkeep orders the upkeep of a VM and reports whether the VM is, or may
// be, down.
func (t *term) orderUpkeep(ctx context.Context, r *waveRun, id string, p *waveVM) bool {
	if !t.recordOrders(ctx, []string{id}) {
		return false
	}
	err := t.options.Machines.Upkeep(ctx, id, r.Number, t.held.Fence)
	t.options.Log.Info().Str("event", "upkeep_ordered").Int64("wave", r.Number).Str("vm", id).Str("worker", p.worker).
		Int64("fence", t.held.Fence).AnErr("error", err).Msg("")
	switch {
	case err == nil:
		p.state, p.since = upkeepDown, boottime.Now()
		return true
	case errors.Is(err, ErrFenced):
		t.endIfFenced(err)
	case errors.Is(err, ErrNotInWave):
		t.returnToPending(p)
		p.state = upkeepDone
	case errors.Is(err, ErrBusy):
		t.returnToPending(p)
	default:
		// The order may have been carried out. It is repeated: the platform
		// confirms it without a second upkeep.
		return true
	}
	return false
}

// finishIfDone reports a wave as completed once all its VMs are done or gone.
func (t *term) finishIfDone(r *waveRun, byID map[string]Machine) {
	for id, p := range r.vms {
		if _, listed := byID[id]; p.state != upkeepDone && (listed || p.state != upkeepPending) {
			t.logProgress(r, byID)
			return
		}
	}
	t.queueStatus(r, true)
	r.reported = true
	t.options.Log.Info().Str("event", "wave_completed").Int64("wave", r.Number).Int("vms", len(r.vms)).
		Dur("took", time.Since(r.SeenAt)).Msg("")
}

// logProgress logs, at most every progressEvery, the VMs of a wave that have
// not had their upkeep.
func (t *term) logProgress(r *waveRun, byID map[string]Machine) {
	if boottime.Now()-r.loggedAt < progressEvery {
		return
	}
	r.loggedAt = boottime.Now()
	var left []string
	for id, p := range r.vms {
		if m, listed := byID[id]; p.state != upkeepDone {
			left = append(left, fmt.Sprintf("%s:%s:listed=%t:up=%t:worker=%s", id, p.state, listed, m.Up, m.Worker))
		}
	}
	slices.Sort(left)
	t.options.Log.Info().Str("event", "wave_progress").Int64("wave", r.Number).Int("left", len(left)).
		Str("vms", strings.Join(left[:min(len(left), maxProgressVMs)], ",")).Msg("")
}

// queueStatus queues the record that shows operators the state of a wave.
func (t *term) queueStatus(r *waveRun, completed bool) {
	record := t.options.Machines.WaveStatus(r.Number, completed)
	t.mu.Lock()
	if t.written[record.Key] != string(record.Value) {
		t.queuedRecords[record.Key] = record.Value
	}
	t.mu.Unlock()
	t.wakeWriter()
}
