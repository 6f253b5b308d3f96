package main

import (
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/scheduler/dispatching"
)

const maxQueue = 100_000

// part is a group of measurements that can be selected by name.
type part struct {
	name string
	run  func(s scenario) ([]Row, []chart)
}

var parts = []part{
	{"waiting", measureWaiting},
	{"overload", measureOverload},
	{"ejection", measureEjection},
	{"capacity", measureCapacity},
	{"scale", measureScale},
	{"forecast", measureForecast},
	{"maintenance", measureMaintenance},
}

func partNames() []string {
	var names []string
	for _, p := range parts {
		names = append(names, p.name)
	}
	return names
}

func measureDecisions(s scenario) ([]Row, error) {
	var rows []Row
	for _, p := range parts {
		if !s.selected(p.name) {
			continue
		}
		measured, charts := p.run(s)
		rows = append(rows, measured...)
		if s.Plots == "" {
			continue
		}
		for _, c := range charts {
			if err := c.save(s.Plots); err != nil {
				return nil, err
			}
		}
	}
	return rows, nil
}

// newLearnedPool returns a pool with the daemon's default policy, which orders
// requests by run times learned from earlier requests.
func newLearnedPool(int) dispatcher {
	return dispatching.NewPool(dispatching.Options{MaxQueue: maxQueue})
}

func newFCFSPool(int) dispatcher {
	return dispatching.NewPool(dispatching.Options{MaxQueue: maxQueue, Policy: dispatching.PolicyFirstComeFirstServed})
}

// summary holds the outcomes of one run, without cancelled jobs and jobs that
// always fail. Slowdowns are ratios, waits are in seconds; all are sorted.
type summary struct {
	shortSlowdowns, longSlowdowns, waits []float64
	refusedOrFailed                      int
}

func summarise(outcomes []outcome) summary {
	var w summary
	for _, o := range outcomes {
		if o.cancelled || o.job.alwaysFails {
			continue
		}
		if o.refused != dispatching.ReasonNone || o.failed {
			w.refusedOrFailed++
		}
		w.waits = append(w.waits, o.wait.Seconds())
		if o.job.long {
			w.longSlowdowns = append(w.longSlowdowns, o.slowdown())
		} else {
			w.shortSlowdowns = append(w.shortSlowdowns, o.slowdown())
		}
	}
	for _, values := range [][]float64{w.shortSlowdowns, w.longSlowdowns, w.waits} {
		slices.Sort(values)
	}
	return w
}

// quantile returns a quantile of sorted values.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// roundRobin assigns requests to the workers in turn; each worker has its own
// first come first served queue.
type roundRobin struct {
	workers []dispatching.Worker
	queues  map[string]*dispatching.Pool
	// owner maps the IDs of waiting requests and of grants to the worker in
	// whose queue they are.
	owner map[string]string
	next  int
}

func newRoundRobin(int) dispatcher {
	return &roundRobin{queues: map[string]*dispatching.Pool{}, owner: map[string]string{}}
}

func (r *roundRobin) recordOwners(worker string, decisions []dispatching.Decision) []dispatching.Decision {
	for _, d := range decisions {
		if d.Reason == dispatching.ReasonNone {
			r.owner[d.GrantID] = worker
		}
		delete(r.owner, d.RequestID)
	}
	return decisions
}

func (r *roundRobin) SetWorkers(now time.Time, workers []dispatching.Worker) []dispatching.Decision {
	r.workers = workers
	var decisions []dispatching.Decision
	for _, w := range workers {
		if r.queues[w.ID] == nil {
			r.queues[w.ID] = newFCFSPool(0).(*dispatching.Pool)
		}
		decisions = append(decisions, r.recordOwners(w.ID, r.queues[w.ID].SetWorkers(now, []dispatching.Worker{w}))...)
	}
	return decisions
}

func (r *roundRobin) Push(now time.Time, q dispatching.Request) []dispatching.Decision {
	for range r.workers {
		r.next++
		w := r.workers[r.next%len(r.workers)].ID
		if !slices.Contains(q.AvoidWorkers, w) {
			r.owner[q.ID] = w
			return r.recordOwners(w, r.queues[w].Push(now, q))
		}
	}
	return []dispatching.Decision{{RequestID: q.ID, Reason: dispatching.ReasonNoWorker}}
}

func (r *roundRobin) Cancel(now time.Time, id string) bool {
	w, ok := r.owner[id]
	delete(r.owner, id)
	return ok && r.queues[w].Cancel(now, id)
}

func (r *roundRobin) Release(now time.Time, grant string, result dispatching.Result, ran time.Duration) []dispatching.Decision {
	w := r.owner[grant]
	delete(r.owner, grant)
	return r.recordOwners(w, r.queues[w].Release(now, grant, result, ran))
}

func (r *roundRobin) Tick(now time.Time) []dispatching.Decision {
	var decisions []dispatching.Decision
	for _, w := range r.workers {
		decisions = append(decisions, r.recordOwners(w.ID, r.queues[w.ID].Tick(now))...)
	}
	return decisions
}

func (r *roundRobin) Demand(now time.Time) dispatching.Demand { return dispatching.Demand{} }

func measureWaiting(s scenario) ([]Row, []chart) {
	work := newWorkload(s)
	pools := []func(int) dispatcher{newLearnedPool, newFCFSPool, newRoundRobin, nil}
	results := make([]summary, len(pools))
	parallel(len(pools), func(i int) {
		if pools[i] == nil {
			results[i] = summarise(clairvoyant(work))
		} else {
			results[i] = summarise(newSimulation(s, work, pools[i]).run())
		}
	})
	learned, fcfs, rr, best := results[0], results[1], results[2], results[3]
	short, long := quantile(learned.shortSlowdowns, 0.99), quantile(learned.longSlowdowns, 0.99)
	fcfsShort, fcfsLong := quantile(fcfs.shortSlowdowns, 0.99), quantile(fcfs.longSlowdowns, 0.99)
	bestShort := quantile(best.shortSlowdowns, 0.99)
	rows := []Row{
		row("short work p99 slowdown against first come first served", "ratio", short).
			baseline(fcfsShort).bound(bestShort).atMost(fcfsShort / 10),
		row("short work p99 slowdown against clairvoyant", "ratio", short).
			baseline(fcfsShort).bound(bestShort).atMost(1.5 * bestShort),
		row("short work p99 slowdown, round robin", "ratio", quantile(rr.shortSlowdowns, 0.99)),
		row("long work p99 slowdown", "ratio", long).
			baseline(fcfsLong).bound(quantile(best.longSlowdowns, 0.99)).atMost(2 * fcfsLong),
		row("long work p99 slowdown, round robin", "ratio", quantile(rr.longSlowdowns, 0.99)),
		row("wait p99 of all work", "seconds", quantile(learned.waits, 0.99)).
			baseline(quantile(fcfs.waits, 0.99)).bound(quantile(best.waits, 0.99)),
		row("refused or failed, without jobs that can never run", "requests", float64(learned.refusedOrFailed)).
			baseline(float64(fcfs.refusedOrFailed)),
	}
	return rows, []chart{
		slowdowns("short", learned.shortSlowdowns, fcfs.shortSlowdowns, rr.shortSlowdowns, best.shortSlowdowns),
		slowdowns("long", learned.longSlowdowns, fcfs.longSlowdowns, rr.longSlowdowns, best.longSlowdowns),
	}
}

func slowdowns(work string, learned, fcfs, rr, best []float64) chart {
	return chart{
		file: "slowdown-" + work + ".svg", title: "Slowdown of " + work + " work",
		x: "slowdown", y: "part of the requests above", logX: true, logY: true,
		series: []series{
			tailDistribution("learned", learned), tailDistribution("first come first served", fcfs),
			tailDistribution("round robin", rr), tailDistribution("clairvoyant", best),
		},
	}
}
