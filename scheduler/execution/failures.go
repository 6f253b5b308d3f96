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
	// failuresToAvoid is the number of failures after which a worker is avoided, unless a run
	// that was started after the last of them is done or serves its users.
	failuresToAvoid = 3
	// avoidTime is how long an avoided worker gets no work. It doubles with
	// each further failure, up to avoidTimeMax.
	avoidTime    = time.Second
	avoidTimeMax = 8 * time.Second
	// minWorkersToCompare is on how many workers a step has to fail before it may be the
	// cause.
	minWorkersToCompare = 2
	// maxCauses is how many jobs may be the cause of their steps' failures on a worker since
	// a run worked there. More that fail everywhere tell that the workers have a fault in
	// common.
	maxCauses = 3
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

// failedStep is what is known of the failures and stalls of a step's items. A step that
// fails wherever it runs is the cause itself.
type failedStep struct {
	// job is the ID of the step's job, which may be dropped before the failures are forgotten.
	job     string
	workers map[*worker]bool
	// isCause is set if the failures do not count against the workers.
	isCause bool
}

// blame is a number of failures of one step's items that a worker may have caused, the
// last of them at a time.
type blame struct {
	step     *failedStep
	failures int
	at       Time
}

// maxBlames bounds the steps whose failures are counted against a worker.
const maxBlames = 16

// recordFailure counts a failure or stall of an item, which the item or the worker may have
// caused. No work is placed on the worker for some time after several in a row.
func (c *Core) recordFailure(w *worker, i *item, now Time) {
	s := i.step
	if s.failed == nil {
		s.failed = &failedStep{job: s.job.ID, workers: map[*worker]bool{}}
	}
	s.failed.workers[w] = true
	if i.troubles++; i.troubles <= maxBlamedWorkers {
		w.addBlame(s.failed, now)
		c.updateAvoidance(w, now)
	}
	if !s.failed.isCause && s.failsEverywhere() {
		c.trace(Event{Name: "step_fails", Job: s.job.ID, Detail: fmt.Sprintf("step=%d.%d workers=%d", s.occurrence.number, s.index, len(s.failed.workers))})
		c.setCause(s.failed, true, now)
	}
}

// failsEverywhere reports whether the items of a step have failed on several workers and
// on all that they were started on.
func (s *step) failsEverywhere() bool {
	if s.worked || len(s.failed.workers) < minWorkersToCompare {
		return false
	}
	if s.spec.Gang {
		// The members end together.
		return true
	}
	for _, i := range s.tracked {
		for _, cp := range i.copies {
			if !s.failed.workers[cp.worker] && !cp.worker.silent {
				return false
			}
		}
	}
	return true
}

// stepWorked records that an item of a step is done, or serves its users, so that the step
// is not the cause of its failures.
func (c *Core) stepWorked(s *step, now Time) {
	s.worked = true
	if s.failed != nil && s.failed.isCause {
		c.setCause(s.failed, false, now)
	}
}

func (c *Core) setCause(f *failedStep, isCause bool, now Time) {
	f.isCause = isCause
	for _, w := range c.sortedWorkers {
		if slices.ContainsFunc(w.blames, func(b blame) bool { return b.step == f }) {
			c.updateAvoidance(w, now)
		}
	}
}

func (w *worker) addBlame(f *failedStep, now Time) {
	w.failedAt = now
	if n := slices.IndexFunc(w.blames, func(b blame) bool { return b.step == f }); n >= 0 {
		w.blames[n].failures++
		w.blames[n].at = now
		return
	}
	if len(w.blames) == maxBlames {
		w.blames = slices.Delete(w.blames, 0, 1)
	}
	w.blames = append(w.blames, blame{f, 1, now})
}

// updateAvoidance sets how long a worker gets no work after the failures that count
// against it: those of steps that are not the cause themselves, or of all steps if too many
// jobs are causes.
func (c *Core) updateAvoidance(w *worker, now Time) {
	causes := map[string]bool{}
	for _, b := range w.blames {
		if b.step.isCause {
			causes[b.step.job] = true
		}
	}
	failures, last := 0, Time(0)
	for _, b := range w.blames {
		if !b.step.isCause || len(causes) > maxCauses {
			failures += b.failures
			last = max(last, b.at)
		}
	}
	if failures < failuresToAvoid {
		c.endAvoidance(w, "step_fails", now)
		return
	}
	d := min(avoidTime<<min(failures-failuresToAvoid, 3), avoidTimeMax)
	if until := last + d; until != w.avoidUntil {
		w.avoidUntil = until
		c.trace(Event{Name: "worker_avoided", Worker: w.ID, Service: w.Service, Reason: "failures", Took: until - now})
	}
}

// runWorked forgets the failures of a worker. It ends its avoidance if the run, whose item
// is done or serves its users, was started after the last of them.
func (c *Core) runWorked(cp *itemCopy, reason string, now Time) {
	w := cp.worker
	if cp.adopted || cp.startedAt < w.failedAt {
		return
	}
	w.blames = nil
	c.endAvoidance(w, reason, now)
}

func (c *Core) endAvoidance(w *worker, reason string, now Time) {
	if now < w.avoidUntil {
		c.trace(Event{Name: "worker_usable", Worker: w.ID, Service: w.Service, Reason: reason, Took: w.avoidUntil - now})
	}
	w.avoidUntil = 0
}
