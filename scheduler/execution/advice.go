package execution

import (
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
	answered   bool
	inFlight   bool
	askedAt    Time
	tickets    map[string]string
	validUntil Time
}

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
	key := ticketKey{s.job.ID, s.occurrence, s.index}
	a := c.advice[key]
	if a == nil {
		c.advice[key] = &advice{askedAt: now}
		return nil, false
	}
	if a.answered && now < a.validUntil-ticketMargin && len(a.tickets) > 0 {
		return a.tickets, true
	}
	return nil, false
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
		a := c.advice[ticketKey{s.job.ID, s.occurrence, s.index}]
		if a == nil || a.inFlight || a.answered && (now < a.validUntil-ticketMargin && len(a.tickets) > 0 || now-a.askedAt < adviceRetryDelay) {
			continue
		}
		q := AdviceRequest{Step: job.ItemID{Job: s.job.ID, Occurrence: s.occurrence, Step: s.index}}
		p := eligible[c.queueOf(s.job).Service]
		if p == nil {
			continue
		}
		for _, w := range p.workers {
			if len(q.Workers) < workersPerAdviceCall && w.accepts(s, s.spec.Charge(), nil) {
				q.Workers = append(q.Workers, w.ID)
			}
		}
		if len(q.Workers) == 0 {
			continue
		}
		a.inFlight, a.askedAt = true, now
		inFlight++
		requests = append(requests, q)
	}
	return requests
}

// AdviceReceived records the answer to an advice request; tickets is nil when
// none came.
func (c *Core) AdviceReceived(q AdviceRequest, tickets map[string]string, validity time.Duration, now Time) {
	a := c.advice[ticketKey{q.Step.Job, q.Step.Occurrence, q.Step.Step}]
	if a == nil {
		return
	}
	a.inFlight = false
	if tickets != nil {
		// The service counts the validity from when it sent the answer, a little
		// before now.
		a.answered, a.tickets, a.validUntil = true, tickets, now+validity
	}
}
