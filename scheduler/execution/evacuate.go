package execution

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// SetClosed sets whether a worker is closed. No new work is placed on a closed
// worker. The owner closes a worker before a planned stop of its VM, whereas
// Worker.Draining comes from the registry.
func (c *Core) SetClosed(id string, closed bool) {
	if w := c.workers[id]; w != nil {
		w.closed = closed
		c.checkHoldersOf(w)
	}
}

// ExpectStop sets which workers planned maintenance will stop soon. Long-running
// items are placed on other workers if these have enough free capacity.
func (c *Core) ExpectStop(ids map[string]bool) {
	for _, w := range c.sortedWorkers {
		w.stopExpected = ids[w.ID]
	}
}

// WorkerStartMillis returns the start of a worker's lifetime, or zero if the worker is
// not known; registered is false if the registry has no entry for it.
func (c *Core) WorkerStartMillis(id string) (startMillis int64, registered bool) {
	w := c.workers[id]
	if w == nil {
		return 0, false
	}
	return w.StartMillis, w.present
}

// RunCount returns the number of runs on a worker and of ends that are not committed:
// work that would have to be done again without the worker.
func (c *Core) RunCount(id string) int {
	w := c.workers[id]
	if w == nil {
		return 0
	}
	return len(w.copies) + len(w.orphans) + len(w.pendingEnds)
}

// HasLongRunning reports whether a long-running item is on a worker.
func (c *Core) HasLongRunning(id string) bool {
	w := c.workers[id]
	if w == nil {
		return false
	}
	return slices.ContainsFunc(w.orderedCopies, func(cp *itemCopy) bool { return cp.item.step.spec.LongRunning })
}

// Empty reports whether it is certain that nothing runs on a worker and that it knows
// of no end that is not committed: a known worker has reported so, and an unknown one
// holds no lease of a former owner any more.
func (c *Core) Empty(id string) bool {
	w := c.workers[id]
	if w == nil {
		return c.settled
	}
	return w.contacted && !w.endsCutOff && c.RunCount(id) == 0
}

// HasOtherWorker reports whether a VM has, or may have work on, another worker than the
// given one, which may be empty. The platform's list of VMs lags and may show a former
// worker, of which nothing is known any more.
func (c *Core) HasOtherWorker(vm, id string) bool {
	w := c.workerOnVM[vm]
	return w != nil && w.ID != id && (w.present || c.RunCount(w.ID) > 0)
}

// Evacuate marks the runs on a closed worker to be stopped as far as the
// availability limits of their steps allow: those of long-running items and of
// items that resume from a checkpoint, or with force all of them.
func (c *Core) Evacuate(id string, force bool, now Time) {
	w := c.workers[id]
	if w == nil {
		return
	}
	for _, cp := range w.orderedCopies {
		if !cp.stopWanted && cp.phase == running && (force || cp.item.step.spec.LongRunning || cp.item.step.spec.SavesProgress) {
			c.stopIfAllowed(cp, now)
		}
	}
}

// stopIfAllowed marks a run to be stopped for planned maintenance if the
// availability limit of its step allows it. If there is a limit, it logs the state
// of the step's items on which the decision was based.
func (c *Core) stopIfAllowed(cp *itemCopy, now Time) {
	cp.stopWanted = c.mayStop(cp, now)
	if s := cp.item.step; cp.stopWanted && s.spec.MaxUnavailable > 0 {
		c.trace(Event{
			Name: "run_ended_for_plan", Item: cp.item.id().String(), Run: cp.run, Worker: cp.worker.ID,
			Detail: s.progressDetail(now),
		})
	}
}

// progressDetail lists, for the log, each copy of the step's items: the index of
// the item, the progress of the copy and the age of the last report about it.
func (s *step) progressDetail(now Time) string {
	var b strings.Builder
	for _, i := range s.tracked {
		for _, cp := range i.copies {
			fmt.Fprintf(&b, "%d:%d%%:%dms,", i.index, cp.percent, (now - cp.worker.reportedAt).Milliseconds())
		}
	}
	return strings.TrimSuffix(b.String(), ",")
}

// evacuateDraining marks long-running items on draining workers to be stopped,
// so that they start again elsewhere.
func (c *Core) evacuateDraining(now Time) {
	for _, w := range c.busyWorkers {
		if !w.Draining || !w.present {
			continue
		}
		for _, cp := range w.orderedCopies {
			if !cp.stopWanted && cp.phase == running && cp.item.step.spec.LongRunning {
				c.stopIfAllowed(cp, now)
			}
		}
	}
}

// mayStop reports whether planned maintenance may stop a run without making
// more items of its step unavailable than the step allows.
func (c *Core) mayStop(cp *itemCopy, now Time) bool {
	s := cp.item.step
	if s.spec.MaxUnavailable == 0 || cp.certainlyNotServing(now) {
		return true
	}
	notServing := s.spec.Count - 1
	for _, other := range s.tracked {
		if other != cp.item && slices.ContainsFunc(other.copies, func(oc *itemCopy) bool { return oc.serving(now) && !c.mayBeStopping(oc, now) }) {
			notServing--
		}
	}
	return notServing < s.spec.MaxUnavailable
}

// confirmStop reports whether the order to stop a run that is marked to be stopped may
// be given now. The limit of its step is checked for each order: since the run was
// marked, or since an order that got no answer, the run may have begun to serve its
// users, or another item may have become unavailable. Once no former order to stop the
// run can be carried out any more, it is kept if its step does not allow the stop, and
// if it was only to end because it was in doubt whether the worker has it.
func (c *Core) confirmStop(cp *itemCopy, now Time) bool {
	if cp.item.step.job.final() || cp.item.done {
		return true
	}
	mayBeStopping := cp.phase != running || cp.stopOrderedAt > 0 && now-cp.stopOrderedAt <= maxStopDelay
	allowed := (mayBeStopping || !cp.inDoubt) && (cp.stuck(now) || c.mayStop(cp, now))
	if !allowed && !mayBeStopping {
		cp.stopWanted, cp.inDoubt = false, false
	}
	return allowed
}

// stuck reports whether a run is stalled, according to a recent report, and may be stopped
// although its step does not allow it. One that is close to serving its users serves
// within milliseconds once a worker that hung goes on, so that it has to be stalled for
// longer.
func (cp *itemCopy) stuck(now Time) bool {
	if !cp.stalled(now) || now-cp.worker.reportedAt > notServingMaxReportAge {
		return false
	}
	return cp.percent < closeToServingPercent || now-cp.progressedAt > closeToServingStallTimeout
}

// mayBeStopping reports whether an adopted run may be stopping on the order of
// a former owner. Reports would still show such a run as serving. lapseMargin is
// added to the time that a worker takes to stop it.
func (c *Core) mayBeStopping(cp *itemCopy, now Time) bool {
	return cp.adopted && now-cp.phaseSince < c.options.StopTimeout+lapseMargin
}

// serving reports whether a long-running item serves its users, according to a
// recent report of its worker.
func (cp *itemCopy) serving(now Time) bool {
	return cp.phase == running && !cp.stopWanted && cp.percent >= 100 && now-cp.worker.reportedAt < maxReportAge
}

const (
	// notServingMaxReportAge is the maximum age of a report that shows that an
	// item does not serve its users yet. Workers report several times a second.
	notServingMaxReportAge = 300 * time.Millisecond
	// An item whose progress is mayServePercent or more may begin to serve
	// before an order to stop arrives: one that was slowed down can return to
	// full speed at any time.
	mayServePercent = 50
	// A run whose progress is closeToServingPercent or more is stuck only after
	// closeToServingStallTimeout. The last third of a startup of 0.7 s takes less time than
	// a report may be old.
	closeToServingPercent      = 65
	closeToServingStallTimeout = 2 * stallTimeout
	// stopDeliveryTime is how long an order to stop may take to arrive.
	stopDeliveryTime = 300 * time.Millisecond
	// maxStopDelay is how long after an order to stop a run got no answer it may be
	// carried out. Workers promise no bound; delays of up to 12 s have been seen.
	maxStopDelay = 15 * time.Second
	// maxSpeedup is the factor by which the item may at most progress faster
	// than its average so far.
	maxSpeedup = 2
)

// certainlyNotServing reports whether a long-running item will certainly not
// have begun to serve its users when an order to stop arrives.
func (cp *itemCopy) certainlyNotServing(now Time) bool {
	age := now - cp.worker.reportedAt
	if age > notServingMaxReportAge || cp.phase == starting {
		return false
	}
	if cp.phase == unresolved {
		// The last report did not list the run.
		return true
	}
	if cp.percent >= mayServePercent {
		return false
	}
	// The order to start the run may have been carried out late, so that its speed
	// counts from when it was first known to run. Its progress is rounded down: at 0 %
	// in its first report, nothing is known of its speed.
	ran := max(cp.worker.reportedAt-cp.phaseSince, time.Millisecond)
	progress := float64(cp.percent + 1)
	ahead := maxSpeedup * progress * float64(age+stopDeliveryTime) / float64(ran)
	return progress+ahead < 100
}

// Contacted reports whether a worker has answered this owner.
func (c *Core) Contacted(id string) bool {
	w := c.workers[id]
	return w != nil && w.contacted
}

// Usable reports whether a worker is registered, contacted and open to new work.
// It may still get none for a while, such as after failures.
func (c *Core) Usable(id string) bool {
	w := c.workers[id]
	return w != nil && w.present && w.contacted && !w.Draining && !w.closed
}
