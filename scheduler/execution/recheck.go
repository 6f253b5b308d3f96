package execution

// StartWanted reports whether a start that a round has ordered is still to be sent: its
// copy is on the lifetime of the worker for which the order is meant and does not have
// to end, and the store has the lost and failed runs of the item.
func (c *Core) StartWanted(s Start) bool {
	w := c.workers[s.Worker.ID]
	if w == nil || w.StartMillis != s.Worker.StartMillis {
		return false
	}
	cp := w.copies[s.Run]
	return cp != nil && cp.phase == starting && !cp.stopWanted && !cp.item.done && !cp.item.step.job.final() && cp.item.historyCommitted()
}

// StartSent records that a start is being sent. The age of the run counts from then on.
func (c *Core) StartSent(s Start, now Time) {
	if w := c.workers[s.Worker.ID]; w != nil {
		c.extendLaterLease(w, now)
		if cp := w.copies[s.Run]; cp != nil {
			cp.sentAt = now
		}
	}
}

// StartWithdrawn records that a start was not sent, because it was not wanted any more.
// The worker cannot have the run, so that its copy is dropped. The other members of a
// gang would wait for it in vain.
func (c *Core) StartWithdrawn(s Start, now Time) {
	if w := c.workers[s.Worker.ID]; w != nil {
		if cp := w.copies[s.Run]; cp != nil && cp.phase != running {
			reason := ""
			if !cp.item.historyCommitted() {
				reason = "not_recorded"
			}
			c.dropCopy(cp)
			c.trace(Event{Name: "start_withdrawn", Item: s.Item.String(), Run: s.Run.Number, Worker: w.ID, Reason: reason})
		}
	}
	j := c.jobs[s.Item.Job]
	if j == nil {
		return
	}
	i := j.item(s.Item)
	if i == nil {
		return
	}
	i.withheld = !i.historyCommitted()
	if !i.step.spec.Gang {
		return
	}
	for _, member := range i.step.tracked {
		for _, cp := range member.copies {
			if cp.run == s.Run.Number {
				cp.stopWanted, cp.inDoubt = true, false
			}
		}
	}
}

// StopAllowed reports whether an order to stop a run that a round has given may still be
// sent. Since the round, the run may have begun to serve its users, or another item of
// its step may have become unavailable.
func (c *Core) StopAllowed(s Stop, now Time) bool {
	w := c.workers[s.Worker.ID]
	if w == nil {
		return true
	}
	cp := w.copies[s.Run]
	if cp == nil || cp.item.done || cp.item.step.job.final() {
		return true
	}
	return cp.stuck(now) || c.mayStop(cp, now)
}

// StopPostponed records that an order to stop a run was not sent. It cannot be carried
// out, so that the run counts as ordered to stop only by earlier orders.
func (c *Core) StopPostponed(s Stop) {
	w := c.workers[s.Worker.ID]
	if w == nil {
		return
	}
	if orphan := w.orphans[s.Run]; orphan != nil {
		orphan.stopInFlight, orphan.stopOrderedAt = false, s.orderedBefore
	}
	if cp := w.copies[s.Run]; cp != nil {
		cp.stopInFlight, cp.stopOrderedAt = false, s.orderedBefore
	}
}

// ReturnWrites gives back records of TakeWrites that were not written, so that
// TakeWrites returns their present state again.
func (c *Core) ReturnWrites(writes []ProgressWrite) {
	for _, w := range writes {
		if j := c.jobs[w.JobID]; j != nil && !j.dirty {
			j.dirty = true
			c.dirty = append(c.dirty, j)
		}
	}
}
