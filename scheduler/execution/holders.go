package execution

import (
	"slices"
	"time"
)

// FormerHolders names the workers that may hold leases of a former owner, with
// the longest time that these can last from now. It is called before any
// worker is seen. Work that a former owner may have started waits until each
// of them was contacted or its lease has lapsed.
func (c *Core) FormerHolders(holders map[string]time.Duration, now Time) {
	for id, left := range holders {
		c.formerHolders[id] = now + left
	}
	c.holdersMoved = true
}

// Holders returns the workers that may run something under a lease when this
// owner gives no more orders, with the longest time that these can last from
// now. The next owner has to wait no longer.
func (c *Core) Holders(now Time) map[string]time.Duration {
	holders := map[string]time.Duration{}
	for id, until := range c.formerHolders {
		if until > now {
			holders[id] = until - now
		}
	}
	for _, w := range c.sorted {
		if !w.lapsed(now) && c.Load(w.ID) > 0 {
			holders[w.ID] = w.lapseAt - now
		}
	}
	return holders
}

// LeaseBound is the longest time that a lease which was granted by now lasts,
// with what a worker takes to end its runs.
func (c *Core) LeaseBound() time.Duration { return c.leaseBound() + lapseMargin }

// UnrecordedHolders returns all workers that may hold leases of this owner or
// of former ones, and whether the store names others. It has to learn of a
// worker before that gets work.
func (c *Core) UnrecordedHolders() (ids []string, changed bool) {
	if !c.holdersMoved {
		return nil, false
	}
	for _, w := range c.sorted {
		ids = append(ids, w.ID)
		changed = changed || !w.grantRecorded
	}
	for id := range c.formerHolders {
		if c.workers[id] == nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	c.holdersMoved = changed || !slices.Equal(ids, c.recordedHolders)
	return ids, c.holdersMoved
}

// HoldersRecorded notes that the store names the workers as possible holders
// of leases.
func (c *Core) HoldersRecorded(ids []string) {
	c.recordedHolders, c.holdersMoved = ids, true
	for _, id := range ids {
		if w := c.workers[id]; w != nil {
			w.grantRecorded = true
		}
	}
}
