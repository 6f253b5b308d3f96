package execution

import (
	"fmt"
	"time"
)

const (
	// holdWait is how long a worker may wait for a run to end before it answers
	// a hold. A worker that stops answering is detected after this time plus the
	// timeout of a call.
	holdWait = 400 * time.Millisecond
	// AnswerTimeout is how long a call to a worker may take, apart from the time that the
	// worker is asked to wait.
	AnswerTimeout = 300 * time.Millisecond
	// maxEndsPerReport is the number of ends at which a worker may cut off its
	// list; a shorter list is complete.
	maxEndsPerReport = 500
	// maxReportAge is the maximum age of a worker's last report for its lease
	// to be extended and for its items to count as serving. The lease of a
	// worker that does not answer is not extended, so that its work can be
	// started elsewhere once the lease has lapsed.
	maxReportAge = 2 * time.Second
)

// HoldFor returns the next hold for a worker. It reports false when none is due:
// the worker has answered the last one lately, runs nothing and has no ends left to
// acknowledge. The extension of the lease counts as granted from then on, even if the hold is not
// sent.
func (c *Core) HoldFor(id string, now Time) (Hold, bool) {
	w := c.workers[id]
	if w == nil || !w.holdDue(now) {
		return Hold{}, false
	}
	h := Hold{Worker: w.Worker, Fence: w.fence, AcknowledgedEnd: w.endToAcknowledge()}
	if w.mayExtendLease(now) {
		h.Deadline = w.clockNow(now) + c.options.LeaseDuration
		w.grant(h.Deadline)
		c.extendLaterLease(w, now)
		w.extendsLease = true
	}
	if w.contacted && !w.silent && !w.needsImmediateAnswer() {
		h.LongPollTimeout = holdWait
	}
	return h, true
}

// endToAcknowledge returns the number of the last end that the next hold acknowledges,
// or zero. The worker may have started again since its last answer and number its ends
// anew, so that a hold acknowledges only what the worker has not been told to forget,
// and nothing after a hold whose answer was not read. The next lifetime has to have a
// higher fencing token than the hold, which may be carried out late.
func (w *worker) endToAcknowledge() int64 {
	if w.silent || w.interrupted || !w.fenceSuperseded || w.committedEnd == w.acknowledgedEnd {
		return 0
	}
	return w.committedEnd
}

// NeedsImmediateAnswer reports whether a worker is asked to answer the next
// hold at once: ends wait to be committed or for a write after which they may be
// acknowledged, or it has orphans or unresolved copies.
func (c *Core) NeedsImmediateAnswer(id string) bool {
	w := c.workers[id]
	return w != nil && w.needsImmediateAnswer()
}

func (w *worker) needsImmediateAnswer() bool {
	return w.committedEnd != w.processedEnd || !w.fenceSuperseded && w.acknowledgedEnd != w.processedEnd || len(w.orphans) > 0 || w.hasUnresolved()
}

func (w *worker) hasUnresolved() bool {
	for _, cp := range w.orderedCopies {
		if cp.phase == unresolved {
			return true
		}
	}
	return false
}

// HoldDone processes a worker's answer to a hold that was sent at the time sent.
func (c *Core) HoldDone(h Hold, r Report, sent, now Time) {
	w := c.workers[h.Worker.ID]
	if w == nil {
		return
	}
	c.holdEnded(w, now)
	if r.StartMillis != 0 && r.StartMillis < w.StartMillis {
		return
	}
	if r.StartMillis > w.StartMillis {
		c.startLifetime(w, now)
		w.StartMillis = r.StartMillis
	}
	if h.Worker.StartMillis != w.StartMillis {
		// Until the worker has seen the fencing token of its present lifetime, calls for
		// the former one can still change its lists.
		return
	}
	w.silent, w.silentSinceLapse, w.interrupted = false, false, false
	if w.runsListed || w.runsRecorded {
		w.holderRecorded, c.checkHolders = false, true
	}
	c.lapseScan.wanted = c.lapseScan.wanted || !w.present
	w.endedAt, w.endedWithOthers = 0, false
	c.settleLostRuns(w.Worker, true, now)
	w.endsCutOff = len(r.Ended) >= maxEndsPerReport
	if !w.contacted {
		w.contacted = true
		if w.restarted {
			w.lapseAt = max(w.lapseAt, now+c.longestLeaseTime())
			// The record of lease holders that is being written may name a shorter time.
			w.holder, w.holderRecorded = false, false
		}
		c.checkHolders = true
	}
	if _, former := c.formerHolders[w.ID]; former && !w.endsCutOff {
		delete(c.formerHolders, w.ID)
		c.releaseFormerHolder(w.ID)
		c.checkHolders = true
	}
	if r.Clock < w.clock {
		// The clock was read too high before. The worker may hold the longest lease, and the
		// record of lease holders may name a shorter one.
		w.lapseAt = max(w.lapseAt, now+c.longestLeaseTime())
		w.holder, w.holderRecorded, c.checkHolders = false, false, true
		w.clock, w.clockAt, w.reportedAt = r.Clock, now, sent
	} else {
		// A worker that has an end to list does not wait. Its clock tells how long after the
		// last report, which was read at clockAt, it can have made this one.
		made := w.clockAt + time.Duration(float64(r.Clock-w.clock)/(1-workerClockError))
		waited := max(min(made-sent, h.LongPollTimeout), 0)
		w.clock, w.clockAt, w.reportedAt = r.Clock, now, now
		if now-sent > waited+AnswerTimeout {
			w.reportedAt = sent
		}
	}
	listed := make(map[Run]bool, len(r.Running))
	for _, row := range r.Running {
		listed[row.Run] = true
		c.processRunning(w, row, now)
	}
	for _, end := range r.Ended {
		if end.Number > w.processedEnd {
			c.processEnd(w, end, now)
		}
	}
	w.advanceCommittedEnd()
	w.acknowledgedEnd = max(w.acknowledgedEnd, h.AcknowledgedEnd)
	c.reconcile(w, listed, !w.endsCutOff, sent, now)
	c.checkHoldersOf(w)
}

// Reasons for which a call to a worker fails that tell that its process has ended.
const (
	ConnectionRefused = "connection_refused"
	ConnectionClosed  = "connection_closed"
)

// HoldFailed records that a worker did not answer a hold, and why the call
// failed. The worker gets no work until it answers one.
func (c *Core) HoldFailed(id, reason string, now Time) {
	w := c.workers[id]
	if w == nil {
		return
	}
	c.holdEnded(w, now)
	ended := reason == ConnectionRefused || reason == ConnectionClosed
	if w.silent {
		if ended {
			c.endedWhileSilent(w, now)
		}
		return
	}
	w.silent, w.silentAt = true, now
	c.lapseScan.wanted, c.holdScan.wanted = true, true
	if ended {
		c.processEnded(w, now)
	}
	c.suspectRuns(w, now)
	if len(w.copies) > 0 {
		detail := ""
		if w.endedAt > 0 {
			detail = fmt.Sprintf("ended_together=%d without_new_run=%d", len(c.endedWorkers), c.endedWithoutNewRun())
		}
		c.trace(Event{Name: "worker_silent", Worker: id, VM: w.VM, Service: w.Service, Reason: reason, Detail: detail, Took: now - w.clockAt})
	}
	for _, cp := range w.orderedCopies {
		c.addPending(cp.item.step)
	}
}

// NeverAnswered reports whether a worker has never answered this owner and can hold no
// lease, so that nothing waits for its answer.
func (c *Core) NeverAnswered(id string, now Time) bool {
	w := c.workers[id]
	return w != nil && !w.contacted && w.lapsed(now)
}

// HoldInterrupted records that the owner was paused during a hold, so that it is not known
// whether the worker has answered it.
func (c *Core) HoldInterrupted(id string, now Time) {
	if w := c.workers[id]; w != nil {
		c.holdEnded(w, now)
		w.interrupted = true
	}
}

func (c *Core) processRunning(w *worker, row RunningItem, now Time) {
	if cp := w.copies[row.Run]; cp != nil {
		if cp.phase != running {
			c.confirm(cp, now)
		}
		cp.listed, cp.absentAt = true, 0
		c.clearRun(cp.item, cp.run)
		if row.Percent != cp.percent {
			cp.percent, cp.progressedAt = row.Percent, now
		}
		if row.Saved != "" {
			cp.item.saved = row.Saved
		}
		cp.tailMillis = row.Load
		if cp.served() {
			cp.item.troubles = 0
			c.clearSuspicion(cp)
			c.stepWorked(cp.item.step, now)
			c.runWorked(cp, "item_serves", now)
		}
		return
	}
	if _, known := w.orphans[row.Run]; known {
		return
	}
	c.adopt(w, row, now)
}

// adopt adds a copy for a run that a former owner started if its item needs
// one, and otherwise makes the run an orphan, which is stopped. The run may have been
// started by a call for a former lifetime of the worker.
func (c *Core) adopt(w *worker, row RunningItem, now Time) {
	j := c.jobs[row.Item.Job]
	var i *item
	if j != nil {
		i = j.item(row.Item)
	}
	if i != nil {
		i.lastRun = max(i.lastRun, row.Run.Number)
	}
	if i != nil && !i.done && !j.final() && len(i.copies) == 0 {
		cp := c.addCopy(i, w, row.Run.Number, running, now)
		w.lapseAt = max(w.lapseAt, now+c.longestLeaseTime())
		cp.adopted, cp.listed = true, true
		c.confirm(cp, now)
		cp.percent, cp.tailMillis = row.Percent, row.Load
		if row.Saved != "" {
			i.saved = row.Saved
		}
		c.trace(Event{Name: "run_adopted", Item: row.Item.String(), Run: row.Run.Number, Worker: w.ID})
		return
	}
	o := &orphan{}
	if i != nil {
		o.charge, o.needs, o.organisation = i.step.spec.Charge(), i.step.spec.Needs, j.organisation
		o.organisation.charge(o.needs, 1)
		if i.step.spec.Filler {
			o.fillerCPU = i.step.spec.Needs.MilliCPU
		}
	}
	w.orphans[row.Run] = o
	c.updateBusy(w)
	w.lapseAt = max(w.lapseAt, now+c.longestLeaseTime())
	w.used = w.used.Add(o.charge, 1)
	w.fillerCPU += o.fillerCPU
	c.trace(Event{Name: "run_unwanted", Item: row.Item.String(), Run: row.Run.Number, Worker: w.ID})
}

func (c *Core) dropOrphan(w *worker, r Run) {
	if o := w.orphans[r]; o != nil {
		w.used = w.used.Add(o.charge, -1)
		w.fillerCPU -= o.fillerCPU
		o.organisation.charge(o.needs, -1)
		delete(w.orphans, r)
		c.updateBusy(w)
		c.checkHoldersOf(w)
	}
}

// endEffect says what an end that a worker lists changes. Ends are acknowledged
// whatever their effect.
type endEffect string

const (
	// endCounted: the end is applied to its item.
	endCounted endEffect = "counted"
	// endOfDoneItem, endOfFinishedJob: the item is done already, or the job has
	// ended.
	endOfDoneItem    endEffect = "item_done"
	endOfFinishedJob endEffect = "job_finished"
	// endOfUnknownItem: the owner has no such job, or the job no such item.
	endOfUnknownItem endEffect = "unknown"
)

// effectOf returns the effect of an end of an item, which is nil if it is not known.
// It does not depend on whether the owner still has a copy of the run: once the end is
// acknowledged, nothing but the item's progress tells that the run was done.
func effectOf(i *item) endEffect {
	switch {
	case i == nil:
		return endOfUnknownItem
	case i.step.job.final():
		return endOfFinishedJob
	case i.done:
		return endOfDoneItem
	}
	return endCounted
}

// processEnd processes one end that a worker lists.
func (c *Core) processEnd(w *worker, end EndedItem, now Time) {
	w.processedEnd = end.Number
	c.dropOrphan(w, end.Run)
	j := c.jobs[end.Item.Job]
	defer func() {
		pending := pendingEnd{number: end.Number, job: j}
		if j != nil {
			pending.version = j.version
		}
		w.pendingEnds = append(w.pendingEnds, pending)
	}()
	var i *item
	if j != nil {
		i = j.item(end.Item)
	}
	cp := w.copies[end.Run]
	effect := effectOf(i)
	var took, expected time.Duration
	if cp != nil {
		took = now - cp.startedAt
		if end.Kind == EndDone && cp.representative() {
			expected = cp.expected
		}
		c.dropCopy(cp)
	}
	if cp != nil || effect == endCounted {
		c.begin(j)
	}
	c.trace(Event{
		Name: "run_ended", Item: end.Item.String(), Run: end.Run.Number, Worker: w.ID, Reason: string(end.Kind),
		End: end.Number, Effect: string(effect), Took: took, Expected: expected,
	})
	if i != nil {
		i.lastRun = max(i.lastRun, end.Run.Number)
	}
	if effect != endCounted {
		return
	}
	if end.Saved != "" && i.step.spec.SavesProgress {
		i.saved = end.Saved
		c.markDirty(j)
	}
	switch end.Kind {
	case EndDone:
		if cp != nil {
			c.learnRunTime(cp, took, now)
			c.traceFirstEnd(cp, took)
			c.runWorked(cp, "item_done", now)
		}
		c.stepWorked(i.step, now)
		c.handleDone(i, end.Run.Number, now)
	case EndFailed:
		c.handleFailure(w, i, end.Run.Number, now)
	case EndLapsed, EndAlone, EndBroken, EndStopped:
	}
	c.addPending(i.step)
}

// handleDone marks the item of a run with EndDone as done, or all items of its gang,
// and marks the copies of other runs to be stopped. Those of the same run of a gang
// have ended as well. A long-running item is never done: it starts again however it
// ended.
func (c *Core) handleDone(i *item, run int64, now Time) {
	j := i.step.job
	if i.step.spec.LongRunning {
		return
	}
	items := []*item{i}
	if i.step.spec.Gang {
		items = nil
		for n := range i.step.spec.Count {
			items = append(items, i.step.item(n))
		}
	}
	for _, member := range items {
		if !member.done {
			c.markItemDone(member, now)
		}
		for _, other := range member.copies {
			other.stopWanted = other.stopWanted || other.run != run
		}
	}
	if c.finishIfDone(j, now) {
		c.trace(Event{Name: "job_completed", Job: j.ID, Took: now - j.acceptedAt})
	}
	c.markDirty(j)
}

// reconcile compares the copies and orphans on a worker with the runs that it
// listed in answer to a hold that was sent at the time sent. Runs that have
// certainly ended or never started are dropped; an unresolved copy is first
// marked to be stopped, so that a late start cannot take effect any more.
// complete is false if the worker may have more ends to list; then nothing
// changes.
func (c *Core) reconcile(w *worker, listed map[Run]bool, complete bool, sent, now Time) {
	for _, cp := range copiesOf(w) {
		r := Run{cp.item.id(), cp.run}
		if listed[r] || !complete {
			continue
		}
		switch cp.phase {
		case running:
			if cp.phaseSince < sent {
				c.requeueLost(cp, "not_listed", now)
			}
		case unresolved:
			if cp.phaseSince < sent {
				cp.absentAt = sent
			}
			if cp.stopAnsweredAt > 0 && cp.stopAnsweredAt < sent {
				c.requeueLost(cp, "never_started", now)
			} else if cp.phaseSince < sent && !cp.stopWanted {
				cp.stopWanted, cp.inDoubt = true, true
				if cp.item.step.spec.Gang {
					c.stopGang(cp.item.step)
				}
			}
		case starting:
		}
	}
	for _, r := range orphansOf(w) {
		if !listed[r] && complete && w.orphans[r].stopOrderedAt < sent {
			c.dropOrphan(w, r)
		}
	}
}
