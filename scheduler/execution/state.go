package execution

import (
	"slices"
	"strings"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// copyPhase is what the owner knows of a copy.
type copyPhase int

const (
	// starting: the order is under way.
	starting copyPhase = iota
	// running: the worker has confirmed the start or listed the run.
	running
	// unresolved: the start got no answer.
	unresolved
)

// itemCopy is one run of an item on a worker.
type itemCopy struct {
	item   *item
	run    int64
	worker *worker
	phase  copyPhase
	// startedAt is when the order was given, confirmedAt when the start was
	// known to have been carried out.
	startedAt, confirmedAt Time
	// stopWanted is set once the run has to end. stopAskedAt is when the last
	// order to stop was given; stopConfirmedAt is zero until it was answered.
	stopWanted      bool
	stopAskedAt     Time
	stopInFlight    bool
	stopConfirmedAt Time
	// adopted is set for runs that a former owner started.
	adopted bool
	// listed is set once a report showed the run in the present lifetime of the
	// worker.
	listed bool
	// percent is the progress, which last changed at progressedAt.
	percent      int
	progressedAt Time
	// load is the tail of the response times in milliseconds of a long-running
	// item. overSince is since when that is over its target; of a filler it is
	// when its pace last changed.
	load      int64
	overSince Time
	// pace is the share of its speed in percent that a filler works at.
	pace int
}

type item struct {
	step  *step
	index int
	done  bool
	// failedRuns are the runs that failed, of an item that does not last.
	failedRuns []int64
	// saved is the last checkpoint, lastRun the highest run that was started.
	saved   string
	lastRun int64
	copies  []*itemCopy
	// notBefore delays the next start after a failure.
	notBefore Time
	// avoid is the worker on which the item failed or stood still last.
	avoid string
}

func (i *item) id() job.ItemID {
	return job.ItemID{Job: i.step.job.ID, Occurrence: i.step.occurrence, Step: i.step.number, Index: i.index}
}

// waiting reports whether the item can be started: nothing of it runs, or it
// may run in copies and its only one is on a worker that does not answer.
func (i *item) waiting() bool {
	if i.done || len(i.copies) == 0 {
		return !i.done
	}
	return i.step.spec.Speculative && len(i.copies) == 1 && i.copies[0].worker.silent
}

// number is the item's place in the durable record.
func (i *item) number() int {
	return i.step.occurrence*i.step.job.perRun + i.step.offset + i.index
}

// id names the run of a copy.
func (cp *itemCopy) id() Run { return Run{cp.item.id(), cp.run} }

type step struct {
	job        *jobState
	spec       *job.Step
	occurrence int
	number     int
	// offset is the number of items in earlier steps.
	offset int
	items  []item
	left   int
	ready  bool
	// readyAt is when the steps before it were done.
	readyAt Time
	copies  map[*worker]int
	listed  bool
	// firstStart is when the first item was started; observed is the mean run
	// time of the ran items that are done.
	firstStart Time
	observed   time.Duration
	ran        int
}

func (s *step) id() job.ItemID {
	return job.ItemID{Job: s.job.ID, Occurrence: s.occurrence, Step: s.number}
}

func (s *step) done() bool { return s.left == 0 }

type jobState struct {
	*job.Job
	perRun      int
	occurrences [][]*step
	runsLeft    int
	phase       job.Phase
	begun       bool
	acceptedAt  Time
	finishedAt  Time
	// inherited is set for jobs that a former owner may have started.
	inherited bool
	// dueAt is when each occurrence became due; 0 stands for jobs without due
	// times.
	dueAt []Time
	// version counts the changes of the durable record, committed is the last
	// one that the store has.
	version, committed uint64
	dirty              bool
}

func (j *jobState) final() bool { return j.phase.Final() }

type worker struct {
	Worker
	// present is set while the registry has an entry of the worker.
	present bool
	// contacted is set once the worker has seen this owner's fence number.
	contacted bool
	used      job.Resources
	fillerCPU int64
	copies    map[Run]*itemCopy
	// inOrder holds the copies in the order in which they were added.
	inOrder []*itemCopy
	// orphans are runs on the worker that no item has: their ends are awaited.
	orphans map[Run]*orphan
	// clock is the worker's clock as read at clockAt.
	clock   time.Duration
	clockAt Time
	// lapseAt is when the longest lease that this owner granted has certainly
	// lapsed.
	lapseAt Time
	// notedEnd is the last end that was processed, ackedEnd the last one whose
	// consequences are committed, toldEnd the last one that the worker was told
	// to forget.
	notedEnd, ackedEnd, toldEnd int64
	pendingEnds                 []pendingEnd
	failures                    int
	avoidUntil                  Time
	// silent is set from a call without an answer to the next report.
	silent bool
	// closed keeps new work away, before an upkeep or a move.
	closed bool
	// stopExpected is set while planned work is going to stop the worker.
	stopExpected bool
	// grantRecorded is set once the store names the worker among those that
	// may hold leases.
	grantRecorded bool
}

type orphan struct {
	charge      job.Resources
	filler      int64
	stopAskedAt Time
	inFlight    bool
}

type pendingEnd struct {
	number  int64
	job     *jobState
	version uint64
}

func (w *worker) free() job.Resources { return w.Capacity.Add(w.used, -1) }

func (w *worker) charge(s *job.Step, n int64) {
	w.used = w.used.Add(s.Charge(), n)
	if s.Filler {
		w.fillerCPU += n * s.Needs.MilliCPU
	}
}

// clockNow returns a lower bound of the worker's clock, which may run
// workerClockError slow.
func (w *worker) clockNow(now Time) time.Duration {
	return w.clock + time.Duration(float64(now-w.clockAt)*(1-workerClockError))
}

// grant notes that the worker may hold a lease until deadline on its clock.
func (w *worker) grant(deadline time.Duration) {
	left := time.Duration(float64(deadline-w.clock) / (1 - workerClockError))
	w.lapseAt = max(w.lapseAt, w.clockAt+left+lapseMargin)
}

// lapsed reports whether nothing that this owner started on the worker can
// still run there.
func (w *worker) lapsed(now Time) bool { return now > w.lapseAt }

const (
	// workerClockError is how slow a worker's clock may run.
	workerClockError = 0.02
	// lapseMargin covers the time that a worker takes to end runs whose lease
	// has lapsed.
	lapseMargin = 200 * time.Millisecond
)

func (c *Core) addWorker(id string) *worker {
	// Only workers on record can hold a lease of a former owner.
	w := &worker{copies: map[Run]*itemCopy{}, orphans: map[Run]*orphan{}, lapseAt: c.formerHolders[id]}
	c.workers[id] = w
	at, _ := slices.BinarySearchFunc(c.sorted, id, func(w *worker, id string) int { return strings.Compare(w.ID, id) })
	w.ID = id
	c.sorted = slices.Insert(c.sorted, at, w)
	c.holdersMoved = true
	return w
}

func (c *Core) removeWorker(w *worker) {
	delete(c.workers, w.ID)
	c.sorted = slices.DeleteFunc(c.sorted, func(o *worker) bool { return o == w })
	c.holdersMoved = true
}

func (c *Core) addCopy(i *item, w *worker, run int64, phase copyPhase, now Time) *itemCopy {
	cp := &itemCopy{item: i, run: run, worker: w, phase: phase, startedAt: now, progressedAt: now, pace: 100}
	i.copies = append(i.copies, cp)
	i.lastRun = max(i.lastRun, run)
	i.step.copies[w]++
	w.copies[Run{i.id(), run}] = cp
	w.inOrder = append(w.inOrder, cp)
	w.charge(i.step.spec, 1)
	if i.step.firstStart == 0 {
		i.step.firstStart = now
	}
	return cp
}

// confirm notes that a worker has a run. Only then does its job count as begun:
// an order alone may never reach the worker.
func (c *Core) confirm(cp *itemCopy, now Time) {
	cp.phase, cp.confirmedAt, cp.progressedAt = running, now, now
	c.begin(cp.item.step.job)
}

func (c *Core) begin(j *jobState) {
	if !j.begun {
		j.begun = true
		c.markDirty(j)
	}
}

// dropCopy forgets a copy that certainly does not run any more.
func (c *Core) dropCopy(cp *itemCopy) {
	i := cp.item
	i.copies = slices.DeleteFunc(i.copies, func(o *itemCopy) bool { return o == cp })
	if i.step.copies[cp.worker]--; i.step.copies[cp.worker] <= 0 {
		delete(i.step.copies, cp.worker)
	}
	delete(cp.worker.copies, Run{i.id(), cp.run})
	cp.worker.inOrder = slices.DeleteFunc(cp.worker.inOrder, func(o *itemCopy) bool { return o == cp })
	cp.worker.charge(i.step.spec, -1)
	c.list(i.step)
}

// list puts a step among those that may have work to place.
func (c *Core) list(s *step) {
	if s.listed || !s.ready || s.job.final() || s.done() {
		return
	}
	s.listed = true
	c.listed = append(c.listed, s)
}

func (c *Core) markDirty(j *jobState) {
	j.version++
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}
