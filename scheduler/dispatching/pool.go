// Package dispatching decides which request of a pool gets which slot and
// when. It is pure: callers feed it with events and times and carry out the
// decisions it returns.
package dispatching

import (
	"fmt"
	"slices"
	"time"
)

// Request is one request that waits for a slot.
type Request struct {
	// ID is unique among the requests of the pool.
	ID        string
	Service   string
	Operation string
	Team      string
	// Declared is the run time the caller declared; 0 when it declared none.
	Declared time.Duration
	// StartBy is the time after which starting is of no use to the caller.
	StartBy time.Time
	// Avoid names workers on which the request has failed already.
	Avoid  []string
	Urgent bool
}

// Worker is a worker that serves the pool.
type Worker struct {
	ID               string
	Address          string
	AvailabilityZone string
	Rack             string
	Slots            int
	Generation       int64
}

// Result is how a granted request went.
type Result int

// Results of a grant.
const (
	// ResultOK means that the worker answered.
	ResultOK Result = iota
	// ResultFailed means that the worker answered with an error or the
	// connection to it was lost.
	ResultFailed
	// ResultNotSent means that no byte reached the worker.
	ResultNotSent
	// ResultCancelled means that the caller gave up.
	ResultCancelled
	// ResultSilent means that the connection went silent while the worker
	// answered on a new one.
	ResultSilent
)

// Reason says why a request was refused.
type Reason int

// Reasons of a refusal; None for a grant.
const (
	ReasonNone Reason = iota
	ReasonQueueFull
	ReasonCannotStartInTime
	ReasonNoWorker
	ReasonFailingJob
	ReasonQuota
)

// Decision grants a slot to a request or refuses the request.
type Decision struct {
	RequestID string
	Reason    Reason
	// Grant and Worker are set when Reason is ReasonNone.
	Grant  string
	Worker Worker
	// RetryAfter is a hint for refused callers.
	RetryAfter time.Duration
}

// Demand summarises a pool for capacity planning.
type Demand struct {
	SlotsWanted float64
	Queued      int
	Busy        int
}

// Policy selects how a Pool decides.
type Policy int

// Policies of a Pool.
const (
	// PolicyLearned orders requests by learned run times.
	PolicyLearned Policy = iota
	// PolicyFirstComeFirstServed is the baseline of the measurements: requests
	// in order of arrival, each to the worker with the most free slots.
	PolicyFirstComeFirstServed
)

// Options configure a Pool.
type Options struct {
	// Policy is PolicyLearned unless set.
	Policy Policy
	// MaxQueue bounds the waiting requests.
	MaxQueue int
}

type grant struct {
	request Request
	worker  string
}

// Pool is the dispatcher state of one pool.
//
// Invariant: the grants in use on a worker never exceed its slots, except for
// grants that were adopted from a previous dispatcher.
type Pool struct {
	options Options
	workers []Worker
	queue   []Request
	grants  map[string]grant
	busy    map[string]int
	next    int64
}

// NewPool returns a pool without workers.
func NewPool(options Options) *Pool {
	return &Pool{options: options, grants: map[string]grant{}, busy: map[string]int{}}
}

// SetWorkers replaces the workers that may get new requests.
func (p *Pool) SetWorkers(now time.Time, workers []Worker) []Decision {
	p.workers = slices.Clone(workers)
	return p.dispatch(now)
}

// Adopt records a grant made by a previous dispatcher of the pool.
func (p *Pool) Adopt(_ time.Time, id, worker string, r Request) {
	p.grants[id] = grant{request: r, worker: worker}
	p.busy[worker]++
}

// Push adds a request.
func (p *Pool) Push(now time.Time, r Request) []Decision {
	if len(p.queue) >= p.options.MaxQueue {
		return []Decision{{RequestID: r.ID, Reason: ReasonQueueFull, RetryAfter: time.Second}}
	}
	p.queue = append(p.queue, r)
	return p.dispatch(now)
}

// Cancel removes a waiting request.
func (p *Pool) Cancel(_ time.Time, requestID string) bool {
	before := len(p.queue)
	p.queue = slices.DeleteFunc(p.queue, func(r Request) bool { return r.ID == requestID })
	return len(p.queue) < before
}

// Release ends a grant. Unknown grants are ignored, so that a repeat has no
// effect.
func (p *Pool) Release(now time.Time, grantID string, _ Result, _ time.Duration) []Decision {
	g, ok := p.grants[grantID]
	if !ok {
		return nil
	}
	delete(p.grants, grantID)
	p.busy[g.worker]--
	return p.dispatch(now)
}

// Tick refuses requests that cannot start in time any more.
func (p *Pool) Tick(now time.Time) []Decision {
	return p.dispatch(now)
}

// Demand returns the demand of the pool.
func (p *Pool) Demand(time.Time) Demand {
	return Demand{SlotsWanted: float64(len(p.queue) + len(p.grants)), Queued: len(p.queue), Busy: len(p.grants)}
}

func (p *Pool) dispatch(now time.Time) []Decision {
	var decisions []Decision
	p.queue = slices.DeleteFunc(p.queue, func(r Request) bool {
		if r.StartBy.After(now) {
			return false
		}
		decisions = append(decisions, Decision{RequestID: r.ID, Reason: ReasonCannotStartInTime, RetryAfter: time.Second})
		return true
	})
	for len(p.queue) > 0 {
		worker, ok := p.freeWorker(p.queue[0].Avoid)
		if !ok {
			break
		}
		decisions = append(decisions, p.grant(p.queue[0], worker))
		p.queue = p.queue[1:]
	}
	return decisions
}

func (p *Pool) grant(r Request, w Worker) Decision {
	p.next++
	id := fmt.Sprintf("%s/%d", r.ID, p.next)
	p.grants[id] = grant{request: r, worker: w.ID}
	p.busy[w.ID]++
	return Decision{RequestID: r.ID, Grant: id, Worker: w}
}

// freeWorker returns the worker with the most free slots.
func (p *Pool) freeWorker(avoid []string) (Worker, bool) {
	var best Worker
	free := 0
	for _, w := range p.workers {
		if n := w.Slots - p.busy[w.ID]; n > free && !slices.Contains(avoid, w.ID) {
			best, free = w, n
		}
	}
	return best, free > 0
}
