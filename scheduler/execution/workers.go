package execution

import "slices"

// WorkerSeen notes the registry entry of a worker.
func (c *Core) WorkerSeen(info Worker, now Time) {
	w := c.workers[info.ID]
	if w == nil {
		w = c.addWorker(info.ID)
	} else if info.Born < w.Born {
		return
	} else if info.Born > w.Born {
		c.reborn(w, now)
	}
	w.Worker, w.present = info, true
}

// reborn notes that a worker runs nothing of its former lifetime. A start may
// have reached the new one before the owner knew of it, or may yet reach it.
func (c *Core) reborn(w *worker, now Time) {
	for _, cp := range copiesOf(w) {
		if cp.listed {
			c.lose(cp, "worker_restarted", now)
			continue
		}
		cp.phase, cp.confirmedAt, cp.stopConfirmedAt = unresolved, now, 0
	}
	for _, r := range orphansOf(w) {
		c.dropOrphan(w, r)
	}
	w.contacted, w.clock, w.clockAt = false, 0, 0
	w.notedEnd, w.ackedEnd, w.toldEnd, w.pendingEnds = 0, 0, 0, nil
	w.failures, w.avoidUntil = 0, 0
	c.trace(Event{Name: "worker_restarted", Worker: w.ID, Service: w.Service})
}

// copiesOf returns the copies on a worker, for loops that drop some.
func copiesOf(w *worker) []*itemCopy { return slices.Clone(w.inOrder) }

// orphansOf returns the orphans on a worker in a fixed order.
func orphansOf(w *worker) []Run {
	runs := make([]Run, 0, len(w.orphans))
	for r := range w.orphans {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, Run.compare)
	return runs
}

// WorkerGone notes that the registry has no entry of a worker any more. What
// runs there counts until its lease has lapsed, because a worker that lost the
// store runs on.
func (c *Core) WorkerGone(id string) {
	if w := c.workers[id]; w != nil {
		w.present = false
	}
}

// SetWorkers replaces the registry.
func (c *Core) SetWorkers(infos []Worker, now Time) {
	seen := map[string]bool{}
	for _, info := range infos {
		seen[info.ID] = true
		c.WorkerSeen(info, now)
	}
	for _, w := range c.sorted {
		if !seen[w.ID] {
			c.WorkerGone(w.ID)
		}
	}
}

// lose requeues the item of a copy that certainly does not run any more.
func (c *Core) lose(cp *itemCopy, reason string, now Time) {
	c.dropCopy(cp)
	c.trace(Event{Name: "run_lost", Item: cp.item.id().String(), Run: cp.run, Worker: cp.worker.ID, Reason: reason, Took: now - cp.startedAt})
}

// sweep forgets what ran on workers whose leases have lapsed.
func (c *Core) sweep(now Time) {
	for _, w := range slices.Clone(c.sorted) {
		if !w.lapsed(now) {
			continue
		}
		for _, cp := range copiesOf(w) {
			c.lose(cp, "lease_lapsed", now)
		}
		for _, r := range orphansOf(w) {
			c.dropOrphan(w, r)
		}
		if !w.present {
			c.removeWorker(w)
			c.trace(Event{Name: "worker_gone", Worker: w.ID, Service: w.Service})
		}
	}
	if !c.settled {
		c.settle(now)
	}
}

func (c *Core) settle(now Time) {
	for _, until := range c.formerHolders {
		if now < until {
			return
		}
	}
	c.settled, c.holdersMoved = true, true
	defer clear(c.formerHolders)
	reason := "all_workers_contacted"
	if len(c.formerHolders) > 0 {
		reason = "leases_lapsed"
	}
	c.trace(Event{Name: "takeover_settled", Reason: reason})
	for _, j := range c.jobs {
		c.listJob(j)
	}
}

// Settled reports whether work that a former owner may have started can be
// started again.
func (c *Core) Settled() bool { return c.settled }

// Terminated notes that the platform has ended a lifetime of a worker with all
// that ran on it, by a move or an upkeep of its VM.
func (c *Core) Terminated(id string, born int64, now Time) {
	w := c.workers[id]
	if w == nil || w.Born != born {
		return
	}
	for _, cp := range copiesOf(w) {
		c.lose(cp, "vm_taken", now)
	}
	c.removeWorker(w)
}

// Knows reports whether the owner still has to do with a worker.
func (c *Core) Knows(id string) bool { return c.workers[id] != nil }

// WorkersToHold returns the workers that have to be contacted or whose leases
// have to be extended.
func (c *Core) WorkersToHold() []string {
	var ids []string
	for _, w := range c.sorted {
		if w.needsHold() {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

func (w *worker) needsHold() bool {
	return !w.contacted || len(w.copies) > 0 || len(w.orphans) > 0 || w.toldEnd != w.notedEnd
}
