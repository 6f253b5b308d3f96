package execution

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Close keeps new work away from a worker, before a planned stop of its VM, or
// opens it again.
func (c *Core) Close(id string, closed bool) {
	w := c.workers[id]
	if w != nil {
		w.closed = closed
	}
}

// ExpectStop tells which workers planned work will stop before long. Work that
// lasts is placed elsewhere if there is room.
func (c *Core) ExpectStop(ids map[string]bool) {
	for _, w := range c.sorted {
		w.stopExpected = ids[w.ID]
	}
}

// Lifetime returns the start of a worker's lifetime; ok is false for one that
// has no entry in the registry.
func (c *Core) Lifetime(id string) (born int64, ok bool) {
	w := c.workers[id]
	if w == nil || !w.present {
		return 0, false
	}
	return w.Born, true
}

// Load returns the number of runs on a worker.
func (c *Core) Load(id string) int {
	w := c.workers[id]
	if w == nil {
		return 0
	}
	return len(w.copies) + len(w.orphans)
}

// RunsLasting reports whether long-running work is on a worker.
func (c *Core) RunsLasting(id string) bool {
	w := c.workers[id]
	if w == nil {
		return false
	}
	return slices.ContainsFunc(w.inOrder, func(cp *itemCopy) bool { return cp.item.step.spec.LongRunning })
}

// Empty reports whether certainly nothing runs on a worker: it said so, or the
// leases of former owners have lapsed for one that is not known.
func (c *Core) Empty(id string) bool {
	w := c.workers[id]
	if w == nil {
		return c.settled
	}
	return w.contacted && c.Load(id) == 0
}

// Evacuate wants the runs on a closed worker ended that can go on elsewhere
// without loss, and with force all that availability allows.
func (c *Core) Evacuate(id string, force bool, now Time) {
	w := c.workers[id]
	if w == nil {
		return
	}
	for _, cp := range w.inOrder {
		if !cp.stopWanted && cp.phase == running && (force || cp.item.step.spec.LongRunning || cp.item.step.spec.SavesProgress) {
			c.stopIfAllowed(cp, now)
		}
	}
}

// stopIfAllowed wants a run ended for planned work if availability allows it.
func (c *Core) stopIfAllowed(cp *itemCopy, now Time) {
	cp.stopWanted = c.mayStop(cp, now)
	if s := cp.item.step; cp.stopWanted && s.spec.MaxUnavailable > 0 {
		c.trace(Event{
			Name: "run_ended_for_plan", Item: cp.item.id().String(), Run: cp.run, Worker: cp.worker.ID,
			Detail: s.availability(now),
		})
	}
}

// availability says of each item of a step how far it is and how old the report
// about it is, for the log.
func (s *step) availability(now Time) string {
	var b strings.Builder
	for n := range s.items {
		for _, cp := range s.items[n].copies {
			fmt.Fprintf(&b, "%d:%d%%:%dms,", n, cp.percent, (now - cp.worker.clockAt).Milliseconds())
		}
	}
	return strings.TrimSuffix(b.String(), ",")
}

// evacuateDraining moves long-running items off workers that will leave.
func (c *Core) evacuateDraining(now Time) {
	for _, w := range c.sorted {
		if !w.Draining || !w.present {
			continue
		}
		for _, cp := range w.inOrder {
			if !cp.stopWanted && cp.phase == running && cp.item.step.spec.LongRunning {
				c.stopIfAllowed(cp, now)
			}
		}
	}
}

// mayStop reports whether planned work may end a run without taking more items
// of its step from work than the step allows.
func (c *Core) mayStop(cp *itemCopy, now Time) bool {
	s := cp.item.step
	if s.spec.MaxUnavailable == 0 || cp.knownIdle(now) {
		return true
	}
	away := 0
	for n := range s.items {
		other := &s.items[n]
		if other == cp.item {
			continue
		}
		working := false
		for _, oc := range other.copies {
			working = working || oc.atWork(now) && !c.mayBeStopping(oc, now)
		}
		if !working {
			away++
		}
	}
	return away < s.spec.MaxUnavailable
}

// mayBeStopping reports whether a former owner may have ordered the end of an
// adopted run, which would still show it at work.
func (c *Core) mayBeStopping(cp *itemCopy, now Time) bool {
	return cp.adopted && now-cp.confirmedAt < c.options.StopTimeout+lapseMargin
}

// atWork reports whether a long-running item serves its users, as of a recent
// report of its worker.
func (cp *itemCopy) atWork(now Time) bool {
	return cp.phase == running && !cp.stopWanted && cp.percent >= 100 && now-cp.worker.clockAt < contactFresh
}

const (
	// idleFresh is how old a report may be that shows an item before it serves
	// its users: a worker is held several times a second.
	idleFresh = 300 * time.Millisecond
	// idlePercent is how far such an item may be. One that was slowed down can
	// go on at full speed at any time.
	idlePercent = 50
	// stopArrives is how long an order to stop may be under way.
	stopArrives = 300 * time.Millisecond
	// idleHaste is how much faster than so far the item may go on.
	idleHaste = 2
)

// knownIdle reports whether a long-running item has certainly not begun to
// serve its users by the time at which an order to stop arrives.
func (cp *itemCopy) knownIdle(now Time) bool {
	age := now - cp.worker.clockAt
	if cp.phase != running || cp.percent >= idlePercent || age > idleFresh {
		return false
	}
	ran := max(cp.worker.clockAt-cp.startedAt, time.Millisecond)
	ahead := idleHaste * float64(cp.percent) * float64(age+stopArrives) / float64(ran)
	return float64(cp.percent)+ahead < 100
}

// Called reports whether a worker has answered this owner.
func (c *Core) Called(id string) bool {
	w := c.workers[id]
	return w != nil && w.contacted
}

// Usable reports whether a worker takes new work.
func (c *Core) Usable(id string) bool {
	w := c.workers[id]
	return w != nil && w.present && w.contacted && !w.Draining && !w.closed
}
