package execution

import (
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/scheduler/runtimes"
)

// Core is the state of the jobs and workers of one owner. It is not safe for
// concurrent use.
type Core struct {
	options  Options
	manifest *job.Manifest
	jobs     map[string]*jobState
	workers  map[string]*worker
	// sorted holds the workers in the order of their IDs, so that the same
	// input always gives the same orders.
	sorted []*worker
	// listed are the steps that may have work to place.
	listed []*step
	dirty  []*jobState
	// scheduled are jobs with occurrences that are not due yet.
	scheduled map[*jobState]struct{}
	// firstRun is the number of the first run that this owner starts of an
	// item: above any that a former owner can have used.
	firstRun int64
	// formerHolders are workers that may hold leases of a former owner and
	// have not been contacted, with the time when these have lapsed.
	formerHolders map[string]Time
	settled       bool
	// recordedHolders are the possible holders of leases that the store names.
	recordedHolders []string
	// holdersMoved is set when the possible holders may differ from those.
	holdersMoved bool
	tickets      map[ticketKey]*advice
	learner      *runtimes.Learner
	// queueWork is the mean work of the jobs of each queue in core-seconds.
	queueWork map[string]float64
	// startLimit bounds the starts of a round; nil stands for no bound.
	startLimit *int
	// arrivals are the new jobs of each service within arrivalWindow.
	arrivals map[string][]arrival
}

// runsPerTerm separates the run numbers of successive owners: an owner starts
// an item less often than this.
const runsPerTerm = 10_000

// New returns the state of a new owner. Term counts the owners before it.
func New(options Options, term int64) *Core {
	return &Core{
		options: options, manifest: &job.Manifest{},
		jobs: map[string]*jobState{}, workers: map[string]*worker{},
		scheduled:     map[*jobState]struct{}{},
		firstRun:      term*runsPerTerm + 1,
		formerHolders: map[string]Time{},
		tickets:       map[ticketKey]*advice{},
		learner:       runtimes.NewLearner(),
		queueWork:     map[string]float64{},
		arrivals:      map[string][]arrival{},
	}
}

func (c *Core) trace(e Event) {
	if c.options.Trace != nil {
		c.options.Trace(e)
	}
}

// SetManifest puts a manifest in force.
func (c *Core) SetManifest(m *job.Manifest) {
	c.manifest = m
	for _, j := range c.jobs {
		if !j.final() {
			c.listJob(j)
		}
	}
}

// queueOf returns the queue of a job; a withdrawn one keeps the service that
// it had and the usual number of attempts.
func (c *Core) queueOf(j *jobState) job.Queue {
	if q := c.manifest.Queue(j.Queue); q != nil {
		return *q
	}
	return job.Queue{Name: j.Queue, Service: j.Service, Attempts: defaultAttempts, Stretch: 1}
}

// defaultAttempts applies to jobs whose queue was withdrawn.
const defaultAttempts = 2

// AddJob adds an accepted job with its durable progress. Inherited jobs are
// those that a former owner may have started.
func (c *Core) AddJob(spec *job.Job, p job.Progress, inherited bool, wall time.Time, now Time) {
	if _, known := c.jobs[spec.ID]; known {
		return
	}
	j := &jobState{
		Job: spec, perRun: spec.ItemsPerRun(), occurrences: make([][]*step, spec.Runs()), runsLeft: spec.Runs(),
		phase: job.Queued, acceptedAt: now - age(spec, wall), inherited: inherited, dueAt: make([]Time, spec.Runs()),
	}
	if p.Phase != "" {
		j.phase = p.Phase
		j.begun = true
	}
	c.jobs[spec.ID] = j
	if j.final() {
		j.finishedAt = now
		return
	}
	c.restore(j, p, now)
	j.occurrence(0, now)
	c.learnWork(j, now)
	if !inherited {
		c.noteArrival(j, now)
	}
	c.scheduled[j] = struct{}{}
	if j.finishIfDone(now) {
		c.markDirty(j)
	}
}

// mostAge bounds the age of a job, in case the time of day has jumped.
const mostAge = time.Hour

// age is how long ago a job was accepted.
func age(j *job.Job, wall time.Time) time.Duration {
	if j.Accepted.IsZero() {
		return 0
	}
	return min(max(wall.Sub(j.Accepted), 0), mostAge)
}

func (c *Core) restore(j *jobState, p job.Progress, now Time) {
	for _, n := range p.Done {
		if i := j.byNumber(n, now); i != nil && !i.done {
			c.itemDone(i, now)
		}
	}
	for _, record := range p.Items {
		if i := j.byNumber(record.Number, now); i != nil {
			i.lastRun, i.failedRuns, i.saved = record.LastRun, record.FailedRuns, record.Saved
		}
	}
}

// byNumber returns the item of a number in the durable record.
func (j *jobState) byNumber(n int, now Time) *item {
	occurrence := n / max(j.perRun, 1)
	if n < 0 || occurrence >= len(j.occurrences) {
		return nil
	}
	rest := n % j.perRun
	for _, s := range j.occurrence(occurrence, now) {
		if rest < len(s.items) {
			return &s.items[rest]
		}
		rest -= len(s.items)
	}
	return nil
}

func (j *jobState) item(id job.ItemID, now Time) *item {
	if id.Occurrence >= len(j.occurrences) || id.Step >= len(j.Steps) || id.Index >= j.Steps[id.Step].Count {
		return nil
	}
	return &j.occurrence(id.Occurrence, now)[id.Step].items[id.Index]
}

// occurrence returns the steps of an occurrence and makes them when needed.
func (j *jobState) occurrence(k int, now Time) []*step {
	if j.occurrences[k] != nil {
		return j.occurrences[k]
	}
	steps := make([]*step, len(j.Steps))
	offset := 0
	for n := range j.Steps {
		spec := &j.Steps[n]
		s := &step{job: j, spec: spec, occurrence: k, number: n, offset: offset, left: spec.Count, copies: map[*worker]int{}}
		s.items = make([]item, spec.Count)
		for i := range s.items {
			s.items[i] = item{step: s, index: i}
		}
		offset += spec.Count
		steps[n] = s
	}
	j.occurrences[k] = steps
	return steps
}

func (c *Core) listJob(j *jobState) {
	for _, steps := range j.occurrences {
		for _, s := range steps {
			c.list(s)
		}
	}
}

// Due makes the occurrences whose time has come ready. wall is the time of
// day.
func (c *Core) Due(wall time.Time, now Time) {
	for j := range c.scheduled {
		if j.final() {
			delete(c.scheduled, j)
			continue
		}
		left := false
		for k := range j.occurrences {
			due := j.Due(k)
			if !due.IsZero() && wall.Before(due) {
				left = true
				break
			}
			if !due.IsZero() && j.dueAt[k] == 0 {
				j.dueAt[k] = now
			}
			c.readySteps(j.occurrence(k, now), now)
		}
		if !left {
			delete(c.scheduled, j)
		}
	}
}

// readySteps makes the steps ready whose earlier steps are done.
func (c *Core) readySteps(steps []*step, now Time) {
	for _, s := range steps {
		if s.ready || s.done() {
			continue
		}
		ready := true
		for _, before := range s.spec.After {
			ready = ready && steps[before].done()
		}
		if ready {
			s.ready, s.readyAt = true, now
			c.list(s)
		}
	}
}

// itemDone notes that an item has ended as done.
func (c *Core) itemDone(i *item, now Time) {
	s := i.step
	i.done = true
	s.left--
	if !s.done() {
		return
	}
	steps := s.job.occurrences[s.occurrence]
	if s.ready {
		c.readySteps(steps, now)
	}
	for _, other := range steps {
		if !other.done() {
			return
		}
	}
	s.job.runsLeft--
}

// finishIfDone sets the final phase of a job whose occurrences are all done.
func (j *jobState) finishIfDone(now Time) bool {
	if j.final() || j.runsLeft > 0 {
		return false
	}
	j.phase, j.finishedAt = job.Completed, now
	return true
}

// Cancel ends a job at its requester's wish.
func (c *Core) Cancel(id string, now Time) {
	j := c.jobs[id]
	if j == nil || j.final() {
		return
	}
	c.finish(j, job.Cancelled, "", now)
}

// finish ends a job in a final phase and wants its copies stopped.
func (c *Core) finish(j *jobState, phase job.Phase, reason string, now Time) {
	j.phase, j.finishedAt = phase, now
	c.markDirty(j)
	c.stopCopies(j)
	c.trace(Event{Name: "job_" + string(phase), Job: j.ID, Reason: reason, Took: now - j.acceptedAt})
}

func (c *Core) stopCopies(j *jobState) {
	for _, steps := range j.occurrences {
		for _, s := range steps {
			for n := range s.items {
				for _, cp := range s.items[n].copies {
					cp.stopWanted = true
				}
			}
		}
	}
}

// Forget drops final jobs that ended longer than keep ago and returns them.
func (c *Core) Forget(keep time.Duration, most int, now Time) []string {
	var ids []string
	for id, j := range c.jobs {
		if len(ids) == most {
			break
		}
		if j.final() && !j.dirty && j.committed == j.version && now-j.finishedAt > keep && !j.hasCopies() {
			ids = append(ids, id)
			delete(c.jobs, id)
		}
	}
	return ids
}

func (j *jobState) hasCopies() bool {
	for _, steps := range j.occurrences {
		for _, s := range steps {
			if len(s.copies) > 0 {
				return true
			}
		}
	}
	return false
}

// TakeWrites returns up to most changed records, to be written to the store.
func (c *Core) TakeWrites(most int) []ProgressWrite {
	n := min(most, len(c.dirty))
	writes := make([]ProgressWrite, 0, n)
	for _, j := range c.dirty[:n] {
		j.dirty = false
		writes = append(writes, ProgressWrite{JobID: j.ID, Progress: j.progress(), version: j.version})
	}
	c.dirty = append([]*jobState(nil), c.dirty[n:]...)
	return writes
}

// Committed notes that the store has the writes. It returns the workers that
// now may be told of ends that were noted.
func (c *Core) Committed(writes []ProgressWrite) {
	for _, w := range writes {
		if j := c.jobs[w.JobID]; j != nil {
			j.committed = max(j.committed, w.version)
		}
	}
	for _, w := range c.sorted {
		w.advanceAcked()
	}
}

func (w *worker) advanceAcked() {
	n := 0
	for n < len(w.pendingEnds) {
		e := w.pendingEnds[n]
		if e.job != nil && e.job.committed < e.version {
			break
		}
		w.ackedEnd = e.number
		n++
	}
	w.pendingEnds = w.pendingEnds[n:]
}

// progress is the durable record of a job.
func (j *jobState) progress() job.Progress {
	p := job.Progress{Phase: j.phase}
	if !j.final() {
		p.Phase = job.Running
	}
	if p.Phase.Final() {
		return p
	}
	for _, steps := range j.occurrences {
		for _, s := range steps {
			for n := range s.items {
				i := &s.items[n]
				switch {
				case i.done:
					p.Done = append(p.Done, i.number())
				case len(i.failedRuns) > 0 || i.saved != "":
					p.Items = append(p.Items, job.ItemProgress{
						Number: i.number(), LastRun: i.lastRun, FailedRuns: slices.Clone(i.failedRuns), Saved: i.saved,
					})
				}
			}
		}
	}
	return p
}

// Waiting returns, for each queue, the number of jobs of which nothing has
// started.
func (c *Core) Waiting() map[string]int {
	counts := map[string]int{}
	for _, j := range c.jobs {
		if !j.final() && !j.begun {
			counts[j.Queue]++
		}
	}
	return counts
}

// Dirty reports whether TakeWrites would return something.
func (c *Core) Dirty() bool { return len(c.dirty) > 0 }
