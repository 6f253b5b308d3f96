package execution

import (
	"slices"
	"time"
)

// FormerHolders sets the workers that may hold leases of a former owner, with
// the longest time that each lease can last from now. It must be called before
// WorkerSeen. Work that a former owner may have started is not started again
// until each of these workers was contacted or its lease has lapsed.
func (c *Core) FormerHolders(holders map[string]time.Duration, now Time) {
	for id, left := range holders {
		c.formerHolders[id] = now + left
	}
	c.holdersChanged = true
}

// Holders returns the workers that may run something under a lease, with the
// longest time that each lease can last from now. It is used when this owner
// gives no more orders; the next owner has to wait no longer than these times.
func (c *Core) Holders(now Time) map[string]time.Duration {
	holders := map[string]time.Duration{}
	for id, until := range c.formerHolders {
		if until > now {
			holders[id] = until - now
		}
	}
	for _, w := range c.sortedWorkers {
		if !w.lapsed(now) && c.Load(w.ID) > 0 {
			holders[w.ID] = w.lapseAt - now
		}
	}
	return holders
}

// LeaseBound is the longest time that a lease granted up to now can last,
// including the time that a worker takes to end its runs.
func (c *Core) LeaseBound() time.Duration { return c.leaseBound() + lapseMargin }

// UnrecordedHolders returns all workers that may hold leases of this owner or
// of former ones, and whether the record in the store has to be replaced by
// them. A worker must be in that record before it gets work. It returns nil if
// the possible holders have not changed.
func (c *Core) UnrecordedHolders() (ids []string, changed bool) {
	if !c.holdersChanged {
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
	c.holdersChanged = changed || !slices.Equal(ids, c.recordedHolders)
	return ids, c.holdersChanged
}

// HoldersRecorded records that the store names the workers as possible lease
// holders.
func (c *Core) HoldersRecorded(ids []string) {
	c.recordedHolders, c.holdersChanged = ids, true
	for _, id := range ids {
		if w := c.workers[id]; w != nil {
			w.holderRecorded = true
		}
	}
}
