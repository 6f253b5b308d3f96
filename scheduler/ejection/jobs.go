package ejection

import (
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/scheduler/queueing"
)

const (
	// failingWorkers is the number of different workers on which a job fails
	// before it is refused.
	failingWorkers = 3
	// A failing job is refused for firstRefusal, then one trial is let through;
	// each further failure doubles the time up to lastRefusal.
	firstRefusal = 30 * time.Second
	lastRefusal  = 10 * time.Minute
	// maximumJobs bounds the memory; the job that failed least recently goes.
	maximumJobs = 10_000
)

// Jobs remembers the jobs that failed on different workers.
//
// Invariant: a job is refused only after it failed on three different workers
// without a success in between.
type Jobs struct {
	jobs  map[string]*queueing.Entry[*failing]
	order *queueing.Heap[*failing]
}

type failing struct {
	job      string
	workers  []string
	last     time.Time
	until    time.Time
	interval time.Duration
}

// NewJobs returns a Jobs that has seen no failure.
func NewJobs() *Jobs {
	return &Jobs{
		jobs:  map[string]*queueing.Entry[*failing]{},
		order: queueing.New(func(a, b *failing) bool { return a.last.Before(b.last) }),
	}
}

// Refused returns for how long a job is refused; 0 when it may run.
func (j *Jobs) Refused(now time.Time, job string) time.Duration {
	if e := j.jobs[job]; e != nil {
		return max(e.Value.until.Sub(now), 0)
	}
	return 0
}

// Succeeded forgets the failures of a job.
func (j *Jobs) Succeeded(job string) {
	if e := j.jobs[job]; e != nil {
		j.order.Remove(e)
		delete(j.jobs, job)
	}
}

// Failed records that a job failed on a worker that answers other jobs.
func (j *Jobs) Failed(now time.Time, job, worker string) {
	e := j.jobs[job]
	if e == nil {
		if len(j.jobs) >= maximumJobs {
			j.Succeeded(j.order.Peek().Value.job)
		}
		e = j.order.Push(&failing{job: job})
		j.jobs[job] = e
	}
	f := e.Value
	f.last = now
	j.order.Fix(e)
	if f.interval == 0 && slices.Contains(f.workers, worker) {
		return
	}
	if f.interval == 0 {
		f.workers = append(f.workers, worker)
	}
	if len(f.workers) >= failingWorkers {
		f.interval = min(max(2*f.interval, firstRefusal), lastRefusal)
		f.until = now.Add(f.interval)
	}
}
