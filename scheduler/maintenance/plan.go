// Package maintenance decides which VMs a maintenance wave takes out of service
// next. It is pure.
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
	// MaxUnavailable is the smallest budget of the services on the pool, or
	// Unlimited.
	MaxUnavailable int
}

// State is what a VM does at the moment.
type State int

// States of a VM.
const (
	// Serving VMs are in service.
	Serving State = iota
	// Planned VMs are out of service by a move, maintenance or a departure.
	Planned
	// Failed VMs are out of service although nothing was planned.
	Failed
	// Removed VMs have been gone for so long that they no longer belong to
	// their pool.
	Removed
)

// VM is a VM as the plan sees it.
type VM struct {
	ID string
	// Pool is the pool whose budget the VM counts in.
	Pool string
	// HomePool decides which waves the VM belongs to, so that a move during
	// a wave neither adds nor removes it.
	HomePool         string
	AvailabilityZone string
	Rack             string
	State            State
	// Wave is the wave that has the VM under maintenance.
	Wave string
	// Busy is the amount of work on the VM; idle VMs start first.
	Busy int
}

// Wave is a wave with its progress.
type Wave struct {
	Name          string
	Pools         []string
	MaxConcurrent int
	// AnyRack lets VMs of several racks be out of service together.
	AnyRack  bool
	Done     []string
	Finished bool
}

// Snapshot is the input of a plan.
type Snapshot struct {
	Pools []Pool
	VMs   []VM
	Waves []Wave
}

// Start takes a VM out of service for a wave.
type Start struct {
	VM   string
	Wave string
}

// WaveState is the state of a wave after the plan.
type WaveState struct {
	Name     string
	Paused   bool
	Reason   string
	Finished bool
}

// Plan is the result of Next.
type Plan struct {
	Starts []Start
	Waves  []WaveState
}

// place is a rack; rack names may repeat between availability zones.
type place struct {
	availabilityZone string
	rack             string
}

func placeOf(vm VM) place { return place{availabilityZone: vm.AvailabilityZone, rack: vm.Rack} }

func comparePlaces(a, b place) int {
	return cmp.Or(cmp.Compare(a.availabilityZone, b.availabilityZone), cmp.Compare(a.rack, b.rack))
}

// usage is what is out of service in a pool.
type usage struct {
	out    int
	failed int
}

type planner struct {
	budgets map[string]int
	usage   map[string]usage
	started map[string]bool
}

// Next returns the VMs to take out of service now. All waves share the budgets
// of the pools. A wave works in one rack at a time, and therefore in one
// availability zone, unless it allows any rack.
func Next(s Snapshot) Plan {
	p := &planner{budgets: map[string]int{}, usage: map[string]usage{}, started: map[string]bool{}}
	for _, pool := range s.Pools {
		p.budgets[pool.Name] = pool.MaxUnavailable
	}
	vms := slices.Clone(s.VMs)
	slices.SortFunc(vms, func(a, b VM) int { return cmp.Or(cmp.Compare(a.Busy, b.Busy), cmp.Compare(a.ID, b.ID)) })
	for _, vm := range vms {
		u := p.usage[vm.Pool]
		switch vm.State {
		case Planned:
			u.out++
		case Failed:
			u.out++
			u.failed++
		}
		p.usage[vm.Pool] = u
	}
	var plan Plan
	for _, w := range s.Waves {
		starts, state := p.wave(w, vms)
		plan.Starts = append(plan.Starts, starts...)
		plan.Waves = append(plan.Waves, state)
	}
	return plan
}

func (p *planner) wave(w Wave, vms []VM) ([]Start, WaveState) {
	state := WaveState{Name: w.Name, Finished: w.Finished}
	pending, inFlight := p.split(w, vms)
	if len(pending) == 0 && len(inFlight) == 0 {
		state.Finished = true
	}
	if state.Finished || len(pending) == 0 {
		return nil, state
	}
	free := w.MaxConcurrent - len(inFlight)
	if free <= 0 {
		return nil, state
	}
	chosen := p.startable(pending, free)
	if !w.AnyRack {
		chosen = p.choose(pending, inFlight, free)
	}
	var starts []Start
	for _, vm := range chosen {
		p.take(vm)
		starts = append(starts, Start{VM: vm.ID, Wave: w.Name})
	}
	if len(starts) == 0 && len(inFlight) == 0 {
		state.Paused, state.Reason = p.reason(pending)
	}
	return starts, state
}

// split returns the VMs that the wave still has to maintain and those that it
// has under maintenance. Removed VMs are neither, so that a wave ends when VMs
// vanish.
func (p *planner) split(w Wave, vms []VM) (pending, inFlight []VM) {
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
		case vm.Wave == w.Name && vm.State == Planned:
			inFlight = append(inFlight, vm)
		case pools[vm.HomePool] && !done[vm.ID] && vm.State != Removed:
			pending = append(pending, vm)
		}
	}
	return pending, inFlight
}

// choose picks the rack in which most VMs can start; while VMs are under
// maintenance only their rack is considered.
func (p *planner) choose(pending, inFlight []VM, free int) []VM {
	byPlace := map[place][]VM{}
	for _, vm := range pending {
		at := placeOf(vm)
		byPlace[at] = append(byPlace[at], vm)
	}
	places := slices.SortedFunc(maps.Keys(byPlace), comparePlaces)
	if len(inFlight) > 0 {
		here := placeOf(inFlight[0])
		if slices.ContainsFunc(inFlight, func(vm VM) bool { return placeOf(vm) != here }) {
			return nil
		}
		places = []place{here}
	}
	var best []VM
	for _, at := range places {
		if vms := p.startable(byPlace[at], free); len(vms) > len(best) {
			best = vms
		}
	}
	return best
}

// startable returns the VMs that can start together within the budgets.
func (p *planner) startable(vms []VM, free int) []VM {
	extra := map[string]int{}
	var out []VM
	for _, vm := range vms {
		if len(out) == free {
			break
		}
		if vm.State == Serving && !p.started[vm.ID] && p.fits(vm.Pool, extra[vm.Pool]+1) {
			extra[vm.Pool]++
			out = append(out, vm)
		}
	}
	return out
}

func (p *planner) fits(pool string, more int) bool {
	budget, ok := p.budgets[pool]
	return ok && (budget == Unlimited || p.usage[pool].out+more <= budget)
}

func (p *planner) take(vm VM) {
	p.started[vm.ID] = true
	u := p.usage[vm.Pool]
	u.out++
	p.usage[vm.Pool] = u
}

// reason explains why nothing could start although nothing is in flight.
func (p *planner) reason(pending []VM) (bool, string) {
	for _, vm := range pending {
		if u := p.usage[vm.Pool]; u.failed > 0 {
			return true, fmt.Sprintf("pool %s: %d VMs out of service, %d of them unplanned, budget %d",
				vm.Pool, u.out, u.failed, p.budgets[vm.Pool])
		}
	}
	return false, fmt.Sprintf("pool %s: %d VMs out of service, budget %d",
		pending[0].Pool, p.usage[pending[0].Pool].out, p.budgets[pending[0].Pool])
}

// Fits returns the reasons why a wave can never end within the availability
// budgets; none means that it can.
func Fits(w Wave, pools []Pool) []string {
	var reasons []string
	if w.MaxConcurrent < 1 {
		reasons = append(reasons, fmt.Sprintf("max_concurrent is %d, so no VM can start", w.MaxConcurrent))
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
