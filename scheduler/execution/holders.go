package execution

import (
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// SetFormerHolders sets the workers that may hold leases of a former owner, with
// the longest time that each lease can last from now. It must be called before
// WorkerSeen. Work that a former owner may have started is not started again
// until each of these workers was contacted or its lease has lapsed.
func (c *Core) SetFormerHolders(holders map[string]time.Duration, now Time) {
	for id, left := range holders {
		c.formerHolders[id] = now + left
	}
	c.checkHolders = true
}

// SetFormerRuns sets, for former holders that did not answer the former owner either, the
// items that they may run. They may run no others, so that only these wait for their leases.
// It must be called after SetFormerHolders and before AddJob.
func (c *Core) SetFormerRuns(runs map[string][]job.ItemID) {
	for id, items := range runs {
		if _, holder := c.formerHolders[id]; holder {
			c.formerRuns[id] = items
		}
	}
}

// noteFormerRuns keeps the items of an inherited job from being started that a former holder
// may run.
func (c *Core) noteFormerRuns(j *jobState) {
	for id, items := range c.formerRuns {
		for _, named := range items {
			if named.Job != j.ID {
				continue
			}
			if i := j.item(named); i != nil {
				i.formerHolders++
				c.heldBy[id] = append(c.heldBy[id], i)
			}
		}
	}
}

// releaseFormerHolder lets the items start that waited for a former holder alone.
func (c *Core) releaseFormerHolder(id string) {
	for _, i := range c.heldBy[id] {
		i.formerHolders--
		c.addPending(i.step)
	}
	delete(c.heldBy, id)
	delete(c.formerRuns, id)
}

// SetStartHorizon lets the owner start the jobs whose records have revisions up to the given
// one, and no others. The next owner takes those with higher revisions for jobs that nobody
// has started.
func (c *Core) SetStartHorizon(revision int64) { c.startHorizon = revision }

// mayStart reports whether items of a job may be started by what the store knows: its record
// is within the start horizon, and no worker runs items of it that are not known.
func (c *Core) mayStart(j *jobState) bool {
	return j.Revision <= c.startHorizon && !c.blockedByTakeover(j)
}

// blockedByTakeover reports whether a former owner may have started any item of a job on a
// worker whose runs are not known.
func (c *Core) blockedByTakeover(j *jobState) bool {
	return j.inherited && !c.settled && c.formerRunsUnknown
}

// MayRun returns the items that a possible lease holder may run, for the record of lease
// holders. ok is false if they are not known: the worker answers and may get others before
// the next record, or an answer of it may tell of ends that are not committed.
func (c *Core) MayRun(id string) (items []job.ItemID, ok bool) {
	w := c.workers[id]
	if w == nil || !w.contacted {
		items, ok = c.formerRuns[id]
		return items, ok
	}
	if !c.runsKnown(w) {
		return nil, false
	}
	items = make([]job.ItemID, 0, len(w.orderedCopies)+len(w.orphans))
	for _, cp := range w.orderedCopies {
		items = append(items, cp.item.id())
	}
	for _, r := range orphansOf(w) {
		items = append(items, r.Item)
	}
	return items, true
}

// runsKnown reports whether a worker runs nothing but its copies and orphans, and gets
// nothing else: it is silent, or this owner gives no more orders and does not hold so many
// runs that their record would take long to write.
func (c *Core) runsKnown(w *worker) bool {
	return (w.silent || c.listsAllRuns) && !w.hasUncommittedEnds()
}

// maxListedRuns is the number of runs that the last record of an owner lists. At 25 bytes each
// they take 0.1 s over a link of 10 Mbit/s, the narrowest of an entry VM.
const maxListedRuns = 5000

// LeaseHolders returns the workers that may run something under a lease, with the
// longest time that each lease can last from now, and those with ends that are not
// committed or may be in an answer that is not read yet. It is used when this owner gives
// no more orders; the next owner has to wait no longer than these times. From then on MayRun
// knows the runs of workers that answer as well, so that the next owner does not keep all
// inherited work waiting for one that has just fallen silent.
func (c *Core) LeaseHolders(now Time) map[string]time.Duration {
	runs := 0
	for _, w := range c.busyWorkers {
		runs += len(w.copies) + len(w.orphans)
	}
	c.listsAllRuns = runs <= maxListedRuns
	holders := map[string]time.Duration{}
	for id, until := range c.formerHolders {
		if until > now {
			holders[id] = until - now
		}
	}
	for _, w := range c.sortedWorkers {
		if !w.silent && w.hasUnlisted() {
			// Calls that got no answer yet may be carried out up to now.
			c.extendLaterLease(w, now)
		}
		switch {
		case w.hasUncommittedEnds(), w.lapsed(now) && !w.silent && len(w.copies) > 0:
			holders[w.ID] = c.RecordedLeaseTime(w.ID, now)
		case c.RunCount(w.ID) > 0:
			if until := w.runsLapseAt(); until > now {
				holders[w.ID] = until - now
			}
		}
	}
	return holders
}

// RecordedLeaseTime returns the longest time that a possible lease holder has to be recorded
// with in the store: that of the leases it may hold once this owner gives no more orders.
//   - A worker that may get work may have started again since its last answer, so that the
//     last start before the change of owner reaches a lifetime that holds the longest lease.
//   - A worker whose runs the record lists gets no more work. It holds a longer lease than
//     the usual one only if its present one is longer. The time that is left would change the
//     record in each round.
//   - A worker that this owner has not contacted, and whose runs the record lists or that has
//     no entry in the registry, gets no orders with a deadline. What is left counts, so that
//     the wait does not begin anew with each owner.
func (c *Core) RecordedLeaseTime(id string, now Time) time.Duration {
	w := c.workers[id]
	if w == nil {
		return max(c.formerHolders[id]-now, 0)
	}
	_, listed := c.MayRun(id)
	left := max(c.formerHolders[id], w.runsLapseAt()) - now
	usual := c.maxLeaseTime() + lapseMargin
	switch {
	case listed && !w.contacted:
		return max(left, 0)
	case listed && left <= usual:
		return usual
	}
	return c.longestLeaseTime()
}

// HoldersToRecord returns the workers that have to be in the record of possible
// lease holders, and whether the record in the store has to be replaced. A
// worker must be in that record before it gets work. It returns nil if neither
// the possible holders nor the record have changed since both were last found to
// agree.
func (c *Core) HoldersToRecord() (ids []string, changed bool) {
	if !c.checkHolders {
		return nil, false
	}
	for _, w := range c.sortedWorkers {
		w.holder = c.mayHoldLease(w)
		if !w.holder {
			// The record that is written next does not name the worker.
			w.holderRecorded = false
			continue
		}
		ids = append(ids, w.ID)
		_, w.runsListed = c.MayRun(w.ID)
		changed = changed || w.runsListed != w.runsRecorded || !w.runsListed && !w.holderRecorded
	}
	for id := range c.formerHolders {
		if c.workers[id] == nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	c.checkHolders = changed || !slices.Equal(ids, c.recordedHolders)
	return ids, c.checkHolders
}

// mayHoldLease reports whether a worker may hold a lease of a run, now or before
// the record of possible lease holders is written again. The next owner waits
// for the lease of each holder that it cannot contact, so that it matters to
// name no worker that holds none:
//   - A worker that this owner has not contacted holds at most a lease of a former
//     owner.
//   - A worker that reported that nothing runs on it holds none while it gets no
//     work: it is closed for planned maintenance or a move, which ends it soon,
//     or it has fallen silent and its leases have lapsed.
//   - A worker with ends that are not committed counts as a holder: it alone knows
//     of them, and the next owner would start these items again.
func (c *Core) mayHoldLease(w *worker) bool {
	if len(w.copies) > 0 || len(w.orphans) > 0 || w.hasUncommittedEnds() {
		return true
	}
	if !w.contacted {
		_, former := c.formerHolders[w.ID]
		return former
	}
	return !w.closed && !w.silentSinceLapse
}

// hasUncommittedEnds reports whether the store may not have the consequences of an
// end that the worker has listed, or is about to list if it still answers.
func (w *worker) hasUncommittedEnds() bool {
	return w.committedEnd != w.processedEnd || w.endsCutOff && !w.silentSinceLapse
}

// HoldersRecorded marks the workers as named in the store's record of possible
// lease holders, unless a later record that does not name them is to be written.
// withRuns are those whose runs the record lists. They get no work before a record that
// does not: the next owner would start what it does not list elsewhere.
// The next call of HoldersToRecord compares the record with the holders again,
// because these may have changed while it was written.
func (c *Core) HoldersRecorded(ids []string, withRuns ...string) {
	c.recordedHolders, c.checkHolders = ids, true
	for _, id := range ids {
		if w := c.workers[id]; w != nil && w.holder {
			w.runsRecorded = slices.Contains(withRuns, id)
			// A record that lists the runs may yet be written after this one.
			w.holderRecorded = !w.runsRecorded && !w.runsListed
		}
	}
}
