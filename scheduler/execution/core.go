package execution

import (
	"math"
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
	// sortedWorkers holds the workers sorted by ID, so that the same input
	// always gives the same orders.
	sortedWorkers []*worker
	// busyWorkers holds those of them that have copies or orphans.
	busyWorkers []*worker
	// lapseScan and holdScan say when dropLapsed and WorkersToHold look at the others.
	lapseScan, holdScan idleScan
	// eligible is the memory of eligibleByService.
	eligible map[string]*eligibleWorkers
	// workerOnVM holds the worker of each VM that has one.
	workerOnVM map[string]*worker
	// droppedLifetimes holds the last lifetimes of workers that were dropped, as long as
	// late calls for them may reach a later lifetime.
	droppedLifetimes map[string]droppedLifetime
	// lostAt holds the items with lost runs, by the place of the worker.
	lostAt map[string][]*item
	// inheritedCauses are the items for which giveUpIfCause has to be called once the
	// takeover is settled.
	inheritedCauses []*item
	// endedWorkers are the workers whose processes have ended lately, within
	// crashTogetherTime.
	endedWorkers []endedWorker
	// pendingSteps are the steps that may have work to place.
	pendingSteps []*step
	// dirty are the jobs whose records have changed since they were last
	// returned by TakeWrites.
	dirty []*jobState
	// scheduled are the jobs that MarkDue still has to look at: new ones and those
	// with occurrences that are not due yet or wait behind others.
	scheduled map[*jobState]struct{}
	// maxWaitingSteps is the constant of this name, except in tests.
	maxWaitingSteps int
	// firstRun is the lowest run number that this owner gives to a run. It is
	// above any number that a former owner can have used.
	firstRun int64
	// fence is the fencing token of lifetimes of workers that become known from now on.
	fence int64
	// formerHolders are the workers that may hold leases of a former owner and
	// have not been contacted, with the time at which the leases will have
	// lapsed.
	formerHolders map[string]Time
	// formerRuns holds the items that formerHolders may run, for those of which they are
	// known, and heldBy those of inherited jobs. formerRunsUnknown is set while they are not
	// known of all that formerHolders still wait for.
	formerRuns        map[string][]job.ItemID
	heldBy            map[string][]*item
	formerRunsUnknown bool
	// listsAllRuns is set once this owner gives no more orders, unless it has very many runs: the
	// record of lease holders lists those of workers that answer as well.
	listsAllRuns bool
	// startHorizon is the revision up to which the store lets this owner start jobs.
	startHorizon int64
	// settled is set once each worker that may hold a lease of a former owner
	// was contacted or its lease has lapsed.
	settled bool
	// recordedHolders are the possible lease holders that the store names.
	recordedHolders []string
	// checkHolders is set when the possible lease holders have to be compared
	// with recordedHolders, because one of the two has changed or they differed
	// the last time.
	checkHolders bool
	advice       map[ticketKey]*advice
	// adviceCalls is the number of calls for advice in flight, adviceCallTime how long the
	// service is stated to take for them together, and adviceDoublings how often the factor
	// of their timeouts is doubled.
	adviceCalls     int
	adviceCallTime  time.Duration
	adviceDoublings int
	// learner holds the run times of items, unevenness those relative to the typical item of
	// the same step, with typicalRatio for an equal one.
	learner, unevenness *runtimes.Learner
	// typicalSpeeds is the typical slowness of the workers of each service, as of speedsAt.
	typicalSpeeds map[string]float64
	speedsAt      Time
	// outlastingAt is when markOutlasting last looked at the runs.
	outlastingAt Time
	// organisations holds the organisations that have, or had, jobs.
	organisations map[string]*organisation
	// reservations are those of gangs, by service, and nextReservation is when the next one
	// may be made.
	reservations    map[string]*reservation
	nextReservation map[string]Time
	// unseenCleared is set once no organisation has unseen runs any more.
	unseenCleared bool
	// roundNumber counts the rounds.
	roundNumber uint64
	// meanQueueWork is the mean work of the jobs of each queue in core-seconds.
	meanQueueWork map[string]float64
	// meanCriticalPath is the mean critical path of the jobs of each queue that run once, as
	// soon as they can, and end by themselves.
	meanCriticalPath map[string]time.Duration
	// attemptsUnknown are the items with attemptsUnknown set; recheckAttempts decides about
	// them.
	attemptsUnknown []*item
	// startLimit bounds the starts of a round; nil means no bound.
	startLimit *int
	// held is the sum of the memoryEstimates of the jobs of each queue that has any.
	held map[string]int64
	// estimates are those of the occurrences that were ranked in the present round.
	estimates map[*occurrence]workEstimate
	// arrivals are the new jobs of each service within two arrival windows.
	arrivals map[string][]arrival
}

// runsPerTerm is the number of run numbers that each owner has for an item. It is
// assumed that no owner starts an item more often, so that the run numbers of
// successive owners don't overlap.
const runsPerTerm = 10_000

// New returns the state of a new owner. term is the number of owners before it.
func New(options Options, term int64) *Core {
	return &Core{
		options: options, manifest: &job.Manifest{},
		jobs: map[string]*jobState{}, workers: map[string]*worker{},
		workerOnVM:       map[string]*worker{},
		droppedLifetimes: map[string]droppedLifetime{},
		lostAt:           map[string][]*item{},
		scheduled:        map[*jobState]struct{}{},
		maxWaitingSteps:  maxWaitingSteps,
		firstRun:         term*runsPerTerm + 1,
		formerHolders:    map[string]Time{},
		formerRuns:       map[string][]job.ItemID{},
		heldBy:           map[string][]*item{},

		formerRunsUnknown: true,
		startHorizon:      math.MaxInt64,
		advice:            map[ticketKey]*advice{},
		learner:           newRunTimeLearner(),
		unevenness:        newRunTimeLearner(),
		typicalSpeeds:     map[string]float64{},
		meanQueueWork:     map[string]float64{},
		held:              map[string]int64{},
		estimates:         map[*occurrence]workEstimate{},
		arrivals:          map[string][]arrival{},
		organisations:     map[string]*organisation{},
		meanCriticalPath:  map[string]time.Duration{},
		reservations:      map[string]*reservation{},
		nextReservation:   map[string]Time{},
	}
}

func (c *Core) trace(e Event) {
	if c.options.Trace != nil {
		c.options.Trace(e)
	}
}

// SetManifest replaces the manifest.
func (c *Core) SetManifest(m *job.Manifest) {
	c.manifest = m
	c.updateOrganisations()
	for _, j := range c.jobs {
		if !j.final() {
			c.addPendingSteps(j)
		}
	}
}

// queueOf returns the queue of a job from the newest manifest that is known to have it:
// one that this process has seen, or the one under which the job was accepted. The owner's
// manifest may lack the queue because the operator has removed it since, or because the
// owner's manifest is the older one. If no such manifest is known, Attempts is 0 and the job
// comes after those of all other queues.
func (c *Core) queueOf(j *jobState) job.Queue {
	known, ok := c.manifest.LastKnown(j.Queue)
	if accepted, recorded := j.AcceptedQueue(); recorded && (!ok || accepted.ManifestVersion > known.ManifestVersion) {
		return accepted.Queue
	}
	if ok {
		return known.Queue
	}
	return job.Queue{Name: j.Queue, Service: j.Service, Priority: lowestPriority, LatencyFactor: 1}
}

const lowestPriority = math.MaxInt

// AddJob adds an accepted job with its durable progress. inherited is set for a
// job that a former owner may have started. wall is the time of day.
func (c *Core) AddJob(spec *job.Job, p job.Progress, inherited bool, wall time.Time, now Time) {
	if _, known := c.jobs[spec.ID]; known {
		return
	}
	j := &jobState{
		Job: spec, itemsPerOccurrence: spec.ItemsPerOccurrence(), occurrenceSet: occurrenceSet{left: spec.OccurrenceCount()},
		phase: job.Queued, acceptedAt: now - jobAge(spec, wall), inherited: inherited, unsettled: inherited && !c.settled,
		organisation: c.organisationOf(spec),
	}
	if p.Phase != "" {
		j.phase = p.Phase
		j.begun = p.Phase != job.Queued
	}
	c.jobs[spec.ID] = j
	c.reckon(j, false)
	if j.organisation != nil {
		j.organisation.sent.add(j)
	}
	if j.final() {
		j.finishedAt = now
		return
	}
	if inherited {
		c.noteFormerRuns(j)
	}
	c.restoreProgress(j, p, now)
	c.learnQueueWork(j, now)
	if !inherited {
		c.recordArrival(j, now)
	}
	c.scheduled[j] = struct{}{}
	if c.finishIfDone(j, now) {
		c.markDirty(j)
	}
}

// maxJobAge bounds the age of a job, in case the time of day has jumped.
const maxJobAge = time.Hour

// jobAge returns how long ago a job was accepted.
func jobAge(j *job.Job, wall time.Time) time.Duration {
	if j.Accepted.IsZero() {
		return 0
	}
	return min(max(wall.Sub(j.Accepted), 0), maxJobAge)
}

func (c *Core) restoreProgress(j *jobState, p job.Progress, now Time) {
	for _, n := range p.Done {
		if i := j.itemByNumber(n); i != nil && !i.done {
			c.markItemDone(i, now)
		}
	}
	for _, record := range p.Items {
		if i := j.itemByNumber(record.Number); i != nil {
			i.lastRun, i.failedRuns, i.saved = record.LastRun, record.FailedRuns, record.Saved
			i.setCrashes(record.Crashes)
			if i.suspect() {
				// The former owner may have put the decision off.
				c.inheritedCauses = append(c.inheritedCauses, i)
			}
			c.restoreLostRuns(i, record.LostRuns, now)
			c.endIfAttemptsUsedUp(i, now)
		}
	}
}

// itemByNumber returns the item that has the number n in the durable record, or
// nil. See step.recordNumber.
func (j *jobState) itemByNumber(n int) *item {
	number := n / max(j.itemsPerOccurrence, 1)
	if n < 0 || number >= j.OccurrenceCount() {
		return nil
	}
	rest := n % j.itemsPerOccurrence
	for _, s := range j.occurrence(number).steps {
		if rest < s.spec.Count {
			return s.item(rest)
		}
		rest -= s.spec.Count
	}
	return nil
}

func (j *jobState) item(id job.ItemID) *item {
	if id.Occurrence >= j.OccurrenceCount() || id.Step >= len(j.Steps) || id.Index >= j.Steps[id.Step].Count {
		return nil
	}
	return j.occurrence(id.Occurrence).steps[id.Step].item(id.Index)
}

func (c *Core) addPendingSteps(j *jobState) {
	for _, o := range j.open {
		for _, s := range o.steps {
			c.addPending(s)
		}
	}
}

// markReadySteps marks the steps as ready for which all steps that they depend
// on are done.
func (c *Core) markReadySteps(steps []*step, now Time) {
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
			c.addPending(s)
		}
	}
}

// markItemDone marks an item as done. It makes the steps ready that waited for
// its step, and counts the occurrence as done if this was its last item.
func (c *Core) markItemDone(i *item, now Time) {
	s := i.step
	i.setCrashes(nil)
	s.setDone(i)
	if !s.done() {
		return
	}
	o := s.occurrence
	if s.ready {
		c.markReadySteps(o.steps, now)
	}
	if o.stepsLeft--; o.done() {
		s.job.setFinished(o)
	}
}

// finishIfDone marks a job as completed once all its occurrences are done. It
// reports whether it did.
func (c *Core) finishIfDone(j *jobState, now Time) bool {
	if j.final() || j.left > 0 {
		return false
	}
	j.phase, j.finishedAt = job.Completed, now
	c.reckon(j, false)
	return true
}

// Cancel ends a job because its requester asked for it.
func (c *Core) Cancel(id string, now Time) {
	j := c.jobs[id]
	if j == nil || j.final() {
		return
	}
	c.finish(j, job.Cancelled, "", "", now)
}

// finish puts a job into a final phase and marks its copies to be stopped. reason and
// detail are for the log.
func (c *Core) finish(j *jobState, phase job.Phase, reason, detail string, now Time) {
	j.phase, j.finishedAt = phase, now
	c.markDirty(j)
	c.stopCopies(j)
	j.releaseItems()
	c.reckon(j, false)
	c.trace(Event{Name: "job_" + string(phase), Job: j.ID, Reason: reason, Detail: detail, Took: now - j.acceptedAt})
}

func (c *Core) stopCopies(j *jobState) {
	for _, o := range j.open {
		for _, s := range o.steps {
			for _, i := range s.tracked {
				for _, cp := range i.copies {
					cp.stopWanted = true
				}
			}
		}
	}
}

// releaseItems drops the items of a job that has ended and of which nothing runs.
func (j *jobState) releaseItems() {
	for _, o := range slices.Clone(j.open) {
		for _, s := range o.steps {
			for _, i := range slices.Clone(s.tracked) {
				s.release(i)
			}
		}
		j.release(o)
	}
}

// RemoveFinished drops up to limit jobs that ended longer than keep ago, whose
// final records are committed and of which nothing runs any more. It returns
// their IDs.
func (c *Core) RemoveFinished(keep time.Duration, limit int, now Time) []string {
	var ids []string
	removed := map[string]bool{}
	for id, j := range c.jobs {
		if len(ids) == limit {
			break
		}
		if j.final() && !j.dirty && j.committed == j.version && now-j.finishedAt > keep && !j.hasCopies() {
			ids = append(ids, id)
			removed[id] = true
			delete(c.jobs, id)
			c.reckon(j, true)
		}
	}
	c.dropLostRuns(removed)
	return ids
}

func (j *jobState) hasCopies() bool { return slices.ContainsFunc(j.open, (*occurrence).hasCopies) }

// TakeWrites returns up to limit changed records, to be written to the store.
func (c *Core) TakeWrites(limit int) []ProgressWrite {
	n := min(limit, len(c.dirty))
	writes := make([]ProgressWrite, 0, n)
	for _, j := range c.dirty[:n] {
		j.dirty = false
		writes = append(writes, ProgressWrite{JobID: j.ID, Progress: j.progress(), version: j.version})
	}
	c.dirty = append([]*jobState(nil), c.dirty[n:]...)
	return writes
}

// MarkCommitted marks the writes as committed to the store. The ends whose
// consequences they hold may then be acknowledged to the workers. It has to be called
// after each write of the owner, even if it holds no progress.
func (c *Core) MarkCommitted(writes []ProgressWrite) {
	for _, w := range writes {
		if j := c.jobs[w.JobID]; j != nil {
			j.committed = max(j.committed, w.version)
			if j.historyVersion > 0 && j.historyVersion <= j.committed {
				// Starts that were withheld wait for this.
				j.historyVersion = 0
				c.addPendingSteps(j)
			}
		}
	}
	for _, w := range c.sortedWorkers {
		if w.fenceSuperseded && len(w.pendingEnds) == 0 {
			continue
		}
		w.fenceSuperseded = true
		w.advanceCommittedEnd()
		c.checkHoldersOf(w)
	}
}

// advanceCommittedEnd moves committedEnd up to the last end before the first
// one whose consequences are not committed.
func (w *worker) advanceCommittedEnd() {
	n := 0
	for n < len(w.pendingEnds) {
		e := w.pendingEnds[n]
		if e.job != nil && e.job.committed < e.version {
			break
		}
		w.committedEnd = e.number
		n++
	}
	w.pendingEnds = w.pendingEnds[n:]
}

// progress returns the durable record of a job.
func (j *jobState) progress() job.Progress {
	p := job.Progress{Phase: j.phase, Organisation: j.Organisation}
	switch {
	case j.final():
	case j.begun:
		p.Phase = job.Running
	default:
		p.Phase = job.Queued
	}
	if p.Phase.Final() {
		return p
	}
	j.recordItems(&p)
	return p
}

// Waiting returns, for each queue, the number of jobs none of whose items has
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
