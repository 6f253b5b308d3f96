package ejection

import (
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/scheduler/queueing"
)

const (
	// failedWorkersLimit is the number of different workers on which a job fails
	// before it is refused.
	failedWorkersLimit = 3
	// A failing job is refused for firstRefusal and may then run again. Each
	// further failure doubles the time, up to lastRefusal.
	firstRefusal = 30 * time.Second
	lastRefusal  = 10 * time.Minute
	// maximumJobs limits the memory. Beyond it, the job that failed least
	// recently is forgotten.
	maximumJobs = 10_000
)

// Jobs holds the jobs that have failed since their last success, and decides
// how long those that failed on several workers are refused.
//
// Invariant: a job is refused only after it failed on three different workers
// without a success in between.
type Jobs struct {
	jobs          map[string]*queueing.Entry[*failingJob]
	byLastFailure *queueing.Heap[*failingJob]
}

// failingJob is a job that has failed since its last success.
type failingJob struct {
	job          string
	workers      []string
	lastFailure  time.Time
	refusedUntil time.Time
	refusalTime  time.Duration
}

// NewJobs returns a Jobs that has seen no failure.
func NewJobs() *Jobs {
	return &Jobs{
		jobs:          map[string]*queueing.Entry[*failingJob]{},
		byLastFailure: queueing.New(func(a, b *failingJob) bool { return a.lastFailure.Before(b.lastFailure) }),
	}
}

// RefusalTime returns for how long a job is refused; 0 when it may run.
func (j *Jobs) RefusalTime(now time.Time, job string) time.Duration {
	if e := j.jobs[job]; e != nil {
		return max(e.Value.refusedUntil.Sub(now), 0)
	}
	return 0
}

// Succeeded forgets the failures of a job.
func (j *Jobs) Succeeded(job string) {
	if e := j.jobs[job]; e != nil {
		j.byLastFailure.Remove(e)
		delete(j.jobs, job)
	}
}

// Failed records that a job failed on a worker on which other jobs succeed.
func (j *Jobs) Failed(now time.Time, job, worker string) {
	e := j.jobs[job]
	if e == nil {
		if len(j.jobs) >= maximumJobs {
			j.Succeeded(j.byLastFailure.Peek().Value.job)
		}
		e = j.byLastFailure.Push(&failingJob{job: job})
		j.jobs[job] = e
	}
	f := e.Value
	f.lastFailure = now
	j.byLastFailure.Fix(e)
	if f.refusalTime == 0 && slices.Contains(f.workers, worker) {
		return
	}
	if f.refusalTime == 0 {
		f.workers = append(f.workers, worker)
	}
	if len(f.workers) >= failedWorkersLimit {
		f.refusalTime = min(max(2*f.refusalTime, firstRefusal), lastRefusal)
		f.refusedUntil = now.Add(f.refusalTime)
	}
}
