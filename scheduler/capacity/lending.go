package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand is what a pool of workers asks for at the moment, in cores.
type Demand struct {
	Pool string
	// Spare VMs are off and cost nothing.
	Spare bool
	// CoresPerVM is the size of a VM of the pool.
	CoresPerVM float64
	// Used is what runs, Waiting what could start at once, and Lasting the part
	// of Used that runs until it is cancelled.
	Used, Waiting, Lasting float64
	// Backlog is the work that waits, in core-seconds.
	Backlog float64
	// MinVMs is how many VMs waiting work needs whatever their size, because a
	// VM may run only some of its items.
	MinVMs int
	// Arriving is the rate of new work in core-seconds per second, as far as it
	// is certain.
	Arriving float64
}

// LentVM is a VM as the lender sees it.
type LentVM struct {
	ID   string
	Pool string
	// Runs is the number of work items on the VM; only a VM without any moves.
	Runs int
	// Lasting VMs run work that lasts; they are not emptied for another pool.
	Lasting bool
	// Draining VMs take no new work, to be moved once they are empty.
	Draining bool
	// Arriving VMs are on their way into their pool. Out VMs take no work, for
	// an upkeep or a fault: they neither count nor move.
	Arriving, Out bool
}

// LendingOptions configure a Lender. Zero values stand for the defaults.
type LendingOptions struct {
	// MoveTime is how long a VM is away on a move; default 1.5 s.
	MoveTime time.Duration
	// Keep is how long a VM without use stays before it is switched off. A VM
	// that is switched off and on again costs two moves and their time.
	Keep time.Duration
}

const (
	defaultMoveTime = 1500 * time.Millisecond
	// defaultKeep is the time after which a VM in a pool has cost as much as
	// the two moves that would have spared it.
	defaultKeep = 1200 * time.Millisecond
	// clearTime is the time in which a backlog should be worked off. It is
	// within the objectives of short jobs, which are about 2 s.
	clearTime = 800 * time.Millisecond
	// headroomVMs are kept idle in each pool, so that a job between bursts does
	// not wait for a move.
	headroomVMs = 1.0
	// burstVMs more than the lasting work and the headroom take is a burst, and
	// in a large pool burstShare of its first size.
	burstVMs   = 3
	burstShare = 0.125
	// rampTime is how long after its start a burst is taken to become as large
	// as others were, beyond the time of a move: what it asks for by then is
	// known from its work.
	rampTime = time.Second
	// forecastLead is how long before an expected burst VMs are moved, beyond
	// the time of the move.
	forecastLead = 400 * time.Millisecond
	// forecastWait is how long after its expected start a burst is waited for.
	forecastWait = 1200 * time.Millisecond
	// regularShare is by which part of itself the time between bursts may vary
	// for the next one to be forecast.
	regularShare = 0.15
	// learnTime is how long a pool without a burst so far keeps its VMs: a whole
	// cycle of four queues with turns of 4 s.
	learnTime = 16 * time.Second
)

// Lender moves VMs to the pools that ask for more than they hold, and switches
// off what no pool uses. Answers the load of queues that burst by turns: each
// asks for about five times its mean for some seconds and for almost nothing
// in between.
type Lender struct {
	options LendingOptions
	pools   map[string]*lendingHistory
}

// lendingHistory is what the lender remembers of a pool.
type lendingHistory struct {
	since time.Duration
	// peaks are the recent wants, the largest of which counts.
	peaks []want
	// starts are the starts of the last bursts, burstVMs the largest want of
	// the last one.
	inBurst  bool
	starts   []time.Duration
	burstVMs int
	peak     int
	// size is how many VMs the pool had when the lender first saw some.
	size int
}

type want struct {
	at  time.Duration
	vms int
}

// NewLender returns a lender without history.
func NewLender(options LendingOptions) *Lender {
	if options.MoveTime <= 0 {
		options.MoveTime = defaultMoveTime
	}
	if options.Keep <= 0 {
		options.Keep = defaultKeep
	}
	return &Lender{options: options, pools: map[string]*lendingHistory{}}
}

// lendingPool is a pool during one plan.
type lendingPool struct {
	Demand
	// wanted is what the pool needs now, lend what it keeps when other pools
	// need VMs, kept what it keeps when none does.
	wanted, lend, kept int
	vms                int
	// idle VMs run nothing, busy ones nothing that lasts.
	idle, busy []LentVM
}

// Plan returns the moves to order now, and the VMs that are to be emptied for
// pools that need more than the idle VMs. now is on a clock that only grows.
func (l *Lender) Plan(now time.Duration, demands []Demand, vms []LentVM) (moves []Move, drain []string) {
	pools := map[string]*lendingPool{}
	var order []*lendingPool
	sizes := map[string]int{}
	for _, vm := range vms {
		sizes[vm.Pool]++
	}
	for _, d := range demands {
		p := &lendingPool{Demand: d}
		if !d.Spare {
			p.wanted, p.lend, p.kept = l.target(now, d, sizes[d.Pool])
		}
		pools[d.Pool] = p
		order = append(order, p)
	}
	for _, vm := range vms {
		p := pools[vm.Pool]
		if p == nil || vm.Out {
			continue
		}
		p.vms++
		switch {
		case vm.Arriving:
		case vm.Runs == 0:
			p.idle = append(p.idle, vm)
		case !vm.Lasting:
			p.busy = append(p.busy, vm)
		}
	}
	// Work that no VM of its pool can take comes before work that only waits.
	slices.SortFunc(order, func(a, b *lendingPool) int {
		return cmp.Or(cmp.Compare(b.blocked(), a.blocked()), cmp.Compare(b.missing(), a.missing()), cmp.Compare(a.Pool, b.Pool))
	})
	moves = l.fill(order)
	drain = emptied(order)
	return append(moves, l.switchOff(order)...), drain
}

// emptied returns the VMs to empty for the pools that still need some: those
// with the fewest runs of pools that have more than they need.
func emptied(order []*lendingPool) []string {
	missing := 0
	for _, p := range order {
		if !p.Spare {
			missing += max(p.missing(), 0)
		}
	}
	var drain []string
	for _, p := range order {
		slices.SortFunc(p.busy, func(a, b LentVM) int {
			return cmp.Or(boolCompare(b.Draining, a.Draining), cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.ID, b.ID))
		})
		surplus := min(p.vms-max(p.wanted, p.lend), len(p.busy), missing)
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

func (p *lendingPool) missing() int { return p.wanted - p.vms }

// blocked is how many VMs are missing for work that can start nowhere.
func (p *lendingPool) blocked() int { return max(p.MinVMs-p.vms, 0) }

// surplus is how many idle VMs the pool can give to one that needs them,
// unused how many it can switch off.
func (p *lendingPool) surplus() int {
	if p.Spare {
		return len(p.idle)
	}
	return min(p.vms-max(p.wanted, p.lend), len(p.idle))
}

func (p *lendingPool) unused() int {
	return min(p.vms-max(p.wanted, p.kept), len(p.idle))
}

// target returns how many VMs a pool needs now, keeps when other pools need
// some, and keeps when none does.
func (l *Lender) target(now time.Duration, d Demand, vms int) (wanted, lend, kept int) {
	h := l.pools[d.Pool]
	if h == nil {
		h = &lendingHistory{since: now}
		l.pools[d.Pool] = h
	}
	if h.size == 0 {
		h.size = vms
	}
	size := max(d.CoresPerVM, 1)
	cores := max(d.Used+min(d.Waiting, d.Backlog/clearTime.Seconds()), d.Lasting+d.Arriving)
	wanted = max(int(math.Ceil(cores/size+headroomVMs/2)), 1)
	base := int(math.Ceil(d.Lasting/size + headroomVMs))
	h.observe(now, wanted, base, l.options.Keep)
	switch {
	case h.begins(now, l.options.MoveTime+rampTime):
		wanted = max(wanted, int(l.burstGrowth()*float64(h.size)))
	case h.expects(now, l.options.MoveTime+forecastLead):
		wanted = max(wanted, h.burstVMs)
	}
	wanted = max(wanted, d.MinVMs)
	lend = max(base, h.largest())
	if len(h.starts) == 0 && now-h.since < learnTime {
		return wanted, lend, math.MaxInt32
	}
	return wanted, lend, lend
}

// burstGrowth is by how much a burst at least exceeds the first size of its
// pool: the least of the pools that had one, or 1.
func (l *Lender) burstGrowth() float64 {
	least := math.Inf(1)
	for _, h := range l.pools {
		if h.burstVMs > 0 && h.size > 0 {
			least = min(least, float64(h.burstVMs)/float64(h.size))
		}
	}
	if math.IsInf(least, 1) {
		return 1
	}
	return max(least, 1)
}

// begins reports whether a burst began within ramp, as seen from before it.
func (h *lendingHistory) begins(now, ramp time.Duration) bool {
	if !h.inBurst {
		return false
	}
	start := h.starts[len(h.starts)-1]
	return start > h.since && now-start < ramp
}

// threshold is how many VMs make a burst, beyond the usual ones.
func (h *lendingHistory) threshold() int { return max(burstVMs, int(burstShare*float64(h.size))) }

func (h *lendingHistory) observe(now time.Duration, wanted, base int, keep time.Duration) {
	h.peaks = append(h.peaks, want{now, wanted})
	h.peaks = slices.DeleteFunc(h.peaks, func(w want) bool { return now-w.at > keep })
	switch {
	case !h.inBurst && wanted >= base+h.threshold():
		h.inBurst, h.peak = true, wanted
		h.starts = append(h.starts, now)
		if len(h.starts) > 3 {
			h.starts = h.starts[1:]
		}
	case h.inBurst && h.largest() < base+h.threshold():
		h.inBurst, h.burstVMs = false, h.peak
	}
	if h.inBurst {
		h.peak = max(h.peak, wanted)
	}
}

func (h *lendingHistory) largest() int {
	most := 0
	for _, w := range h.peaks {
		most = max(most, w.vms)
	}
	return most
}

// expects reports whether a burst is due within lead, by the time between the
// last bursts.
func (h *lendingHistory) expects(now, lead time.Duration) bool {
	n := len(h.starts)
	if h.inBurst || n < 2 {
		return false
	}
	gap := h.starts[n-1] - h.starts[n-2]
	if n > 2 {
		before := h.starts[n-2] - h.starts[n-3]
		if math.Abs(float64(gap-before)) > regularShare*float64(gap) {
			return false
		}
	}
	next := h.starts[n-1] + gap
	return now >= next-lead && now <= next+forecastWait
}

// fill moves idle VMs to the pools that need more, spare ones first.
func (l *Lender) fill(order []*lendingPool) []Move {
	var moves []Move
	for _, to := range order {
		for to.missing() > 0 && !to.Spare {
			from := donor(order, to)
			if from == nil {
				return moves
			}
			moves = append(moves, from.give(to))
		}
	}
	return moves
}

// donor returns the pool that can best give a VM.
func donor(order []*lendingPool, to *lendingPool) *lendingPool {
	var best *lendingPool
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

func (p *lendingPool) give(to *lendingPool) Move {
	vm := p.idle[0]
	p.idle = p.idle[1:]
	p.vms--
	to.vms++
	return Move{VM: vm.ID, From: p.Pool, To: to.Pool}
}

// switchOff moves VMs that no pool uses to a spare pool.
func (l *Lender) switchOff(order []*lendingPool) []Move {
	i := slices.IndexFunc(order, func(p *lendingPool) bool { return p.Spare })
	if i < 0 {
		return nil
	}
	spare := order[i]
	var moves []Move
	for _, p := range order {
		for !p.Spare && p.unused() > 0 {
			moves = append(moves, p.give(spare))
		}
	}
	return moves
}
