package execution

import (
	"cmp"
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// placeIsolated starts the items of the candidates that have to run isolated. It takes
// their workers, and those that such an item waits for, from the eligible workers. The
// limit of starts does not apply, as these items are few.
func (c *Core) placeIsolated(o *Orders, candidates []candidate, eligible map[string]*eligibleWorkers, now Time) {
	left := map[string]int{}
	for _, cand := range candidates {
		if cand.step.toIsolate == 0 || !c.mayStart(cand.step.job) {
			continue
		}
		group := eligible[cand.queue.Service]
		tickets, ok := c.ticketsFor(cand.step, cand.queue, now)
		if !ok {
			continue
		}
		if _, known := left[cand.queue.Service]; !known {
			left[cand.queue.Service] = max(int(maxIsolationShare*float64(len(group.workers)+len(group.isolated))), 1) - len(group.isolated)
		}
		for _, i := range cand.step.tracked {
			if !i.needsIsolation() || !i.startable() || now < i.notBefore || left[cand.queue.Service] <= 0 && !i.waitedForIsolation(now) || !c.capAllows(cand.step, 1) {
				continue
			}
			w := cmp.Or(isolationWorker(i, group.workers, tickets), isolationWorker(i, group.lastChoice(cand.step, now), tickets))
			if w == nil {
				continue
			}
			left[cand.queue.Service]--
			group.remove(w)
			if (w.unsettledRuns() == 0 || i.waitedForIsolation(now)) && w.accepts(cand.step, cand.step.spec.Charge(), tickets) {
				o.Starts = append(o.Starts, c.start(i, w, max(i.lastRun+1, c.firstRun), i.saved, tickets, now))
			}
		}
	}
}

// maxIsolationWait is how long a long-running item waits for other suspects or for isolated
// items to end. These may run for 20 s, and it may wait for 3 s beside a worker with room.
// If it runs isolated itself, only long-running items that have waited as long are started
// beside it before it serves.
const maxIsolationWait = 2 * time.Second

// waitedForIsolation reports whether an item does not wait any longer for other suspects or
// isolated items to end. That is never so for items that are not long-running.
func (i *item) waitedForIsolation(now Time) bool {
	return i.waitingSince > 0 && now-i.waitingSince >= maxIsolationWait
}

// waitingForIsolation returns the number of items that wait to run isolated.
func (s *step) waitingForIsolation() int {
	if s.toIsolate == 0 {
		return 0
	}
	n := 0
	for _, i := range s.tracked {
		if i.needsIsolation() && i.startable() {
			n++
		}
	}
	return n
}

// isolationWorker returns the worker for an item that has to run isolated: among those
// that have room for it now, or else once some runs have ended, the one with the fewest
// runs that the item has to wait for, and not the one that crashed last if there is a
// choice.
func isolationWorker(i *item, workers []*worker, tickets map[string]string) *worker {
	charge := i.step.spec.Charge()
	var best *worker
	var bestScore []int
	for _, w := range workers {
		if !w.allows(i.step, tickets) || !charge.Fits(w.idleCapacity()) {
			continue
		}
		full, crashedLast := 0, 0
		if !charge.Fits(w.free()) {
			full = 1
		}
		if w.place() == i.avoid {
			crashedLast = 1
		}
		// Compared in this order; the smallest is best.
		score := []int{full, w.unsettledRuns(), crashedLast, len(w.orderedCopies)}
		if best == nil || slices.Compare(score, bestScore) < 0 {
			best, bestScore = w, score
		}
	}
	return best
}

// unsettledRuns returns the number of runs on the worker that an isolated item has to
// wait for: suspects, and runs that the worker has not listed yet.
func (w *worker) unsettledRuns() int {
	n := len(w.orphans)
	for _, cp := range w.orderedCopies {
		if cp.suspect || !cp.listed {
			n++
		}
	}
	return n
}

// idleCapacity returns what the worker has free once all runs have ended but those
// of long-running items.
func (w *worker) idleCapacity() job.Resources {
	free := w.Capacity
	for _, cp := range w.orderedCopies {
		if cp.item.step.spec.LongRunning {
			free = free.Add(cp.item.step.spec.Charge(), -1)
		}
	}
	return free
}
