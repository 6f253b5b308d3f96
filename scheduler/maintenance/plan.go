// Package maintenance decides which VMs a maintenance wave takes out of service
// next. A wave takes all VMs of some pools out of service once, a few at a time.
// The package does no I/O and keeps no state between plans.
package maintenance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Unlimited is the availability budget of a pool without services.
const Unlimited = -1

// Pool is a pool with its availability budget.
type Pool struct {
	Name string
	// MaxUnavailable is the number of VMs that may be out of service at the same
	// time: the smallest budget of the services on the pool, or Unlimited.
	MaxUnavailable int
}

// State is the availability of a VM.
type State int

// States of a VM.
const (
	// Serving VMs are in service.
	Serving State = iota
	// PlannedOutage VMs are out of service because they are under maintenance, being
	// moved or leaving the fleet.
	PlannedOutage
	// Failed VMs are out of service for any other reason.
	Failed
	// Removed VMs have been missing for so long that they no longer belong to
	// their pool.
	Removed
)

// VM is the state of a VM that matters to maintenance.
type VM struct {
	ID string
	// Pool is the pool whose budget the VM counts towards.
	Pool string
	// HomePool decides which waves the VM belongs to, so that moving the VM to
	// another pool during a wave neither adds it to the wave nor removes it.
	HomePool         string
	AvailabilityZone string
	Rack             string
	State            State
	// Wave is the name of the wave that currently has the VM under maintenance.
	Wave string
	// Busy is the amount of work on the VM. The VMs with the least work are taken
	// out of service first.
	Busy int
}

// Wave is a maintenance wave and its progress.
type Wave struct {
	Name          string
	Pools         []string
	MaxConcurrent int
	// AnyRack allows VMs of several racks to be out of service at the same time.
	AnyRack bool
	// Done lists the IDs of the VMs whose maintenance in the wave is complete.
	Done     []string
	Finished bool
}

// Snapshot is the input of a plan.
type Snapshot struct {
	Pools []Pool
	VMs   []VM
	Waves []Wave
}

// Withdrawal is the decision to take a VM out of service for a wave, which
// starts the maintenance of the VM.
type Withdrawal struct {
	VM   string
	Wave string
}

// WaveState is the state of a wave after the plan.
type WaveState struct {
	Name string
	// Paused waves can't continue because of failed VMs.
	Paused bool
	// Reason says why no VM can be taken out of service although the wave has
	// pending VMs and none under maintenance; else it is empty. It is also set
	// for waves that only wait for VMs of other waves or moves and are not paused.
	Reason   string
	Finished bool
}

// Plan is the result of Next.
type Plan struct {
	Withdrawals []Withdrawal
	Waves       []WaveState
}

// rackKey identifies a rack. It includes the availability zone, because racks of
// different availability zones may have the same name.
type rackKey struct {
	availabilityZone string
	rack             string
}

func rackOf(vm VM) rackKey { return rackKey{availabilityZone: vm.AvailabilityZone, rack: vm.Rack} }

func compareRacks(a, b rackKey) int {
	return cmp.Or(cmp.Compare(a.availabilityZone, b.availabilityZone), cmp.Compare(a.rack, b.rack))
}

// availability counts the VMs of a pool that are out of service, and those of
// them that have failed.
type availability struct {
	unavailable int
	failed      int
}

// planner is the state of one call of Next. takenOut holds the IDs of the VMs
// that the plan takes out of service.
type planner struct {
	budgets      map[string]int
	availability map[string]availability
	takenOut     map[string]bool
}

// Next returns the VMs to take out of service now. All waves share the budgets
// of the pools. Unless AnyRack is set, a wave takes VMs of only one rack out of
// service at the same time, and therefore of only one availability zone.
func Next(s Snapshot) Plan {
	p := &planner{budgets: map[string]int{}, availability: map[string]availability{}, takenOut: map[string]bool{}}
	for _, pool := range s.Pools {
		p.budgets[pool.Name] = pool.MaxUnavailable
	}
	vms := slices.Clone(s.VMs)
	slices.SortFunc(vms, func(a, b VM) int { return cmp.Or(cmp.Compare(a.Busy, b.Busy), cmp.Compare(a.ID, b.ID)) })
	for _, vm := range vms {
		a := p.availability[vm.Pool]
		switch vm.State {
		case PlannedOutage:
			a.unavailable++
		case Failed:
			a.unavailable++
			a.failed++
		}
		p.availability[vm.Pool] = a
	}
	var plan Plan
	for _, w := range s.Waves {
		withdrawals, state := p.planWave(w, vms)
		plan.Withdrawals = append(plan.Withdrawals, withdrawals...)
		plan.Waves = append(plan.Waves, state)
	}
	return plan
}

// planWave returns the VMs to take out of service for a wave, and the state of
// the wave.
func (p *planner) planWave(w Wave, vms []VM) ([]Withdrawal, WaveState) {
	state := WaveState{Name: w.Name, Finished: w.Finished}
	pending, underMaintenance := p.splitVMs(w, vms)
	if len(pending) == 0 && len(underMaintenance) == 0 {
		state.Finished = true
	}
	if state.Finished || len(pending) == 0 {
		return nil, state
	}
	free := w.MaxConcurrent - len(underMaintenance)
	if free <= 0 {
		return nil, state
	}
	chosen := p.eligible(pending, free)
	if !w.AnyRack {
		chosen = p.eligibleInOneRack(pending, underMaintenance, free)
	}
	var withdrawals []Withdrawal
	for _, vm := range chosen {
		p.countOutOfService(vm)
		withdrawals = append(withdrawals, Withdrawal{VM: vm.ID, Wave: w.Name})
	}
	if len(withdrawals) == 0 && len(underMaintenance) == 0 {
		state.Paused, state.Reason = p.pauseReason(pending)
	}
	return withdrawals, state
}

// splitVMs returns the VMs that the wave still has to maintain and those that it
// has under maintenance. Removed VMs are in neither list, so that a wave can
// finish although they are missing.
func (p *planner) splitVMs(w Wave, vms []VM) (pending, underMaintenance []VM) {
	done := map[string]bool{}
	for _, id := range w.Done {
		done[id] = true
	}
	pools := map[string]bool{}
	for _, name := range w.Pools {
		pools[name] = true
	}
	for _, vm := range vms {
		switch {
		case vm.Wave == w.Name && vm.State == PlannedOutage:
			underMaintenance = append(underMaintenance, vm)
		case pools[vm.HomePool] && !done[vm.ID] && vm.State != Removed:
			pending = append(pending, vm)
		}
	}
	return pending, underMaintenance
}

// eligibleInOneRack returns the eligible VMs of the rack that has the most of
// them. While the wave has VMs under maintenance, only their rack is considered.
func (p *planner) eligibleInOneRack(pending, underMaintenance []VM, free int) []VM {
	byRack := map[rackKey][]VM{}
	for _, vm := range pending {
		rack := rackOf(vm)
		byRack[rack] = append(byRack[rack], vm)
	}
	racks := slices.SortedFunc(maps.Keys(byRack), compareRacks)
	if len(underMaintenance) > 0 {
		currentRack := rackOf(underMaintenance[0])
		if slices.ContainsFunc(underMaintenance, func(vm VM) bool { return rackOf(vm) != currentRack }) {
			return nil
		}
		racks = []rackKey{currentRack}
	}
	var best []VM
	for _, rack := range racks {
		if vms := p.eligible(byRack[rack], free); len(vms) > len(best) {
			best = vms
		}
	}
	return best
}

// eligible returns up to limit VMs that can be taken out of service now without
// exceeding the budgets.
func (p *planner) eligible(vms []VM, limit int) []VM {
	extra := map[string]int{}
	var out []VM
	for _, vm := range vms {
		if len(out) == limit {
			break
		}
		if vm.State == Serving && !p.takenOut[vm.ID] && p.fitsBudget(vm.Pool, extra[vm.Pool]+1) {
			extra[vm.Pool]++
			out = append(out, vm)
		}
	}
	return out
}

// fitsBudget reports whether the given number of additional VMs of a pool may be
// out of service.
func (p *planner) fitsBudget(pool string, additional int) bool {
	budget, ok := p.budgets[pool]
	return ok && (budget == Unlimited || p.availability[pool].unavailable+additional <= budget)
}

// countOutOfService counts a VM that the plan takes out of service.
func (p *planner) countOutOfService(vm VM) {
	p.takenOut[vm.ID] = true
	a := p.availability[vm.Pool]
	a.unavailable++
	p.availability[vm.Pool] = a
}

// pauseReason explains why no VM of a wave can be taken out of service although
// none is under maintenance. The wave counts as paused if the pool of a pending VM
// has failed VMs; the reason names the first such pool, else the pool of the first
// pending VM.
func (p *planner) pauseReason(pending []VM) (bool, string) {
	for _, vm := range pending {
		if a := p.availability[vm.Pool]; a.failed > 0 {
			return true, fmt.Sprintf("pool %s: %d VMs out of service, %d of them unplanned, budget %d",
				vm.Pool, a.unavailable, a.failed, p.budgets[vm.Pool])
		}
	}
	return false, fmt.Sprintf("pool %s: %d VMs out of service, budget %d",
		pending[0].Pool, p.availability[pending[0].Pool].unavailable, p.budgets[pending[0].Pool])
}

// Conflicts returns the reasons why a wave can never finish within the
// availability budgets. It returns none if the wave can finish.
func Conflicts(w Wave, pools []Pool) []string {
	var reasons []string
	if w.MaxConcurrent < 1 {
		reasons = append(reasons, fmt.Sprintf("max_concurrent is %d, so no VM can be taken out of service", w.MaxConcurrent))
	}
	for _, name := range w.Pools {
		i := slices.IndexFunc(pools, func(p Pool) bool { return p.Name == name })
		switch {
		case i < 0:
			reasons = append(reasons, fmt.Sprintf("pool %s does not exist", name))
		case pools[i].MaxUnavailable != Unlimited && pools[i].MaxUnavailable < 1:
			reasons = append(reasons, fmt.Sprintf("the services of pool %s allow no VM to be unavailable", name))
		}
	}
	return reasons
}
