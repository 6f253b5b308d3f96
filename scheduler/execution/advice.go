package execution

import (
	"cmp"
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

const (
	// maxAdviceCalls bounds the concurrent calls for advice. The service handles the
	// calls from one machine one at a time; the second call saves the delay between two.
	maxAdviceCalls = 2
	// workersPerAdviceCall is how many workers one call may ask about.
	workersPerAdviceCall = 30
	// ticketMargin is the remaining validity that a ticket must have when it is
	// used, so that it is still valid when the start arrives.
	ticketMargin = 300 * time.Millisecond
	// adviceRetryDelay is the minimum time between two calls about a step.
	adviceRetryDelay = 500 * time.Millisecond
	// A call for advice is given up adviceTimeoutMargin after adviceTimeoutFactor times the
	// time that the service states for the calls in flight. The service goes on with calls
	// that were given up, and a factor of 2 leaves it time for them. While calls are given
	// up, the factor doubles up to maxAdviceDoublings times, for a service that is slower
	// than stated, or busy with calls of a former owner.
	adviceTimeoutFactor = 2
	adviceTimeoutMargin = 10 * AnswerTimeout
	maxAdviceDoublings  = 2
)

type ticketKey struct {
	job              string
	occurrence, step int
}

func (s *step) ticketKey() ticketKey { return ticketKey{s.job.ID, s.occurrence.number, s.index} }

// advice holds what the advice service answered for a step: a ticket for each
// worker that may run it, by worker ID. A start carries the worker's ticket, and
// the worker rejects a start if it does not accept the ticket.
type advice struct {
	asked    bool
	inFlight bool
	// askedAt is the time of the last call, or before the first one, when advice was
	// first needed.
	askedAt Time
	tickets map[string]ticket
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
	// Timeout is when the call is given up. The service would go on with it, and later
	// calls wait for that.
	Timeout time.Duration
	// duration is how long the service is stated to take for the call itself, and doublings
	// how often the factor of the timeout was doubled at sentAt.
	duration  time.Duration
	doublings int
	sentAt    Time
}

// ticketsFor returns the tickets of a step by worker ID, or nil if its queue
// needs no advice. It reports false while no valid ticket is known; the first
// call for a step makes AdviceRequests ask for its advice.
func (c *Core) ticketsFor(s *step, q job.Queue, now Time) (map[string]string, bool) {
	if q.Advice == nil {
		return nil, true
	}
	key := s.ticketKey()
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
// as in flight. The step whose last call is longest ago comes first, so that a step that
// is asked about again and again does not keep others waiting.
func (c *Core) AdviceRequests(now Time) []AdviceRequest {
	if len(c.advice) == 0 {
		return nil
	}
	for key := range c.advice {
		if j := c.jobs[key.job]; j == nil || j.final() {
			delete(c.advice, key)
		}
	}
	if c.adviceCalls >= maxAdviceCalls {
		return nil
	}
	var due []*step
	for _, s := range c.pendingSteps {
		if a := c.advice[s.ticketKey()]; a != nil && !a.inFlight && !(a.asked && now-a.askedAt < adviceRetryDelay) {
			due = append(due, s)
		}
	}
	slices.SortStableFunc(due, func(s, o *step) int {
		return cmp.Compare(c.advice[s.ticketKey()].askedAt, c.advice[o.ticketKey()].askedAt)
	})
	eligible := c.eligibleByService(now)
	var requests []AdviceRequest
	for _, s := range due {
		if c.adviceCalls >= maxAdviceCalls {
			break
		}
		a, queue := c.advice[s.ticketKey()], c.queueOf(s.job)
		p := eligible[queue.Service]
		if p == nil || queue.Advice == nil {
			continue
		}
		workers := a.workersToAskAbout(s, slices.Concat(p.workers, p.lastChoice(s, now)), now)
		if len(workers) == 0 {
			continue
		}
		a.asked, a.inFlight, a.askedAt = true, true, now
		duration := queue.Advice.Decide + time.Duration(len(workers))*queue.Advice.PerItem
		c.adviceCalls++
		c.adviceCallTime += duration
		requests = append(requests, AdviceRequest{Step: s.id(), Workers: workers, duration: duration, doublings: c.adviceDoublings, sentAt: now})
	}
	// The calls of a batch may reach the service in any order.
	for n := range requests {
		requests[n].Timeout = adviceTimeoutFactor<<c.adviceDoublings*c.adviceCallTime + adviceTimeoutMargin
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

// adjustAdviceTimeout doubles the factor of the timeout after a call that was given up, and
// halves it after one that was answered well within its timeout. Calls that were sent before
// the last change tell nothing new.
func (c *Core) adjustAdviceTimeout(q AdviceRequest, answered bool, now Time) {
	took := now - q.sentAt
	switch {
	case q.doublings != c.adviceDoublings:
	case answered && took < q.Timeout/2:
		c.adviceDoublings = max(c.adviceDoublings-1, 0)
	case !answered && took >= q.Timeout:
		c.adviceDoublings = min(c.adviceDoublings+1, maxAdviceDoublings)
	}
}

// AdviceReceived records the answer to an advice request; tickets is nil when
// none came.
func (c *Core) AdviceReceived(q AdviceRequest, tickets map[string]string, validity time.Duration, now Time) {
	c.adviceCalls--
	c.adviceCallTime -= q.duration
	c.adjustAdviceTimeout(q, tickets != nil, now)
	a := c.advice[ticketKey{q.Step.Job, q.Step.Occurrence, q.Step.Step}]
	if a == nil {
		return
	}
	a.inFlight = false
	if tickets == nil {
		return
	}
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
