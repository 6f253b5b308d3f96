package execution

import (
	"cmp"
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// maxWaitingSteps bounds the steps of those open occurrences of a job that have work to
// place: while there are that many, no further occurrence is opened. At some 400 bytes a step
// they take 200 kB.
const maxWaitingSteps = 512

// occurrence is the state of one run through a job's steps.
type occurrence struct {
	number int
	steps  []*step
	// stepsLeft is the number of steps that are not done.
	stepsLeft int
	// due is set once the due time has passed. dueAt is that time, or zero for jobs without
	// due times.
	due   bool
	dueAt Time
}

func newOccurrence(j *jobState, number int) *occurrence {
	o := &occurrence{number: number, steps: make([]*step, len(j.Steps)), stepsLeft: len(j.Steps)}
	offset := 0
	for n := range j.Steps {
		o.steps[n] = newStep(o, j, n, offset)
		offset += j.Steps[n].Count
	}
	return o
}

func (o *occurrence) done() bool { return o.stepsLeft == 0 }

func (o *occurrence) hasCopies() bool {
	return slices.ContainsFunc(o.steps, func(s *step) bool { return len(s.copies) > 0 })
}

// hasWork reports whether an item of a ready step waits to be started.
func (o *occurrence) hasWork() bool {
	return slices.ContainsFunc(o.steps, func(s *step) bool { return s.ready && !s.done() && s.hasStartable() })
}

// occurrenceSet holds the occurrences of a job. A job may have thousands, most of which are
// not due, wait behind others, or are done. These take no memory but a bit.
type occurrenceSet struct {
	// open holds the other occurrences in the order of their numbers: those that were found
	// to be due or of which a run is known, until they are done and nothing of them runs.
	open []*occurrence
	// finished are the occurrences of which all items are done, and left is the number of
	// the others. All occurrences below next are open or finished.
	finished   bitSet
	next, left int
}

func (set *occurrenceSet) find(number int) (at int, known bool) {
	return slices.BinarySearchFunc(set.open, number, func(o *occurrence, number int) int { return cmp.Compare(o.number, number) })
}

// occurrence returns the occurrence with the given number. It is open from now on, unless
// it is done or its job has ended.
func (j *jobState) occurrence(number int) *occurrence {
	at, known := j.find(number)
	if known {
		return j.open[at]
	}
	o := newOccurrence(j, number)
	switch {
	case j.finished.has(number):
		for _, s := range o.steps {
			s.setAllDone()
		}
		o.stepsLeft = 0
	case !j.final():
		j.open = slices.Insert(j.open, at, o)
	}
	return o
}

// release drops an occurrence of which nothing has to be known any more.
func (j *jobState) release(o *occurrence) {
	if !o.done() && !j.final() || o.hasCopies() {
		return
	}
	if at, known := j.find(o.number); known && j.open[at] == o {
		j.open = slices.Delete(j.open, at, at+1)
	}
}

// setFinished counts an occurrence as done.
func (j *jobState) setFinished(o *occurrence) {
	j.finished.add(o.number, j.OccurrenceCount())
	j.left--
	j.release(o)
}

// MarkDue makes the occurrences ready whose due time has passed, as far as their jobs do
// not have enough work to place. wall is the time of day.
func (c *Core) MarkDue(wall time.Time, now Time) {
	for j := range c.scheduled {
		if j.final() || c.openDue(j, wall, now) {
			delete(c.scheduled, j)
		}
	}
}

// openDue makes occurrences of a job ready. It reports whether no further one will be.
func (c *Core) openDue(j *jobState, wall time.Time, now Time) bool {
	waiting := 0
	for _, o := range j.open {
		c.markDue(o, j, wall, now)
		if o.hasWork() {
			waiting += len(o.steps)
		}
	}
	for ; j.next < j.OccurrenceCount(); j.next++ {
		if wall.Before(j.Due(j.next)) {
			return false
		}
		if _, known := j.find(j.next); known || j.finished.has(j.next) {
			continue
		}
		if waiting >= c.maxWaitingSteps {
			return false
		}
		o := j.occurrence(j.next)
		c.markDue(o, j, wall, now)
		waiting += len(o.steps)
	}
	return true
}

// markDue makes the steps of an occurrence ready once its due time has passed.
func (c *Core) markDue(o *occurrence, j *jobState, wall time.Time, now Time) {
	due := j.Due(o.number)
	if o.due || wall.Before(due) {
		return
	}
	o.due = true
	if !due.IsZero() {
		o.dueAt = max(now-min(wall.Sub(due), maxJobAge), j.acceptedAt, 1)
	}
	c.markReadySteps(o.steps, now)
}

// recordItems adds what is recorded of the items of a job to its durable record.
func (j *jobState) recordItems(p *job.Progress) {
	for number := range j.finished.all() {
		first := number * j.itemsPerOccurrence
		for n := first; n < first+j.itemsPerOccurrence; n++ {
			p.Done = append(p.Done, n)
		}
	}
	for _, o := range j.open {
		if o.done() {
			continue
		}
		for _, s := range o.steps {
			for index := range s.doneItems.all() {
				p.Done = append(p.Done, s.recordNumber(index))
			}
			for _, i := range s.tracked {
				if !i.done && (len(i.failedRuns) > 0 || len(i.crashes) > 0 || len(i.lostRuns) > 0 || i.saved != "") {
					p.Items = append(p.Items, job.ItemProgress{
						Number: s.recordNumber(i.index), LastRun: i.lastRun, FailedRuns: slices.Clone(i.failedRuns),
						Crashes: slices.Clone(i.crashes), LostRuns: slices.Clone(i.lostRuns), Saved: i.saved,
					})
				}
			}
		}
	}
}
