package execution

import (
	"slices"
	"time"
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

// LeaseHolders returns the workers that may run something under a lease, with the
// longest time that each lease can last from now, and those with ends that are not
// committed or may be in an answer that is not read yet. It is used when this owner gives
// no more orders; the next owner has to wait no longer than these times.
func (c *Core) LeaseHolders(now Time) map[string]time.Duration {
	holders := map[string]time.Duration{}
	for id, until := range c.formerHolders {
		if until > now {
			holders[id] = until - now
		}
	}
	for _, w := range c.sortedWorkers {
		switch {
		case w.hasUncommittedEnds(), w.lapsed(now) && !w.silent && len(w.copies) > 0:
			holders[w.ID] = c.RecordedLeaseTime(w.ID, now)
		case !w.lapsed(now) && c.RunCount(w.ID) > 0:
			holders[w.ID] = w.lapseAt - now
		}
	}
	return holders
}

// RecordedLeaseTime returns the longest time that a possible lease holder has
// to be recorded with in the store: maxLeaseTime plus lapseMargin, which
// maxLeaseTime already includes once. A worker whose lease may last longer is recorded
// with longestLeaseTime instead; the time that is left would change the record in each
// round.
func (c *Core) RecordedLeaseTime(id string, now Time) time.Duration {
	until := c.formerHolders[id]
	if w := c.workers[id]; w != nil {
		until = max(until, w.lapseAt)
	}
	usual := c.maxLeaseTime() + lapseMargin
	if until-now > usual {
		return c.longestLeaseTime() + lapseMargin
	}
	return usual
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
		changed = changed || !w.holderRecorded
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
// The next call of HoldersToRecord compares the record with the holders again,
// because these may have changed while it was written.
func (c *Core) HoldersRecorded(ids []string) {
	c.recordedHolders, c.checkHolders = ids, true
	for _, id := range ids {
		if w := c.workers[id]; w != nil && w.holder {
			w.holderRecorded = true
		}
	}
}
