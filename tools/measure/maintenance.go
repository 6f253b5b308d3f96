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

// A wave is the rolling maintenance of the VMs of some pools: each is drained
// and rebooted once, at most waveMaxConcurrent of them at a time.
const (
	waveMaxConcurrent = 4
	waveEntryVMs      = 6
	waveListLag       = 2 * time.Second
	waveOutage        = 60 * time.Second
	// waveTriggerDelay is the time from the last confirmation to the round that
	// it triggers (triggerDelay in package control).
	waveTriggerDelay = 20 * time.Millisecond
	// waveTakeover is the time from the last round of a suspended control holder
	// to the first round of its successor: the lease time plus one round
	// interval.
	waveTakeover = 6 * time.Second
	// waveRepeatAfter is repeatAfter in package control.
	waveRepeatAfter = 10 * time.Second
	// waveTimeLimit ends runs whose waves make no progress.
	waveTimeLimit = 24 * time.Hour
)

type waveFault string

// Faults of a run. A lost rack and a replaced control holder occur once, when
// half of the lower bound of the wave's time has passed; the other faults act
// during the whole run. waveLostResponses loses responses to drains as well.
const (
	waveNoFault       waveFault = "no fault"
	waveRackLost      waveFault = "a rack lost for 60 s"
	waveAbsent        waveFault = "half of the VMs missing for 60 s after their reboot"
	waveLateBoot      waveFault = "half of the reboots 60 s longer"
	waveLostResponses waveFault = "lost reboot answers"
	waveNewHolder     waveFault = "control holder replaced"
)

var waveFaults = []waveFault{waveNoFault, waveRackLost, waveAbsent, waveLateBoot, waveLostResponses, waveNewHolder}

// waveVM is the true state of a VM, and the times drawn for it.
type waveVM struct {
	id, zone, rack, pool string
	// releaseTimes are the times that the entry VMs take to finish their
	// requests in flight to this VM.
	releaseTimes [waveEntryVMs]time.Duration
	rebootTime   time.Duration
	// affected selects the VMs that waveAbsent and waveLateBoot hit.
	affected bool
	// cutShort is set if the VM was under maintenance when its rack was lost,
	// which ends the maintenance early.
	cutShort bool

	bootCount       int64
	drained         bool
	rebooting       bool
	lost            bool
	absent          bool
	reboots         int
	doneOperations  map[string]bool
	askedGeneration int64
	history         []waveListEntry
}

// waveListEntry is what the platform's list shows for a VM from the time at on.
type waveListEntry struct {
	at     time.Duration
	listed bool
	vm     infrastructure.VM
}

// minimumOutage returns the least time that maintenance keeps the VM out of
// service.
func (v *waveVM) minimumOutage() time.Duration {
	if v.cutShort {
		return 0
	}
	return slices.Max(v.releaseTimes[:]) + v.rebootTime
}

func (v *waveVM) up() bool { return !v.rebooting && !v.lost && !v.absent }

// waveHolder is the state of one control holder during its term, as in package
// control.
type waveHolder struct {
	term        int64
	fences      map[string]fleet.Fence
	steadySince time.Duration
	answeredAt  map[string]time.Duration
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
	// suspendHolder suspends the control holder before its next reboot call.
	// Another holder takes over before it resumes.
	suspendHolder bool
	// roundTriggered is set while a confirmation has a round scheduled.
	roundTriggered bool
	// faultHits counts the VMs, responses and holders that faults have hit,
	// except the longer reboots of waveLateBoot.
	faultHits int
	budgets   map[string]int
	// inputChanged is set when the input of a step has changed since the step
	// that returned actions.
	inputChanged bool
	actions      []fleet.Action
	// budgetsUnchecked is set when a VM or the document has changed since the
	// last check of the availability budgets.
	budgetsUnchecked bool
	ended            time.Duration
	inBreach         map[string]bool
	breachCount      int
}

// waveResult holds the results of one run.
type waveResult struct {
	ratio, budgetRatio, seconds           float64
	breaches, rebootedTwice, unmaintained int
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
			results[i] = newWaveRun(random, waveFaults[i/f.runs], f.wavePerPool, config, vms).run()
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
	// wavePerPool publishes a wave for each pool instead of one for all pools.
	wavePerPool bool
	make        func() (note.Config, []*waveVM)
}

// rows returns the longest times of the runs and the sums of their violations.
func (f waveFleet) rows(fault waveFault, results []waveResult) []Row {
	var worst waveResult
	for _, r := range results {
		worst.ratio, worst.budgetRatio = max(worst.ratio, r.ratio), max(worst.budgetRatio, r.budgetRatio)
		worst.seconds = max(worst.seconds, r.seconds)
		worst.breaches, worst.rebootedTwice, worst.unmaintained = worst.breaches+r.breaches, worst.rebootedTwice+r.rebootedTwice, worst.unmaintained+r.unmaintained
	}
	name := "wave, " + f.name + ", " + string(fault) + ": "
	weeks := worst.seconds / (7 * 24 * 3600)
	return []Row{
		row(name+"time against the shortest within budgets and limits", "ratio", worst.ratio).bound(1).atMost(1.25),
		row(name+"time against the shortest within budgets, racks side by side", "ratio", worst.budgetRatio),
		row(name+"availability budgets breached", "breaches", float64(worst.breaches)).atMost(0),
		row(name+"VMs rebooted twice", "VMs", float64(worst.rebootedTwice)).atMost(0),
		row(name+"VMs not maintained at the end", "VMs", float64(worst.unmaintained)).atMost(0),
		row(name+"2,000 VMs at this rate", "weeks", weeks*plannedWorkers/float64(f.size)).atMost(5),
	}
}

// exampleFleet returns the fleet of a deployment's example note. The IDs of the
// VMs contain availability zone, rack and position.
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

// largeFleet returns a fleet with the availability budgets of the examples. VMs
// are assigned to the pools in turn, four consecutive VMs share a rack, and
// racks are assigned to three availability zones in turn.
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

func newWaveRun(random *rand.Rand, fault waveFault, wavePerPool bool, config note.Config, vms []*waveVM) *waveRun {
	r := &waveRun{random: random, fault: fault, config: config, vms: vms, byID: map[string]*waveVM{}, inBreach: map[string]bool{}, budgets: map[string]int{}}
	for _, p := range config.Pools {
		if budget, limited := fleet.Budget(config, p.Name); limited {
			r.budgets[p.Name] = budget
		}
	}
	for i := range waveEntryVMs {
		r.entries = append(r.entries, fleet.Entry{
			ID: fmt.Sprint("entry-", i), QuorumFloor: waveEntryVMs, HeardRecently: true, Released: map[string]int64{},
		})
	}
	for _, v := range vms {
		r.byID[v.id] = v
		v.bootCount, v.doneOperations = 1, map[string]bool{}
		for i := range v.releaseTimes {
			v.releaseTimes[i] = r.randomDuration(0, 6*time.Second)
		}
		v.rebootTime = r.randomDuration(20*time.Second, 60*time.Second)
		v.affected = random.IntN(2) == 0
		if v.affected && fault == waveLateBoot {
			v.rebootTime += waveOutage
		}
		r.recordChange(v)
	}
	r.holder = r.newHolder()
	r.holder.steadySince = -membership.PermitTTL
	// The fleet document lists the VMs before the waves are published.
	in := r.inputs()
	r.document, _ = fleet.Step(r.document, in)
	r.config.Revision++
	for _, p := range r.config.Pools {
		if len(r.config.Waves) == 0 || wavePerPool {
			r.config.Waves = append(r.config.Waves, note.Wave{
				Name: "wave-" + p.Name, MaxConcurrent: waveMaxConcurrent, LastChangedRevision: r.config.Revision,
			})
		}
		w := &r.config.Waves[len(r.config.Waves)-1]
		w.Pools = append(w.Pools, p.Name)
	}
	r.inputChanged = true
	return r
}

func (r *waveRun) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(r.random.Int64N(int64(high-low)))
}

func (r *waveRun) newHolder() *waveHolder {
	return &waveHolder{
		term: r.document.Term + 1, fences: map[string]fleet.Fence{},
		steadySince: r.now, answeredAt: map[string]time.Duration{},
	}
}

func (r *waveRun) after(d time.Duration, run func()) {
	r.seq++
	heap.Push(&r.events, event{at: r.now + d, seq: r.seq, run: run})
}

// bounds returns two lower bounds of the time of the waves: one from the limits
// of the waves and the availability budgets, one from the budgets alone.
//
// In one rack a wave takes at least the outage of the slowest VM, for each pool
// the sum of the outages of its VMs divided by its budget, and the sum of all
// outages divided by max_concurrent. VMs of two racks are never out of service
// together, so the times of the racks add up. Without the limits of the waves
// only the slowest VM and the budgets of the pools count. With several waves
// the longest one counts.
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
			sum += max(r.budgetBound(vms), totalOutage(vms)/waveMaxConcurrent)
		}
		limits = max(limits, sum)
	}
	return limits, r.budgetBound(r.vms)
}

func (r *waveRun) budgetBound(vms []*waveVM) time.Duration {
	var bound time.Duration
	byPool := map[string][]*waveVM{}
	for _, v := range vms {
		bound = max(bound, v.minimumOutage())
		byPool[v.pool] = append(byPool[v.pool], v)
	}
	for pool, members := range byPool {
		if budget, limited := r.budgets[pool]; limited {
			bound = max(bound, totalOutage(members)/time.Duration(budget))
		}
	}
	return bound
}

func totalOutage(vms []*waveVM) time.Duration {
	var sum time.Duration
	for _, v := range vms {
		sum += v.minimumOutage()
	}
	return sum
}

func (r *waveRun) run() waveResult {
	expected, _ := r.bounds()
	r.after(0, r.tick(r.holder))
	r.after(expected/2, r.injectFault)
	for len(r.events) > 0 && r.ended == 0 && r.now < waveTimeLimit {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
		if r.budgetsUnchecked {
			r.checkBudgets()
		}
	}
	if r.ended == 0 {
		r.ended = r.now
	}
	limits, budgets := r.bounds()
	result := waveResult{
		ratio: r.ended.Seconds() / limits.Seconds(), budgetRatio: r.ended.Seconds() / budgets.Seconds(),
		seconds: r.ended.Seconds(), breaches: r.breachCount,
	}
	for _, v := range r.vms {
		if v.reboots > 1 {
			result.rebootedTwice++
		}
		if v.bootCount < 2 || !slices.ContainsFunc(r.document.Waves, func(w fleet.WaveProgress) bool { return slices.Contains(w.Done, v.id) }) {
			result.unmaintained++
		}
	}
	return result
}

// injectFault injects the faults that occur once, in the middle of the wave.
func (r *waveRun) injectFault() {
	switch r.fault {
	case waveRackLost:
		// The rack of a random VM is lost. Each VM under maintenance replaces the
		// random VM with a probability of one half.
		target := r.vms[r.random.IntN(len(r.vms))]
		for _, vm := range r.document.VMs {
			if r.random.IntN(2) == 0 && vm.Purpose == fleet.PurposeMaintenance {
				target = r.byID[vm.ID]
			}
		}
		for _, v := range r.vms {
			if v.zone == target.zone && v.rack == target.rack {
				v.cutShort = slices.ContainsFunc(r.document.VMs, func(vm fleet.VM) bool {
					return vm.ID == v.id && vm.Purpose == fleet.PurposeMaintenance
				})
				r.loseVM(v)
			}
		}
	case waveNewHolder:
		r.suspendHolder = true
	}
}

func (r *waveRun) loseVM(v *waveVM) {
	v.lost = true
	r.faultHits++
	r.recordChange(v)
	r.after(waveOutage, func() {
		// The outage ends with a boot, which also completes a pending reboot.
		v.lost, v.rebooting, v.drained = false, false, false
		v.bootCount++
		r.recordChange(v)
	})
}

func (r *waveRun) recordChange(v *waveVM) {
	// The platform's list shows the change after waveListLag.
	r.budgetsUnchecked, r.inputChanged = true, true
	r.after(waveListLag, func() { r.inputChanged = true })
	state := infrastructure.VMLive
	if v.drained {
		state = infrastructure.VMLeaving
	}
	v.history = append(v.history, waveListEntry{at: r.now, listed: v.up(), vm: infrastructure.VM{
		ID: v.id, Address: v.id, AvailabilityZone: v.zone, Rack: v.rack, State: state, BootCount: v.bootCount,
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

// tick returns an event that runs a round of the holder each second.
func (r *waveRun) tick(h *waveHolder) func() {
	return func() {
		if h == r.holder {
			r.round()
			r.after(time.Second, r.tick(h))
		}
	}
}

func (r *waveRun) round() {
	r.roundTriggered = false
	h := r.holder
	if h == nil {
		return
	}
	// Without a change of its input a step returns the same actions again.
	// Reusing them saves nine steps of ten.
	if r.inputChanged || r.now-h.steadySince < membership.PermitTTL+time.Second {
		r.inputChanged = false
		r.actions = r.step(h)
	}
	actions := r.actions
	if !r.suspendHolder || !slices.ContainsFunc(actions, h.newReboot) {
		r.carryOut(h, actions)
		return
	}
	// The holder has written that a VM reboots, but is suspended before its
	// platform calls. It resumes after another holder has taken over, and makes
	// the calls of a document that was replaced meanwhile.
	r.suspendHolder, r.holder = false, nil
	r.faultHits++
	r.after(waveTakeover, func() {
		r.holder, r.inputChanged = r.newHolder(), true
		r.tick(r.holder)()
	})
	r.after(waveTakeover+10*time.Second, func() { r.carryOut(h, actions) })
}

func (h *waveHolder) newReboot(a fleet.Action) bool {
	_, answered := h.answeredAt[a.Operation.ID]
	return a.Kind == fleet.ActionReboot && !answered
}

func (r *waveRun) inputs() fleet.Inputs {
	return fleet.Inputs{
		Now: epoch.Add(r.now), Term: r.holder.term, Config: r.config, VMList: r.list(), Entries: r.entries,
		Boots: map[string]fleet.BootReport{}, FenceWait: membership.PermitTTL + membership.FenceMargin,
	}
}

// step runs a round up to the write of the document, which always succeeds
// here, and returns the platform calls to make.
func (r *waveRun) step(h *waveHolder) []fleet.Action {
	in := r.inputs()
	h.fences = fleet.UpdateFences(h.fences, r.document, in.Entries, in.Now)
	in.Fences = h.fences
	in.Steady = r.now-h.steadySince >= membership.PermitTTL
	if in.Steady {
		plan := maintenance.Next(waveSnapshot(r.document, r.config, in.Now))
		for _, m := range plan.Withdrawals {
			in.Starts = append(in.Starts, fleet.MaintenanceStart{VM: m.VM, Wave: m.Wave})
		}
		for _, w := range plan.Waves {
			in.Waves = append(in.Waves, fleet.WaveState{Name: w.Name, Paused: w.Paused, Reason: w.Reason, Finished: w.Finished})
		}
	}
	next, actions := fleet.Step(r.document, in)
	for _, a := range actions {
		if a.Kind == fleet.ActionReadBootCount {
			v := r.byID[a.VM]
			in.Boots[a.VM] = fleet.BootReport{Count: v.bootCount, Gone: v.lost}
		}
	}
	if len(in.Boots) > 0 {
		next, actions = fleet.Step(r.document, in)
	}
	if !next.Equal(r.document) {
		r.budgetsUnchecked, r.inputChanged = true, true
		r.checkStarts(next)
	}
	r.document = next
	for _, vm := range next.VMs {
		if v := r.byID[vm.ID]; vm.Phase != fleet.Serving && v.askedGeneration < vm.Generation {
			v.askedGeneration = vm.Generation
			r.release(v, vm.Generation)
		}
	}
	if !slices.ContainsFunc(next.Waves, func(w fleet.WaveProgress) bool { return !w.Finished }) {
		r.ended = r.now
	}
	return actions
}

// waveSnapshot does the same as maintenanceSnapshot in package control, but
// doesn't report VMs that fail while they are in service.
func waveSnapshot(d fleet.Document, c note.Config, now time.Time) maintenance.Snapshot {
	out := maintenance.Snapshot{Pools: control.MaintenancePools(c)}
	for _, vm := range d.VMs {
		state := maintenance.PlannedOutage
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
			if w.Name == p.Name && w.LastChangedRevision == p.Revision {
				out.Waves = append(out.Waves, maintenance.Wave{
					Name: w.Name, Pools: w.Pools, MaxConcurrent: w.MaxConcurrent, Done: p.Done, Finished: p.Finished,
				})
			}
		}
	}
	return out
}

// release makes the entry VMs confirm that they have released a VM. An entry VM
// sends its confirmation with its next exchange, one each second; the arrival
// triggers a round.
func (r *waveRun) release(v *waveVM, generation int64) {
	for i := range r.entries {
		phase := time.Duration(i) * time.Second / waveEntryVMs
		ready := r.now + v.releaseTimes[i]
		arrives := (ready - phase + time.Second - 1).Truncate(time.Second) + phase
		r.after(arrives-r.now, func() {
			e := r.entries[i]
			e.Released[v.id] = max(e.Released[v.id], generation)
			// All entry VMs are reachable, so a step waits for the last
			// confirmation of a VM.
			if !slices.ContainsFunc(r.entries, func(e fleet.Entry) bool { return e.Released[v.id] < generation }) {
				r.inputChanged = true
			}
			if !r.roundTriggered {
				r.roundTriggered = true
				r.after(waveTriggerDelay, r.round)
			}
		})
	}
}

func (r *waveRun) carryOut(h *waveHolder, actions []fleet.Action) {
	for _, a := range actions {
		at, answered := h.answeredAt[a.Operation.ID]
		if a.Kind == fleet.ActionReadBootCount || answered && r.now-at < waveRepeatAfter {
			continue
		}
		lost := r.fault == waveLostResponses && r.random.IntN(2) == 0
		if lost {
			r.faultHits++
		}
		// Half of the calls without an answer have had no effect.
		if lost && r.random.IntN(2) == 0 {
			continue
		}
		if r.callPlatform(a) && !lost {
			h.answeredAt[a.Operation.ID] = r.now
		}
	}
}

// callPlatform simulates how the platform handles a drain or a reboot. It
// reports whether the platform responded, which it also does to a call that is
// outdated or already done. It doesn't respond for a lost VM.
func (r *waveRun) callPlatform(a fleet.Action) bool {
	v := r.byID[a.VM]
	if v.lost {
		return false
	}
	if a.Operation.ExpectedBoot != v.bootCount || v.doneOperations[a.Operation.ID] {
		return true
	}
	v.doneOperations[a.Operation.ID] = true
	if a.Kind == fleet.ActionDrain {
		v.drained = true
		r.recordChange(v)
		return true
	}
	v.rebooting = true
	v.reboots++
	r.recordChange(v)
	boot := v.bootCount
	r.after(v.rebootTime, func() {
		if v.bootCount != boot {
			return
		}
		v.rebooting, v.drained = false, false
		v.bootCount++
		v.absent = v.affected && r.fault == waveAbsent
		r.recordChange(v)
		if v.absent {
			r.faultHits++
			r.after(waveOutage, func() {
				v.absent = false
				r.recordChange(v)
			})
		}
	})
	return true
}

// outOfService counts the VMs of each pool that are out of service, separately
// for planned work and for failures.
func (r *waveRun) outOfService(d fleet.Document) (planned, failed map[string]int) {
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

// checkBudgets counts each time that a pool exceeds a budget that failures
// alone would not exceed. VMs that the platform has lost count as failed,
// whether or not its list shows it yet.
func (r *waveRun) checkBudgets() {
	r.budgetsUnchecked = false
	planned, failed := r.outOfService(r.document)
	for pool, budget := range r.budgets {
		broken := failed[pool] <= budget && planned[pool]+failed[pool] > budget
		if broken && !r.inBreach[pool] {
			r.breachCount++
		}
		r.inBreach[pool] = broken
	}
}

// checkStarts counts each time that planned work starts in a pool whose
// failures already exceed the budget.
func (r *waveRun) checkStarts(next fleet.Document) {
	before, _ := r.outOfService(r.document)
	after, failed := r.outOfService(next)
	for pool, budget := range r.budgets {
		if failed[pool] > budget && after[pool] > before[pool] {
			r.breachCount++
		}
	}
}
