package execution

import (
	"fmt"
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

const (
	// failureBackoff is the delay before an item that failed is started again. For
	// a long-running item, which may fail any number of times, there is none after
	// the first failure; it doubles with each further one up to failureBackoffMax
	// until the item serves its users.
	failureBackoff    = 50 * time.Millisecond
	failureBackoffMax = 2 * time.Second
	// maxBlamedWorkers is the number of workers that are blamed for the failures
	// and stalls of one item. After that, the cause is the item.
	maxBlamedWorkers = 2
	// failuresToAvoid is the number of failures after which a worker is avoided, without
	// a run with EndDone, or a long-running item that begins to serve, in between.
	failuresToAvoid = 3
	// avoidTime is how long an avoided worker gets no work. It doubles with
	// each further failure, up to avoidTimeMax.
	avoidTime    = time.Second
	avoidTimeMax = 8 * time.Second
)

// handleFailure delays the next start of an item that failed, and ends the job
// as failed once the item has used up its attempts. Long-running items have no
// limit of attempts.
func (c *Core) handleFailure(w *worker, i *item, run int64, now Time) {
	i.avoid = w.place()
	i.notBefore = now + i.backoff()
	c.recordFailure(w, i, now)
	if i.step.spec.LongRunning || slices.Contains(i.failedRuns, run) {
		return
	}
	i.failedRuns = append(i.failedRuns, run)
	c.recordHistory(i)
	c.endIfAttemptsUsedUp(i, now)
}

// endIfAttemptsUsedUp ends the job of an item that has used up its attempts. While their
// number is not known, the item is not started again, because it may have used them up, and
// the job is not ended.
func (c *Core) endIfAttemptsUsedUp(i *item, now Time) {
	j := i.step.job
	if j.final() || len(i.failedRuns) == 0 {
		return
	}
	attempts := c.queueOf(j).Attempts
	detail := fmt.Sprintf("item=%s failed_runs=%d attempts=%d queue=%s manifest=%d in_manifest=%t",
		i.id(), len(i.failedRuns), attempts, j.Queue, c.manifest.Version, c.manifest.Queue(j.Queue) != nil)
	wasUnknown := i.attemptsUnknown
	i.attemptsUnknown = attempts == 0
	switch {
	case i.attemptsUnknown:
		c.attemptsUnknown = append(c.attemptsUnknown, i)
		if !wasUnknown {
			c.trace(Event{Name: "attempts_unknown", Job: j.ID, Reason: "no_manifest_has_queue", Detail: detail})
		}
	case len(i.failedRuns) >= attempts:
		c.finish(j, job.Failed, "attempts_used_up", detail, now)
	case wasUnknown:
		c.addPending(i.step)
	}
}

// recheckAttempts decides about the items whose attempts were not known, in case the
// manifest has their queue now.
func (c *Core) recheckAttempts(now Time) {
	items := c.attemptsUnknown
	c.attemptsUnknown = nil
	for _, i := range items {
		c.endIfAttemptsUsedUp(i, now)
	}
}

// backoff returns the delay before the next start of an item that has failed.
func (i *item) backoff() time.Duration {
	if !i.step.spec.LongRunning {
		return failureBackoff
	}
	if i.troubles == 0 {
		return 0
	}
	return min(failureBackoff<<min(i.troubles-1, 10), failureBackoffMax)
}

// recordFailure counts a failure or stall of an item that the worker may have caused,
// and places no work on the worker for some time after several in a row.
func (c *Core) recordFailure(w *worker, i *item, now Time) {
	i.troubles++
	if i.troubles > maxBlamedWorkers {
		return
	}
	w.failures++
	w.failedAt = now
	if w.failures >= failuresToAvoid {
		d := min(avoidTime<<min(w.failures-failuresToAvoid, 3), avoidTimeMax)
		w.avoidUntil = now + d
		c.trace(Event{Name: "worker_avoided", Worker: w.ID, Service: w.Service, Reason: "failures", Took: d})
	}
}

// endAvoidance forgets the failures of a worker on which a long-running item serves that
// was started after the last of them.
func (c *Core) endAvoidance(cp *itemCopy, now Time) {
	w := cp.worker
	if w.failures == 0 || cp.adopted || cp.startedAt < w.failedAt {
		return
	}
	if now < w.avoidUntil {
		c.trace(Event{Name: "worker_usable", Worker: w.ID, Service: w.Service, Reason: "item_serves", Took: w.avoidUntil - now})
	}
	w.failures, w.avoidUntil = 0, 0
}
