package capacity

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// The target of a pool is the largest need, in VMs, of the last
	// smoothingWindow, so that noise within a burst moves no VM. If the needs of
	// the last endSmoothingWindow are below endRatio of that, only these count,
	// because the burst is over.
	smoothingWindow    = 15 * time.Second
	endSmoothingWindow = 3 * time.Second
	endRatio           = 0.6
	// sustainedTime is how long a need above the target of a burst, which is
	// levelMargin times the average level of earlier bursts, has to last before
	// the target rises to it.
	sustainedTime = 14 * time.Second
	// minimumBurstSamples is the number of needs, one per call of Plan and so one
	// per second, that a burst has to have beyond settlingTime for its level to
	// be learned. A single outlier would set the level too low.
	minimumBurstSamples = 5
	// settlingTime is the time after the start of a burst in which the need says
	// nothing about the level of the burst. It is also the time after the end in
	// which the demand may still be falling.
	settlingTime = 5 * time.Second
	// idleWeight is the weight of the need at one call of Plan in the moving
	// average of the need between bursts.
	idleWeight = 0.05
	// levelMargin is the factor by which the target during a burst exceeds the
	// average level of earlier bursts.
	levelMargin = 1.3
	// levelWeight is the weight of a new burst in the average level of bursts.
	levelWeight = 0.3
	// A burst starts when the need reaches burstStartRatio times the usual need
	// and exceeds it by at least 2 VMs.
	burstStartRatio = 1.5
	// A burst ends when the need is above the usual one by less than
	// burstEndRatio of the largest rise of the burst and is also too low to start
	// a burst.
	burstEndRatio = 0.4
	// usualWeight is the weight of the need at one call of Plan in the moving
	// average that gives the usual need.
	usualWeight = 0.01
	// pendingMoveTimeout is the time after which a move that has had no effect
	// is forgotten.
	pendingMoveTimeout = time.Minute
	// observationGap is the time without a plan after which the warm-up of a
	// pool starts again. Such a gap arises when another process has planned in
	// between: the planner then still has its old histories.
	observationGap = 10 * time.Second
)

// Planner plans moves from the demand of the pools over time.
//
// Invariants: no plan moves a VM within MinimumMoveInterval of its last move or
// takes a pool below MinimumVMs serving VMs. A pool other than a spare pool
// gives up no VM while its availability budget is used up (see
// Pool.MaxUnavailable), nor before the planner has observed it for WarmUp.
type Planner struct {
	options Options
	pools   map[string]*history
	pending map[string]pendingMove
}

// pendingMove is a planned move that the snapshot does not show yet.
type pendingMove struct {
	to string
	at time.Time
}

// history is the learned demand of a pool.
type history struct {
	// observedSince and lastObserved are the start of the current period of
	// observation and the time of the last plan.
	observedSince, lastObserved time.Time
	// recent holds the needs of the last smoothingWindow.
	recent []need
	// usual is the long-term average need.
	usual float64
	// inBurst tells whether a burst is in progress.
	inBurst bool
	// burstEnd is the end of the last burst.
	burstEnd time.Time
	// peak is the largest need of the current burst, or of the last one if none
	// is in progress.
	peak int
	gaps gaps
	// burstStart is the start of the current or last burst.
	burstStart time.Time
	// needSum is the sum of the needs of that burst after settlingTime, without
	// those below the threshold for its end, and needSamples is their number.
	needSum, needSamples float64
	// expectedLevel is the moving average of the average needs of bursts.
	expectedLevel float64
	// idle is the average need between bursts.
	idle float64
}

// need is the number of VMs that a pool needed at a time, including headroom.
type need struct {
	at  time.Time
	vms int
}

// NewPlanner returns a planner without history.
func NewPlanner(options Options) *Planner {
	return &Planner{options: options.withDefaults(), pools: map[string]*history{}, pending: map[string]pendingMove{}}
}

// Plan returns the moves to start now. It has to be called once per second.
func (p *Planner) Plan(now time.Time, s Snapshot) []Move {
	p.forgetFinishedMoves(now, s)
	r := newPlanRound(p.options, now, s, p.pending)
	for i := range r.pools {
		pool := &r.pools[i]
		if !pool.Spare {
			pool.target, pool.floor = p.target(now, pool.Pool)
			pool.warm = now.Sub(p.pools[pool.Name].observedSince) >= p.options.WarmUp
		}
	}
	moves := r.plan()
	for _, m := range moves {
		p.pending[m.VM] = pendingMove{to: m.To, at: now}
	}
	return moves
}

// forgetFinishedMoves removes pending moves that were completed, refused or
// lost.
func (p *Planner) forgetFinishedMoves(now time.Time, s Snapshot) {
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
		// The snapshot after a plan may be older than the plan, so a move counts
		// as refused only after 3 s.
		refused := vm.Pool != m.to && vm.Serving && now.Sub(m.at) > 3*time.Second
		if !ok || arrived || refused || now.Sub(m.at) > pendingMoveTimeout {
			delete(p.pending, id)
		}
	}
}

// target returns the number of VMs that a pool should have now, and the lower
// number (floor) that it keeps when another pool lacks VMs. The difference
// allows a pool whose burst has just ended to give its VMs directly to the next
// burst, which saves the move through the spare pool.
func (p *Planner) target(now time.Time, pool Pool) (target, floor int) {
	h := p.pools[pool.Name]
	if h == nil {
		h = &history{}
		p.pools[pool.Name] = h
	}
	h.recordObservation(now)
	needed := max(p.need(pool), pool.MinimumVMs)
	h.observe(now, needed)
	target = h.largest(now, smoothingWindow)
	floor = min(target, h.largest(now, endSmoothingWindow))
	if h.inBurst && h.expectedLevel > 0 {
		target = max(h.burstTarget(now), pool.MinimumVMs)
		floor = target
	}
	if !h.inBurst && float64(needed) < endRatio*float64(target) {
		floor = needed
	}
	if ending := now.Sub(h.burstEnd) < settlingTime; !h.inBurst && ending && pool.Queued == 0 {
		// The demand is still falling, presumably to the average need between
		// earlier bursts.
		floor = min(floor, max(int(math.Ceil(h.idle)), pool.MinimumVMs))
	}
	if latest := h.largest(now, endSmoothingWindow); float64(latest) < endRatio*float64(target) {
		target = latest
	}
	if !h.inBurst && !h.burstEnd.IsZero() && now.Sub(h.burstEnd) < p.hold(h) {
		target = max(target, h.peak)
	}
	return target, floor
}

// need returns the number of VMs for the demand of a pool plus headroom of up
// to 30%, which grows with the cost of waiting.
func (p *Planner) need(pool Pool) int {
	headroom := 0.3 * p.options.WaitingWeight / (p.options.WaitingWeight + p.options.BufferWeight)
	return int(math.Ceil(pool.SlotsWanted * (1 + headroom) / float64(max(pool.SlotsPerWorker, 1))))
}

// largest returns the largest need within a time up to now.
func (h *history) largest(now time.Time, within time.Duration) int {
	vms := 0
	for _, n := range h.recent {
		if now.Sub(n.at) <= within {
			vms = max(vms, n.vms)
		}
	}
	return vms
}

// smallest returns the smallest need within a time up to now.
func (h *history) smallest(now time.Time, within time.Duration) int {
	vms := math.MaxInt
	for _, n := range h.recent {
		if now.Sub(n.at) <= within {
			vms = min(vms, n.vms)
		}
	}
	return vms
}

// burstTarget returns the number of VMs for a burst in progress. The demand of
// the first seconds is too low and that of the following ones includes the
// backlog of the first, so the target is based on the level of earlier bursts.
// A need above it counts once it has lasted for sustainedTime.
func (h *history) burstTarget(now time.Time) int {
	return max(int(math.Ceil(levelMargin*h.expectedLevel)), h.smallest(now, sustainedTime))
}

// learnLevel updates the expected level of bursts from the burst that has just
// ended.
func (h *history) learnLevel() {
	if h.needSamples < minimumBurstSamples {
		return
	}
	level := h.needSum / h.needSamples
	if h.expectedLevel == 0 {
		h.expectedLevel = level
	}
	h.expectedLevel += levelWeight * (level - h.expectedLevel)
}

// recordObservation notes that the pool is observed now, and restarts the
// warm-up after a gap. An idle pool can be told from one between two bursts only
// after its demand has been observed for some time.
func (h *history) recordObservation(now time.Time) {
	if now.Sub(h.lastObserved) > observationGap {
		h.observedSince = now
	}
	h.lastObserved = now
}

// observe adds the need at a time and detects the start and the end of bursts.
func (h *history) observe(now time.Time, vms int) {
	h.recent = append(h.recent, need{now, vms})
	for now.Sub(h.recent[0].at) > smoothingWindow {
		h.recent = h.recent[1:]
	}
	// The thresholds for start and end differ, so that noise does not split a
	// burst in two.
	start := max(burstStartRatio*h.usual, h.usual+2)
	end := h.usual + burstEndRatio*(float64(h.peak)-h.usual)
	switch {
	case float64(vms) >= start && !h.inBurst:
		if !h.burstEnd.IsZero() {
			h.gaps.add(now.Sub(h.burstEnd))
		}
		h.inBurst, h.peak = true, vms
		h.burstStart, h.needSum, h.needSamples = now, 0, 0
	case float64(vms) < min(start, end) && h.inBurst:
		h.inBurst, h.burstEnd = false, now
		h.learnLevel()
	}
	if h.inBurst && now.Sub(h.burstStart) >= settlingTime && float64(vms) >= end {
		h.needSum += float64(vms)
		h.needSamples++
	}
	if !h.inBurst && now.Sub(h.burstEnd) >= settlingTime {
		h.idle += idleWeight * (float64(vms) - h.idle)
	}
	if h.inBurst {
		h.peak = max(h.peak, vms)
	}
	h.usual += usualWeight * (float64(vms) - h.usual)
}

// hold returns how long the VMs of the last burst are kept. A VM that is still
// there when the next burst starts saves the cost of the moves to the spare pool
// and back: the VM is out of service during both, and work waits during the one
// back.
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

// planRound is the state of one call of Plan.
type planRound struct {
	options Options
	now     time.Time
	pools   []poolState
	moves   []Move
}

// poolState is the state of a pool during one call of Plan.
type poolState struct {
	Pool
	target int
	// floor is the target when another pool lacks VMs.
	floor int
	// warm pools have been observed for long enough to give up VMs.
	warm bool
	// serving counts the VMs that serve the pool and are not leaving it,
	// arriving those that are moving to it, unavailable those out of service for
	// other reasons than moves.
	serving, arriving, unavailable int
	// movable holds the VMs that may leave the pool, in the order in which they
	// should leave.
	movable []VM
}

func newPlanRound(options Options, now time.Time, s Snapshot, moving map[string]pendingMove) *planRound {
	r := &planRound{options: options, now: now, pools: make([]poolState, len(s.Pools))}
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
		if now.Sub(vm.MovedAt) >= options.MinimumMoveInterval {
			pool.movable = append(pool.movable, vm)
		}
	}
	for i := range r.pools {
		sortMovable(r.pools[i].movable)
	}
	return r
}

// sortMovable sorts VMs by their busy slots, then those away from their home
// pool before the others, then by identifier.
func sortMovable(vms []VM) {
	slices.SortFunc(vms, func(a, b VM) int {
		if a.Busy != b.Busy {
			return a.Busy - b.Busy
		}
		if awayA, awayB := a.Pool != a.HomePool, b.Pool != b.HomePool; awayA != awayB {
			if awayA {
				return -1
			}
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
}

// missing returns how many VMs a pool lacks. It is based on floor, because VMs
// that a pool merely holds after a burst aren't replaced once it has given them
// up.
func (s *poolState) missing() int { return s.floor - s.serving - s.arriving }

// canGive reports whether a VM may leave the pool while the pool has to keep the
// given number of serving VMs.
func (s *poolState) canGive(keep int) bool {
	if len(s.movable) == 0 || s.serving <= s.MinimumVMs {
		return false
	}
	return s.Spare || s.warm && s.unavailable < s.MaxUnavailable && s.serving > keep
}

// plan first moves VMs to the pools that lack some and then the unneeded ones
// back to spare pools.
func (r *planRound) plan() []Move {
	order := make([]*poolState, 0, len(r.pools))
	for i := range r.pools {
		if !r.pools[i].Spare {
			order = append(order, &r.pools[i])
		}
	}
	// The pool that lacks the largest share of its floor comes first.
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
			spare := r.spareFor(pool.movable[0].HomePool)
			if spare == nil {
				break
			}
			r.moveAt(pool, spare, 0)
		}
	}
	return r.moves
}

// donor returns the pool that the next VM is taken from, or nil: the one with
// the most VMs above its floor, else a spare pool. A direct move saves the move
// of the surplus VM to the spare pool.
func (r *planRound) donor() *poolState {
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

// surplus returns how many serving VMs the pool has above its floor and its
// minimum.
func (s *poolState) surplus() int { return s.serving - max(s.floor, s.MinimumVMs) }

// spareFor returns the spare pool that takes an idle VM with the given home
// pool: the home pool if it is a spare pool, else the first spare pool, or nil
// if there is none.
func (r *planRound) spareFor(home string) *poolState {
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

// move plans a move of the most suitable movable VM.
func (r *planRound) move(from, to *poolState) {
	// Among equally busy VMs, one whose home is the destination is preferred,
	// because it needs no move back later.
	least := from.movable[0].Busy
	i := max(slices.IndexFunc(from.movable, func(vm VM) bool { return vm.HomePool == to.Name && vm.Busy == least }), 0)
	r.moveAt(from, to, i)
}

// moveAt plans a move of the VM at index i of movable.
func (r *planRound) moveAt(from, to *poolState, i int) {
	vm := from.movable[i]
	from.movable = slices.Delete(from.movable, i, i+1)
	from.serving--
	to.arriving++
	r.moves = append(r.moves, Move{VM: vm.ID, From: from.Name, To: to.Name})
}
