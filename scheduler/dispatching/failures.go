package dispatching

import (
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/scheduler/ejection"
)

// failingAttempts is the number of different workers on which one request may
// fail before it counts as a job that can never run.
const failingAttempts = 3

// Ejected returns the workers that get probes only, sorted.
func (p *Pool) Ejected() []string { return p.ejection.Ejected() }

// jobOf names the job of a request. Operations are no substitute for a missing
// fingerprint: one bad job would stop all good jobs of its operation.
func jobOf(r Request) string {
	if r.Fingerprint == "" {
		return r.ID
	}
	return r.Service + "/" + r.Fingerprint
}

// refusedJob returns for how long a request is refused as a failing job.
func (p *Pool) refusedJob(now time.Time, r Request) time.Duration {
	if p.options.Policy != PolicyLearned {
		return 0
	}
	if wait := p.failing.Refused(now, jobOf(r)); wait > 0 {
		return wait
	}
	if distinct(r.Avoid) >= failingAttempts {
		return time.Second
	}
	return 0
}

func distinct(ids []string) int {
	sorted := slices.Clone(ids)
	slices.Sort(sorted)
	return len(slices.Compact(sorted))
}

// judge charges the result of a grant to its worker or to its job.
func (p *Pool) judge(now time.Time, g *grant, result Result) {
	if p.options.Policy != PolicyLearned {
		return
	}
	switch result {
	case ResultOK:
		p.ejection.Observe(now, g.worker, g.started, true)
		p.failing.Succeeded(jobOf(g.request))
	case ResultFailed, ResultNotSent:
		if result == ResultFailed && p.ejection.Answering(now, g.worker) {
			p.failing.Failed(now, jobOf(g.request), g.worker)
		}
		// A request that failed elsewhere already says more about the job than
		// about this worker.
		if len(g.request.Avoid) > 0 && result == ResultFailed {
			p.ejection.Unprobed(g.worker)
		} else {
			p.ejection.Observe(now, g.worker, g.started, false)
		}
	case ResultCancelled, ResultSilent:
		p.ejection.Unprobed(g.worker)
	}
	p.mark(now, g.worker)
}

func (p *Pool) mark(now time.Time, id string) {
	state := p.ejection.State(now, id)
	p.slots.Mark(id, state == ejection.Suspected, state == ejection.Paused || state == ejection.Ejected)
}

func (p *Pool) markAll(now time.Time) {
	for id := range p.workers {
		p.mark(now, id)
	}
}

// probe sends one request to each ejected worker that is due.
func (p *Pool) probe(now time.Time) []Decision {
	var decisions []Decision
	for {
		w := p.nextRequest()
		if w == nil || w.request.Urgent || w.request.NonRepeatable || len(w.request.Avoid) > 0 ||
			p.teams.Room(w.request.Team, false) == 0 {
			return decisions
		}
		id, ok := p.ejection.Probe(now, p.slots.HasFree)
		if !ok {
			return decisions
		}
		p.dequeue(w)
		decisions = append(decisions, p.grant(now, w, id))
	}
}
