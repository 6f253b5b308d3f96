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
	// ArrivalRate is the rate of new work in core-seconds per second, and
	// ArrivalGrowth its growth per second, as far as both are known for certain.
	ArrivalRate, ArrivalGrowth float64
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
}

// rebalancingHistory is the learned demand of a pool.
type rebalancingHistory struct {
	// since is when the rebalancer first saw the pool.
	since time.Duration
	// recent holds the needs within the longest time that unused VMs are kept.
	recent []rebalancingNeed
	// inBurst tells whether a burst is in progress.
	inBurst bool
	// starts holds the start times of the last three bursts.
	starts []time.Duration
	// lastPeak is the largest need of the last complete burst.
	lastPeak int
	// peak is the largest need of the current burst.
	peak int
	// initialSize is how many VMs the pool had when the rebalancer first saw some.
	initialSize int
}

// rebalancingNeed is the number of VMs that a pool needed at a time, without
// those for an expected burst or for RequiredVMs.
type rebalancingNeed struct {
	at  time.Duration
	vms int
}

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
	// wanted is the number of VMs that the pool needs now or for an expected
	// burst, minKept the number that it keeps when other pools need VMs, maxKept
	// the number that it keeps when none does.
	wanted, minKept, maxKept int
	vms                      int
	// idle VMs run no work, busy ones only work that isn't long-running.
	idle, busy []ManagedVM
}

// Plan returns the moves to start now, and the IDs of the VMs to drain for pools
// whose need exceeds the idle VMs. now is the reading of a monotonic clock.
func (r *Rebalancer) Plan(now time.Duration, demands []CoreDemand, vms []ManagedVM) (moves []Move, drain []string) {
	pools := map[string]*rebalancingPool{}
	var order []*rebalancingPool
	sizes := map[string]int{}
	for _, vm := range vms {
		sizes[vm.Pool]++
	}
	for _, d := range demands {
		p := &rebalancingPool{CoreDemand: d}
		if !d.Spare {
			p.wanted, p.minKept, p.maxKept = r.target(now, d, sizes[d.Pool])
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
	moves = r.fill(order)
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
		surplus := min(p.vms-max(p.wanted, p.minKept), len(p.busy), missing)
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
func (p *rebalancingPool) missing() int { return p.wanted - p.vms }

// blocked returns how many VMs are missing for work that can start on none of
// the VMs of the pool.
func (p *rebalancingPool) blocked() int { return max(p.RequiredVMs-p.vms, 0) }

// surplus returns how many idle VMs the pool can give to pools that need them.
func (p *rebalancingPool) surplus() int {
	if p.Spare {
		return len(p.idle)
	}
	return min(p.vms-max(p.wanted, p.minKept), len(p.idle))
}

// unused returns how many idle VMs of the pool can be switched off.
func (p *rebalancingPool) unused() int {
	return min(p.vms-max(p.wanted, p.maxKept), len(p.idle))
}

// target returns the number of VMs that a pool needs now or for an expected
// burst, the number that it keeps when other pools need VMs, and the number that
// it keeps when none does.
func (r *Rebalancer) target(now time.Duration, d CoreDemand, vms int) (wanted, minKept, maxKept int) {
	h := r.pools[d.Pool]
	if h == nil {
		h = &rebalancingHistory{since: now}
		r.pools[d.Pool] = h
	}
	if h.initialSize == 0 {
		h.initialSize = vms
	}
	size := max(d.CoresPerVM, 1)
	// A VM that is ordered now takes work once the move is done.
	ahead := d.ArrivalGrowth * (r.options.MoveTime + forecastLead).Seconds()
	cores := max(d.RunningCores+min(d.WaitingCores, d.BacklogCoreSeconds/backlogCompletionTime.Seconds()), d.LongRunningCores+d.ArrivalRate+ahead)
	wanted = max(int(math.Ceil((cores+d.LostCores)/size+headroomVMs/2)), 1)
	base := int(math.Ceil(d.LongRunningCores/size + headroomVMs))
	h.observe(now, wanted, base, r.options.IdleTimeout)
	switch {
	case h.burstJustStarted(now, r.options.MoveTime+rampTime):
		wanted = max(wanted, int(r.burstGrowth(now)*float64(h.initialSize)))
	case h.burstDue(now, r.options.MoveTime+forecastLead):
		wanted = max(wanted, h.lastPeak)
	}
	wanted = max(wanted, d.RequiredVMs)
	minKept = max(base, h.largest(now, r.options.IdleTimeout))
	maxKept = minKept
	if h.inBurst {
		maxKept = max(base, h.largest(now, burstKeepTime))
	}
	if len(h.starts) == 0 && now-h.since < learnTime {
		return wanted, minKept, math.MaxInt32
	}
	return wanted, minKept, maxKept
}

// burstGrowth returns the factor by which a burst is expected to exceed the
// initial size of its pool: the smallest one of the last bursts of all pools, at
// least 1.
func (r *Rebalancer) burstGrowth(now time.Duration) float64 {
	least := math.Inf(1)
	for _, h := range r.pools {
		if peak := h.knownPeak(now, r.options.MoveTime+rampTime); peak > 0 && h.initialSize > 0 {
			least = min(least, float64(peak)/float64(h.initialSize))
		}
	}
	if math.IsInf(least, 1) {
		return 1
	}
	return max(least, 1)
}

// knownPeak returns the largest need of the last burst that is complete, or of
// the one in progress if it started more than ramp ago and needed more. It
// returns 0 if neither is known.
func (h *rebalancingHistory) knownPeak(now, ramp time.Duration) int {
	if h.inBurst && !h.burstJustStarted(now, ramp) {
		return max(h.lastPeak, h.peak)
	}
	return h.lastPeak
}

// burstJustStarted reports whether a burst started less than ramp ago. A burst
// that was in progress when the rebalancer first saw the pool does not count,
// because its start is not known.
func (h *rebalancingHistory) burstJustStarted(now, ramp time.Duration) bool {
	if !h.inBurst {
		return false
	}
	start := h.starts[len(h.starts)-1]
	return start > h.since && now-start < ramp
}

// threshold returns how many VMs a pool has to need for a burst, beyond those
// for its long-running work and the headroom.
func (h *rebalancingHistory) threshold() int {
	return max(burstVMs, int(burstShare*float64(h.initialSize)))
}

// observe adds the need at a time and detects the start and the end of bursts.
func (h *rebalancingHistory) observe(now time.Duration, wanted, base int, keep time.Duration) {
	h.recent = append(h.recent, rebalancingNeed{now, wanted})
	h.recent = slices.DeleteFunc(h.recent, func(w rebalancingNeed) bool { return now-w.at > max(keep, burstKeepTime) })
	switch {
	case !h.inBurst && wanted >= base+h.threshold():
		h.inBurst, h.peak = true, wanted
		h.starts = append(h.starts, now)
		if len(h.starts) > 3 {
			h.starts = h.starts[1:]
		}
	case h.inBurst && h.largest(now, keep) < base+h.threshold():
		h.inBurst, h.lastPeak = false, h.peak
	}
	if h.inBurst {
		h.peak = max(h.peak, wanted)
	}
}

// largest returns the largest need of the time within before now.
func (h *rebalancingHistory) largest(now, within time.Duration) int {
	most := 0
	for _, w := range h.recent {
		if now-w.at <= within {
			most = max(most, w.vms)
		}
	}
	return most
}

// burstDue reports whether a burst is due within lead, or overdue by at most
// forecastWait, judging by the interval between the starts of the last bursts.
func (h *rebalancingHistory) burstDue(now, lead time.Duration) bool {
	n := len(h.starts)
	if h.inBurst || n < 2 {
		return false
	}
	gap := h.starts[n-1] - h.starts[n-2]
	if n > 2 {
		before := h.starts[n-2] - h.starts[n-3]
		if math.Abs(float64(gap-before)) > intervalTolerance*float64(gap) {
			return false
		}
	}
	next := h.starts[n-1] + gap
	return now >= next-lead && now <= next+forecastWait
}

// fill moves idle VMs to the pools that lack VMs, those of spare pools first.
func (r *Rebalancer) fill(order []*rebalancingPool) []Move {
	var moves []Move
	for _, to := range order {
		for to.missing() > 0 && !to.Spare {
			from := donor(order, to)
			if from == nil {
				return moves
			}
			moves = append(moves, from.moveIdleVM(to))
		}
	}
	return moves
}

// donor returns the pool that the next VM is taken from, or nil: a spare pool,
// else the one with the largest surplus. Spare pools come first because the
// other pools may soon need their idle VMs themselves.
func donor(order []*rebalancingPool, to *rebalancingPool) *rebalancingPool {
	var best *rebalancingPool
	for _, p := range order {
		if p == to || p.surplus() <= 0 {
			continue
		}
		if best == nil || p.Spare && !best.Spare || p.Spare == best.Spare && p.surplus() > best.surplus() {
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
