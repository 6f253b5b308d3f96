// Package dispatching decides which request of a pool gets which slot and
// when. It is pure: callers feed it with events and times and carry out the
// decisions it returns.
package dispatching

import "time"

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
	// Fingerprint is the same for repeats of the same job, whatever their ID;
	// when it is empty, each ID counts as its own job.
	Fingerprint string
	// NonRepeatable requests are not used as probes of ejected workers.
	NonRepeatable bool
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
	// LongShare is the part of the slots that long work may hold however much
	// short work there is; default 0.25.
	LongShare float64
	// Ageing is how many times its expected run time a request lets later
	// requests go first; default 5.
	Ageing float64
	// EarlyRefusal is how many times the time left to its StartBy a request must
	// be expected to wait to be refused when it is pushed; default 3, negative
	// for refusal at StartBy only. Estimates of waits are far from the truth.
	EarlyRefusal float64
}
