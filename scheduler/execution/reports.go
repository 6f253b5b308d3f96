package execution

import (
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

const (
	// holdWait is how long a worker may wait for an end before it answers. A
	// worker that went silent is noticed after this and the timeout of a call.
	holdWait = 400 * time.Millisecond
	// endsPerReport is how many ends a worker lists at once.
	endsPerReport = 500
	// contactFresh is how old the last report may be for the owner to extend a
	// lease. A worker that does not answer gets no longer lease, so that its
	// work can be started elsewhere once the lease has lapsed.
	contactFresh = 2 * time.Second
)

// HoldFor returns the next call that extends the leases on a worker. It
// reports false when none is due: the worker runs nothing and has listed no
// end that it could be told to forget.
func (c *Core) HoldFor(id string, now Time) (Hold, bool) {
	w := c.workers[id]
	if w == nil || !w.needsHold() {
		return Hold{}, false
	}
	h := Hold{Worker: w.Worker, LastSeen: w.ackedEnd}
	if w.contacted && len(w.copies) > 0 && now-w.clockAt < contactFresh {
		h.Deadline = w.clockNow(now) + c.options.Hold
		w.grant(h.Deadline)
	}
	if w.contacted && !w.unsettled() {
		h.Wait = holdWait
	}
	return h, true
}

// Unsettled reports whether a worker would answer the next hold at once: ends
// wait to be committed, or runs there are in doubt.
func (c *Core) Unsettled(id string) bool {
	w := c.workers[id]
	return w != nil && w.unsettled()
}

func (w *worker) unsettled() bool {
	return w.ackedEnd != w.notedEnd || len(w.orphans) > 0 || w.hasUnresolved()
}

func (w *worker) hasUnresolved() bool {
	for _, cp := range w.inOrder {
		if cp.phase == unresolved {
			return true
		}
	}
	return false
}

// HoldDone takes in a worker's report on a hold that was sent at the time sent.
func (c *Core) HoldDone(h Hold, r Report, sent, now Time) {
	w := c.workers[h.Worker.ID]
	if w == nil {
		return
	}
	if r.Born != 0 && r.Born < w.Born {
		return
	}
	if r.Born > w.Born {
		c.reborn(w, now)
		w.Born = r.Born
	}
	w.silent = false
	if !w.contacted {
		w.contacted = true
		delete(c.formerHolders, w.ID)
		c.holdersMoved = true
	}
	if r.Clock >= w.clock {
		w.clock, w.clockAt = r.Clock, now
	}
	listed := make(map[Run]bool, len(r.Running))
	for _, row := range r.Running {
		listed[row.Run] = true
		c.noteRunning(w, row, now)
	}
	for _, end := range r.Ended {
		if end.Number > w.notedEnd {
			c.noteEnd(w, end, now)
		}
	}
	w.advanceAcked()
	w.toldEnd = max(w.toldEnd, h.LastSeen)
	c.reconcile(w, listed, len(r.Ended) < endsPerReport, sent, now)
}

// HoldFailed notes that a worker did not answer. It gets no work until it does.
func (c *Core) HoldFailed(id string, now Time) {
	w := c.workers[id]
	if w == nil || w.silent {
		return
	}
	w.silent = true
	if len(w.copies) > 0 {
		c.trace(Event{Name: "worker_silent", Worker: id, Service: w.Service, Took: now - w.clockAt})
	}
	for _, cp := range w.inOrder {
		c.list(cp.item.step)
	}
}

func (c *Core) noteRunning(w *worker, row RunningItem, now Time) {
	if cp := w.copies[row.Run]; cp != nil {
		if cp.phase != running {
			c.confirm(cp, now)
		}
		cp.listed = true
		if row.Percent != cp.percent {
			cp.percent, cp.progressedAt = row.Percent, now
		}
		if row.Saved != "" {
			cp.item.saved = row.Saved
		}
		cp.load = row.Load
		return
	}
	if _, known := w.orphans[row.Run]; known {
		return
	}
	c.adopt(w, row, now)
}

// adopt takes over a run that another owner started, or wants it stopped.
func (c *Core) adopt(w *worker, row RunningItem, now Time) {
	j := c.jobs[row.Item.Job]
	var i *item
	if j != nil {
		i = j.item(row.Item, now)
	}
	if i != nil {
		i.lastRun = max(i.lastRun, row.Run.Run)
	}
	if i != nil && !i.done && !j.final() && len(i.copies) == 0 {
		cp := c.addCopy(i, w, row.Run.Run, running, now)
		w.lapseAt = max(w.lapseAt, now+c.leaseBound())
		cp.adopted, cp.listed = true, true
		c.confirm(cp, now)
		cp.percent, cp.load = row.Percent, row.Load
		if row.Saved != "" {
			i.saved = row.Saved
		}
		c.trace(Event{Name: "run_adopted", Item: row.Item.String(), Run: row.Run.Run, Worker: w.ID})
		return
	}
	o := &orphan{}
	if i != nil {
		o.charge = i.step.spec.Charge()
		if i.step.spec.Filler {
			o.filler = i.step.spec.Needs.MilliCPU
		}
	}
	w.orphans[row.Run] = o
	w.lapseAt = max(w.lapseAt, now+c.leaseBound())
	w.used = w.used.Add(o.charge, 1)
	w.fillerCPU += o.filler
	c.trace(Event{Name: "run_unwanted", Item: row.Item.String(), Run: row.Run.Run, Worker: w.ID})
}

// leaseBound is the longest time that a lease which was granted by now lasts.
func (c *Core) leaseBound() time.Duration {
	return time.Duration(float64(c.options.Hold)/(1-workerClockError)) + lapseMargin
}

func (c *Core) dropOrphan(w *worker, r Run) {
	if o := w.orphans[r]; o != nil {
		w.used = w.used.Add(o.charge, -1)
		w.fillerCPU -= o.filler
		delete(w.orphans, r)
	}
}

// noteEnd takes in one end that a worker lists.
func (c *Core) noteEnd(w *worker, end EndedItem, now Time) {
	w.notedEnd = end.Number
	c.dropOrphan(w, end.Run)
	j := c.jobs[end.Item.Job]
	defer func() {
		pending := pendingEnd{number: end.Number, job: j}
		if j != nil {
			pending.version = j.version
		}
		w.pendingEnds = append(w.pendingEnds, pending)
	}()
	cp := w.copies[end.Run]
	if j == nil {
		return
	}
	i := j.item(end.Item, now)
	if i == nil {
		return
	}
	i.lastRun = max(i.lastRun, end.Run.Run)
	var took time.Duration
	if cp != nil {
		took = now - cp.startedAt
		c.begin(j)
		c.dropCopy(cp)
	}
	c.trace(Event{Name: "run_ended", Item: end.Item.String(), Run: end.Run.Run, Worker: w.ID, Reason: string(end.How), Took: took})
	if j.final() || i.done {
		return
	}
	if end.Saved != "" && i.step.spec.SavesProgress {
		i.saved = end.Saved
		c.markDirty(j)
	}
	switch end.How {
	case EndDone:
		// A run that was given up and started again elsewhere is done there.
		if cp != nil || len(i.copies) == 0 {
			w.failures = 0
			if cp != nil {
				c.learnRun(i.step, took)
			}
			c.endedDone(i, cp, now)
		}
	case EndFailed:
		c.endedFailed(w, i, end.Run.Run, now)
	case EndLapsed, EndAlone, EndBroken, EndStopped:
	}
	if i.step.spec.LongRunning && !i.done {
		i.notBefore = now
	}
	c.list(i.step)
}

func (c *Core) endedDone(i *item, cp *itemCopy, now Time) {
	j := i.step.job
	if i.step.spec.LongRunning {
		return
	}
	if i.step.spec.Gang {
		for n := range i.step.items {
			if other := &i.step.items[n]; !other.done {
				c.itemDone(other, now)
			}
		}
	} else {
		c.itemDone(i, now)
		for _, other := range i.copies {
			other.stopWanted = true
		}
	}
	if j.finishIfDone(now) {
		c.trace(Event{Name: "job_completed", Job: j.ID, Took: now - j.acceptedAt})
	}
	c.markDirty(j)
}

const (
	// failureBackoff delays the next start of an item that failed.
	failureBackoff = 50 * time.Millisecond
	// failuresToAvoid is how many failed ends in a row make a worker suspect.
	failuresToAvoid = 3
	// avoidTime is how long a suspect worker gets no work. It doubles with
	// each further failure, up to avoidTimeMax.
	avoidTime    = time.Second
	avoidTimeMax = 8 * time.Second
)

func (c *Core) endedFailed(w *worker, i *item, run int64, now Time) {
	j := i.step.job
	i.avoid = w.ID
	i.notBefore = now + failureBackoff
	c.suspect(w, now)
	if i.step.spec.LongRunning || slices.Contains(i.failedRuns, run) {
		return
	}
	i.failedRuns = append(i.failedRuns, run)
	c.markDirty(j)
	if attempts := max(c.queueOf(j).Attempts, 1); len(i.failedRuns) >= attempts {
		c.finish(j, job.Failed, "attempts_used_up", now)
	}
}

// suspect notes a failure that may be the worker's own.
func (c *Core) suspect(w *worker, now Time) {
	w.failures++
	if w.failures >= failuresToAvoid {
		d := min(avoidTime<<min(w.failures-failuresToAvoid, 3), avoidTimeMax)
		w.avoidUntil = now + d
		c.trace(Event{Name: "worker_avoided", Worker: w.ID, Service: w.Service, Reason: "failures", Took: d})
	}
}

// reconcile compares the copies on a worker with a report on a hold sent at
// the time sent.
func (c *Core) reconcile(w *worker, listed map[Run]bool, complete bool, sent, now Time) {
	for _, cp := range copiesOf(w) {
		r := Run{cp.item.id(), cp.run}
		if listed[r] || !complete {
			continue
		}
		switch cp.phase {
		case running:
			if cp.confirmedAt < sent {
				c.lose(cp, "not_listed", now)
			}
		case unresolved:
			if cp.stopConfirmedAt > 0 && cp.stopConfirmedAt < sent {
				c.lose(cp, "never_started", now)
			} else if cp.confirmedAt < sent {
				cp.stopWanted = true
			}
		case starting:
		}
	}
	for _, r := range orphansOf(w) {
		if !listed[r] && complete && w.orphans[r].stopAskedAt < sent {
			c.dropOrphan(w, r)
		}
	}
}
