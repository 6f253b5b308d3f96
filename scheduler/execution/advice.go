package execution

import (
	"time"

	"dotterelhead.example/dotterelhead/job"
)

const (
	// adviceAtOnce bounds the calls for advice under way: the service handles
	// one call of a machine at a time.
	adviceAtOnce = 2
	// adviceWorkers is how many workers one call names.
	adviceWorkers = 30
	// adviceMargin is kept of a ticket's validity for the start to arrive.
	adviceMargin = 300 * time.Millisecond
	// adviceRetry is the pause after advice that named no worker.
	adviceRetry = 500 * time.Millisecond
)

type ticketKey struct {
	job              string
	occurrence, step int
}

// advice is what is known of the workers that may run a step.
type advice struct {
	asked    bool
	inFlight bool
	askedAt  Time
	tickets  map[string]string
	validTo  Time
}

// Question asks which workers may run a step.
type Question struct {
	Step    job.ItemID
	Workers []string
}

// ticketsFor returns the tickets of a step, nil for a queue without advice. It
// reports false while the advice is missing.
func (c *Core) ticketsFor(s *step, q job.Queue, now Time) (map[string]string, bool) {
	if q.Advice == nil {
		return nil, true
	}
	key := ticketKey{s.job.ID, s.occurrence, s.number}
	a := c.tickets[key]
	if a == nil {
		c.tickets[key] = &advice{askedAt: now}
		return nil, false
	}
	if a.asked && now < a.validTo-adviceMargin && len(a.tickets) > 0 {
		return a.tickets, true
	}
	return nil, false
}

// Questions returns the calls for advice that are due.
func (c *Core) Questions(now Time) []Question {
	if len(c.tickets) == 0 {
		return nil
	}
	inFlight := 0
	for key, a := range c.tickets {
		j := c.jobs[key.job]
		if j == nil || j.final() {
			delete(c.tickets, key)
		} else if a.inFlight {
			inFlight++
		}
	}
	pools := c.pools(now)
	var questions []Question
	for _, s := range c.listed {
		if inFlight >= adviceAtOnce {
			break
		}
		a := c.tickets[ticketKey{s.job.ID, s.occurrence, s.number}]
		if a == nil || a.inFlight || a.asked && (now < a.validTo-adviceMargin && len(a.tickets) > 0 || now-a.askedAt < adviceRetry) {
			continue
		}
		q := Question{Step: job.ItemID{Job: s.job.ID, Occurrence: s.occurrence, Step: s.number}}
		p := pools[c.queueOf(s.job).Service]
		if p == nil {
			continue
		}
		for _, w := range p.workers {
			if len(q.Workers) < adviceWorkers && w.suits(s, s.spec.Charge(), nil) {
				q.Workers = append(q.Workers, w.ID)
			}
		}
		if len(q.Workers) == 0 {
			continue
		}
		a.inFlight, a.askedAt = true, now
		inFlight++
		questions = append(questions, q)
	}
	return questions
}

// Answered notes the answer to a question; tickets is nil when none came.
func (c *Core) Answered(q Question, tickets map[string]string, validity time.Duration, now Time) {
	a := c.tickets[ticketKey{q.Step.Job, q.Step.Occurrence, q.Step.Step}]
	if a == nil {
		return
	}
	a.inFlight = false
	if tickets != nil {
		// The validity counts from the answer's sending, which is before now.
		a.asked, a.tickets, a.validTo = true, tickets, now+validity
	}
}
