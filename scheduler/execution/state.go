package execution

import (
	"maps"
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// copyPhase is what the owner knows of a copy.
type copyPhase int

const (
	// starting: the start was ordered and the answer is still expected.
	starting copyPhase = iota
	// running: the worker has confirmed the start or listed the run.
	running
	// unresolved: it is not known whether the worker has the run or will get
	// it, because the start got no answer or the worker has restarted.
	unresolved
)

// itemCopy is what the owner knows of one run of an item on a worker.
type itemCopy struct {
	item   *item
	run    int64
	worker *worker
	phase  copyPhase
	// startedAt is when the start was ordered, and sentAt when the order was sent, or zero.
	// phaseSince is when the phase was last set to running or unresolved; it is zero before.
	startedAt, sentAt, phaseSince Time
	// stopWanted is set once the run has to end. stopOrderedAt is when the run
	// was last ordered to stop; stopAnsweredAt is when the worker last answered
	// such an order, or zero. The run may go on for a while after the answer.
	stopWanted bool
	// inDoubt is set if the run has to end because its start got no answer and may
	// yet be carried out.
	inDoubt        bool
	stopOrderedAt  Time
	stopInFlight   bool
	stopAnsweredAt Time
	// adopted is set for runs that a former owner started.
	adopted bool
	// listed is set once a report showed the run in the current lifetime of
	// the worker. Until then, absentAt is when the worker was last asked and had not
	// carried out a start that got no answer, or zero.
	listed   bool
	absentAt Time
	// suspect and isolated are set if the item was a suspect, or had to run isolated,
	// when the run started.
	suspect, isolated bool
	// percent is the progress, which last changed at progressedAt.
	percent      int
	progressedAt Time
	// stalledAt is the progressedAt of the last stall that was recorded.
	stalledAt Time
	// tailMillis is the tail latency of a long-running item in milliseconds.
	// overSince has two meanings: for a long-running item it is when the item
	// went over its target, or zero while it is within the target; for a filler
	// it is when the pace last changed, or zero if it never did.
	tailMillis int64
	overSince  Time
	// pace is the percentage of its full speed at which a filler runs.
	pace int
	// resumed is set if the run started from a checkpoint, expected is how long it was
	// expected to take when it started, or zero.
	resumed  bool
	expected time.Duration
	// outlasts is set while the run outlasts what such runs take, so that its speculative
	// item gets a second copy. isSecond is set for a copy that was added beside another.
	outlasts, isSecond bool
}

type item struct {
	step  *step
	index int
	done  bool
	// failedRuns are the failed runs of an item that is not long-running.
	failedRuns []int64
	// saved is the last checkpoint, lastRun the highest run number that was
	// used.
	saved   string
	lastRun int64
	copies  []*itemCopy
	// crashes are the crashes of workers that a run of the item may have caused.
	// lostRuns may become crashes: the workers fell silent, and it is not known yet
	// whether they crashed.
	crashes  []job.Crash
	lostRuns []job.LostRun
	// historyVersion is the version of the job's record with the last one of lostRuns and
	// failedRuns. withheld is set if a start was not sent because the store did not have it.
	historyVersion uint64
	withheld       bool
	// attemptsUnknown is set if the item has failed and it is not known how often it may:
	// it is not started again.
	attemptsUnknown bool
	// notBefore is the earliest time of the next start after a failure.
	notBefore Time
	// waitingSince is since when a long-running item has been found startable, or zero.
	waitingSince Time
	// troubles counts the failures and stalls of the item, and for a long-running
	// item those since it last served its users.
	troubles int
	// avoid is the place of the worker on which the item last failed or stalled,
	// or which crashed under it.
	avoid string
	// formerHolders is the number of workers with a lease of a former owner that may run
	// the item and were not contacted.
	formerHolders int
}

func (i *item) id() job.ItemID {
	return job.ItemID{Job: i.step.job.ID, Occurrence: i.step.occurrence.number, Step: i.step.index, Index: i.index}
}

// startable reports whether the item is not done and either has no copy or is
// speculative and its only copy is on a worker that does not answer, or outlasts what
// such runs take. A suspect
// gets no second copy, because that would crash another worker. An item whose start was
// withheld waits until the store has its lost and failed runs, and one that a former holder
// may run until that worker was contacted or its lease has lapsed.
func (i *item) startable() bool {
	if i.attemptsUnknown || i.heldByTakeover() || i.withheld && !i.historyCommitted() {
		return false
	}
	if i.done || len(i.copies) == 0 {
		return !i.done
	}
	return i.step.spec.Speculative && !i.suspect() && len(i.copies) == 1 && (i.copies[0].worker.silent || i.copies[0].outlasts)
}

// heldByTakeover reports whether an item waits for the takeover, though others of its job may
// start: a former holder may run it, or may have crashed under it, so that it may be the
// cause.
func (i *item) heldByTakeover() bool {
	return i.formerHolders > 0 || i.step.job.unsettled && (i.suspect() || len(i.lostRuns) > 0)
}

// recordNumber returns the number under which the job's durable record holds the
// item with the given index. It is unique in the job.
func (s *step) recordNumber(index int) int {
	return s.occurrence.number*s.job.itemsPerOccurrence + s.offset + index
}

// id returns the run that the copy stands for.
func (cp *itemCopy) id() Run { return Run{cp.item.id(), cp.run} }

type step struct {
	job        *jobState
	spec       *job.Step
	occurrence *occurrence
	index      int
	// offset is the number of items in the earlier steps of the occurrence.
	offset int
	itemSet
	itemsLeft int
	ready     bool
	// readyAt is when the steps that it depends on were done.
	readyAt Time
	// copies is the number of copies on each worker.
	copies map[*worker]int
	// failed is set once an item has failed or stalled, worked once one was done or served
	// its users.
	failed *failedStep
	worked bool
	// toIsolate is the number of items that have to run isolated.
	toIsolate int
	// pending is set while the step is in Core.pendingSteps.
	pending bool
	// waitTracedAt is when the log last said what a long-running item of the step waits for.
	waitTracedAt Time
	// capWaitRound is the number of the last round in which the step waited for the cap of
	// its organisation.
	capWaitRound uint64
	// firstStart is when the first item was started; meanRunTime is the mean of
	// the observedRuns items that are done.
	firstStart   Time
	meanRunTime  time.Duration
	observedRuns int
	// finished are the last items that are done, until the step is done.
	finished []finishedRun
}

func (s *step) id() job.ItemID {
	return job.ItemID{Job: s.job.ID, Occurrence: s.occurrence.number, Step: s.index}
}

func (s *step) done() bool { return s.itemsLeft == 0 }

type jobState struct {
	*job.Job
	itemsPerOccurrence int
	occurrenceSet
	// heldBytes is the job's part of Core.held.
	heldBytes int64
	phase     job.Phase
	// begun is set once a worker has confirmed a run of the job, and for a job
	// whose durable record has a phase other than queued.
	begun      bool
	acceptedAt Time
	finishedAt Time
	// inherited is set for jobs that a former owner may have started.
	inherited bool
	// unsettled is set for inherited jobs until the takeover is settled.
	unsettled bool
	// organisation is that of the job, or nil.
	organisation *organisation
	// beyondRate is set if the organisation had sent as many jobs before as its weight allows.
	beyondRate bool
	// version counts the changes of the durable record, committed is the last
	// version that the store has.
	version, committed uint64
	dirty              bool
	// historyVersion is the highest of its items, or zero once the store has it.
	historyVersion uint64
}

func (j *jobState) final() bool { return j.phase.Final() }

type worker struct {
	Worker
	// present is set while the registry has an entry for the worker.
	present bool
	// busy is set while the worker is in Core.busyWorkers.
	busy bool
	// contacted is set once the worker has answered a hold that was meant for its
	// current lifetime, and so has seen the fencing token of that lifetime.
	contacted bool
	// restarted is set if the worker has had an earlier lifetime under this owner.
	restarted bool
	// fence is the fencing token of the calls to the present lifetime. fenceSuperseded is
	// set once the owner has written since, so that a later lifetime gets a higher one.
	fence           int64
	fenceSuperseded bool
	// used is the capacity that is reserved for copies and orphans. fillerCPU is
	// the CPU that fillers request, in thousandths of a core; used leaves it
	// out.
	used      job.Resources
	fillerCPU int64
	copies    map[Run]*itemCopy
	// largestMilliCPU is the largest CPU capacity in the worker's lifetime, in
	// thousandths of a core.
	largestMilliCPU int64
	// suspectRuns and isolatedRuns count the copies with suspect and isolated set.
	suspectRuns, isolatedRuns int
	// orderedCopies holds the copies in the order in which they were added.
	orderedCopies []*itemCopy
	// orphans are runs on the worker that are not wanted and belong to no copy.
	// They are ordered to stop, and count against the capacity until they have
	// ended.
	orphans map[Run]*orphan
	// clock is the worker's clock as read at clockAt.
	clock   time.Duration
	clockAt Time
	// idleCallAge is the age of the last report at which the worker is called if it is idle.
	idleCallAge time.Duration
	// reportedAt is the earliest time at which the worker can have made the last report.
	// It is clockAt, unless the owner was paused before it processed the report.
	reportedAt Time
	// lapseAt is when all leases that the worker may hold in its present lifetime, of this
	// owner or a former one, have certainly lapsed. laterLapseAt is the same for a later
	// lifetime that the owner does not know of: see unlisted.
	lapseAt, laterLapseAt Time
	// extendsLease is set while a hold that extends the lease has no result.
	extendsLease bool
	// processedEnd is the number of the last end that was processed,
	// committedEnd of the last one whose consequences are committed to the
	// store, and acknowledgedEnd of the last one that the worker was told to
	// forget.
	processedEnd, committedEnd, acknowledgedEnd int64
	pendingEnds                                 []pendingEnd
	// endsCutOff is set if the last report may not have listed all ends.
	endsCutOff bool
	// blames holds the failures since a run worked, the last of them at failedAt. Because of
	// them the worker gets no work until avoidUntil, but for long-running items and a trial
	// if there is no other worker. It gets none at all until pausedUntil because of a start
	// that was not carried out.
	blames                            []blame
	failedAt, avoidUntil, pausedUntil Time
	// silent is set when a hold gets no answer, until the next report.
	// silentSinceLapse is set once the leases of a silent worker have lapsed.
	// interrupted is set when the owner is paused during a hold, until the next report.
	silent, silentSinceLapse, interrupted bool
	// silentAt is when a silent worker was found not to answer, or zero once it is known that
	// its process has ended.
	silentAt Time
	// endedAt is when it was found that the worker's process had ended, without that it
	// had been silent before, or zero. endedWithOthers is set if many ended together.
	// endedByNewRun is set if a run on it was new then, which may be the cause, and endedClosed
	// if it was closed then.
	endedAt                                     Time
	endedWithOthers, endedByNewRun, endedClosed bool
	// speed tells how long runs take there compared with others.
	speed workerSpeed
	// closed is set before maintenance or a move of the VM: no new work is
	// placed on the worker.
	closed bool
	// stopExpected is set while planned maintenance will stop the worker soon.
	stopExpected bool
	// holder is set if the newest record of those workers that may hold leases
	// names the worker, whether the store has that record or not. holderRecorded
	// is set once the store has it.
	holder, holderRecorded bool
	// runsListed is set if that record lists the runs of the worker, runsRecorded if the
	// one that the store has does.
	runsListed, runsRecorded bool
}

// orphan is an unwanted run and the capacity that it uses on its worker.
type orphan struct {
	charge    job.Resources
	fillerCPU int64
	// organisation and needs are those of the run if its job is known.
	organisation  *organisation
	needs         job.Resources
	stopOrderedAt Time
	stopInFlight  bool
}

// pendingEnd is a processed end that can be acknowledged once the store has the
// given version of the job's record.
type pendingEnd struct {
	number  int64
	job     *jobState
	version uint64
}

func (w *worker) free() job.Resources { return w.Capacity.Add(w.used, -1) }

// reserve reserves capacity for n items of a step, or releases that of one item
// if n is -1.
func (w *worker) reserve(s *job.Step, n int64) {
	w.used = w.used.Add(s.Charge(), n)
	if s.Filler {
		w.fillerCPU += n * s.Needs.MilliCPU
	}
}

func (c *Core) addWorker(id string) *worker {
	// A worker that formerHolders does not name holds no lease of a former owner,
	// because the store names every worker before it gets work. Its lapseAt is 0.
	w := &worker{copies: map[Run]*itemCopy{}, orphans: map[Run]*orphan{}, lapseAt: c.formerHolders[id], fence: c.fence, idleCallAge: idleCallAge(id)}
	c.workers[id] = w
	w.ID = id
	c.sortedWorkers = insertWorker(c.sortedWorkers, w)
	c.checkHolders, c.holdScan.wanted = true, true
	return w
}

// checkHoldersOf makes HoldersToRecord look again, after a change of a worker
// that may have made it a possible lease holder or no longer one.
func (c *Core) checkHoldersOf(w *worker) {
	if w.holder != c.mayHoldLease(w) {
		c.checkHolders = true
	}
}

// droppedLifetime is a lifetime of a worker that was dropped at a time.
type droppedLifetime struct {
	startMillis int64
	at          Time
}

func (c *Core) removeWorker(w *worker, now Time) {
	// Orphans count against the caps of their organisations.
	for _, r := range orphansOf(w) {
		c.dropOrphan(w, r)
	}
	delete(c.workers, w.ID)
	maps.DeleteFunc(c.droppedLifetimes, func(_ string, d droppedLifetime) bool { return now-d.at > maxStopDelay })
	c.droppedLifetimes[w.ID] = droppedLifetime{w.StartMillis, now}
	c.sortedWorkers = deleteWorker(c.sortedWorkers, w)
	if w.busy {
		c.busyWorkers = deleteWorker(c.busyWorkers, w)
	}
	if c.workerOnVM[w.VM] == w {
		delete(c.workerOnVM, w.VM)
	}
	c.checkHolders = true
}

func (c *Core) addCopy(i *item, w *worker, run int64, phase copyPhase, now Time) *itemCopy {
	cp := &itemCopy{item: i, run: run, worker: w, phase: phase, startedAt: now, progressedAt: now, pace: 100, suspect: i.suspect(), isolated: i.needsIsolation()}
	cp.resumed, cp.isSecond = i.saved != "", len(i.copies) > 0
	i.copies, i.waitingSince = append(i.copies, cp), 0
	i.lastRun = max(i.lastRun, run)
	i.step.copies[w]++
	w.copies[Run{i.id(), run}] = cp
	w.orderedCopies = append(w.orderedCopies, cp)
	c.updateBusy(w)
	cp.countSuspect(1)
	w.reserve(i.step.spec, 1)
	i.step.job.organisation.charge(i.step.spec.Needs, 1)
	if i.step.firstStart == 0 {
		i.step.firstStart = now
	}
	return cp
}

// confirm records that a worker has a run. Only then does its job count as
// begun, because an order may never reach the worker.
func (c *Core) confirm(cp *itemCopy, now Time) {
	cp.phase, cp.phaseSince, cp.progressedAt = running, now, now
	c.begin(cp.item.step.job)
}

func (c *Core) begin(j *jobState) {
	if !j.begun {
		j.begun = true
		c.markDirty(j)
	}
}

// dropCopy removes a copy that certainly does not run any more.
func (c *Core) dropCopy(cp *itemCopy) {
	i := cp.item
	i.copies = slices.DeleteFunc(i.copies, func(o *itemCopy) bool { return o == cp })
	if i.step.copies[cp.worker]--; i.step.copies[cp.worker] <= 0 {
		delete(i.step.copies, cp.worker)
	}
	delete(cp.worker.copies, Run{i.id(), cp.run})
	cp.worker.orderedCopies = slices.DeleteFunc(cp.worker.orderedCopies, func(o *itemCopy) bool { return o == cp })
	c.updateBusy(cp.worker)
	cp.countSuspect(-1)
	cp.worker.reserve(i.step.spec, -1)
	i.step.job.organisation.charge(i.step.spec.Needs, -1)
	i.step.release(i)
	i.step.job.release(i.step.occurrence)
	c.checkHoldersOf(cp.worker)
	c.addPending(i.step)
}

// addPending adds a step to those that may have work to place.
func (c *Core) addPending(s *step) {
	if s.pending || !s.ready || s.job.final() || s.done() {
		return
	}
	s.pending = true
	c.pendingSteps = append(c.pendingSteps, s)
}

func (c *Core) markDirty(j *jobState) {
	j.version++
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}
