package main

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"gonum.org/v1/plot/plotter"

	"dotterelhead.example/dotterelhead/scheduler/capacity"
	"dotterelhead.example/dotterelhead/scheduler/dispatching"
)

// Sizes of the fleet that are planned within two years (docs/design.md, 1.4).
const (
	plannedWorkers = 2000
	plannedPools   = 117
	plannedTeams   = 710
)

var scaleWorkers = []int{50, 200, 500, 1000, plannedWorkers}

func measureScale(s scenario) ([]Row, []chart) {
	var rows []Row
	var x, y, bound []float64
	var measured, nLogN plotter.XYs
	for _, workers := range scaleWorkers {
		median, shortest := decisionRound(s, workers)
		r := row("decision round, "+strconv.Itoa(workers)+" workers", "milliseconds", 1000*median)
		if workers == plannedWorkers {
			r = r.atMost(50)
		}
		rows = append(rows, r)
		n := float64(workers)
		measured = append(measured, plotter.XY{X: n, Y: 1000 * shortest})
		x, y, bound = append(x, math.Log(n)), append(y, math.Log(shortest)), append(bound, math.Log(n*math.Log(n)))
	}
	rows = append(rows, row("decision round, growth exponent (bound: n log n)", "exponent", slope(x, y)).
		bound(slope(x, bound)).atMost(slope(x, bound)))
	for i := range x {
		// n log n through the first point.
		nLogN = append(nLogN, plotter.XY{X: measured[i].X, Y: measured[0].Y * math.Exp(bound[i]-bound[0])})
	}
	pools, seconds := 12, 60
	if s.Quick {
		pools, seconds = 4, 30
	}
	learned := make([]urgentWaits, pools)
	fcfs := make([]urgentWaits, pools)
	parallel(2*pools, func(i int) {
		if i < pools {
			learned[i] = runUrgent(s, uint64(i), seconds, dispatching.PolicyLearned)
		} else {
			fcfs[i-pools] = runUrgent(s, uint64(i-pools), seconds, dispatching.PolicyFirstComeFirstServed)
		}
	})
	var worst, worstFCFS, over float64
	for i := range pools {
		worst, worstFCFS = max(worst, learned[i].longest), max(worstFCFS, fcfs[i].longest)
		over = max(over, learned[i].overQuota)
	}
	rows = append(rows,
		row("longest wait of urgent work with quotas", "seconds", worst).baseline(worstFCFS).atMost(5.4),
		row("slots held beyond the quota without urgent work", "slots", over).atMost(0))
	return rows, []chart{{
		file: "decision-round.svg", title: "One decision round", x: "workers", y: "milliseconds",
		logX: true, logY: true, series: []series{{"measured", measured}, {"n log n", nLogN}},
	}}
}

// slope is the least squares slope of y over x.
func slope(x, y []float64) float64 {
	var sx, sy, sxx, sxy float64
	n := float64(len(x))
	for i := range x {
		sx, sy, sxx, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

// teamQuotas returns quotas of one to four slots for all teams.
func teamQuotas(random *rand.Rand, teams int) map[string]int {
	quotas := map[string]int{}
	for i := range teams {
		quotas[teamName(i)] = 1 + random.IntN(4)
	}
	return quotas
}

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

// decisionRound returns the median and the shortest real time of a round over
// the whole fleet; the shortest is the least disturbed by other processes. In a
// round each pool refuses expired requests, replaces one grant on each worker
// and reports its demand, with two waiting requests for each slot; then the
// moves are planned.
func decisionRound(s scenario, workers int) (median, shortest float64) {
	random := rand.New(rand.NewPCG(s.Seed, uint64(workers)))
	pools := max(workers*plannedPools/plannedWorkers, services)
	teams := max(workers*plannedTeams/plannedWorkers, 1)
	f := newScaleFleet(random, workers, pools, teams)
	// Without a warm-up the rounds plan moves from the first on.
	options := s.weights()
	options.WarmUp = -1
	planner := capacity.NewPlanner(options)
	times := make([]float64, 0, 15)
	for i := range cap(times) {
		now := epoch.Add(time.Duration(i+1) * time.Second)
		release := f.releases()
		begin := time.Now()
		f.round(now, release)
		moves := planner.Plan(now, f.snapshot)
		times = append(times, time.Since(begin).Seconds())
		f.applyMoves(moves)
	}
	slices.Sort(times)
	return times[len(times)/2], times[0]
}

type scaleFleet struct {
	random        *rand.Rand
	pools         []*dispatching.Pool
	grants        []map[string][]string
	snapshot      capacity.Snapshot
	teams         int
	lastRequestID int
}

func newScaleFleet(random *rand.Rand, workers, pools, teams int) *scaleFleet {
	f := &scaleFleet{random: random, teams: teams}
	listed := make([][]dispatching.Worker, pools)
	for i := range workers {
		id, pool := fmt.Sprintf("vm-%04d", i), i%pools
		listed[pool] = append(listed[pool], dispatching.Worker{ID: id, Slots: slotsPerWorker})
		f.snapshot.VMs = append(f.snapshot.VMs, capacity.VM{
			ID: id, Pool: poolName(pool), HomePool: poolName(pool), Serving: true, Rack: rackName(i / workersPerRack),
		})
	}
	for pool := range pools {
		p := dispatching.NewPool(dispatching.Options{MaxQueue: maxQueue})
		p.SetQuotas(epoch, teamQuotas(random, teams))
		p.SetWorkers(epoch, listed[pool])
		f.pools, f.grants = append(f.pools, p), append(f.grants, map[string][]string{})
		f.snapshot.Pools = append(f.snapshot.Pools, capacity.Pool{
			Name: poolName(pool), Spare: pool == pools-1, VMs: len(listed[pool]), MinimumVMs: 2,
			MaxUnavailable: 2, SlotsPerWorker: slotsPerWorker,
		})
		for range 3 * slotsPerWorker * len(listed[pool]) {
			f.push(epoch, pool)
		}
	}
	return f
}

func (f *scaleFleet) push(now time.Time, pool int) {
	f.lastRequestID++
	o := pickOperation(f.random)
	f.recordGrants(pool, f.pools[pool].Push(now, dispatching.Request{
		ID: strconv.Itoa(f.lastRequestID), Service: poolName(pool), Operation: o.name, Team: teamName(f.random.IntN(f.teams)),
		DeclaredRunTime: o.median, StartBy: now.Add(startTimeout), Urgent: f.random.IntN(100) == 0,
	}))
}

func (f *scaleFleet) recordGrants(pool int, decisions []dispatching.Decision) {
	for _, d := range decisions {
		if d.Reason == dispatching.ReasonNone {
			f.grants[pool][d.Worker.ID] = append(f.grants[pool][d.Worker.ID], d.GrantID)
		}
	}
}

// releases picks the grants that end in the next round, one on each worker.
func (f *scaleFleet) releases() [][]string {
	all := make([][]string, len(f.pools))
	for pool := range f.pools {
		workers := make([]string, 0, len(f.grants[pool]))
		for worker := range f.grants[pool] {
			workers = append(workers, worker)
		}
		slices.Sort(workers)
		for _, worker := range workers {
			if grants := f.grants[pool][worker]; len(grants) > 0 {
				all[pool] = append(all[pool], grants[0])
				f.grants[pool][worker] = grants[1:]
			}
		}
	}
	return all
}

func (f *scaleFleet) round(now time.Time, releases [][]string) {
	for pool, p := range f.pools {
		f.recordGrants(pool, p.Tick(now))
		for _, grant := range releases[pool] {
			f.recordGrants(pool, p.Release(now, grant, dispatching.ResultOK, 20*time.Millisecond))
			f.push(now, pool)
		}
		d := p.Demand(now)
		s := &f.snapshot.Pools[pool]
		s.SlotsWanted, s.Queued, s.Busy = d.SlotsWanted, d.Queued, d.Busy
	}
}

// applyMoves applies planned moves to the snapshot immediately.
func (f *scaleFleet) applyMoves(moves []capacity.Move) {
	for _, m := range moves {
		i := slices.IndexFunc(f.snapshot.VMs, func(vm capacity.VM) bool { return vm.ID == m.VM })
		f.snapshot.VMs[i].Pool = m.To
	}
}

// urgentWaits is the result of a run with quotas: the longest wait of an urgent
// request in seconds, and the most slots that a team held beyond its quota, not
// counting urgent requests.
type urgentWaits struct{ longest, overQuota float64 }

// runUrgent runs one pool of the planned size in virtual time, with quotas for
// all teams and a load of 1.4 times its capacity. One request in a hundred is
// urgent; a few teams send most of the requests.
func runUrgent(s scenario, seed uint64, seconds int, policy dispatching.Policy) urgentWaits {
	random := rand.New(rand.NewPCG(s.Seed, 1000+seed))
	quotas := teamQuotas(random, plannedTeams)
	p := dispatching.NewPool(dispatching.Options{MaxQueue: maxQueue, Policy: policy})
	p.SetQuotas(epoch, quotas)
	var listed []dispatching.Worker
	for i := range plannedWorkers / plannedPools {
		listed = append(listed, dispatching.Worker{ID: strconv.Itoa(i), Slots: slotsPerWorker})
	}
	p.SetWorkers(epoch, listed)
	zipf := rand.NewZipf(random, 1.1, 5, plannedTeams-1)
	rate := burstLoad * float64(len(listed)*slotsPerWorker) / meanRun()
	jobs, requests := map[string]job{}, map[string]dispatching.Request{}
	inUse := map[string]int{}
	var ends events
	var r urgentWaits
	var apply func(now time.Duration, decisions []dispatching.Decision)
	apply = func(now time.Duration, decisions []dispatching.Decision) {
		for _, d := range decisions {
			j, q := jobs[d.RequestID], requests[d.RequestID]
			delete(jobs, d.RequestID)
			delete(requests, d.RequestID)
			if q.Urgent {
				r.longest = max(r.longest, (now - j.arrive).Seconds())
			}
			if d.Reason != dispatching.ReasonNone {
				continue
			}
			if !q.Urgent {
				inUse[q.Team]++
				r.overQuota = max(r.overQuota, float64(inUse[q.Team]-quotas[q.Team]))
			}
			heap.Push(&ends, event{at: now + j.run, seq: len(ends), run: func() {
				if !q.Urgent {
					inUse[q.Team]--
				}
				apply(now+j.run, p.Release(epoch.Add(now+j.run), d.GrantID, dispatching.ResultOK, j.run))
			}})
		}
	}
	for at, n := 0.0, 0; ; n++ {
		at += random.ExpFloat64() / rate
		arrive := time.Duration(at * float64(time.Second))
		for len(ends) > 0 && ends[0].at <= arrive {
			heap.Pop(&ends).(event).run()
		}
		if at > float64(seconds) {
			break
		}
		j := newJob(random, 0, n, arrive)
		q := dispatching.Request{
			ID: j.id, Service: "s", Operation: j.operation, Team: teamName(int(zipf.Uint64())), DeclaredRunTime: j.declared,
			StartBy: epoch.Add(arrive + startTimeout), Urgent: random.IntN(100) == 0,
		}
		jobs[j.id], requests[j.id] = j, q
		apply(arrive, p.Push(epoch.Add(arrive), q))
	}
	// Urgent work that still waits at the end counts with its wait so far.
	for id, q := range requests {
		if q.Urgent {
			r.longest = max(r.longest, float64(seconds)-jobs[id].arrive.Seconds())
		}
	}
	return r
}
