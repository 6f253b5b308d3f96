package execution

import (
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

const (
	// maxAdviceCalls bounds the concurrent calls for advice: the service handles
	// the calls from one machine one at a time.
	maxAdviceCalls = 2
	// workersPerAdviceCall is how many workers one call may ask about.
	workersPerAdviceCall = 30
	// ticketMargin is the remaining validity that a ticket must have when it is
	// used, so that it is still valid when the start arrives.
	ticketMargin = 300 * time.Millisecond
	// adviceRetryDelay is the minimum time between two calls about a step, once
	// one of them got an answer.
	adviceRetryDelay = 500 * time.Millisecond
)

type ticketKey struct {
	job              string
	occurrence, step int
}

// advice holds what the advice service answered for a step: a ticket for each
// worker that may run it, by worker ID. A start carries the worker's ticket, and
// the worker rejects a start if it does not accept the ticket.
type advice struct {
	answered bool
	inFlight bool
	askedAt  Time
	tickets  map[string]ticket
	// refused are the workers that may not run the step. That does not change, but they
	// are asked about again once no other worker is left.
	refused map[string]bool
}

// ticket permits starts of a step on a worker for some time.
type ticket struct {
	value      string
	validUntil Time
}

func (t ticket) valid(now Time) bool { return now < t.validUntil-ticketMargin }

// AdviceRequest asks a queue's advice service which of the workers may run a
// step.
type AdviceRequest struct {
	Step    job.ItemID
	Workers []string
}

// ticketsFor returns the tickets of a step by worker ID, or nil if its queue
// needs no advice. It reports false while no valid ticket is known; the first
// call for a step makes AdviceRequests ask for its advice.
func (c *Core) ticketsFor(s *step, q job.Queue, now Time) (map[string]string, bool) {
	if q.Advice == nil {
		return nil, true
	}
	key := ticketKey{s.job.ID, s.occurrence.number, s.index}
	a := c.advice[key]
	if a == nil {
		c.advice[key] = &advice{askedAt: now}
		return nil, false
	}
	valid := make(map[string]string, len(a.tickets))
	for id, t := range a.tickets {
		if t.valid(now) {
			valid[id] = t.value
		}
	}
	return valid, len(valid) > 0
}

// AdviceRequests returns the calls for advice that are due now and counts them
// as in flight.
func (c *Core) AdviceRequests(now Time) []AdviceRequest {
	if len(c.advice) == 0 {
		return nil
	}
	inFlight := 0
	for key, a := range c.advice {
		j := c.jobs[key.job]
		if j == nil || j.final() {
			delete(c.advice, key)
		} else if a.inFlight {
			inFlight++
		}
	}
	eligible := c.eligibleByService(now)
	var requests []AdviceRequest
	for _, s := range c.pendingSteps {
		if inFlight >= maxAdviceCalls {
			break
		}
		a := c.advice[ticketKey{s.job.ID, s.occurrence.number, s.index}]
		if a == nil || a.inFlight || a.answered && now-a.askedAt < adviceRetryDelay {
			continue
		}
		p := eligible[c.queueOf(s.job).Service]
		if p == nil {
			continue
		}
		q := AdviceRequest{Step: job.ItemID{Job: s.job.ID, Occurrence: s.occurrence.number, Step: s.index}, Workers: a.workersToAskAbout(s, slices.Concat(p.workers, p.lastChoice(s, now)), now)}
		if len(q.Workers) == 0 {
			continue
		}
		a.inFlight, a.askedAt = true, now
		inFlight++
		requests = append(requests, q)
	}
	return requests
}

// workersToAskAbout returns workers that have room for an item of a step and about which
// the service was not asked. It returns none while those with tickets have room for all
// items that wait: a gang starts as a whole.
func (a *advice) workersToAskAbout(s *step, workers []*worker, now Time) []string {
	waiting := s.startableItems()
	var ids []string
	refused := false
	for _, w := range workers {
		switch {
		case !w.accepts(s, s.spec.Charge(), nil):
		case a.tickets[w.ID].valid(now):
			if waiting -= w.roomFor(s, waiting); waiting <= 0 {
				return nil
			}
		case a.refused[w.ID]:
			refused = true
		case len(ids) < workersPerAdviceCall:
			ids = append(ids, w.ID)
		}
	}
	if len(ids) == 0 && refused {
		a.refused = nil
		return a.workersToAskAbout(s, workers, now)
	}
	return ids
}

// roomFor returns how many items of a step the worker has room for, but at most limit.
func (w *worker) roomFor(s *step, limit int) int {
	if s.spec.MaxPerWorker > 0 {
		limit = min(limit, s.spec.MaxPerWorker-s.copies[w])
	}
	charge, free := s.spec.Charge(), w.free()
	n := 0
	for n < limit && charge.Fits(free) {
		free = free.Add(charge, -1)
		n++
	}
	return n
}

// AdviceReceived records the answer to an advice request; tickets is nil when
// none came.
func (c *Core) AdviceReceived(q AdviceRequest, tickets map[string]string, validity time.Duration, now Time) {
	a := c.advice[ticketKey{q.Step.Job, q.Step.Occurrence, q.Step.Step}]
	if a == nil {
		return
	}
	a.inFlight = false
	if tickets == nil {
		return
	}
	a.answered = true
	for _, id := range q.Workers {
		value, good := tickets[id]
		if !good {
			if a.refused == nil {
				a.refused = map[string]bool{}
			}
			a.refused[id] = true
			continue
		}
		if a.tickets == nil {
			a.tickets = map[string]ticket{}
		}
		// The service counts the validity from when it sent the answer, a little
		// before now.
		a.tickets[id] = ticket{value, now + validity}
	}
}
