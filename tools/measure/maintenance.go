package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dotterelhead.example/dotterelhead/control"
	"dotterelhead.example/dotterelhead/examples"
	"dotterelhead.example/dotterelhead/fleet"
	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/membership"
	"dotterelhead.example/dotterelhead/note"
	"dotterelhead.example/dotterelhead/scheduler/maintenance"
)

const (
	waveMaxConcurrent = 4
	waveEntries       = 6
	waveListLag       = 2 * time.Second
	waveOutage        = 60 * time.Second
	// waveConfirm is the time from the last confirmation to the round that
	// it triggers (triggerDelay in package control).
	waveConfirm = 20 * time.Millisecond
	// waveTakeover is the time from the last round of a lost control holder
	// to the first of the next one: the lease and one interval.
	waveTakeover = 6 * time.Second
	// waveRepeat is repeatAfter in package control.
	waveRepeat = 10 * time.Second
	// waveLimit ends waves that make no progress.
	waveLimit = 24 * time.Hour
)

type waveFault string

// Faults of a run. Each one strikes when half of the bound has passed or, for
// VMs that come back late and lost answers, all the time.
const (
	waveNoFault     waveFault = "no fault"
	waveRackLost    waveFault = "a rack lost for 60 s"
	waveAbsent      waveFault = "half of the VMs missing for 60 s after their reboot"
	waveLateBoot    waveFault = "half of the reboots 60 s longer"
	waveLostAnswers waveFault = "lost reboot answers"
	waveNewHolder   waveFault = "control holder replaced"
)

var waveFaults = []waveFault{waveNoFault, waveRackLost, waveAbsent, waveLateBoot, waveLostAnswers, waveNewHolder}

// waveVM is the true state of a VM, and the times drawn for it.
type waveVM struct {
	id, zone, rack, pool string
	// releases are the times that the requests in flight on each entry VM
	// take to end.
	releases [waveEntries]time.Duration
	reboot   time.Duration
	late     bool
	// cut is set when a fault ended the maintenance of the VM early.
	cut bool

	boot      int64
	drained   bool
	rebooting bool
	lost      bool
	absent    bool
	reboots   int
	done      map[string]bool
	asked     int64
	history   []waveListed
}

// waveListed is what the platform's list shows of a VM from a time on.
type waveListed struct {
	at     time.Duration
	listed bool
	vm     infrastructure.VM
}

// time is the least time that the VM is out of service for the wave.
func (v *waveVM) time() time.Duration {
	if v.cut {
		return 0
	}
	return slices.Max(v.releases[:]) + v.reboot
}

func (v *waveVM) up() bool { return !v.rebooting && !v.lost && !v.absent }

// waveHolder is a tenure of the control role, as in package control.
type waveHolder struct {
	term        int64
	fences      map[string]fleet.Fence
	steadySince time.Duration
	answered    map[string]time.Duration
}

// waveRun drives maintenance.Next and fleet.Step as package control does.
type waveRun struct {
	random   *rand.Rand
	fault    waveFault
	config   note.Config
	vms      []*waveVM
	byID     map[string]*waveVM
	now      time.Duration
	events   events
	seq      int
	document fleet.Document
	entries  []fleet.Entry
	holder   *waveHolder
	// dying has the holder end at its next reboot.
	dying bool
	// triggered is set while a round is due for confirmations.
	triggered bool
	// struck counts what faults have hit: VMs, answers and holders.
	struck  int
	budgets map[string]int
	// news is set when the input of the next step has changed, whose result
	// is actions.
	news    bool
	actions []fleet.Action
	// dirty is set when a VM or the document has changed.
	dirty    bool
	ended    time.Duration
	breaches map[string]bool
	broken   int
}

// waveResult is what a run comes to.
type waveResult struct {
	ratio, budgetRatio, seconds float64
	breaches, twice, missed     int
}

func measureMaintenance(s scenario) ([]Row, []chart) {
	fleets := []waveFleet{
		{"50 VMs", 50, 5, false, func() (note.Config, []*waveVM) { return exampleFleet(s.Deployment) }},
		{"50 VMs, a wave for each pool", 50, 5, true, func() (note.Config, []*waveVM) { return exampleFleet(s.Deployment) }},
		{"500 VMs", 500, 1, false, func() (note.Config, []*waveVM) { return largeFleet(500, 30) }},
		{"500 VMs, a wave for each pool", 500, 1, true, func() (note.Config, []*waveVM) { return largeFleet(500, 30) }},
	}
	if s.Quick {
		fleets = fleets[:2]
	}
	var rows []Row
	for _, f := range fleets {
		results := make([]waveResult, len(waveFaults)*f.runs)
		parallel(len(results), func(i int) {
			random := rand.New(rand.NewPCG(s.Seed, uint64(2000+i%f.runs)))
			config, vms := f.make()
			results[i] = newWaveRun(random, waveFaults[i/f.runs], f.split, config, vms).run()
		})
		for i, fault := range waveFaults {
			rows = append(rows, f.rows(fault, results[i*f.runs:(i+1)*f.runs])...)
		}
	}
	return rows, nil
}

// waveFleet is a fleet to measure, with the number of runs for each fault.
type waveFleet struct {
	name       string
	size, runs int
	// split has a wave for each pool in place of one for all.
	split bool
	make  func() (note.Config, []*waveVM)
}

// rows returns the longest times and the sums of all that went wrong.
func (f waveFleet) rows(fault waveFault, results []waveResult) []Row {
	var worst waveResult
	for _, r := range results {
		worst.ratio, worst.budgetRatio = max(worst.ratio, r.ratio), max(worst.budgetRatio, r.budgetRatio)
		worst.seconds = max(worst.seconds, r.seconds)
		worst.breaches, worst.twice, worst.missed = worst.breaches+r.breaches, worst.twice+r.twice, worst.missed+r.missed
	}
	name := "wave, " + f.name + ", " + string(fault) + ": "
	weeks := worst.seconds / (7 * 24 * 3600)
	return []Row{
		row(name+"time against the shortest within budgets and limits", "ratio", worst.ratio).bound(1).atMost(1.25),
		row(name+"time against the shortest within budgets, racks side by side", "ratio", worst.budgetRatio),
		row(name+"availability budgets breached", "breaches", float64(worst.breaches)).atMost(0),
		row(name+"VMs rebooted twice", "VMs", float64(worst.twice)).atMost(0),
		row(name+"VMs not maintained at the end", "VMs", float64(worst.missed)).atMost(0),
		row(name+"2,000 VMs at this rate", "weeks", weeks*topWorkers/float64(f.size)).atMost(5),
	}
}

// exampleFleet returns the fleet of a deployment's example note. Identifiers
// of VMs name availability zone, rack and position.
func exampleFleet(deployment string) (note.Config, []*waveVM) {
	text := examples.Etikettwerk
	if deployment == "mas-trunk" {
		text = examples.MasTrunk
	}
	n, found := note.Parse("example", text)
	if found.Err() != nil {
		panic(found.Err())
	}
	config, found := note.Apply(note.Config{}, n)
	if found.Err() != nil {
		panic(found.Err())
	}
	var vms []*waveVM
	for _, p := range config.Pools {
		for _, id := range p.VMs {
			parts := strings.Split(id, "-")
			vms = append(vms, &waveVM{id: id, pool: p.Name, zone: parts[1], rack: parts[2]})
		}
	}
	return config, vms
}

// largeFleet deals VMs to the pools in turn, four neighbours to a rack, racks
// to three availability zones in turn, with the budgets of the examples.
func largeFleet(size, pools int) (note.Config, []*waveVM) {
	config := note.Config{Revision: 1}
	for i := range pools {
		name := poolName(i)
		config.Pools = append(config.Pools, note.Pool{Name: name})
		config.Services = append(config.Services, note.Service{Name: name, Pool: name, MaxUnavailable: 2})
	}
	var vms []*waveVM
	for i := range size {
		p := &config.Pools[i%pools]
		rack := i / workersPerRack
		v := &waveVM{id: fmt.Sprintf("vm-%04d", i), pool: p.Name, zone: fmt.Sprint(rack % 3), rack: fmt.Sprint(rack)}
		p.VMs = append(p.VMs, v.id)
		vms = append(vms, v)
	}
	return config, vms
}

func newWaveRun(random *rand.Rand, fault waveFault, split bool, config note.Config, vms []*waveVM) *waveRun {
	r := &waveRun{random: random, fault: fault, config: config, vms: vms, byID: map[string]*waveVM{}, breaches: map[string]bool{}, budgets: map[string]int{}}
	for _, p := range config.Pools {
		if budget, limited := fleet.Budget(config, p.Name); limited {
			r.budgets[p.Name] = budget
		}
	}
	for i := range waveEntries {
		r.entries = append(r.entries, fleet.Entry{
			ID: fmt.Sprint("entry-", i), QuorumFloor: waveEntries, Reachable: true, Released: map[string]int64{},
		})
	}
	for _, v := range vms {
		r.byID[v.id] = v
		v.boot, v.done = 1, map[string]bool{}
		for i := range v.releases {
			v.releases[i] = r.draw(0, 6*time.Second)
		}
		v.reboot = r.draw(20*time.Second, 60*time.Second)
		v.late = random.IntN(2) == 0
		if v.late && fault == waveLateBoot {
			v.reboot += waveOutage
		}
		r.changed(v)
	}
	r.holder = r.newHolder()
	r.holder.steadySince = -membership.T
	// The fleet is known before the wave is published.
	in := r.inputs()
	r.document, _ = fleet.Step(r.document, in)
	r.config.Revision++
	for _, p := range r.config.Pools {
		if len(r.config.Waves) == 0 || split {
			r.config.Waves = append(r.config.Waves, note.Wave{
				Name: "wave-" + p.Name, MaxConcurrent: waveMaxConcurrent, TouchedRevision: r.config.Revision,
			})
		}
		w := &r.config.Waves[len(r.config.Waves)-1]
		w.Pools = append(w.Pools, p.Name)
	}
	r.news = true
	return r
}

func (r *waveRun) draw(low, high time.Duration) time.Duration {
	return low + time.Duration(r.random.Int64N(int64(high-low)))
}

func (r *waveRun) newHolder() *waveHolder {
	return &waveHolder{
		term: r.document.Term + 1, fences: map[string]fleet.Fence{},
		steadySince: r.now, answered: map[string]time.Duration{},
	}
}

func (r *waveRun) after(d time.Duration, run func()) {
	r.seq++
	heap.Push(&r.events, event{at: r.now + d, seq: r.seq, run: run})
}

// bounds returns lower bounds of the time of the wave: with the limits of the
// wave and within the availability budgets alone.
//
// In one rack the wave takes at least the time of the slowest VM, the times of
// the VMs of each pool over its budget, and all times over max_concurrent. VMs
// of two racks are never out together, so the times of the racks add up.
// Without the limits only the slowest VM and the budgets of the pools count.
// The longest of several waves counts.
func (r *waveRun) bounds() (limits, budgets time.Duration) {
	for _, w := range r.config.Waves {
		racks := map[string][]*waveVM{}
		for _, v := range r.vms {
			if slices.Contains(w.Pools, v.pool) {
				racks[v.zone+"/"+v.rack] = append(racks[v.zone+"/"+v.rack], v)
			}
		}
		var sum time.Duration
		for _, vms := range racks {
			sum += max(r.budgetBound(vms), total(vms)/waveMaxConcurrent)
		}
		limits = max(limits, sum)
	}
	return limits, r.budgetBound(r.vms)
}

func (r *waveRun) budgetBound(vms []*waveVM) time.Duration {
	var bound time.Duration
	byPool := map[string][]*waveVM{}
	for _, v := range vms {
		bound = max(bound, v.time())
		byPool[v.pool] = append(byPool[v.pool], v)
	}
	for pool, members := range byPool {
		if budget, limited := r.budgets[pool]; limited {
			bound = max(bound, total(members)/time.Duration(budget))
		}
	}
	return bound
}

func total(vms []*waveVM) time.Duration {
	var sum time.Duration
	for _, v := range vms {
		sum += v.time()
	}
	return sum
}

func (r *waveRun) run() waveResult {
	expected, _ := r.bounds()
	r.after(0, r.tick(r.holder))
	r.after(expected/2, r.strike)
	for len(r.events) > 0 && r.ended == 0 && r.now < waveLimit {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
		if r.dirty {
			r.checkBudgets()
		}
	}
	if r.ended == 0 {
		r.ended = r.now
	}
	limits, budgets := r.bounds()
	result := waveResult{
		ratio: r.ended.Seconds() / limits.Seconds(), budgetRatio: r.ended.Seconds() / budgets.Seconds(),
		seconds: r.ended.Seconds(), breaches: r.broken,
	}
	for _, v := range r.vms {
		if v.reboots > 1 {
			result.twice++
		}
		if v.boot < 2 || !slices.ContainsFunc(r.document.Waves, func(w fleet.WaveProgress) bool { return slices.Contains(w.Done, v.id) }) {
			result.missed++
		}
	}
	return result
}

// strike is the fault in the middle of the wave.
func (r *waveRun) strike() {
	switch r.fault {
	case waveRackLost:
		// In one run of two it is the rack under maintenance.
		at := r.vms[r.random.IntN(len(r.vms))]
		for _, vm := range r.document.VMs {
			if r.random.IntN(2) == 0 && vm.Purpose == fleet.PurposeMaintenance {
				at = r.byID[vm.ID]
			}
		}
		for _, v := range r.vms {
			if v.zone == at.zone && v.rack == at.rack {
				v.cut = slices.ContainsFunc(r.document.VMs, func(vm fleet.VM) bool {
					return vm.ID == v.id && vm.Purpose == fleet.PurposeMaintenance
				})
				r.lose(v)
			}
		}
	case waveNewHolder:
		r.dying = true
	}
}

func (r *waveRun) lose(v *waveVM) {
	v.lost = true
	r.struck++
	r.changed(v)
	r.after(waveOutage, func() {
		// The outage ends with a boot, which is the end of a reboot too.
		v.lost, v.rebooting, v.drained = false, false, false
		v.boot++
		r.changed(v)
	})
}

func (r *waveRun) changed(v *waveVM) {
	// The list shows the change after its lag.
	r.dirty, r.news = true, true
	r.after(waveListLag, func() { r.news = true })
	state := infrastructure.VMLive
	if v.drained {
		state = infrastructure.VMLeaving
	}
	v.history = append(v.history, waveListed{at: r.now, listed: v.up(), vm: infrastructure.VM{
		ID: v.id, Address: v.id, AvailabilityZone: v.zone, Rack: v.rack, State: state, BootCount: v.boot,
	}})
}

func (r *waveRun) list() []infrastructure.VM {
	var out []infrastructure.VM
	for _, v := range r.vms {
		i := len(v.history) - 1
		for i > 0 && v.history[i].at > r.now-waveListLag {
			i--
		}
		if v.history[i].listed {
			out = append(out, v.history[i].vm)
		}
	}
	return out
}

// tick runs the rounds of a holder, one each second.
func (r *waveRun) tick(h *waveHolder) func() {
	return func() {
		if h == r.holder {
			r.round()
			r.after(time.Second, r.tick(h))
		}
	}
}

func (r *waveRun) round() {
	r.triggered = false
	h := r.holder
	if h == nil {
		return
	}
	// A step depends on nothing else, so that rounds without news give the
	// same calls again. This saves nine rounds of ten.
	if r.news || r.now-h.steadySince < membership.T+time.Second {
		r.news = false
		r.actions = r.step(h)
	}
	actions := r.actions
	if !r.dying || !slices.ContainsFunc(actions, h.newReboot) {
		r.carryOut(h, actions)
		return
	}
	// The last round of the holder has written that a VM reboots, but makes no
	// call. The holder wakes later and makes the calls of a document that has
	// been replaced meanwhile.
	r.dying, r.holder = false, nil
	r.struck++
	r.after(waveTakeover, func() {
		r.holder, r.news = r.newHolder(), true
		r.tick(r.holder)()
	})
	r.after(waveTakeover+10*time.Second, func() { r.carryOut(h, actions) })
}

func (h *waveHolder) newReboot(a fleet.Action) bool {
	_, answered := h.answered[a.Operation.ID]
	return a.Kind == fleet.ActionReboot && !answered
}

func (r *waveRun) inputs() fleet.Inputs {
	return fleet.Inputs{
		Now: epoch.Add(r.now), Term: r.holder.term, Config: r.config, List: r.list(), Entries: r.entries,
		Boots: map[string]fleet.Boot{}, FenceWait: membership.T + membership.Margin,
	}
}

// step is one round up to the write, which always succeeds here.
func (r *waveRun) step(h *waveHolder) []fleet.Action {
	in := r.inputs()
	h.fences = fleet.Observe(h.fences, r.document, in.Entries, in.Now)
	in.Fences = h.fences
	in.Steady = r.now-h.steadySince >= membership.T
	if in.Steady {
		plan := maintenance.Next(waveSnapshot(r.document, r.config, in.Now))
		for _, m := range plan.Starts {
			in.Starts = append(in.Starts, fleet.Start{VM: m.VM, Wave: m.Wave})
		}
		for _, w := range plan.Waves {
			in.Waves = append(in.Waves, fleet.WaveState{Name: w.Name, Paused: w.Paused, Reason: w.Reason, Finished: w.Finished})
		}
	}
	next, actions := fleet.Step(r.document, in)
	for _, a := range actions {
		if a.Kind == fleet.ActionReadBoot {
			v := r.byID[a.VM]
			in.Boots[a.VM] = fleet.Boot{Count: v.boot, Gone: v.lost}
		}
	}
	if len(in.Boots) > 0 {
		next, actions = fleet.Step(r.document, in)
	}
	if !next.Equal(r.document) {
		r.dirty, r.news = true, true
		r.checkStarts(next)
	}
	r.document = next
	for _, vm := range next.VMs {
		if v := r.byID[vm.ID]; vm.Phase != fleet.Serving && v.asked < vm.Generation {
			v.asked = vm.Generation
			r.release(v, vm.Generation)
		}
	}
	if !slices.ContainsFunc(next.Waves, func(w fleet.WaveProgress) bool { return !w.Finished }) {
		r.ended = r.now
	}
	return actions
}

// waveSnapshot is maintenanceSnapshot of package control, without VMs that
// are in service but fail.
func waveSnapshot(d fleet.Document, c note.Config, now time.Time) maintenance.Snapshot {
	out := maintenance.Snapshot{Pools: control.MaintenancePools(c)}
	for _, vm := range d.VMs {
		state := maintenance.Planned
		switch {
		case vm.Removed(now):
			state = maintenance.Removed
		case vm.Phase == fleet.Down:
			state = maintenance.Failed
		case vm.Phase == fleet.Serving:
			state = maintenance.Serving
		}
		out.VMs = append(out.VMs, maintenance.VM{
			ID: vm.ID, Pool: vm.Pool, HomePool: vm.HomePool,
			AvailabilityZone: vm.AvailabilityZone, Rack: vm.Rack, State: state, Wave: vm.Wave,
		})
	}
	for _, p := range d.Waves {
		for _, w := range c.Waves {
			if w.Name == p.Name && w.TouchedRevision == p.Revision {
				out.Waves = append(out.Waves, maintenance.Wave{
					Name: w.Name, Pools: w.Pools, MaxConcurrent: w.MaxConcurrent, Done: p.Done, Finished: p.Finished,
				})
			}
		}
	}
	return out
}

// release has the entry VMs confirm a release. A confirmation travels with the
// next exchange, one each second, and triggers a round.
func (r *waveRun) release(v *waveVM, generation int64) {
	for i := range r.entries {
		phase := time.Duration(i) * time.Second / waveEntries
		ready := r.now + v.releases[i]
		arrives := (ready - phase + time.Second - 1).Truncate(time.Second) + phase
		r.after(arrives-r.now, func() {
			e := r.entries[i]
			e.Released[v.id] = max(e.Released[v.id], generation)
			// The entry VMs are in contact, so a step acts only on the last
			// confirmation of a VM.
			if !slices.ContainsFunc(r.entries, func(e fleet.Entry) bool { return e.Released[v.id] < generation }) {
				r.news = true
			}
			if !r.triggered {
				r.triggered = true
				r.after(waveConfirm, r.round)
			}
		})
	}
}

func (r *waveRun) carryOut(h *waveHolder, actions []fleet.Action) {
	for _, a := range actions {
		at, answered := h.answered[a.Operation.ID]
		if a.Kind == fleet.ActionReadBoot || answered && r.now-at < waveRepeat {
			continue
		}
		lost := r.fault == waveLostAnswers && r.random.IntN(2) == 0
		if lost {
			r.struck++
		}
		// One lost answer in two belongs to a call that had no effect.
		if lost && r.random.IntN(2) == 0 {
			continue
		}
		if r.call(a) && !lost {
			h.answered[a.Operation.ID] = r.now
		}
	}
}

// call is the platform's side of a drain or a reboot.
func (r *waveRun) call(a fleet.Action) bool {
	v := r.byID[a.VM]
	if v.lost {
		return false
	}
	if a.Operation.ExpectedBoot != v.boot || v.done[a.Operation.ID] {
		return true
	}
	v.done[a.Operation.ID] = true
	if a.Kind == fleet.ActionDrain {
		v.drained = true
		r.changed(v)
		return true
	}
	v.rebooting = true
	v.reboots++
	r.changed(v)
	boot := v.boot
	r.after(v.reboot, func() {
		if v.boot != boot {
			return
		}
		v.rebooting, v.drained = false, false
		v.boot++
		v.absent = v.late && r.fault == waveAbsent
		r.changed(v)
		if v.absent {
			r.struck++
			r.after(waveOutage, func() {
				v.absent = false
				r.changed(v)
			})
		}
	})
	return true
}

// out counts the VMs of each pool that are out of service, by planned work
// and otherwise.
func (r *waveRun) out(d fleet.Document) (planned, failed map[string]int) {
	planned, failed = map[string]int{}, map[string]int{}
	for _, vm := range d.VMs {
		v := r.byID[vm.ID]
		switch {
		case vm.Purpose == fleet.PurposeMaintenance && !v.lost:
			planned[vm.Pool]++
		case vm.Phase != fleet.Serving, !v.up():
			failed[vm.Pool]++
		}
	}
	return planned, failed
}

// checkBudgets counts each time that a pool goes over a budget that unplanned
// failures alone would not exceed. VMs that the platform has lost count,
// whether or not the list shows it yet.
func (r *waveRun) checkBudgets() {
	r.dirty = false
	planned, failed := r.out(r.document)
	for pool, budget := range r.budgets {
		broken := failed[pool] <= budget && planned[pool]+failed[pool] > budget
		if broken && !r.breaches[pool] {
			r.broken++
		}
		r.breaches[pool] = broken
	}
}

// checkStarts counts planned work that starts on top of failures that exceed
// the budget already.
func (r *waveRun) checkStarts(next fleet.Document) {
	before, _ := r.out(r.document)
	after, failed := r.out(next)
	for pool, budget := range r.budgets {
		if failed[pool] > budget && after[pool] > before[pool] {
			r.broken++
		}
	}
}
