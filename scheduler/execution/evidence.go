package execution

import (
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// Reasons for which a crash is weak evidence against an item.
const (
	// crashUntimed: the worker had stopped answering before it was known to have crashed.
	crashUntimed = "no_answer"
	// crashTogether: many workers crashed together.
	crashTogether = "together"
	// crashNoticedLate: the worker had stopped answering, and was known to have ended soon
	// after.
	crashNoticedLate = "noticed_late"
	// crashNotListed: the start got no answer, and the last report did not list the run.
	crashNotListed = "not_listed"
)

// weakReason returns why a crash of the worker under a run is weak, or "".
func (w *worker) weakReason(cp *itemCopy, crash job.Crash) string {
	switch {
	case w.endedAt == 0:
		return crashUntimed
	case ageKnown(crash):
		return ""
	case w.endedWithOthers:
		return crashTogether
	case cp.absentAt > 0:
		return crashNotListed
	}
	return ""
}

// ageKnown reports whether the age of the run at a crash is closely known.
func ageKnown(c job.Crash) bool {
	return c.MaxAgeMillis-c.MinAgeMillis <= maxAgeUncertainty.Milliseconds()
}

// endedWorker is a lifetime of a worker whose process is known to have ended.
type endedWorker struct {
	*worker
	startMillis int64
}

// mayHaveNewRun reports whether a run on the worker can have been new when the worker last
// answered or since: an item that crashes its workers at the start explains the end of
// the worker.
func (w *worker) mayHaveNewRun() bool {
	return slices.ContainsFunc(w.orderedCopies, func(cp *itemCopy) bool {
		return !cp.adopted && cp.absentAt == 0 && cp.minAge() <= ageTolerance
	})
}

// minAge returns how old the run was at least when its worker last listed it, or zero. It
// had started when the owner learned so, which is long after the order if the owner is short
// of processor time.
func (cp *itemCopy) minAge() time.Duration {
	if !cp.listed {
		return 0
	}
	return max(cp.worker.reportedAt-cp.phaseSince, 0)
}

// processEnded records that the process of a worker has ended by now and that the worker
// had answered until then. If many end together without a new run, crashes at which the age
// of a run is not closely known become weak.
func (c *Core) processEnded(w *worker, now Time) {
	w.endedAt, w.endedByNewRun, w.endedClosed = now, w.mayHaveNewRun(), w.closed
	c.endedWorkers = slices.DeleteFunc(c.endedWorkers, func(e endedWorker) bool {
		return e.worker == w || e.StartMillis != e.startMillis || now-e.endedAt > crashTogetherTime
	})
	c.endedWorkers = append(c.endedWorkers, endedWorker{w, w.StartMillis})
	if c.endedWithoutNewRun() <= maxUnrelatedCrashes {
		return
	}
	for _, e := range c.endedWorkers {
		if !e.endedWithOthers {
			e.endedWithOthers = true
			c.weakenLostRuns(e.worker)
		}
	}
}

// endedWithoutNewRun returns the number of workers that have ended lately and had no new
// run.
func (c *Core) endedWithoutNewRun() int {
	n := 0
	for _, e := range c.endedWorkers {
		if !e.endedByNewRun {
			n++
		}
	}
	return n
}

// weakenLostRuns makes crashes of a worker weak at which the age of a run is not closely
// known.
func (c *Core) weakenLostRuns(w *worker) {
	for _, i := range c.lostAt[w.place()] {
		for n := range i.lostRuns {
			l := &i.lostRuns[n]
			if l.Worker != w.place() || l.StartMillis != w.StartMillis || l.Weak || ageKnown(l.Crash) {
				continue
			}
			l.Weak, l.WeakReason = true, crashTogether
			c.markDirty(i.step.job)
		}
	}
}

// endedWhileSilent records that the process of a worker that had stopped answering has ended
// by now. It is not known when, so that the crash stays weak, but the age of each run is
// known if the worker has not been silent for long.
func (c *Core) endedWhileSilent(w *worker, now Time) {
	if w.silentAt == 0 || w.endedAt > 0 {
		return
	}
	since := (now - w.silentAt).Milliseconds()
	w.silentAt = 0
	for _, i := range c.lostAt[w.place()] {
		for n := range i.lostRuns {
			l := &i.lostRuns[n]
			if l.Worker == w.place() && l.StartMillis == w.StartMillis && l.WeakReason == crashUntimed {
				l.MaxAgeMillis += since
				l.WeakReason = crashNoticedLate
				c.markDirty(i.step.job)
			}
		}
	}
}

// matchingCrashes returns the largest number of crashes at which the item's runs can
// have had the same age, give or take ageTolerance. At most one weak crash counts, and none
// without others.
func (i *item) matchingCrashes() int {
	most := 0
	for _, c := range i.crashes {
		strong, weak := 0, 0
		for _, o := range i.crashes {
			switch {
			case !hasComparableAge(c) || !hasComparableAge(o) || o.MinAgeMillis > c.MinAgeMillis || c.MinAgeMillis > o.MaxAgeMillis+ageTolerance.Milliseconds():
			case o.Weak:
				weak = 1
			default:
				strong++
			}
		}
		if strong > 0 {
			most = max(most, strong+weak)
		}
	}
	return most
}

// hasComparableAge reports whether the age of the run at a crash can be compared with others.
func hasComparableAge(c job.Crash) bool {
	timed := !c.Weak || c.WeakReason == crashTogether || c.WeakReason == crashNotListed || c.WeakReason == crashNoticedLate
	return timed && c.MaxAgeMillis-c.MinAgeMillis <= maxComparableUncertainty.Milliseconds()
}
