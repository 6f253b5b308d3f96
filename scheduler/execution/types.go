// Package execution decides which work item runs on which worker. It is a
// state machine without I/O, clocks or goroutines: the owner of a group of jobs
// passes it what the store and the workers reported and carries out the orders
// that it returns.
//
// A run is one start of a work item on a worker, a copy is what the owner knows
// of a run. A worker runs items only under a lease, which the owner extends by
// calls named holds; the worker ends its runs when the lease lapses. It lists a
// run that has ended in its answers until a hold acknowledges the end.
//
// Invariants:
//   - A work item has more than one copy only if its step is speculative.
//   - A copy is dropped only when its worker has listed its end, when the worker
//     certainly does not run it (a new lifetime, a confirmed stop of a run that
//     never began), or when the worker's lease has lapsed.
//   - An end is acknowledged to a worker only after the progress that follows
//     from it has been committed to the store.
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
	Address string
	Zone    string
	Rack    string
	Labels  []string
	// Capacity bounds the total of what the work items on the worker request.
	Capacity job.Resources
	Draining bool
	// Born is the start of the worker's lifetime in Unix milliseconds. A worker
	// that restarts keeps its ID, gets a new Born and knows nothing of its
	// earlier lifetimes.
	Born int64
}

// Run identifies one start of a work item. Later starts have higher numbers; the
// items of a gang that start together have the same one.
type Run struct {
	Item job.ItemID
	Run  int64
}

func (r Run) compare(o Run) int {
	return cmp.Or(r.Item.Compare(o.Item), cmp.Compare(r.Run, o.Run))
}

// Start tells a worker to run a work item.
type Start struct {
	Run
	Worker Worker
	Spec   string
	Saved  string
	Ticket string
	// Deadline is the time on the worker's clock until which it may run what it
	// holds without hearing from the owner.
	Deadline time.Duration
}

// Stop tells a worker to end a run.
type Stop struct {
	Run
	Worker Worker
}

// Pace tells a worker to let a run go on at a percentage of its full speed.
type Pace struct {
	Run
	Worker  Worker
	Percent int
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
	// RejectedOld means that the worker has already had a higher run of the
	// item.
	RejectedOld
	// RejectedRoom means that the worker had no room.
	RejectedRoom
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
	// LastSeen is the number of the last end that the worker may forget.
	LastSeen int64
	// Deadline is the end of the lease on the worker's clock; zero does not
	// extend it.
	Deadline time.Duration
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// Report is a worker's answer to a Hold.
type Report struct {
	// Clock is the worker's clock when it answered.
	Clock   time.Duration
	Born    int64
	Running []RunningItem
	Ended   []EndedItem
}

// RunningItem is a run on a worker.
type RunningItem struct {
	Run
	Saved   string
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
	EndLapsed  End = "lapsed"
	EndBroken  End = "broken"
	EndAlone   End = "alone"
)

// EndedItem is an end that the worker lists until it is acknowledged.
type EndedItem struct {
	// Number grows by one with each end in a worker's lifetime.
	Number int64
	Run
	How   End
	Saved string
}

// ProgressWrite is a change of a job's durable record.
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
	Run     int64
	Reason  string
	// Detail holds the state that the decision was based on.
	Detail string
	// Took is a time that belongs to the event, such as how long the run or the
	// job took.
	Took time.Duration
}

// Options configure a Core.
type Options struct {
	// Hold is how long a worker may run what it holds without hearing from the
	// owner.
	Hold time.Duration
	// StopTimeout is how long a worker takes to stop a run.
	StopTimeout time.Duration
	// FirstComeFirstServed ranks the steps of one kind and priority by the
	// acceptance times of their jobs, and TrustDeclared takes the declared run
	// times as true. They are baselines for measurements.
	FirstComeFirstServed, TrustDeclared bool
	// Trace, if set, receives each decision.
	Trace func(Event)
}
