package main

import (
	"fmt"
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/scheduler/dispatching"
)

// badWorkers are the indexes of 5% of the workers, one each in two pools.
var badWorkers = [...]int{5, 22}

// measureEjection measures the effect of workers that fail every job after a
// quarter of the run, and of simultaneous failures of a whole pool and of half
// a pool.
func measureEjection(s scenario) ([]Row, []chart) {
	var learned, learnedFailures, fcfs, fcfsFailures, whole, half, learnedStarts, fcfsStarts float64
	tasks := []func(){
		func() { learned, learnedFailures = badWorkerShare(s, newLearnedPool) },
		func() { fcfs, fcfsFailures = badWorkerShare(s, newFCFSPool) },
		func() { whole, _ = commonFailure(s, 1) },
		func() { _, half = commonFailure(s, 0.5) },
		func() { learnedStarts = startsOfRepeatedJob(s, newLearnedPool) },
		func() { fcfsStarts = startsOfRepeatedJob(s, newFCFSPool) },
	}
	parallel(len(tasks), func(i int) { tasks[i]() })
	return []Row{
		row("starts on failing workers from 5 s after their first failure, of fair share", "percent", learned).
			baseline(fcfs).bound(0).atMost(1),
		row("requests that end as failed with failing workers", "requests", learnedFailures).baseline(fcfsFailures),
		row("workers ejected while a whole pool fails", "workers", whole).bound(0).atMost(0),
		row("healthy workers ejected while half a pool fails", "workers", half).bound(0).atMost(0),
		row("starts of a job that can never run, repeated four times", "starts", learnedStarts).baseline(fcfsStarts).bound(1),
	}, nil
}

// badWorkerShare returns the starts on bad workers in percent of their fair
// share, and the requests that failed although they can run.
func badWorkerShare(s scenario, newPool func(int) dispatcher) (share, failures float64) {
	work := newWorkload(s)
	sim := newSimulation(s, work, newPool)
	begin := work.until / 4
	for _, i := range badWorkers {
		sim.vms[i].fails = func(at time.Duration) bool { return at >= begin }
	}
	outcomes := sim.run()
	var starts, fair float64
	for _, i := range badWorkers {
		bad := sim.vms[i]
		from, pool, workers := bad.firstFailure+5*time.Second, 0, 0
		for _, v := range sim.vms {
			if v.pool == bad.pool {
				workers++
				pool += startsAfter(v, from)
			}
		}
		starts += float64(startsAfter(bad, from))
		fair += float64(pool) / float64(workers)
	}
	for _, o := range outcomes {
		if o.failed && !o.job.alwaysFails {
			failures++
		}
	}
	return 100 * starts / fair, failures
}

// startsOfRepeatedJob returns the mean number of starts of a job that can never
// run and whose caller repeats it four times, 5 s apart.
func startsOfRepeatedJob(s scenario, newPool func(int) dispatcher) float64 {
	work := newWorkload(s)
	repeated := map[string]bool{}
	for _, j := range slices.Clone(work.jobs) {
		if !j.alwaysFails || j.arrive > work.until-time.Minute {
			continue
		}
		repeated[j.fingerprint] = true
		for i := 1; i <= 4; i++ {
			repeat := j
			repeat.id += fmt.Sprintf("#%d", i)
			repeat.arrive += time.Duration(i) * 5 * time.Second
			repeat.cancel = 0
			work.jobs = append(work.jobs, repeat)
		}
	}
	slices.SortStableFunc(work.jobs, func(a, b job) int { return int(a.arrive - b.arrive) })
	starts := 0.0
	for _, o := range newSimulation(s, work, newPool).run() {
		if repeated[o.job.fingerprint] {
			starts += float64(o.attempts)
		}
	}
	return starts / float64(len(repeated))
}

func startsAfter(v *vm, from time.Duration) int {
	i, _ := slices.BinarySearch(v.starts, from)
	return len(v.starts) - i
}

// commonFailure makes the given fraction of each pool's workers fail every job
// for 20 s, starting 5 s into each burst of the pool. It returns the largest
// number of workers that were ejected at the same time, and of healthy ones
// among them.
func commonFailure(s scenario, fraction float64) (ejected, healthy float64) {
	work := newWorkload(s)
	sim := newSimulation(s, work, newLearnedPool)
	affected := map[string]bool{}
	seen := [services]int{}
	for _, v := range sim.vms {
		pool := v.pool
		if seen[pool]++; float64(seen[pool]) > fraction*float64(poolSizes[pool]) {
			continue
		}
		affected[v.worker.ID] = true
		v.fails = func(at time.Duration) bool {
			for _, b := range work.bursts[pool] {
				if begin := b.start + 5*time.Second; at >= begin && at < begin+20*time.Second {
					return true
				}
			}
			return false
		}
	}
	sim.afterEvent = func() {
		out, unaffected := 0.0, 0.0
		for _, pool := range sim.pools {
			for _, id := range pool.(*dispatching.Pool).Ejected() {
				out++
				if !affected[id] {
					unaffected++
				}
			}
		}
		ejected, healthy = max(ejected, out), max(healthy, unaffected)
	}
	sim.run()
	return ejected, healthy
}
