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
	// Done lists the work items that have ended as done, by their number in
	// the order occurrence, step, index.
	Done []int `json:"d,omitempty"`
	// Items holds what else is known of work items that are not done.
	Items []ItemProgress `json:"i,omitempty"`
}

// ItemProgress is the durable record of a work item that is not done.
type ItemProgress struct {
	Number int `json:"n"`
	// LastRun is the highest run that was started.
	LastRun int64 `json:"r,omitempty"`
	// FailedRuns are the runs that failed. A worker lists an end until it is
	// acknowledged, so the next owner may see one that counts already.
	FailedRuns []int64 `json:"f,omitempty"`
	Saved      string  `json:"s,omitempty"`
}
