package execution

import (
	"fmt"
	"strings"
	"time"
)

// waitNoticed is how long a long-running item may wait for its start before the log says
// what it waits for, and how long until the log says so again for its step. Such an item
// has to start within 3 s where there is room.
const waitNoticed = 1500 * time.Millisecond

// traceWaiting logs, for each step with long-running items that have waited for
// waitNoticed, how many wait and what the one waits for that has waited longest.
func (c *Core) traceWaiting(now Time) {
	for _, s := range c.pendingSteps {
		if !s.spec.LongRunning {
			continue
		}
		var longest *item
		waiting := 0
		for _, i := range s.tracked {
			if !i.startable() {
				continue
			}
			if i.waitingSince == 0 {
				i.waitingSince = now
			}
			waiting++
			if longest == nil || i.waitingSince < longest.waitingSince {
				longest = i
			}
		}
		if s.fresh > 0 {
			if s.freshWaitingSince == 0 {
				s.freshWaitingSince = now
			}
			waiting += s.fresh
			if longest == nil || s.freshWaitingSince < longest.waitingSince {
				longest = s.firstFresh()
			}
		}
		if longest == nil || now-max(longest.waitingSince, s.waitTracedAt) < waitNoticed {
			continue
		}
		s.waitTracedAt = now
		reason, detail := c.waitReason(longest, now)
		c.trace(Event{
			Name: "item_waits", Item: longest.id().String(), Run: longest.lastRun, Service: c.queueOf(s.job).Service, Reason: reason,
			Detail: fmt.Sprintf("waiting=%d %s", waiting, detail), Took: now - longest.waitingSince,
		})
	}
}

// waitReason says, for the log, what an item waits for, and how many workers of its service
// are excluded for which reason, have no room, or could take it.
func (c *Core) waitReason(i *item, now Time) (reason, detail string) {
	service, charge := c.queueOf(i.step.job).Service, i.step.spec.Charge()
	workers, full, usable := 0, 0, 0
	excluded := map[exclusion]int{}
	for _, w := range c.sortedWorkers {
		if w.Service != service {
			continue
		}
		workers++
		switch e := c.exclusionOf(w, now); {
		case e != notExcluded:
			excluded[e]++
		case w.accepts(i.step, charge, nil):
			usable++
		default:
			full++
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "workers=%d usable=%d full=%d", workers, usable, full)
	for _, e := range exclusions {
		if excluded[e] > 0 {
			fmt.Fprintf(&b, " %s=%d", e, excluded[e])
		}
	}
	switch {
	case i.step.job.Revision > c.startHorizon:
		reason = "start_horizon"
	case c.blockedByTakeover(i.step.job) || i.heldByTakeover():
		reason = "takeover"
	case i.needsIsolation():
		reason = "isolation"
	case !i.step.job.organisation.allows(i.step.spec, i.step.spec.StartCount()):
		reason = "cap"
	case now < i.notBefore:
		reason = "backoff"
	case usable+full == 0:
		reason = "no_worker"
	case usable == 0:
		reason = "no_room"
	default:
		// The advice on the step, or the limit of the starts of a round.
		reason = "order"
	}
	return reason, b.String()
}
