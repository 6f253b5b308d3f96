package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/scheduler/dispatching"
)

const (
	// In an overload phase each pool is offered 2.8 times its capacity: two
	// streams of jobs at the rate of a burst.
	overloadPhase  = 60 * time.Second
	overloadPeriod = 180 * time.Second
	// One in auditInterval early refusals is audited: the request stays in the
	// queue to see whether it would have started in time.
	auditInterval = 20
)

// startTimeouts are the times within which the jobs of the overload have to
// start; each job gets one at random.
var startTimeouts = []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second, 40 * time.Second}

func newOverload(s scenario) workload {
	random := rand.New(rand.NewPCG(s.Seed, 0x6f7665726c6f6164))
	w := workload{until: 2 * overloadPeriod}
	if s.Quick {
		w.until = overloadPeriod
	}
	var phases []burst
	for at := overloadPeriod / 3; at < w.until; at += overloadPeriod {
		phases = append(phases, burst{at, at + overloadPhase})
	}
	for service := range services {
		for stream := range 2 {
			jobs := serviceJobs(random, service, w.until, phases)
			for i := range jobs {
				jobs[i].id = fmt.Sprintf("%s-%d", jobs[i].id, stream)
				jobs[i].fingerprint = jobs[i].id
				jobs[i].startIn = startTimeouts[random.IntN(len(startTimeouts))]
			}
			w.jobs = append(w.jobs, jobs...)
		}
	}
	slices.SortStableFunc(w.jobs, func(a, b job) int { return int(a.arrive - b.arrive) })
	return w
}

// refusalAudit is a pool that keeps some of the requests that it would refuse
// early. It pushes them again with a later StartBy. The order of the queue does
// not depend on StartBy, so they start when they would have started without
// the refusal.
type refusalAudit struct {
	*dispatching.Pool
	refused     int
	keptStartBy map[string]time.Time
	// startedInTime counts the audited requests that got a slot in time.
	audited, startedInTime int
}

func (a *refusalAudit) Push(now time.Time, r dispatching.Request) []dispatching.Decision {
	decisions := a.Pool.Push(now, r)
	i := slices.IndexFunc(decisions, func(d dispatching.Decision) bool {
		return d.RequestID == r.ID && d.Reason == dispatching.ReasonCannotStartInTime
	})
	if i < 0 || !r.StartBy.After(now) {
		return a.countStarts(now, decisions)
	}
	if a.refused++; a.refused%auditInterval != 0 {
		return a.countStarts(now, decisions)
	}
	a.audited++
	decisions = a.countStarts(now, slices.Delete(decisions, i, i+1))
	a.keptStartBy[r.ID] = r.StartBy
	r.StartBy = r.StartBy.Add(24 * time.Hour)
	return append(decisions, a.countStarts(now, a.Pool.Push(now, r))...)
}

func (a *refusalAudit) Release(now time.Time, grant string, result dispatching.Result, ran time.Duration) []dispatching.Decision {
	return a.countStarts(now, a.Pool.Release(now, grant, result, ran))
}

func (a *refusalAudit) SetWorkers(now time.Time, workers []dispatching.Worker) []dispatching.Decision {
	return a.countStarts(now, a.Pool.SetWorkers(now, workers))
}

// Tick refuses the kept requests whose time to start has passed.
func (a *refusalAudit) Tick(now time.Time) []dispatching.Decision {
	decisions := a.countStarts(now, a.Pool.Tick(now))
	for _, id := range sortedIDs(a.keptStartBy) {
		if !a.keptStartBy[id].After(now) && a.Cancel(now, id) {
			delete(a.keptStartBy, id)
			decisions = append(decisions, dispatching.Decision{RequestID: id, Reason: dispatching.ReasonCannotStartInTime})
		}
	}
	return decisions
}

// countStarts counts the kept requests that get a slot in time, forgets those
// that the decisions settle, and returns the decisions unchanged.
func (a *refusalAudit) countStarts(now time.Time, decisions []dispatching.Decision) []dispatching.Decision {
	for _, d := range decisions {
		startBy, ok := a.keptStartBy[d.RequestID]
		if !ok {
			continue
		}
		delete(a.keptStartBy, d.RequestID)
		if d.Reason == dispatching.ReasonNone && startBy.After(now) {
			a.startedInTime++
		}
	}
	return decisions
}

func sortedIDs(kept map[string]time.Time) []string {
	ids := make([]string, 0, len(kept))
	for id := range kept {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// overloadRun is the result of one run of the overload.
type overloadRun struct {
	// refusals are the times from push to refusal in seconds. measureOverload
	// reads only audited and startedInTime of a run with an audit, and the other
	// fields of runs without one.
	refusals, slowdowns    []float64
	answered               int
	early                  int
	audited, startedInTime int
}

// runOverload runs the overload with or without an audit. The audit is optional
// because the requests that it keeps add work.
func runOverload(s scenario, w workload, factor float64, audited bool) overloadRun {
	var audits []*refusalAudit
	sim := newSimulation(s, w, func(int) dispatcher {
		pool := dispatching.NewPool(dispatching.Options{MaxQueue: maxQueue, EarlyRefusal: factor})
		if !audited {
			return pool
		}
		a := &refusalAudit{Pool: pool, keptStartBy: map[string]time.Time{}}
		audits = append(audits, a)
		return a
	})
	sim.losesRack = false
	var r overloadRun
	for _, o := range sim.run() {
		switch {
		case o.job.alwaysFails:
		case o.refused == dispatching.ReasonCannotStartInTime:
			r.refusals = append(r.refusals, o.wait.Seconds())
			if o.wait < o.job.startIn {
				r.early++
			}
		case o.done:
			r.answered++
			if !o.job.long {
				r.slowdowns = append(r.slowdowns, o.slowdown())
			}
		}
	}
	slices.Sort(r.refusals)
	slices.Sort(r.slowdowns)
	for _, a := range audits {
		r.audited += a.audited
		r.startedInTime += a.startedInTime
	}
	return r
}

func measureOverload(s scenario) ([]Row, []chart) {
	work := newOverload(s)
	// Factor 0 is the daemon's default, -1 refuses at StartBy only. The third run
	// audits the early refusals.
	factors := []float64{0, -1, 0}
	runs := make([]overloadRun, len(factors))
	parallel(len(runs), func(i int) { runs[i] = runOverload(s, work, factors[i], i == 2) })
	early, late, audited := runs[0], runs[1], runs[2]
	wrong := 100 * float64(audited.startedInTime) / float64(max(audited.audited, 1))
	const name = "overload (baseline: refusal at StartBy): "
	return []Row{
		row("overload: early refusals that would have started in time", "percent", wrong),
		row("overload: early refusals that were kept as a sample", "requests", float64(audited.audited)),
		row("overload: part of the refusals that is early", "percent", 100*float64(early.early)/float64(max(len(early.refusals), 1))),
		row(name+"requests answered", "requests", float64(early.answered)).baseline(float64(late.answered)),
		row(name+"requests refused", "requests", float64(len(early.refusals))).baseline(float64(len(late.refusals))),
		row(name+"mean time from push to refusal", "seconds", mean(early.refusals)).baseline(mean(late.refusals)),
		row(name+"median time from push to refusal", "seconds", quantile(early.refusals, 0.5)).
			baseline(quantile(late.refusals, 0.5)),
		row(name+"short work p99 slowdown", "ratio", quantile(early.slowdowns, 0.99)).baseline(quantile(late.slowdowns, 0.99)),
	}, nil
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}
