package capacity

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// The largest need of the last smoothing counts, so that the noise of a
	// burst moves no VM. Once the need falls below endRatio of that the burst is
	// over, and only the needs of the last endSmoothing count.
	smoothing    = 15 * time.Second
	endSmoothing = 3 * time.Second
	endRatio     = 0.6
	// lasting is how long a need beyond the level of earlier bursts has to last.
	lasting = 14 * time.Second
	// minimumBurst is the number of seconds after settling from which the level
	// of a burst is learned; a single outlier would set it too low.
	minimumBurst = 5
	// settling is the time after the start of a burst whose needs say nothing
	// about its level.
	settling = 5 * time.Second
	// idleWeight is the weight of a second in the need between bursts.
	idleWeight = 0.05
	// levelMargin is the margin over the average level of earlier bursts.
	levelMargin = 1.3
	// levelWeight is the weight of a new burst in the expected level.
	levelWeight = 0.3
	// burstRatio is how many times its usual need a pool needs in a burst.
	burstRatio = 1.5
	// burstEnd is the part of the rise of a burst below which it is over.
	burstEnd = 0.4
	// usualWeight is the weight of a second in the usual need.
	usualWeight = 0.01
	// pendingLimit is when a move that shows no effect is forgotten.
	pendingLimit = time.Minute
	// watchGap is the time without a plan after which the watch of a pool starts
	// anew. A holder that regains the control role plans with old histories.
	watchGap = 10 * time.Second
)

// Planner plans moves from the demand of the pools over time.
//
// Invariants: no plan moves a VM within MinimumHold of its last move, takes a
// pool below MinimumVMs serving VMs, or takes a VM from a pool whose
// availability budget is used up: from one that is not spare and has
// MaxUnavailable VMs out of service for other reasons than moves, or that the
// planner has watched for less than WarmUp.
type Planner struct {
	options Options
	pools   map[string]*history
	pending map[string]pending
}

// pending is a move that the snapshot does not show yet.
type pending struct {
	to string
	at time.Time
}

// history is what the planner remembers of a pool.
type history struct {
	// watchedSince and seenAt are the start and the last moment of the watch.
	watchedSince, seenAt time.Time
	// recent holds the needs of the last seconds.
	recent []need
	usual  float64
	// inBurst, burstEnd and level describe the current or last burst.
	inBurst  bool
	burstEnd time.Time
	level    int
	gaps     gaps
	// burstStart, sum and seconds give the average need of the current burst;
	// expected is the average over bursts.
	burstStart   time.Time
	sum, seconds float64
	expected     float64
	// idle is the average need between bursts.
	idle float64
}

type need struct {
	at  time.Time
	vms int
}

// NewPlanner returns a planner without history.
func NewPlanner(options Options) *Planner {
	return &Planner{options: options.withDefaults(), pools: map[string]*history{}, pending: map[string]pending{}}
}

// Plan returns the moves to start now.
func (p *Planner) Plan(now time.Time, s Snapshot) []Move {
	p.settle(now, s)
	r := newRound(p.options, now, s, p.pending)
	for i := range r.pools {
		pool := &r.pools[i]
		if !pool.Spare {
			pool.target, pool.floor = p.target(now, pool.Pool)
			pool.warm = now.Sub(p.pools[pool.Name].watchedSince) >= p.options.WarmUp
		}
	}
	moves := r.plan()
	for _, m := range moves {
		p.pending[m.VM] = pending{to: m.To, at: now}
	}
	return moves
}

// settle forgets moves that are done, refused or lost.
func (p *Planner) settle(now time.Time, s Snapshot) {
	if len(p.pending) == 0 {
		return
	}
	present := make(map[string]VM, len(p.pending))
	for _, vm := range s.VMs {
		if _, ok := p.pending[vm.ID]; ok {
			present[vm.ID] = vm
		}
	}
	for id, m := range p.pending {
		vm, ok := present[id]
		arrived := vm.Pool == m.to && vm.Serving
		// The snapshot after a plan may be older than the plan.
		refused := vm.Pool != m.to && vm.Serving && now.Sub(m.at) > 3*time.Second
		if !ok || arrived || refused || now.Sub(m.at) > pendingLimit {
			delete(p.pending, id)
		}
	}
}

// target returns the number of VMs that a pool should have now, and the number
// that it needs when another pool lacks VMs: a burst that has just ended gives
// its VMs directly to the next one, which saves their way through the spare.
func (p *Planner) target(now time.Time, pool Pool) (target, floor int) {
	h := p.pools[pool.Name]
	if h == nil {
		h = &history{}
		p.pools[pool.Name] = h
	}
	h.watch(now)
	needed := max(p.need(pool), pool.MinimumVMs)
	h.observe(now, needed)
	target = h.largest(now, smoothing)
	floor = min(target, h.largest(now, endSmoothing))
	if h.inBurst && h.expected > 0 {
		target = max(h.burstTarget(now), pool.MinimumVMs)
		floor = target
	}
	if !h.inBurst && float64(needed) < endRatio*float64(target) {
		floor = needed
	}
	if ending := now.Sub(h.burstEnd) < settling; !h.inBurst && ending && pool.Queued == 0 {
		// The demand still falls; what the pool needed between earlier bursts
		// tells where to.
		floor = min(floor, max(int(math.Ceil(h.idle)), pool.MinimumVMs))
	}
	if latest := h.largest(now, endSmoothing); float64(latest) < endRatio*float64(target) {
		target = latest
	}
	if !h.inBurst && !h.burstEnd.IsZero() && now.Sub(h.burstEnd) < p.hold(h) {
		target = max(target, h.level)
	}
	return target, floor
}

// need is the number of VMs for the demand of a pool with headroom. The
// headroom grows with the price of waiting.
func (p *Planner) need(pool Pool) int {
	headroom := 0.3 * p.options.WaitingWeight / (p.options.WaitingWeight + p.options.BufferWeight)
	return int(math.Ceil(pool.SlotsWanted * (1 + headroom) / float64(max(pool.SlotsPerWorker, 1))))
}

// largest returns the largest need of the last seconds.
func (h *history) largest(now time.Time, within time.Duration) int {
	vms := 0
	for _, n := range h.recent {
		if now.Sub(n.at) <= within {
			vms = max(vms, n.vms)
		}
	}
	return vms
}

// smallest returns the smallest need of the last seconds.
func (h *history) smallest(now time.Time, within time.Duration) int {
	vms := math.MaxInt
	for _, n := range h.recent {
		if now.Sub(n.at) <= within {
			vms = min(vms, n.vms)
		}
	}
	return vms
}

// burstTarget is the number of VMs for a burst under way. The first seconds
// show too little demand, the next ones the backlog of the first, so earlier
// bursts tell the level; a need beyond it counts once it lasts.
func (h *history) burstTarget(now time.Time) int {
	return max(int(math.Ceil(levelMargin*h.expected)), h.smallest(now, lasting))
}

// learnLevel takes the average need of the burst that ended into account.
func (h *history) learnLevel() {
	if h.seconds < minimumBurst {
		return
	}
	level := h.sum / h.seconds
	if h.expected == 0 {
		h.expected = level
	}
	h.expected += levelWeight * (level - h.expected)
}

// watch starts the watch anew after a gap. Without demand seen over some time
// an idle pool cannot be told from one between two bursts.
func (h *history) watch(now time.Time) {
	if now.Sub(h.seenAt) > watchGap {
		h.watchedSince = now
	}
	h.seenAt = now
}

func (h *history) observe(now time.Time, vms int) {
	h.recent = append(h.recent, need{now, vms})
	for now.Sub(h.recent[0].at) > smoothing {
		h.recent = h.recent[1:]
	}
	// Different thresholds for start and end keep the noise of a burst from
	// splitting it.
	start := max(burstRatio*h.usual, h.usual+2)
	end := h.usual + burstEnd*(float64(h.level)-h.usual)
	switch {
	case float64(vms) >= start && !h.inBurst:
		if !h.burstEnd.IsZero() {
			h.gaps.add(now.Sub(h.burstEnd))
		}
		h.inBurst, h.level = true, vms
		h.burstStart, h.sum, h.seconds = now, 0, 0
	case float64(vms) < min(start, end) && h.inBurst:
		h.inBurst, h.burstEnd = false, now
		h.learnLevel()
	}
	if h.inBurst && now.Sub(h.burstStart) >= settling && float64(vms) >= end {
		h.sum += float64(vms)
		h.seconds++
	}
	if !h.inBurst && now.Sub(h.burstEnd) >= settling {
		h.idle += idleWeight * (float64(vms) - h.idle)
	}
	if h.inBurst {
		h.level = max(h.level, vms)
	}
	h.usual += usualWeight * (float64(vms) - h.usual)
}

// hold is how long the VMs of the last burst are kept. A VM that is there when
// the next burst comes saves its move: the work that waits meanwhile, and the
// time out of service of the move there and back.
func (p *Planner) hold(h *history) time.Duration {
	profit := p.options.MoveSeconds * (p.options.WaitingWeight + 2*p.options.BufferWeight)
	switch p.options.Hold {
	case HoldFixed:
		return p.options.FixedHold
	case HoldAverage:
		return h.gaps.averageHold(profit, p.options.BufferWeight)
	}
	return h.gaps.hold(profit, p.options.BufferWeight)
}

// round is one call of Plan.
type round struct {
	options Options
	now     time.Time
	pools   []poolState
	moves   []Move
}

type poolState struct {
	Pool
	target int
	// floor is the target when another pool lacks VMs.
	floor int
	// warm pools have been watched for long enough to give VMs away.
	warm bool
	// serving counts the VMs that serve and stay, arriving those on their way,
	// unavailable those out of service for other reasons than moves.
	serving, arriving, unavailable int
	// movable VMs may leave, those that should leave first in front.
	movable []VM
}

func newRound(options Options, now time.Time, s Snapshot, moving map[string]pending) *round {
	r := &round{options: options, now: now, pools: make([]poolState, len(s.Pools))}
	index := make(map[string]int, len(s.Pools))
	for i, pool := range s.Pools {
		r.pools[i].Pool = pool
		index[pool.Name] = i
	}
	for _, vm := range s.VMs {
		i, ok := index[vm.Pool]
		if !ok {
			continue
		}
		pool := &r.pools[i]
		target := vm.Target
		if m, ok := moving[vm.ID]; ok {
			target = m.to
		}
		if to, ok := index[target]; ok && (target != vm.Pool || !vm.Serving) {
			r.pools[to].arriving++
			continue
		}
		if !vm.Serving {
			pool.unavailable++
			continue
		}
		pool.serving++
		if now.Sub(vm.MovedAt) >= options.MinimumHold {
			pool.movable = append(pool.movable, vm)
		}
	}
	for i := range r.pools {
		sortMovable(r.pools[i].movable)
	}
	return r
}

// sortMovable puts the VMs with the fewest busy slots first, lent ones before
// others, and orders the rest by identifier.
func sortMovable(vms []VM) {
	slices.SortFunc(vms, func(a, b VM) int {
		if a.Busy != b.Busy {
			return a.Busy - b.Busy
		}
		if lentA, lentB := a.Pool != a.HomePool, b.Pool != b.HomePool; lentA != lentB {
			if lentA {
				return -1
			}
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
}

// missing is how many VMs a pool lacks; VMs that it merely holds after a burst
// are not replaced once they are given away.
func (s *poolState) missing() int { return s.floor - s.serving - s.arriving }

// canGive reports whether a VM may leave the pool while it keeps so many.
func (s *poolState) canGive(keep int) bool {
	if len(s.movable) == 0 || s.serving <= s.MinimumVMs {
		return false
	}
	return s.Spare || s.warm && s.unavailable < s.MaxUnavailable && s.serving > keep
}

func (r *round) plan() []Move {
	order := make([]*poolState, 0, len(r.pools))
	for i := range r.pools {
		if !r.pools[i].Spare {
			order = append(order, &r.pools[i])
		}
	}
	// The pool that lacks the largest part of its target comes first.
	slices.SortStableFunc(order, func(a, b *poolState) int {
		return b.missing()*max(a.floor, 1) - a.missing()*max(b.floor, 1)
	})
	for _, pool := range order {
		for pool.missing() > 0 {
			from := r.donor()
			if from == nil {
				break
			}
			r.move(from, pool)
		}
	}
	for _, pool := range order {
		for pool.canGive(pool.target) {
			spare := r.spare(pool.movable[0].HomePool)
			if spare == nil {
				break
			}
			r.moveAt(pool, spare, 0)
		}
	}
	return r.moves
}

// donor is the pool that a VM is taken from: the one with the most VMs beyond
// its floor, else a spare pool.
func (r *round) donor() *poolState {
	var best *poolState
	for i := range r.pools {
		pool := &r.pools[i]
		if !pool.canGive(pool.floor) {
			continue
		}
		if best == nil || best.Spare && !pool.Spare || best.Spare == pool.Spare && pool.surplus() > best.surplus() {
			best = pool
		}
	}
	return best
}

func (s *poolState) surplus() int { return s.serving - max(s.floor, s.MinimumVMs) }

// spare is the spare pool that takes an idle VM: its home if that is one.
func (r *round) spare(home string) *poolState {
	var first *poolState
	for i := range r.pools {
		pool := &r.pools[i]
		if !pool.Spare {
			continue
		}
		if pool.Name == home {
			return pool
		}
		if first == nil {
			first = pool
		}
	}
	return first
}

func (r *round) move(from, to *poolState) {
	// Of equally busy VMs one that goes home needs no move back later.
	least := from.movable[0].Busy
	i := max(slices.IndexFunc(from.movable, func(vm VM) bool { return vm.HomePool == to.Name && vm.Busy == least }), 0)
	r.moveAt(from, to, i)
}

// moveAt moves a movable VM by its index.
func (r *round) moveAt(from, to *poolState, i int) {
	vm := from.movable[i]
	from.movable = slices.Delete(from.movable, i, i+1)
	from.serving--
	to.arriving++
	r.moves = append(r.moves, Move{VM: vm.ID, From: from.Name, To: to.Name})
}
