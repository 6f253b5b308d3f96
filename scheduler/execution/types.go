// Package execution decides which work item runs on which worker. It is a
// state machine without I/O, clocks or goroutines: the owner of a group of jobs
// passes it what the store and the workers reported and carries out the orders
// that it returns. Package job describes jobs, occurrences, steps and work items.
//
// The owner is the process that decides for the jobs at present. A new owner
// takes over what the store holds, and the workers reject orders of former owners
// by their lower fencing tokens. The jobs that a former owner may have started
// are inherited. They start nothing until the takeover is settled: every worker
// that may hold a lease of a former owner was contacted, or its lease has lapsed.
//
// A run is one start of a work item on a worker; a copy is what the owner knows
// of a run that may be going on. A worker runs items only under a lease, which
// the owner extends by calls named holds; the worker ends its runs when the lease
// lapses. It lists a run that has ended in its answers until a hold acknowledges
// the end. A lifetime of a worker lasts from one of its starts to the next.
//
// The manifest lists the queues through which jobs come and the services. The
// workers of a queue's service run its jobs. A queue may have an advice service,
// which decides on which workers a step may run and issues a ticket for each.
//
// Invariants:
//   - A work item has more than one copy at a time only if its step is
//     speculative.
//   - A copy is dropped only when its worker has listed its end, when the worker
//     certainly does not run it (it has a new lifetime, its VM runs a newer worker,
//     or it has answered an order to stop the run and does not list it), or when
//     the worker's lease has lapsed.
//   - An end is acknowledged to a worker only after the progress that follows
//     from it has been committed to the store.
//   - An end as done makes its item done, whichever runs of the item the owner knows.
//   - An item is not started again once crashesToGiveUp workers have crashed under
//     it at the same age of its run, or maxCrashes at any age, most of them not weak, nor
//     before the store has the failed runs, and those that were lost with their workers.
package execution

import (
	"cmp"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// Time is a reading of the owner's clock, which also counts the time during
// which the machine is suspended.
type Time = time.Duration

// Worker is the registry entry of a worker.
type Worker struct {
	ID      string
	Service string
	// VM is the VM on which the worker runs, or empty if it is not known.
	VM      string
	Address string
	Zone    string
	Rack    string
	Labels  []string
	// Capacity bounds the total of what the work items on the worker request.
	Capacity job.Resources
	// Draining workers get no new work, and their long-running items are moved
	// to other workers.
	Draining bool
	// StartMillis is the start of the worker's lifetime in Unix milliseconds. A
	// worker that restarts keeps its ID, gets a new StartMillis and knows nothing
	// of its earlier lifetimes.
	StartMillis int64
}

// place identifies where the worker runs, across restarts if its VM is known.
func (w Worker) place() string { return cmp.Or(w.VM, w.ID) }

// Run identifies one start of a work item. Later starts have higher numbers; the
// items of a gang that start together have the same one.
type Run struct {
	Item   job.ItemID
	Number int64
}

func (r Run) compare(o Run) int {
	return cmp.Or(r.Item.Compare(o.Item), cmp.Compare(r.Number, o.Number))
}

// Start tells a worker to run a work item.
type Start struct {
	Run
	Worker Worker
	Spec   string
	Saved  string
	Ticket string
	// Deadline is the end of the lease on the worker's clock.
	Deadline time.Duration
	// Fence is the fencing token of the worker's lifetime for which the order is meant.
	Fence int64
}

// Stop tells a worker to end a run.
type Stop struct {
	Run
	Worker Worker
	// Fence is the fencing token of the worker's lifetime for which the order is meant.
	Fence int64
	// Reason and Detail say, for the log, why the run has to end and what is known of it.
	Reason, Detail string
	// orderedBefore is when the run was last ordered to stop before, or zero.
	orderedBefore Time
}

// Pace tells a worker to let a run go on at a percentage of its full speed.
type Pace struct {
	Run
	Worker  Worker
	Percent int
	// Fence is the fencing token of the worker's lifetime for which the order is meant.
	Fence int64
}

// Orders are the decisions of a round.
type Orders struct {
	Starts []Start
	Stops  []Stop
	Paces  []Pace
}

// StartResult is a worker's answer to a Start.
type StartResult int

// Results of a start.
const (
	// Started means that the run is on the worker.
	Started StartResult = iota
	// NotStarted means that the worker certainly does not run it.
	NotStarted
	// RejectedStale means that the worker has already had a higher run of the
	// item.
	RejectedStale
	// RejectedCapacity means that the worker had too little free capacity.
	RejectedCapacity
	// RejectedTicket means that the worker did not accept the ticket.
	RejectedTicket
	// StartUnknown means that no answer came: the order may have been carried
	// out or may yet be carried out.
	StartUnknown
)

// Hold is a call that extends a worker's lease and reads its lists of running
// and ended runs.
type Hold struct {
	Worker Worker
	// AcknowledgedEnd acknowledges all ends up to this number; the worker may forget
	// them. Zero acknowledges none.
	AcknowledgedEnd int64
	// Deadline is the end of the lease on the worker's clock; zero does not
	// extend it.
	Deadline time.Duration
	// LongPollTimeout is how long the worker may wait for a run to end before it
	// answers (long polling).
	LongPollTimeout time.Duration
	// Fence is the fencing token of the worker's lifetime for which the hold is meant.
	Fence int64
}

// Report is a worker's answer to a Hold.
type Report struct {
	// Clock is the worker's clock when it answered.
	Clock       time.Duration
	StartMillis int64
	Running     []RunningItem
	Ended       []EndedItem
}

// RunningItem is a run on a worker.
type RunningItem struct {
	Run
	Saved string
	// Percent is the progress. A long-running item serves its users from 100 on.
	Percent int
	// Load is the tail latency in milliseconds of a long-running item that
	// serves users. Other items report the CPU in use, which is ignored here.
	Load int64
}

// End is how a run ended.
type End string

// Ways in which a run can end.
const (
	EndDone    End = "done"
	EndFailed  End = "failed"
	EndStopped End = "stopped"
	// EndLapsed is the end of a run whose worker's lease lapsed.
	EndLapsed End = "lapsed"
	EndBroken End = "broken"
	// EndAlone is the end of a gang member that waited in vain for the others.
	EndAlone End = "alone"
)

// EndedItem is an end that the worker lists until it is acknowledged.
type EndedItem struct {
	// Number grows by one with each end in a worker's lifetime.
	Number int64
	Run
	Kind  End
	Saved string
}

// ProgressWrite is a job's changed durable record, to be written to the store.
type ProgressWrite struct {
	JobID    string
	Progress job.Progress
	version  uint64
}

// Event is a log record of one decision.
type Event struct {
	Name    string
	Job     string
	Item    string
	Worker  string
	Service string
	// Organisation is set for events about an organisation.
	Organisation string
	Run          int64
	Reason       string
	// Detail holds the state that the decision was based on.
	Detail string
	// End is the number of an end in the worker's list, and Effect what it changed.
	End    int64
	Effect string
	// VM is the VM of the worker, for events about a lifetime of a worker.
	VM string
	// Took is how long the run or the job took. For run_placed it is the time
	// since the step became ready, for worker_silent the time since the last
	// report, and for worker_avoided how long the worker will get no work.
	Took time.Duration
	// Expected is how long a run that is done was expected to take when it started.
	Expected time.Duration
}

// Options configure a Core.
type Options struct {
	// LeaseDuration is the duration of a lease: how long a worker may run items
	// without hearing from the owner.
	LeaseDuration time.Duration
	// MaxLease is the longest lease that a worker accepts; 0 stands for LeaseDuration.
	MaxLease time.Duration
	// StopTimeout is how long a worker takes to stop a run.
	StopTimeout time.Duration
	// FirstComeFirstServed ranks the steps of one kind and priority by the
	// acceptance times of their jobs. It is a baseline for measurements. TrustDeclared takes
	// the declared run times as true and learns nothing from finished runs.
	FirstComeFirstServed, TrustDeclared bool
	// Trace, if set, receives each decision.
	Trace func(Event)
}
