// Package dispatching decides which request of a pool gets which slot and
// when. It does no I/O and reads no clock: callers pass in events and the
// current time and carry out the decisions that it returns.
package dispatching

import "time"

// Request is a request for a slot of a worker.
type Request struct {
	// ID is unique among the requests of the pool.
	ID string
	// Service and Operation name what the request calls. Run times are learned
	// for each operation of a service.
	Service   string
	Operation string
	// Team is the team whose quota the request counts towards.
	Team string
	// DeclaredRunTime is the run time the caller declared; 0 when it declared none.
	DeclaredRunTime time.Duration
	// StartBy is the latest time at which starting the request is still useful
	// to the caller.
	StartBy time.Time
	// AvoidWorkers lists the IDs of the workers on which the request has already
	// failed.
	AvoidWorkers []string
	// Urgent requests get free slots before all others and have a quota limit of
	// their own. They are not refused early or used as probes.
	Urgent bool
	// Fingerprint identifies the job, the work that the request asks for:
	// requests for the same service with the same fingerprint repeat one job.
	// When it is empty, each ID counts as a job of its own.
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
	// Generation is a number of the VM that increases when the VM changes its
	// pool. It is passed on with each grant.
	Generation int64
}

// Result is the outcome of a granted request.
type Result int

// Results of a grant.
const (
	// ResultOK means that the worker answered without an error.
	ResultOK Result = iota
	// ResultFailed means that the worker answered with an error or the
	// connection to it was lost.
	ResultFailed
	// ResultNotSent means that no byte reached the worker.
	ResultNotSent
	// ResultCancelled means that the caller gave up.
	ResultCancelled
	// ResultConnectionStalled means that nothing more arrived on the connection of
	// the request, while the worker answered on a new connection.
	ResultConnectionStalled
)

// Reason says why a request was refused.
type Reason int

// Reasons for a refusal; ReasonNone stands for a grant.
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
	// GrantID is the ID of the grant. It and Worker are set when Reason is
	// ReasonNone.
	GrantID string
	Worker  Worker
	// RetryAfter tells the caller of a refused request how long to wait before
	// a retry.
	RetryAfter time.Duration
}

// Demand summarises a pool for capacity planning.
type Demand struct {
	SlotsWanted float64
	// Queued is the number of waiting requests, Busy the number of slots in use.
	Queued int
	Busy   int
}

// Policy selects the scheduling algorithm of a Pool.
type Policy int

// Policies of a Pool.
const (
	// PolicyLearned orders requests by learned run times.
	PolicyLearned Policy = iota
	// PolicyFirstComeFirstServed is the baseline for benchmarks: it grants slots
	// in order of arrival, each on the worker with the most free slots.
	PolicyFirstComeFirstServed
)

// Options configure a Pool.
type Options struct {
	// Policy is PolicyLearned unless set.
	Policy Policy
	// MaxQueue is the maximum number of waiting requests.
	MaxQueue int
	// LongShare is the share of the slots that long work may always hold, however
	// much short work there is; default 0.25.
	LongShare float64
	// Ageing is the weight of the run time in the order of the queues: requests
	// are ordered by their arrival time plus Ageing times the median run time of
	// their operation; default 5.
	Ageing float64
	// EarlyRefusal controls the refusal of requests when they are pushed: a
	// request is refused if its expected wait is at least EarlyRefusal times the
	// time left until its StartBy. The default of 3 allows for the large error of
	// the expected wait. With a negative value requests are refused only when
	// StartBy has passed.
	EarlyRefusal float64
}
