package main

import (
	"cmp"
	"fmt"
	"math"
	"runtime"
	"slices"
	"sync"
	"time"

	"gonum.org/v1/plot/plotter"

	"dotterelhead.example/dotterelhead/scheduler/capacity"
)

const (
	// sparePool is the index of the spare pool; its VMs serve no requests.
	sparePool = -1
	// moveTime is the time of the two store writes and the confirmations of a
	// move; draining the VM takes additional time.
	moveTime = 3 * time.Second
	// minimumVMs and maxUnavailable are the limits of each service pool.
	minimumVMs          = 4
	maxUnavailable      = 2
	spareMinimum        = 0
	minimumMoveInterval = 10 * time.Second
)

// plan returns the moves to start at the simulation's current time.
type plan func(sim *simulation) []capacity.Move

// capacityRun is the result of one run with moves.
type capacityRun struct {
	// buffer is the idle capacity held in service pools, in VM seconds per
	// second; VMs that move count as held.
	buffer  float64
	moves   int
	summary summary
	// movedEarly counts moves of a VM within its hold time.
	movedEarly int
}

func (r capacityRun) wait() float64 { return quantile(r.summary.waits, 0.99) }

func poolName(pool int) string {
	if pool == sparePool {
		return "spare"
	}
	return fmt.Sprintf("pool-%d", pool)
}

// runCapacity runs the workload with the moves of next, or without moves if
// next is nil. No rack is lost, because it would take different VMs from a
// static split with other pool sizes, and the runs couldn't be compared.
func runCapacity(s scenario, w workload, sizes [services]int, next plan) capacityRun {
	sim := newSimulationWithSizes(s, w, newLearnedPool, sizes)
	sim.losesRack = false
	total := len(sim.vms)
	for i := range spareWorkers {
		sim.addVM(fmt.Sprintf("spare-%d", i), total+i, sparePool)
	}
	var r capacityRun
	sim.onSecond = func() {
		if sim.now >= w.until {
			return
		}
		for _, v := range sim.vms {
			if v.pool != sparePool || v.moving {
				r.buffer += 1 - float64(v.running)/slotsPerWorker
			}
		}
		if next == nil {
			return
		}
		for _, m := range next(sim) {
			if sim.now-sim.byID[m.VM].movedAt < minimumMoveInterval {
				r.movedEarly++
			}
			r.moves++
			sim.startMove(m)
		}
	}
	r.summary = summarise(sim.run())
	r.buffer /= w.until.Seconds()
	return r
}

func (s *simulation) startMove(m capacity.Move) {
	v := s.byID[m.VM]
	if v.moving || poolName(v.pool) != m.From {
		panic("move of a VM that is already moving or not in the source pool: " + m.VM)
	}
	to := sparePool
	for pool := range services {
		if poolName(pool) == m.To {
			to = pool
		}
	}
	v.moving = true
	v.movingTo = to
	s.setWorkers(v.pool)
	s.at(s.now+moveTime, func() { s.endMove(v) })
}

func (s *simulation) endMove(v *vm) {
	if v.running > 0 {
		s.at(s.now+250*time.Millisecond, func() { s.endMove(v) })
		return
	}
	v.pool, v.moving, v.movedAt = v.movingTo, false, s.now
	s.setWorkers(v.pool)
}

func (s *simulation) snapshot() capacity.Snapshot {
	var snapshot capacity.Snapshot
	counts := map[int]int{}
	for _, v := range s.vms {
		if v.lost {
			continue
		}
		counts[v.pool]++
		snapshot.VMs = append(snapshot.VMs, capacity.VM{
			ID: v.worker.ID, Pool: poolName(v.pool), HomePool: poolName(v.home), Rack: v.worker.Rack,
			AvailabilityZone: v.worker.AvailabilityZone, Serving: !v.moving, Busy: v.running, MovedAt: epoch.Add(v.movedAt),
		})
	}
	for pool := range services {
		d := s.pools[pool].Demand(s.time())
		snapshot.Pools = append(snapshot.Pools, capacity.Pool{
			Name: poolName(pool), VMs: counts[pool], MinimumVMs: minimumVMs, MaxUnavailable: maxUnavailable,
			SlotsPerWorker: slotsPerWorker, SlotsWanted: d.SlotsWanted, Queued: d.Queued, Busy: d.Busy,
		})
	}
	snapshot.Pools = append(snapshot.Pools, capacity.Pool{
		Name: poolName(sparePool), Spare: true, VMs: counts[sparePool], MinimumVMs: spareMinimum,
		SlotsPerWorker: slotsPerWorker,
	})
	return snapshot
}

// planned returns the plan of the daemon's capacity planner.
func planned(options capacity.Options) plan {
	options.MinimumMoveInterval = minimumMoveInterval
	planner := capacity.NewPlanner(options)
	return func(sim *simulation) []capacity.Move { return planner.Plan(sim.time(), sim.snapshot()) }
}

// roleChangeInterval is the time between changes of the control holder in the
// runs that change it regularly. Outages of the store can also change it.
const roleChangeInterval = 150 * time.Second

// plannedWithRoleChanges is like planned, but starts a new planner after each
// roleChangeInterval, as a new control holder does.
func plannedWithRoleChanges(options capacity.Options) plan {
	next, since := planned(options), time.Duration(0)
	return func(sim *simulation) []capacity.Move {
		if sim.now-since >= roleChangeInterval {
			next, since = planned(options), sim.now
		}
		return next(sim)
	}
}

// weights returns the planner weights that a deployment has configured.
func (s scenario) weights() capacity.Options {
	if s.Deployment == "mas-trunk" {
		return capacity.Options{WaitingWeight: 1, BufferWeight: 1}
	}
	return capacity.Options{WaitingWeight: 50, BufferWeight: 1}
}

// clairvoyantPlan knows the bursts in advance: a pool has burstVMs VMs from lead
// before its burst until tail after it, and idleVMs at other times. A negative
// tail ends before the burst does.
type clairvoyantPlan struct {
	burstVMs, idleVMs int
	lead, tail        time.Duration
}

// plan moves VMs directly from pools that need fewer, emptiest VMs first.
func (p clairvoyantPlan) plan(w workload) plan {
	return func(sim *simulation) []capacity.Move {
		have, target := map[int]int{}, map[int]int{}
		for _, v := range sim.vms {
			if v.moving {
				have[v.movingTo]++
			} else {
				have[v.pool]++
			}
		}
		for pool := range services {
			target[pool] = p.idleVMs
			for _, b := range w.bursts[pool] {
				if sim.now >= b.start-p.lead && sim.now < b.end+p.tail {
					target[pool] = p.burstVMs
				}
			}
		}
		byLoad := slices.Clone(sim.vms)
		slices.SortStableFunc(byLoad, func(a, b *vm) int { return a.running - b.running })
		var moves []capacity.Move
		take := func(to int, allowed func(v *vm) bool) bool {
			for i, v := range byLoad {
				if v.moving || v.pool == to || !allowed(v) {
					continue
				}
				have[v.pool]--
				have[to]++
				moves = append(moves, capacity.Move{VM: v.worker.ID, From: poolName(v.pool), To: poolName(to)})
				byLoad = slices.Delete(byLoad, i, i+1)
				return true
			}
			return false
		}
		surplus := func(v *vm) bool { return v.pool != sparePool && have[v.pool] > target[v.pool] }
		spare := func(v *vm) bool { return v.pool == sparePool }
		for pool := range services {
			for have[pool] < target[pool] && (take(pool, surplus) || take(pool, spare)) {
			}
		}
		for take(sparePool, surplus) {
		}
		return moves
	}
}

// clairvoyantPlans returns the plans from which the bound is chosen; a quick
// run uses a subset of them.
func clairvoyantPlans(quick bool) []clairvoyantPlan {
	largest, leads := 22, []time.Duration{0, 4 * time.Second, 8 * time.Second}
	if quick {
		largest, leads = 18, leads[:2]
	}
	var all []clairvoyantPlan
	for burstVMs := 10; burstVMs <= largest; burstVMs += 2 {
		for _, lead := range leads {
			for _, tail := range []time.Duration{-4 * time.Second, 0} {
				all = append(all, clairvoyantPlan{burstVMs, minimumVMs, lead, tail})
			}
		}
	}
	return all
}

// parallel runs n deterministic tasks, at most six at a time.
func parallel(n int, task func(i int)) {
	var group sync.WaitGroup
	limit := make(chan struct{}, min(runtime.GOMAXPROCS(0), 6))
	for i := range n {
		limit <- struct{}{}
		group.Go(func() {
			task(i)
			<-limit
		})
	}
	group.Wait()
}

// cheapest returns the run with the least buffer whose wait is at most limit.
func cheapest(runs []capacityRun, limit float64) (capacityRun, bool) {
	best, found := capacityRun{}, false
	for _, r := range runs {
		if r.wait() <= limit && (!found || r.buffer < best.buffer) {
			best, found = r, true
		}
	}
	return best, found
}

// fewestMoves returns the least number of moves of a run whose wait is at most
// limit, whatever its buffer.
func fewestMoves(runs []capacityRun, limit float64) int {
	fewest := math.MaxInt
	for _, r := range runs {
		if r.wait() <= limit {
			fewest = min(fewest, r.moves)
		}
	}
	return fewest
}

func measureCapacity(s scenario) ([]Row, []chart) {
	work := newWorkload(s)
	policies := []capacity.HoldPolicy{capacity.HoldHistogram, capacity.HoldFixed, capacity.HoldAverage}
	candidates := clairvoyantPlans(s.Quick)
	// Static splits with 8 to 14 VMs in each pool.
	static := make([]capacityRun, 7)
	clairvoyants := make([]capacityRun, len(candidates))
	byHoldPolicy := make([]capacityRun, len(policies))
	var none, withWarmUp, withoutWarmUp capacityRun
	n := len(policies) + 1 + len(static) + len(candidates)
	parallel(n+2, func(i int) {
		switch {
		case i == n:
			withWarmUp = runCapacity(s, work, poolSizes, plannedWithRoleChanges(s.weights()))
		case i == n+1:
			options := s.weights()
			options.WarmUp = -1 // no warm-up
			withoutWarmUp = runCapacity(s, work, poolSizes, plannedWithRoleChanges(options))
		case i < len(policies):
			options := s.weights()
			options.Hold = policies[i]
			byHoldPolicy[i] = runCapacity(s, work, poolSizes, planned(options))
		case i == len(policies):
			none = runCapacity(s, work, poolSizes, nil)
		case i < len(policies)+1+len(static):
			i -= len(policies) + 1
			var sizes [services]int
			for pool := range sizes {
				sizes[pool] = 8 + i
			}
			static[i] = runCapacity(s, work, sizes, nil)
		default:
			i -= len(policies) + 1 + len(static)
			clairvoyants[i] = runCapacity(s, work, poolSizes, candidates[i].plan(work))
		}
	})
	// The first policy is the daemon's default.
	plannerRun := byHoldPolicy[0]
	split, splitFound := cheapest(static, plannerRun.wait())
	best, bestFound := cheapest(clairvoyants, plannerRun.wait())
	rows := []Row{
		row("buffer against the smallest static split with the same wait", "VMs", plannerRun.buffer),
		row("buffer against clairvoyant", "VMs", plannerRun.buffer),
		row("moves", "moves", float64(plannerRun.moves)),
		row("moves of a VM within its hold time", "moves", float64(plannerRun.movedEarly)).atMost(0),
		row("wait p99 with moves (baseline: no moves)", "seconds", plannerRun.wait()).baseline(none.wait()),
		row("short work p99 slowdown with moves (baseline: no moves)", "ratio", quantile(plannerRun.summary.shortSlowdowns, 0.99)).
			baseline(quantile(none.summary.shortSlowdowns, 0.99)),
		row("buffer without moves", "VMs", none.buffer),
	}
	if splitFound {
		rows[0] = rows[0].baseline(split.buffer)
		if s.Deployment == "mas-trunk" {
			rows[0] = rows[0].atMost(0.6 * split.buffer)
		}
	}
	if bestFound {
		rows[1] = rows[1].bound(best.buffer)
		if s.Deployment == "mas-trunk" {
			rows[1] = rows[1].atMost(1.3 * best.buffer)
		}
		fewest := float64(fewestMoves(clairvoyants, plannerRun.wait()))
		rows[2] = rows[2].bound(fewest).atMost(1.2 * fewest)
	}
	for i, name := range []string{"histogram", "fixed", "exponential average"} {
		rows = append(rows,
			row("hold by "+name+": buffer", "VMs", byHoldPolicy[i].buffer),
			row("hold by "+name+": moves", "moves", float64(byHoldPolicy[i].moves)),
			row("hold by "+name+": wait p99", "seconds", byHoldPolicy[i].wait()))
	}
	const changing = "role changes hands each 150 s: "
	rows = append(rows,
		row(changing+"buffer (baseline: no warm-up)", "VMs", withWarmUp.buffer).baseline(withoutWarmUp.buffer),
		row(changing+"moves (baseline: no warm-up)", "moves", float64(withWarmUp.moves)).baseline(float64(withoutWarmUp.moves)),
		row(changing+"wait p99 (baseline: no warm-up)", "seconds", withWarmUp.wait()).baseline(withoutWarmUp.wait()),
		row(changing+"short work p99 slowdown (baseline: no warm-up)", "ratio", quantile(withWarmUp.summary.shortSlowdowns, 0.99)).
			baseline(quantile(withoutWarmUp.summary.shortSlowdowns, 0.99)))
	frontier := chart{
		file: "buffer-" + s.Deployment + ".svg", title: "Buffer and wait, " + s.Deployment,
		x: "VMs held as buffer", y: "p99 wait in seconds", logY: true,
	}
	frontier.series = append(frontier.series,
		paretoFrontier("static split", static), paretoFrontier("clairvoyant plans", clairvoyants),
		series{"planner", plotter.XYs{{X: plannerRun.buffer - 0.3, Y: plannerRun.wait()}, {X: plannerRun.buffer + 0.3, Y: plannerRun.wait()}}})
	return rows, []chart{frontier}
}

// paretoFrontier returns the runs for which no other run has both a smaller
// buffer and a shorter wait.
func paretoFrontier(name string, runs []capacityRun) series {
	sorted := slices.Clone(runs)
	slices.SortFunc(sorted, func(a, b capacityRun) int { return cmp.Compare(a.buffer, b.buffer) })
	s, lowest := series{name: name}, math.Inf(1)
	for _, r := range sorted {
		if r.wait() < lowest {
			lowest = r.wait()
			s.points = append(s.points, plotter.XY{X: r.buffer, Y: max(lowest, 1e-3)})
		}
	}
	return s
}
