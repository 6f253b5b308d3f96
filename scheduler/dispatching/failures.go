package dispatching

import (
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/scheduler/ejection"
)

// failedWorkersLimit is the number of different workers on which one request
// fails before it is treated as a job that can never succeed. Package ejection
// has a limit of its own for the failures of a job over several requests.
const failedWorkersLimit = 3

// Ejected returns the IDs of the ejected workers, which get no requests except
// probes, in sorted order.
func (p *Pool) Ejected() []string { return p.ejection.Ejected() }

// jobOf returns the identity of the job that a request runs. A request without
// a fingerprint is a job of its own. A job isn't identified by its operation,
// because one failing job would then block all other requests for that operation.
func jobOf(r Request) string {
	if r.Fingerprint == "" {
		return r.ID
	}
	return r.Service + "/" + r.Fingerprint
}

// jobRefusalTime returns for how long a request is refused because its job
// keeps failing, or 0 if it isn't refused.
func (p *Pool) jobRefusalTime(now time.Time, r Request) time.Duration {
	if p.options.Policy != PolicyLearned {
		return 0
	}
	if wait := p.failing.RefusalTime(now, jobOf(r)); wait > 0 {
		return wait
	}
	if countDistinct(r.AvoidWorkers) >= failedWorkersLimit {
		return time.Second
	}
	return 0
}

func countDistinct(ids []string) int {
	sorted := slices.Clone(ids)
	slices.Sort(sorted)
	return len(slices.Compact(sorted))
}

// recordResult attributes the result of a grant to its worker, its job or both.
func (p *Pool) recordResult(now time.Time, g *grant, result Result) {
	if p.options.Policy != PolicyLearned {
		return
	}
	switch result {
	case ResultOK:
		p.ejection.Observe(now, g.worker, g.started, true)
		p.failing.Succeeded(jobOf(g.request))
	case ResultFailed, ResultNotSent:
		if result == ResultFailed && p.ejection.LooksHealthy(now, g.worker) {
			p.failing.Failed(now, jobOf(g.request), g.worker)
		}
		// If the request has already failed on another worker, the likely cause
		// is the job and not this worker.
		if len(g.request.AvoidWorkers) > 0 && result == ResultFailed {
			p.ejection.CancelProbe(g.worker)
		} else {
			p.ejection.Observe(now, g.worker, g.started, false)
		}
	case ResultCancelled, ResultConnectionStalled:
		p.ejection.CancelProbe(g.worker)
	}
	p.updatePlacement(now, g.worker)
}

// updatePlacement applies the ejection state of a worker to the selection of
// workers: suspected workers come last, paused and ejected ones are left out.
func (p *Pool) updatePlacement(now time.Time, id string) {
	state := p.ejection.State(now, id)
	p.placement.SetPreference(id, state == ejection.Suspected, state == ejection.Paused || state == ejection.Ejected)
}

func (p *Pool) updateAllPlacements(now time.Time) {
	for id := range p.workers {
		p.updatePlacement(now, id)
	}
}

// probe grants a slot on each ejected worker that is due for a probe to the
// next queued request, as long as that request is suitable: it must be neither
// urgent nor a retry, must be repeatable, and its team must have quota left.
func (p *Pool) probe(now time.Time) []Decision {
	var decisions []Decision
	for {
		q := p.nextRequest()
		if q == nil || q.request.Urgent || q.request.NonRepeatable || len(q.request.AvoidWorkers) > 0 ||
			p.teams.AvailableSlots(q.request.Team, false) == 0 {
			return decisions
		}
		id, ok := p.ejection.Probe(now, p.placement.HasFree)
		if !ok {
			return decisions
		}
		p.dequeue(q)
		decisions = append(decisions, p.grant(now, q, id))
	}
}
