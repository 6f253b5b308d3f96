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
// longest time that each lease can last from now. It is used when this owner
// gives no more orders; the next owner has to wait no longer than these times.
func (c *Core) LeaseHolders(now Time) map[string]time.Duration {
	holders := map[string]time.Duration{}
	for id, until := range c.formerHolders {
		if until > now {
			holders[id] = until - now
		}
	}
	for _, w := range c.sortedWorkers {
		if !w.lapsed(now) && c.RunCount(w.ID) > 0 {
			holders[w.ID] = w.lapseAt - now
		}
	}
	return holders
}

// RecordedLeaseTime returns the longest time that a possible lease holder has
// to be recorded with in the store: maxLeaseTime plus lapseMargin, which
// maxLeaseTime already includes once.
func (c *Core) RecordedLeaseTime() time.Duration { return c.maxLeaseTime() + lapseMargin }

// HoldersToRecord returns all workers that may hold leases of this owner or
// of former ones, recorded or not, and whether they have to replace the record in
// the store. A worker must be in that record before it gets work. It returns nil
// if neither the possible holders nor the record have changed since both were
// last found to agree.
func (c *Core) HoldersToRecord() (ids []string, changed bool) {
	if !c.checkHolders {
		return nil, false
	}
	for _, w := range c.sortedWorkers {
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

// HoldersRecorded marks the workers as named in the store's record of possible
// lease holders. The next call of HoldersToRecord compares the record with the
// holders again, because these may have changed while it was written.
func (c *Core) HoldersRecorded(ids []string) {
	c.recordedHolders, c.checkHolders = ids, true
	for _, id := range ids {
		if w := c.workers[id]; w != nil {
			w.holderRecorded = true
		}
	}
}
