package execution

import (
	"slices"
	"time"
)

// clockNow returns a lower bound of the worker's current clock reading: the
// clock may be slow by workerClockError.
func (w *worker) clockNow(now Time) time.Duration {
	return w.clock + time.Duration(float64(now-w.clockAt)*(1-workerClockError))
}

// grant records that the worker may hold a lease until deadline on its clock.
func (w *worker) grant(deadline time.Duration) {
	left := time.Duration(float64(deadline-w.clock) / (1 - workerClockError))
	w.lapseAt = max(w.lapseAt, w.clockAt+left+lapseMargin)
}

// lapsed reports whether all leases that the worker may hold in its present lifetime have
// certainly lapsed, so that no run that it has listed can still go on there.
func (w *worker) lapsed(now Time) bool { return now > w.lapseAt }

// unlisted reports whether the present lifetime of the worker has not listed the run. The
// worker may have started again, unknown to the owner, before it got the start: then a later
// lifetime has the run. For that one the deadlines of orders are times on another clock, so
// that nothing but the worker's own limit bounds its lease. The lists, unlike the answers to
// starts, name the lifetime; a run that they hold ends with it.
func (cp *itemCopy) unlisted() bool { return !cp.listed }

func (w *worker) hasUnlisted() bool {
	return slices.ContainsFunc(w.orderedCopies, (*itemCopy).unlisted)
}

// leaseLapsed reports whether all leases under which the run can go on have certainly lapsed.
func (cp *itemCopy) leaseLapsed(now Time) bool {
	return cp.worker.lapsed(now) && (!cp.unlisted() || now > cp.worker.laterLapseAt)
}

// runsLapseAt returns when leaseLapsed begins to hold for all runs on the worker.
func (w *worker) runsLapseAt() Time {
	if w.hasUnlisted() {
		return max(w.lapseAt, w.laterLapseAt)
	}
	return w.lapseAt
}

// extendLaterLease records that a call with a deadline may have been carried out up to now,
// by a later lifetime of the worker that the owner does not know of.
func (c *Core) extendLaterLease(w *worker, now Time) {
	w.laterLapseAt = max(w.laterLapseAt, now+c.longestLeaseTime())
}

const (
	// workerClockError is the largest fraction by which a worker's clock may
	// run slow.
	workerClockError = 0.02
	// lapseMargin covers the time that a worker takes to end runs whose lease
	// has lapsed.
	lapseMargin = 200 * time.Millisecond
)

// mayExtendLease reports whether the next hold extends the lease. A hold to a silent worker
// does not if the worker has not listed a long-running item: the lease of a later lifetime,
// which may have it, would be extended as well, and the item would be unavailable for longer.
func (w *worker) mayExtendLease(now Time) bool {
	if !w.contacted || len(w.copies) == 0 || now-w.clockAt >= maxReportAge {
		return false
	}
	return !w.silent || !slices.ContainsFunc(w.orderedCopies, func(cp *itemCopy) bool { return cp.unlisted() && cp.item.step.spec.LongRunning })
}

// holdEnded records that there is a result of the last hold, or that there will be none.
func (c *Core) holdEnded(w *worker, now Time) {
	if w.extendsLease {
		w.extendsLease = false
		c.extendLaterLease(w, now)
	}
}

// maxLeaseTime returns the longest time from now in which runs under a lease that
// was granted up to now can go on in the lifetime that it was meant for, including
// lapseMargin.
func (c *Core) maxLeaseTime() time.Duration { return longestTime(c.options.LeaseDuration) }

// longestLeaseTime is maxLeaseTime for a lease that a call for a former lifetime of the
// worker may have granted. Its deadline is a time on the former lifetime's clock, so
// that nothing but the worker's own limit bounds it.
func (c *Core) longestLeaseTime() time.Duration {
	return longestTime(max(c.options.LeaseDuration, c.options.MaxLease))
}

// longestTime returns how long runs under a lease can go on.
func longestTime(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-workerClockError)) + lapseMargin
}
