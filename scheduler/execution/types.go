// Package execution decides which work item runs on which worker. It is a
// state machine without I/O, clocks or goroutines: its owner feeds it what the
// store and the workers said and carries out the orders that it returns.
//
// Invariants:
//   - A work item has more than one copy only if its step is speculative.
//   - A copy is forgotten only when its worker listed its end, when the worker
//     runs nothing of it for certain (a new lifetime, a confirmed stop of a run
//     that never began), or when the worker's lease has lapsed.
//   - An end is acknowledged to a worker only after the progress that follows
//     from it has been committed to the store.
package execution

import (
	"cmp"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// Time is a time on a clock of the owner that also counts suspension.
type Time = time.Duration

// Worker is what the registry says of a worker.
type Worker struct {
	ID      string
	Service string
	Address string
	Zone    string
	Rack    string
	Labels  []string
	// Capacity is what work items on the worker may request together.
	Capacity job.Resources
	Draining bool
	// Born is the start of the worker's lifetime in Unix milliseconds. An ID
	// that starts again has a new one and knows nothing of before.
	Born int64
}

// Run names one start of a work item.
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
	// Lease is how long the worker may run what it holds without hearing from
	// the owner; Deadline is the end of that time on the worker's clock.
	Deadline time.Duration
}

// Stop tells a worker to end a run.
type Stop struct {
	Run
	Worker Worker
}

// Pace lets a run work at a share of its speed.
type Pace struct {
	Run
	Worker  Worker
	Percent int
}

// Orders are what a round decided.
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
	// RejectedOld means that a higher run of the item was there before.
	RejectedOld
	// RejectedRoom means that the worker had no room.
	RejectedRoom
	// RejectedTicket means that the advice does not hold there.
	RejectedTicket
	// StartUnknown means that no answer came: the order may be carried out, or
	// be carried out later.
	StartUnknown
)

// Hold is a call that extends the lease of what runs on a worker and reads its
// lists.
type Hold struct {
	Worker   Worker
	LastSeen int64
	// Deadline is on the worker's clock; zero grants nothing.
	Deadline time.Duration
	Wait     time.Duration
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
	// Tail is the response time of a long-running item that serves users;
	// others report the CPU in use, which is not kept.
	Load int64
}

// End is how a run ended.
type End string

// Ends of a run.
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
	// Number grows by one with each end of a worker's lifetime.
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

// Event is one decision, for the log.
type Event struct {
	Name    string
	Job     string
	Item    string
	Worker  string
	Service string
	Run     int64
	Reason  string
	// Detail is what decided it.
	Detail string
	// Took is how long the run or the job took.
	Took time.Duration
}

// Options configure a Core.
type Options struct {
	// Hold is how long a worker may run what it holds without hearing from the
	// owner.
	Hold time.Duration
	// StopTimeout is how long a worker takes to stop a run.
	StopTimeout time.Duration
	// FirstComeFirstServed ranks steps by the acceptance of their jobs alone,
	// and TrustDeclared takes the declared run times as true. Measurements
	// compare with them.
	FirstComeFirstServed, TrustDeclared bool
	// Trace, if set, receives each decision.
	Trace func(Event)
}
