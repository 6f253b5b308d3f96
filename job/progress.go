package job

// Phase is the state of a job as requesters see it.
type Phase string

// Phases of a job. The last three are final.
const (
	Queued    Phase = "queued"
	Running   Phase = "running"
	Completed Phase = "completed"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
)

// Final reports whether a job in this phase never changes again.
func (p Phase) Final() bool { return p == Completed || p == Failed || p == Cancelled }

// Progress is the durable record of what a job has done. Its owner alone
// writes it, under the condition that it still owns the job.
type Progress struct {
	Phase Phase `json:"p"`
	// Organisation is that of the job, so that its phase can be shown without reading the job.
	Organisation string `json:"o,omitempty"`
	// Done lists the work items that are done, by their number in the order of
	// occurrence, step, index.
	Done []int `json:"d,omitempty"`
	// Items holds the progress of the work items that are not done.
	Items []ItemProgress `json:"i,omitempty"`
}

// ItemProgress is the durable record of a work item that is not done.
type ItemProgress struct {
	Number int `json:"n"`
	// LastRun is the highest number of a run that was started.
	LastRun int64 `json:"r,omitempty"`
	// FailedRuns are the numbers of the runs that failed. They keep a new owner
	// from counting a failure twice: a worker reports the end of a run until it
	// is acknowledged, so the end may have been counted by a former owner.
	FailedRuns []int64 `json:"f,omitempty"`
	// Crashes are the crashes of workers that a run of the item may have caused.
	Crashes []Crash `json:"c,omitempty"`
	// LostRuns are the runs whose workers fell silent and that may be the cause.
	LostRuns []LostRun `json:"l,omitempty"`
	// Saved is the last checkpoint of an item that saves its progress.
	Saved string `json:"s,omitempty"`
}

// Crash is a crash of a worker that a run may have caused.
type Crash struct {
	Run int64 `json:"r"`
	// The run was at least MinAgeMillis and at most MaxAgeMillis old when the worker
	// crashed.
	MinAgeMillis int64 `json:"a,omitempty"`
	MaxAgeMillis int64 `json:"b"`
	// Weak is set if the crash is weak evidence against the item: it is hardly known when
	// the worker crashed or whether it had the run, or many others crashed at the same time.
	Weak bool `json:"k,omitempty"`
	// WeakReason says why the crash is weak. It tells whether the age is known all the same.
	WeakReason string `json:"y,omitempty"`
}

// LostRun is a run on a worker that fell silent. If the worker has a later lifetime,
// it has crashed.
type LostRun struct {
	Crash
	// Worker is the VM of the worker, or its ID if the VM is not known.
	Worker string `json:"w"`
	// StartMillis is the start of the worker's lifetime in Unix milliseconds.
	StartMillis int64 `json:"t"`
}
