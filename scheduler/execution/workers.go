package execution

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// WorkerSeen updates a worker from a change of its registry entry.
func (c *Core) WorkerSeen(info Worker, now Time) {
	if w := c.workerOnVM[info.VM]; w != nil && info.StartMillis < w.StartMillis {
		return
	}
	w := c.workers[info.ID]
	registered := w == nil || !w.present || info.StartMillis > w.StartMillis
	changed := !registered && info.Capacity != w.Capacity
	c.updateWorker(info, now)
	switch {
	case registered:
		c.trace(Event{Name: "worker_registered", Worker: info.ID, VM: info.VM, Service: info.Service, Detail: info.Capacity.String()})
	case changed:
		c.trace(Event{Name: "worker_capacity_changed", Worker: info.ID, VM: info.VM, Service: info.Service, Detail: info.Capacity.String()})
	}
}

// updateWorker updates a worker from its registry entry.
func (c *Core) updateWorker(info Worker, now Time) {
	if !c.replaceFormerWorker(info, now) {
		return
	}
	w := c.workers[info.ID]
	if w == nil {
		w = c.addWorker(info.ID)
		former, dropped := c.droppedLifetimes[info.ID]
		w.restarted = dropped && info.StartMillis > former.startMillis
	} else if info.StartMillis < w.StartMillis {
		return
	} else if info.StartMillis > w.StartMillis {
		c.startLifetime(w, now)
	}
	w.Worker, w.present = info, true
	w.largestMilliCPU = max(w.largestMilliCPU, info.Capacity.MilliCPU)
	// An entry with the start of the VM's present worker under another ID is a copy.
	if former := c.workerOnVM[info.VM]; info.VM != "" && (former == nil || !former.contacted || former.StartMillis != info.StartMillis) {
		c.workerOnVM[info.VM] = w
	}
	c.settleLostRuns(info, false, now)
}

// startLifetime resets what is known of a worker that has restarted: runs that
// it listed have ended with its former lifetime. The other copies become
// unresolved, because their starts may have reached the new lifetime before the
// owner knew of it, or may yet reach it.
func (c *Core) startLifetime(w *worker, now Time) {
	c.workerEnded(w, now)
	for _, cp := range copiesOf(w) {
		if cp.listed {
			c.requeueLost(cp, "worker_restarted", now)
			continue
		}
		cp.phase, cp.phaseSince, cp.stopAnsweredAt, cp.absentAt = unresolved, now, 0, 0
	}
	for _, r := range orphansOf(w) {
		c.dropOrphan(w, r)
	}
	w.contacted, w.clock, w.clockAt, w.reportedAt = false, 0, 0, 0
	w.endedAt, w.endedWithOthers = 0, false
	// The worker gets work after the next record of possible lease holders, and a
	// lifetime after this one the higher fencing token that follows that write.
	w.fence, w.fenceSuperseded, w.holderRecorded, c.checkHolders = c.fence, false, false, true
	c.holdScan.wanted = true
	w.restarted = true
	w.lapseAt = max(w.lapseAt, now+c.longestLeaseTime())
	w.processedEnd, w.committedEnd, w.acknowledgedEnd, w.pendingEnds, w.endsCutOff = 0, 0, 0, nil, false
	w.blames, w.avoidUntil, w.pausedUntil, w.largestMilliCPU = nil, 0, 0, 0
	w.speed = workerSpeed{}
	c.trace(Event{Name: "worker_restarted", Worker: w.ID, VM: w.VM, Service: w.Service})
}

// SetFence sets the fencing token of the lifetimes of workers that become known from now
// on. The tokens of an owner grow, and are lower than those of any later owner. A worker
// that starts again under its ID knows no token; the higher one of its new lifetime
// makes it reject calls that were meant for the former one and had no answer. A token
// has to be set before each MarkCommitted and HoldersRecorded that is higher than those
// before.
func (c *Core) SetFence(fence int64) { c.fence = fence }

// FenceOf returns the fencing token of the present lifetime of a worker, or the newest
// token if the worker is not known.
func (c *Core) FenceOf(id string) int64 {
	if w := c.workers[id]; w != nil {
		return w.fence
	}
	return c.fence
}

// copiesOf returns the copies on a worker, for loops that drop some.
func copiesOf(w *worker) []*itemCopy { return slices.Clone(w.orderedCopies) }

// orphansOf returns the orphans on a worker in a fixed order.
func orphansOf(w *worker) []Run {
	runs := make([]Run, 0, len(w.orphans))
	for r := range w.orphans {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, Run.compare)
	return runs
}

// WorkerGone records that the registry has no entry for a worker any more. Its
// runs are kept until its lease has lapsed, because a worker that lost its
// connection to the store keeps running them.
func (c *Core) WorkerGone(id string) {
	if w := c.workers[id]; w != nil && w.present {
		w.present = false
		c.lapseScan.wanted = true
		c.trace(Event{Name: "worker_unregistered", Worker: id, VM: w.VM, Service: w.Service})
	}
}

// SetWorkers updates all workers from the entries of the registry; workers without
// an entry are gone. It logs no line for each entry, because an owner reads all
// entries when its term begins.
func (c *Core) SetWorkers(infos []Worker, now Time) {
	seen := map[string]bool{}
	for _, info := range infos {
		seen[info.ID] = true
		c.updateWorker(info, now)
	}
	for _, w := range c.sortedWorkers {
		if !seen[w.ID] {
			c.WorkerGone(w.ID)
		}
	}
}

// requeueLost drops a copy that certainly does not run any more, so that its
// item can start again.
func (c *Core) requeueLost(cp *itemCopy, reason string, now Time) {
	detail := ""
	if reason == lostLeaseLapsed {
		detail = fmt.Sprintf("listed=%t,report_age_ms=%d", cp.listed, (now - cp.worker.reportedAt).Milliseconds())
	}
	c.dropCopy(cp)
	c.trace(Event{Name: "run_lost", Item: cp.item.id().String(), Run: cp.run, Worker: cp.worker.ID, Reason: reason, Detail: detail, Took: now - cp.startedAt})
}

// lostLeaseLapsed is the reason for which a run is lost whose worker did not answer until its
// lease had lapsed.
const lostLeaseLapsed = "lease_lapsed"

// dropLapsed drops what ran on workers whose leases have lapsed, and such
// workers themselves if the registry has no entry for them.
func (c *Core) dropLapsed(now Time) {
	var lapsed []*worker
	for _, w := range c.workersDue(&c.lapseScan, now) {
		if (w.busy || w.silent || !w.present) && w.lapsed(now) {
			lapsed = append(lapsed, w)
		}
	}
	for _, w := range lapsed {
		// After a pause of this process, the worker's answer may wait to be processed. It lists
		// which runs have ended, so that they are lost only once a call has failed.
		if !w.silent && w.needsHold() {
			continue
		}
		if w.silent {
			c.suspectRuns(w, cmp.Or(w.endedAt, now))
		}
		for _, cp := range copiesOf(w) {
			if cp.leaseLapsed(now) {
				c.requeueLost(cp, lostLeaseLapsed, now)
			}
		}
		for _, r := range orphansOf(w) {
			c.dropOrphan(w, r)
		}
		if len(w.copies) > 0 {
			continue
		}
		if w.silent && !w.silentSinceLapse {
			w.silentSinceLapse = true
			c.checkHoldersOf(w)
		}
		// A worker with ends that are not committed stays, because the record of possible
		// lease holders has to name it.
		if !w.present && !w.hasUncommittedEnds() {
			if w.endPlanned() {
				c.settleLostRuns(w.Worker, true, now)
			}
			c.removeWorker(w, now)
			c.trace(Event{Name: "worker_gone", Worker: w.ID, VM: w.VM, Service: w.Service})
		}
	}
	if !c.settled {
		c.settleTakeover(now)
	}
}

// settleTakeover lets inherited jobs start items once no lease of a former owner
// can be in force on a worker that was not contacted, and no worker that was contacted
// and still answers has ends left to list. As in dropLapsed, the first answer of a registered
// worker may wait to be processed until a call to it has failed.
func (c *Core) settleTakeover(now Time) {
	waiting := 0
	unknown := false
	for id, until := range c.formerHolders {
		w := c.workers[id]
		if now < until || w != nil && (w.endsCutOff && !w.silentSinceLapse || w.present && !w.contacted && !w.silent) {
			waiting++
			_, listed := c.formerRuns[id]
			unknown = unknown || !listed
			continue
		}
		c.releaseFormerHolder(id)
	}
	if known := waiting > 0 && !unknown; known && c.formerRunsUnknown {
		c.trace(Event{Name: "takeover_runs_known", Detail: c.uncontactedDetail()})
		c.addInheritedSteps()
	}
	if c.formerRunsUnknown = unknown; waiting > 0 {
		return
	}
	c.settled, c.checkHolders = true, true
	defer clear(c.formerHolders)
	reason := "all_workers_contacted"
	if len(c.formerHolders) > 0 {
		reason = "leases_lapsed"
	}
	c.trace(Event{Name: "takeover_settled", Reason: reason, Detail: c.uncontactedDetail()})
	for _, i := range c.inheritedCauses {
		c.giveUpIfCause(i, now)
	}
	c.inheritedCauses = nil
	for _, j := range c.jobs {
		j.unsettled = false
	}
	c.addInheritedSteps()
}

// addInheritedSteps adds the steps of all jobs to those that may have work to place.
func (c *Core) addInheritedSteps() {
	for _, j := range c.jobs {
		c.addPendingSteps(j)
	}
}

// maxUncontactedDetail is the number of workers that uncontactedDetail names.
const maxUncontactedDetail = 5

// uncontactedDetail lists, for the log, the number of workers that may have held
// leases of a former owner and did not answer, and some of them: each with its
// service, or with "unregistered" if the registry has no entry for it.
func (c *Core) uncontactedDetail() string {
	if len(c.formerHolders) == 0 {
		return ""
	}
	ids := slices.Sorted(maps.Keys(c.formerHolders))
	detail := fmt.Sprintf("%d uncontacted", len(ids))
	for _, id := range ids[:min(len(ids), maxUncontactedDetail)] {
		state := "unregistered"
		if w := c.workers[id]; w != nil && w.present {
			state = w.Service
		}
		detail += fmt.Sprintf(",%s:%s", id, state)
	}
	return detail
}

// TakeoverSettled reports whether work that a former owner may have started can
// be started again.
func (c *Core) TakeoverSettled() bool { return c.settled }

// Terminated records that the platform has ended a lifetime of a worker with all
// its runs, by a move or maintenance of its VM.
func (c *Core) Terminated(id string, born int64, now Time) {
	w := c.workers[id]
	if w == nil || w.StartMillis != born {
		return
	}
	for _, cp := range copiesOf(w) {
		c.requeueLost(cp, "vm_taken", now)
	}
	c.settleLostRuns(w.Worker, true, now)
	c.removeWorker(w, now)
}

// HasWorker reports whether the owner still keeps state of a worker: the registry
// has an entry for it, or its lease may not have lapsed.
func (c *Core) HasWorker(id string) bool { return c.workers[id] != nil }

// WorkersToHold returns the workers that have to be contacted, that have stopped
// answering, whose leases have to be extended, or that have been idle for a while.
func (c *Core) WorkersToHold(now Time) []string {
	var ids []string
	for _, w := range c.workersDue(&c.holdScan, now) {
		if w.holdDue(now) {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

// holdDue reports whether a hold is due. An idle worker is called now and then: it gets
// work only while its clock is known.
func (w *worker) holdDue(now Time) bool {
	return w.needsHold() || w.present && now-w.clockAt >= w.idleCallAge
}

// needsHold reports whether a worker has to answer because of what is known of it. A
// silent worker is called until it answers, because it gets no work before.
func (w *worker) needsHold() bool {
	return !w.contacted || w.silent || len(w.copies) > 0 || len(w.orphans) > 0 || w.acknowledgedEnd != w.processedEnd
}
