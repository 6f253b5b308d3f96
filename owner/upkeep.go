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

// Machine is a VM in the platform's list.
type Machine struct {
	ID     string
	Pool   string
	Worker string
	// Up is set while the VM is neither moving, nor in upkeep, nor down.
	Up bool
	// InUpkeep is set while the VM is down for its upkeep.
	InUpkeep bool
}

// Machines moves VMs between pools and takes them down for upkeep.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	// Upkeep takes a VM down for its upkeep in a wave. It succeeds if that is
	// done already.
	Upkeep(ctx context.Context, machine string, wave int64, fence int64) error
	Move(ctx context.Context, machine, pool string, fence int64) error
	// WaveStatus is the record that tells the operator the state of a wave.
	WaveStatus(wave int64, completed bool) jobstore.Record
}

// Errors of Machines.
var (
	// ErrBusy reports a VM that is moving, in upkeep or leaving.
	ErrBusy = errors.New("VM is busy")
	// ErrNotInWave reports a VM that the wave does not name.
	ErrNotInWave = errors.New("VM is not in the wave")
)

// Wave asks for the upkeep of VMs.
type Wave struct {
	Number   int64
	Machines []string
	Duration time.Duration
	// AtOnce is how many may be down for it together.
	AtOnce int
	// SeenAt is when this process learned of it.
	SeenAt time.Time
}

const (
	// upkeepEvery is the pause between looks at the waves and the VMs.
	upkeepEvery = 150 * time.Millisecond
	// pausePerVM makes looks at a long list rarer: reading an entry takes about
	// 10 µs.
	pausePerVM = 300 * time.Microsecond
	// listLag is how old the platform's list may be.
	listLag = 2 * time.Second
	// upkeepMargin is added to the time that an upkeep takes.
	upkeepMargin = 300 * time.Millisecond
	// progressEvery is the pause between log lines of a wave, progressVMs how
	// many VMs one names.
	progressEvery = 3 * time.Second
	progressVMs   = 5
	// machineTime is how long a VM takes from its choice until it is back: the
	// rest of its work, the upkeep itself, and the lag of the list.
	machineTime = 6 * time.Second
	// paceMargin makes a wave end before its time.
	paceMargin = 1.5
	// evacuateTime is how long work that would be lost may go on on a VM that
	// is due for upkeep.
	evacuateTime = 2500 * time.Millisecond
	// handOverMargin is added to the pause between the orders of successive
	// owners, for the clocks' differences.
	handOverMargin = 300 * time.Millisecond
)

// machineState is where a VM stands in a wave.
type machineState int

const (
	machinePending machineState = iota
	machineDraining
	machineDown
	machineDone
)

func (s machineState) String() string { return [...]string{"pending", "draining", "down", "done"}[s] }

// wavePart is one VM of a wave, with the worker that its upkeep ends.
type wavePart struct {
	state machineState
	// since is when the state began.
	since  time.Duration
	worker string
	born   int64
}

// waveRun is the progress of a wave in this term.
type waveRun struct {
	Wave
	parts    map[string]*wavePart
	reported bool
	loggedAt time.Duration
}

// upkeep carries out the waves until ctx ends.
func (t *term) upkeep(ctx context.Context) {
	runs := map[int64]*waveRun{}
	lent := newLending(t.options.MoveTime)
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
				t.advance(ctx, open, list, lent)
				t.lend(ctx, lent, list, inUpkeep(open))
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
		for id, p := range r.parts {
			if p.state == machineDraining || p.state == machineDown {
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

// newWaveRun continues a wave where the store says that it stands.
func (t *term) newWaveRun(w Wave) *waveRun {
	r := &waveRun{Wave: w, parts: map[string]*wavePart{}}
	for _, id := range w.Machines {
		r.parts[id] = &wavePart{}
	}
	for _, id := range t.waveDone[w.Number] {
		if p := r.parts[id]; p != nil {
			p.state = machineDone
		}
	}
	if _, begun := t.waveDone[w.Number]; !begun {
		t.report(r, false)
	}
	return r
}

// takeWaveRecord reads the progress of a wave that a former owner left.
func (t *term) takeWaveRecord(item store.Item) error {
	n, err := strconv.ParseInt(item.Key[len(jobstore.WavePrefix):], 10, 64)
	if err != nil {
		return errors.Wrapf(err, "key %s", item.Key)
	}
	var done []string
	if err := json.Unmarshal(item.Value, &done); err != nil {
		return errors.Wrapf(err, "decode %s", item.Key)
	}
	t.waveDone[n] = done
	return nil
}

// advance takes every open wave a step further.
func (t *term) advance(ctx context.Context, open []*waveRun, list []Machine, lent *lending) {
	byID := map[string]Machine{}
	for _, m := range list {
		if lent.moves[m.ID] != nil || t.formerlyOrdered(m.ID) {
			m.Up = false
		}
		byID[m.ID] = m
	}
	t.expectStops(open, byID)
	for _, r := range open {
		t.noteReturned(r, byID)
		t.choose(r, byID)
		t.drain(ctx, r, byID)
		t.finish(r, byID)
	}
}

// expectStops tells the placement which workers the waves will stop.
func (t *term) expectStops(open []*waveRun, byID map[string]Machine) {
	ids := map[string]bool{}
	for _, r := range open {
		for id, p := range r.parts {
			if m, ok := byID[id]; ok && (p.state == machinePending || p.state == machineDraining) {
				ids[m.Worker] = true
			}
		}
	}
	t.mu.Lock()
	t.core.ExpectStop(ids)
	t.mu.Unlock()
}

// noteReturned notes the VMs that are back with a new worker.
func (t *term) noteReturned(r *waveRun, byID map[string]Machine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for id, p := range r.parts {
		m, listed := byID[id]
		switch {
		case p.state == machineDown && !listed:
			p.state = machineDone
		case p.state == machineDown && m.Up:
			// Without a new lifetime the VM is off, in a spare pool, or had its
			// upkeep from a former owner. The list lags, so that it may still
			// show the time before.
			born, registered := t.core.Lifetime(m.Worker)
			renewed := registered && (m.Worker != p.worker || born != p.born)
			lasted := boottime.Now() - p.since
			// A VM that is off shows nothing new; its order was answered at since.
			off := p.worker == "" && m.Worker == "" && lasted > t.options.UpkeepTime+upkeepMargin
			if renewed || off || lasted > t.options.UpkeepTime+listLag {
				p.state = machineDone
				t.core.Close(p.worker, false)
			}
		case p.state == machinePending && !listed:
			// The VM is gone; if it comes back, its upkeep is due again.
			continue
		}
		changed = changed || p.state == machineDone
	}
	if changed {
		t.recordJSONLocked(jobstore.WavePrefix+strconv.FormatInt(r.Number, 10), r.done())
	}
}

func (r *waveRun) done() []string {
	var ids []string
	for id, p := range r.parts {
		if p.state == machineDone {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// choose closes the workers of the VMs whose turn it is.
func (t *term) choose(r *waveRun, byID map[string]Machine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := strconv.FormatInt(r.Number, 10)
	spare := t.core.SparePools()
	s := maintenance.Snapshot{
		Pools: []maintenance.Pool{{Name: name, MaxUnavailable: maintenance.Unlimited}},
		Waves: []maintenance.Wave{{Name: name, Pools: []string{name}, MaxConcurrent: r.concurrency(), AnyRack: true, Done: r.done()}},
	}
	for id, p := range r.parts {
		m, listed := byID[id]
		vm := maintenance.VM{ID: id, Pool: name, HomePool: name, Busy: t.core.Load(m.Worker)}
		if !spare[m.Pool] {
			// Idle VMs of a pool may soon get work; those that are off do not.
			vm.Busy++
		}
		switch {
		case p.state == machineDraining || p.state == machineDown:
			vm.State, vm.Wave = maintenance.Planned, name
		case !listed:
			vm.State = maintenance.Removed
		case !m.Up:
			vm.State = maintenance.Failed
		}
		s.VMs = append(s.VMs, vm)
	}
	for _, start := range maintenance.Next(s).Starts {
		p := r.parts[start.VM]
		p.state, p.since, p.worker = machineDraining, boottime.Now(), byID[start.VM].Worker
		t.core.Close(p.worker, true)
		t.options.Log.Info().Str("event", "upkeep_draining").Int64("wave", r.Number).Str("vm", start.VM).Str("worker", p.worker).Msg("")
	}
}

// concurrency is how many VMs have to be out together for the wave to end in
// time.
func (r *waveRun) concurrency() int {
	open := 0
	for _, p := range r.parts {
		if p.state != machineDone {
			open++
		}
	}
	left := r.Duration - time.Since(r.SeenAt)
	if left < machineTime {
		return r.AtOnce
	}
	need := int(math.Ceil(paceMargin * float64(open) * float64(machineTime) / float64(left)))
	return min(r.AtOnce, max(need, 1))
}

// drain empties the chosen VMs and orders the upkeep of the empty ones.
func (t *term) drain(ctx context.Context, r *waveRun, byID map[string]Machine) {
	down := t.down(r, byID)
	for id, p := range r.parts {
		if p.state != machineDraining {
			continue
		}
		if m, listed := byID[id]; !listed || m.Worker != p.worker {
			// The worker was replaced on the way: the VM's turn comes anew.
			t.reopen(p)
			continue
		}
		now := boottime.Now()
		t.mu.Lock()
		t.core.Evacuate(p.worker, now-p.since > evacuateTime, now)
		empty := p.worker == "" || t.core.Empty(p.worker)
		p.born, _ = t.core.Lifetime(p.worker)
		t.mu.Unlock()
		t.kick()
		if !empty || down >= r.AtOnce || !t.authorized() || !t.orderLimit.Allow() {
			continue
		}
		if t.orderUpkeep(ctx, r, id, p) {
			down++
		}
	}
}

// down returns how many VMs of a wave are down for it, or may be: a former
// owner's orders count too.
func (t *term) down(r *waveRun, byID map[string]Machine) int {
	n := 0
	for id, p := range r.parts {
		if p.state == machineDown || p.state != machineDone && (byID[id].InUpkeep || t.formerlyOrdered(id)) {
			n++
		}
	}
	return n
}

func (t *term) reopen(p *wavePart) {
	t.mu.Lock()
	t.core.Close(p.worker, false)
	t.mu.Unlock()
	p.state = machinePending
}

// orderUpkeep reports whether the VM is, or may be, down.
func (t *term) orderUpkeep(ctx context.Context, r *waveRun, id string, p *wavePart) bool {
	if !t.announceOrders(ctx, []string{id}) {
		return false
	}
	err := t.options.Machines.Upkeep(ctx, id, r.Number, t.held.Fence)
	t.options.Log.Info().Str("event", "upkeep_ordered").Int64("wave", r.Number).Str("vm", id).Str("worker", p.worker).
		Int64("fence", t.held.Fence).AnErr("error", err).Msg("")
	switch {
	case err == nil:
		p.state, p.since = machineDown, boottime.Now()
		return true
	case errors.Is(err, ErrFenced):
		t.fenced(err)
	case errors.Is(err, ErrNotInWave):
		t.reopen(p)
		p.state = machineDone
	case errors.Is(err, ErrBusy):
		t.reopen(p)
	default:
		// The order may have been carried out; it is repeated, which the
		// platform answers without a second upkeep.
		return true
	}
	return false
}

// finish reports a wave whose VMs are all done or gone.
func (t *term) finish(r *waveRun, byID map[string]Machine) {
	for id, p := range r.parts {
		if _, listed := byID[id]; p.state != machineDone && (listed || p.state != machinePending) {
			t.logProgress(r, byID)
			return
		}
	}
	t.report(r, true)
	r.reported = true
	t.options.Log.Info().Str("event", "wave_completed").Int64("wave", r.Number).Int("vms", len(r.parts)).
		Dur("took", time.Since(r.SeenAt)).Msg("")
}

// logProgress writes now and then which VMs a wave still has to do.
func (t *term) logProgress(r *waveRun, byID map[string]Machine) {
	if boottime.Now()-r.loggedAt < progressEvery {
		return
	}
	r.loggedAt = boottime.Now()
	var left []string
	for id, p := range r.parts {
		if m, listed := byID[id]; p.state != machineDone {
			left = append(left, fmt.Sprintf("%s:%s:listed=%t:up=%t:worker=%s", id, p.state, listed, m.Up, m.Worker))
		}
	}
	slices.Sort(left)
	t.options.Log.Info().Str("event", "wave_progress").Int64("wave", r.Number).Int("left", len(left)).
		Str("vms", strings.Join(left[:min(len(left), progressVMs)], ",")).Msg("")
}

func (t *term) report(r *waveRun, completed bool) {
	record := t.options.Machines.WaveStatus(r.Number, completed)
	t.mu.Lock()
	if t.written[record.Key] != string(record.Value) {
		t.records[record.Key] = record.Value
	}
	t.mu.Unlock()
	t.kickWriter()
}
