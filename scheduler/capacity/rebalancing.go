package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// CoreDemand is the current demand of a pool, in cores unless stated otherwise.
// Its work consists of work items, each of which runs on one VM. Long-running
// work runs until it is cancelled.
type CoreDemand struct {
	Pool string
	// Spare tells whether the pool is the spare pool, whose VMs are switched off
	// and cost nothing.
	Spare bool
	// CoresPerVM is the size of a VM of the pool that has all its capacity.
	CoresPerVM float64
	// RunningCores is the demand of running work, WaitingCores that of work that
	// could start at once, and LongRunningCores the part of RunningCores that is
	// long-running.
	RunningCores, WaitingCores, LongRunningCores float64
	// LostCores is by how much the capacity of the pool's VMs has shrunk.
	LostCores float64
	// BacklogCoreSeconds is the waiting work in core-seconds.
	BacklogCoreSeconds float64
	// RequiredVMs is the number of VMs that the waiting work needs regardless of
	// their size, because the number of its items on one VM may be limited.
	RequiredVMs int
	// ArrivalRate is a low estimate of the rate of new work in core-seconds per
	// second, and ArrivalGrowth one of its growth per second. ArrivalJobs is the
	// number of jobs of equal size on which both would rest with the same error.
	ArrivalRate, ArrivalGrowth, ArrivalJobs float64
}

// ManagedVM is a VM that a Rebalancer manages, whichever pool it is in.
type ManagedVM struct {
	ID   string
	Pool string
	// WorkItems is the number of work items on the VM. A VM is moved only when it
	// has none.
	WorkItems int
	// LongRunning VMs run long-running work. They are not drained for another pool.
	LongRunning bool
	// Draining VMs take no new work, so that they can be moved once they are
	// empty.
	Draining bool
	// MovingIn VMs are being moved into their pool. OutOfService VMs take no work
	// because of maintenance or a fault; they don't count as VMs of the pool and
	// are not moved.
	MovingIn, OutOfService bool
}

// RebalancingOptions configure a Rebalancer. Zero values stand for the defaults.
type RebalancingOptions struct {
	// MoveTime is how long a VM is out of service during a move; default 1.5 s.
	MoveTime time.Duration
	// IdleTimeout is how long an unused VM stays in its pool before it is switched
	// off; default 1.2 s. Switching a VM off and on again costs two moves and
	// their time.
	IdleTimeout time.Duration
}

const (
	defaultMoveTime = 1500 * time.Millisecond
	// defaultIdleTimeout is the time after which keeping an idle VM has cost as
	// much as the two moves for switching it off and on again.
	defaultIdleTimeout = 1200 * time.Millisecond
	// backlogCompletionTime is the time within which a backlog should be
	// completed. It lies within the latency objectives of short work, which are
	// about 2 s.
	backlogCompletionTime = 800 * time.Millisecond
	// headroomVMs is the number of VMs kept in a pool in addition to its
	// long-running work, so that work between bursts doesn't wait for a move.
	// VMs are moved to a pool only for half of the headroom.
	headroomVMs = 1.0
	// A burst starts when a pool needs burstVMs more VMs than its long-running
	// work and the headroom take, or burstShare of its initial size if that is
	// more.
	burstVMs   = 3
	burstShare = 0.125
	// For rampTime plus the time of a move after its start, a burst is expected
	// to become as large, relative to the initial size of its pool, as the last
	// bursts of the pools did. After that its work shows how much it needs.
	rampTime = time.Second
	// burstKeepTime is how long an unused VM is kept during a burst, whose load
	// often falls and rises again. It covers two moves and a second in between.
	burstKeepTime = 4 * time.Second
	// forecastLead plus the time of a move is how long before an expected burst
	// VMs are moved for it.
	forecastLead = 400 * time.Millisecond
	// forecastWait is how long after its expected start a burst may still begin
	// before the forecast is dropped.
	forecastWait = 1200 * time.Millisecond
	// minGrowthJobs is the number of jobs up to which a growth says nothing: two
	// jobs within a window are as likely at a steady low load.
	minGrowthJobs = 2
	// growthShare is the share of the free VMs that a growth may take which is not
	// certain. Large jobs are few, and without VMs ahead of them the next ones wait.
	growthShare = 0.25
	// burstSureness is how certain the size of a burst is while it begins. It leaves a
	// quarter of the free VMs to a pool whose turn begins next. It holds also while the
	// need falls for a moment: after a change of owner a pool waited for 2 s.
	burstSureness = 0.75
	// forecastSureness is how certain a burst is that is expected by the intervals
	// of the ones before.
	forecastSureness = 0.5
	// The next burst is forecast only if the last two intervals between burst
	// starts differ by at most intervalTolerance of the later one.
	intervalTolerance = 0.15
	// learnTime is how long a pool that has had no burst yet keeps its VMs. It
	// covers a whole cycle of four queues that burst in turn for 4 s each.
	learnTime = 16 * time.Second
)

// Rebalancer moves VMs to the pools that need more than they have, and switches
// off VMs that no pool uses. It is designed for queues that burst in turn: each
// needs about five times its mean for some seconds and almost nothing in
// between.
type Rebalancer struct {
	options RebalancingOptions
	pools   map[string]*rebalancingHistory
	// targets are those of the last plan.
	targets map[string]Target
}

// Targets returns the targets of the pools in the last plan.
func (r *Rebalancer) Targets() map[string]Target { return r.targets }

// NewRebalancer returns a rebalancer without history.
func NewRebalancer(options RebalancingOptions) *Rebalancer {
	if options.MoveTime <= 0 {
		options.MoveTime = defaultMoveTime
	}
	if options.IdleTimeout <= 0 {
		options.IdleTimeout = defaultIdleTimeout
	}
	return &Rebalancer{options: options, pools: map[string]*rebalancingHistory{}}
}

// rebalancingPool is the state of a pool during one plan.
type rebalancingPool struct {
	CoreDemand
	poolTarget
	vms int
	// idle VMs run no work, busy ones only work that isn't long-running.
	idle, busy []ManagedVM
}

// Target is what a pool needs and expects to need, in VMs.
type Target struct {
	// Needed is what the work needs that runs, waits or arrives now. Wanted is
	// Needed plus what is expected, Sure how certain the expectation is, from 0 to 1.
	Needed, Wanted int
	Sure           float64
}

// poolTarget is what a pool needs and keeps, in VMs.
type poolTarget struct {
	Target
	// minNeeded is what the pool keeps when work waits in other pools, minKept what
	// it keeps when other pools expect work, and maxKept what it keeps otherwise.
	minNeeded, minKept, maxKept int
}

// Plan returns the moves to start now, and the IDs of the VMs to drain for pools
// whose need exceeds the idle VMs. now is the reading of a monotonic clock.
func (r *Rebalancer) Plan(now time.Duration, demands []CoreDemand, vms []ManagedVM) (moves []Move, drain []string) {
	pools := map[string]*rebalancingPool{}
	var order []*rebalancingPool
	sizes := map[string]int{}
	r.targets = map[string]Target{}
	for _, vm := range vms {
		sizes[vm.Pool]++
	}
	for _, d := range demands {
		p := &rebalancingPool{CoreDemand: d}
		if !d.Spare {
			p.poolTarget = r.target(now, d, sizes[d.Pool])
			r.targets[d.Pool] = p.Target
		}
		pools[d.Pool] = p
		order = append(order, p)
	}
	for _, vm := range vms {
		p := pools[vm.Pool]
		if p == nil || vm.OutOfService {
			continue
		}
		p.vms++
		switch {
		case vm.MovingIn:
		case vm.WorkItems == 0:
			p.idle = append(p.idle, vm)
		case !vm.LongRunning:
			p.busy = append(p.busy, vm)
		}
	}
	// Pools with work that can start on none of their VMs come before those
	// whose work merely has to wait.
	slices.SortFunc(order, func(a, b *rebalancingPool) int {
		return cmp.Or(cmp.Compare(b.blocked(), a.blocked()), cmp.Compare(b.missing(), a.missing()), cmp.Compare(a.Pool, b.Pool))
	})
	moves = append(fillNeeds(order), fillExpectations(order)...)
	drain = vmsToDrain(order)
	return append(moves, r.switchOff(order)...), drain
}

// vmsToDrain returns the IDs of the VMs to drain for the pools that still lack
// VMs. They are the VMs with the fewest work items in the pools that have more
// VMs than they need.
func vmsToDrain(order []*rebalancingPool) []string {
	missing := 0
	for _, p := range order {
		if !p.Spare {
			missing += max(p.missing(), 0)
		}
	}
	var drain []string
	for _, p := range order {
		slices.SortFunc(p.busy, func(a, b ManagedVM) int {
			return cmp.Or(boolCompare(b.Draining, a.Draining), cmp.Compare(a.WorkItems, b.WorkItems), cmp.Compare(a.ID, b.ID))
		})
		surplus := min(p.vms-max(p.Wanted, p.minKept), len(p.busy), missing)
		for _, vm := range p.busy[:max(surplus, 0)] {
			drain = append(drain, vm.ID)
			missing--
		}
	}
	return drain
}

// boolCompare orders false before true.
func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// missing returns how many VMs the pool lacks; it is negative if the pool has
// more than it needs now.
func (p *rebalancingPool) missing() int { return p.Wanted - p.vms }

// blocked returns how many VMs are missing for work that can start on none of
// the VMs of the pool.
func (p *rebalancingPool) blocked() int { return max(p.RequiredVMs-p.vms, 0) }

// surplus returns how many idle VMs the pool can give to pools in which work
// waits, or to those that only expect work.
func (p *rebalancingPool) surplus(forExpected bool) int {
	switch {
	case p.Spare:
		return len(p.idle)
	case forExpected:
		return min(p.vms-max(p.Wanted, p.minKept), len(p.idle))
	}
	return min(p.vms-max(p.Needed, p.minNeeded), len(p.idle))
}

// unused returns how many idle VMs of the pool can be switched off.
func (p *rebalancingPool) unused() int {
	return min(p.vms-max(p.Wanted, p.maxKept), len(p.idle))
}

// target returns what a pool needs and keeps.
func (r *Rebalancer) target(now time.Duration, d CoreDemand, vms int) poolTarget {
	h := r.pools[d.Pool]
	if h == nil {
		h = &rebalancingHistory{since: now}
		r.pools[d.Pool] = h
	}
	if h.initialSize == 0 {
		h.initialSize = vms
	}
	size := max(d.CoresPerVM, 1)
	vmsFor := func(cores float64) int { return max(int(math.Ceil((cores+d.LostCores)/size+headroomVMs/2)), 1) }
	t := poolTarget{Target: Target{Sure: max(sureness(d.ArrivalJobs), growthShare)}}
	current := max(d.RunningCores+min(d.WaitingCores, d.BacklogCoreSeconds/backlogCompletionTime.Seconds()), d.LongRunningCores+d.ArrivalRate)
	t.Needed = vmsFor(current)
	// A VM that is ordered now takes work once the move is done.
	ahead := d.ArrivalGrowth * (r.options.MoveTime + forecastLead).Seconds()
	expected := func(share float64) int { return vmsFor(max(current, d.LongRunningCores+d.ArrivalRate+share*ahead)) }
	t.Wanted = expected(1)
	base := int(math.Ceil(d.LongRunningCores/size + headroomVMs))
	h.observe(now, rebalancingNeed{at: now, vms: t.Wanted, sure: expected(sureness(d.ArrivalJobs)), current: t.Needed}, base, r.options.IdleTimeout)
	switch {
	case h.burstJustStarted(now, r.options.MoveTime+rampTime):
		t.Wanted = max(t.Wanted, int(r.burstGrowth(now)*float64(h.initialSize)))
		t.Sure = max(t.Sure, burstSureness)
	case h.burstDue(now, r.options.MoveTime+forecastLead):
		t.Wanted, t.Sure = max(t.Wanted, h.lastPeak), max(t.Sure, forecastSureness)
	}
	t.Needed, t.Wanted = max(t.Needed, d.RequiredVMs), max(t.Wanted, d.RequiredVMs)
	needed, wanted := h.largest(now, r.options.IdleTimeout)
	t.minNeeded, t.minKept = max(base, needed), max(base, wanted)
	t.maxKept = t.minKept
	if h.inBurst {
		_, wanted = h.largest(now, burstKeepTime)
		t.maxKept = max(base, wanted)
	}
	if len(h.starts) == 0 && now-h.since < learnTime {
		t.maxKept = math.MaxInt32
	}
	return t
}

// sureness returns how certain a growth of the load is that rests on a number of
// jobs, from 0 to 1.
func sureness(jobs float64) float64 {
	if jobs <= minGrowthJobs {
		return 0
	}
	return 1 - minGrowthJobs/jobs
}

// fillNeeds moves idle VMs to the pools whose present work lacks VMs, those of
// spare pools first.
func fillNeeds(order []*rebalancingPool) []Move {
	var moves []Move
	for _, to := range order {
		for !to.Spare && to.vms < to.Needed {
			from := donor(order, to, false)
			if from == nil {
				break
			}
			moves = append(moves, from.moveIdleVM(to))
		}
	}
	return moves
}

// fillExpectations moves idle VMs to the pools that expect work. An expectation
// takes only as large a share of the VMs that nothing needs as it is certain.
func fillExpectations(order []*rebalancingPool) []Move {
	free := 0
	for _, p := range order {
		free += max(p.surplus(true), 0)
	}
	var moves []Move
	for _, to := range order {
		if to.Spare {
			continue
		}
		held := max(to.vms-to.Needed, 0)
		limit := max(to.vms, to.Needed+int(math.Ceil(to.Sure*float64(free+held))))
		for to.vms < min(to.Wanted, limit) {
			from := donor(order, to, true)
			if from == nil {
				break
			}
			moves = append(moves, from.moveIdleVM(to))
		}
	}
	return moves
}

// donor returns the pool that the next VM is taken from, or nil: a spare pool,
// else the one with the largest surplus. Spare pools come first because the
// other pools may soon need their idle VMs themselves.
func donor(order []*rebalancingPool, to *rebalancingPool, forExpected bool) *rebalancingPool {
	var best *rebalancingPool
	for _, p := range order {
		surplus := p.surplus(forExpected)
		if p == to || surplus <= 0 {
			continue
		}
		if best == nil || p.Spare && !best.Spare || p.Spare == best.Spare && surplus > best.surplus(forExpected) {
			best = p
		}
	}
	return best
}

// moveIdleVM moves an idle VM of the pool to another pool.
func (p *rebalancingPool) moveIdleVM(to *rebalancingPool) Move {
	vm := p.idle[0]
	p.idle = p.idle[1:]
	p.vms--
	to.vms++
	return Move{VM: vm.ID, From: p.Pool, To: to.Pool}
}

// switchOff moves unused VMs to a spare pool.
func (r *Rebalancer) switchOff(order []*rebalancingPool) []Move {
	i := slices.IndexFunc(order, func(p *rebalancingPool) bool { return p.Spare })
	if i < 0 {
		return nil
	}
	spare := order[i]
	var moves []Move
	for _, p := range order {
		for !p.Spare && p.unused() > 0 {
			moves = append(moves, p.moveIdleVM(spare))
		}
	}
	return moves
}
