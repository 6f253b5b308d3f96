package main

import (
	"fmt"
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/scheduler/dispatching"
)

// badWorkers are 5% of the workers, one each in two pools.
var badWorkers = [...]int{5, 22}

// measureEjection measures workers that fail all they start from a quarter of
// the run on, and common failures of a whole pool and of half a pool.
func measureEjection(s scenario) ([]Row, []chart) {
	var learned, learnedFailures, fcfs, fcfsFailures, whole, half, refused, repeated float64
	tasks := []func(){
		func() { learned, learnedFailures = badWorkerShare(s, learnedPool) },
		func() { fcfs, fcfsFailures = badWorkerShare(s, fcfsPool) },
		func() { whole, _ = commonFailure(s, 1) },
		func() { _, half = commonFailure(s, 0.5) },
		func() { refused = neverStarts(s, learnedPool) },
		func() { repeated = neverStarts(s, fcfsPool) },
	}
	parallel(len(tasks), func(i int) { tasks[i]() })
	return []Row{
		row("starts on failing workers from 5 s after their first failure, of fair share", "percent", learned).
			baseline(fcfs).bound(0).atMost(1),
		row("requests that end as failed with failing workers", "requests", learnedFailures).baseline(fcfsFailures),
		row("workers ejected while a whole pool fails", "workers", whole).bound(0).atMost(0),
		row("healthy workers ejected while half a pool fails", "workers", half).bound(0).atMost(0),
		row("starts of a job that can never run, repeated four times", "starts", refused).baseline(repeated).bound(1),
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
		if o.failed && !o.job.never {
			failures++
		}
	}
	return 100 * starts / fair, failures
}

// neverStarts returns the mean number of starts of a job that can never run
// whose caller repeats it four times, 5 s apart.
func neverStarts(s scenario, newPool func(int) dispatcher) float64 {
	work := newWorkload(s)
	repeated := map[string]bool{}
	for _, j := range slices.Clone(work.jobs) {
		if !j.never || j.arrive > work.until-time.Minute {
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

// commonFailure lets a part of the workers of each pool fail all they start for
// 20 s, in turn while the pool bursts, and returns the largest number of
// ejected workers and of healthy ones among them.
func commonFailure(s scenario, part float64) (ejected, healthy float64) {
	work := newWorkload(s)
	sim := newSimulation(s, work, learnedPool)
	affected := map[string]bool{}
	count := [services]int{}
	for _, v := range sim.vms {
		pool := v.pool
		if count[pool]++; float64(count[pool]) > part*float64(poolSizes[pool]) {
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
