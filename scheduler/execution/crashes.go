package execution

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// A worker that crashes lists no ends, so that the owner has to find out which of
// its items made it crash. Every item that may be the cause is a suspect. What tells
// the cause from the items beside it is the age of its runs when the workers crash:
// it is about the same each time. Suspects are kept apart, so that the next crash
// tells them from each other. One that is likely to be the cause runs isolated: only
// beside runs that have outlived their start and are no suspects, and nothing is
// started beside it. An item that is not the cause ends its run; the job of one under
// which workers go on to crash is given up.
//
// Workers also crash from outside, many at once. A crash is weak evidence if the worker
// had stopped answering before, so that it is not known when it crashed. So it is if the
// age of the run is not closely known and many workers on which no run was new crashed
// together or the run, whose start got no answer, was not in the last report. One weak crash
// counts beside others that match it and are not weak. See evidence.go.

const (
	// crashesToGiveUp is the number of workers that crash under an item at the same
	// age of its run before its job is given up. The last run was isolated, and at most one
	// crash is weak.
	crashesToGiveUp = 3
	// maxCrashes is the number of workers that may crash under an item at any age, if
	// most of the crashes are not weak. A sixth start would be one too many.
	maxCrashes = 5
	// maxCrashesWithWeak is the number of workers that may crash under an item in any
	// case. An item that takes its VM off the network leaves only those.
	maxCrashesWithWeak = 10
	// An item is isolated after matchingCrashesToIsolate workers have crashed under
	// it at the same age of its run, one of them weak at most, or crashesToIsolate at any
	// age, weak crashes left out, or crashesWithWeakToIsolate in all.
	matchingCrashesToIsolate = crashesToGiveUp - 1
	crashesToIsolate         = 3
	crashesWithWeakToIsolate = 5
	// ageTolerance allows for the time that an order to start takes to arrive, from
	// which on the age counts.
	ageTolerance = 100 * time.Millisecond
	// maxAgeUncertainty is how closely the age of a run is known at a crash that is
	// evidence even if many workers crash together or the run may not have started. A
	// crash closes the connections to the worker, so that the age is known closely if
	// the item crashes it at its start.
	maxAgeUncertainty = 150 * time.Millisecond
	// maxComparableUncertainty is how closely the age of a run at a crash has to be known
	// to be compared with others. Workers report several times a second; it is wider for
	// a run of a former owner, and after the owner has stood still.
	maxComparableUncertainty = time.Second
	// Workers crash together from outside if more than maxUnrelatedCrashes on which no run
	// was new do within crashTogetherTime: items that crash their workers at the start, of
	// which a new owner may start many at once, do not explain that. The owner may pause for
	// 100 ms before it calls a worker again, so that it learns of some crashes later than of
	// others.
	crashTogetherTime   = 200 * time.Millisecond
	maxUnrelatedCrashes = 4
	// maxIsolationShare is the part of the workers of a service that isolated
	// items may take, but at least one worker. The others keep taking new work.
	maxIsolationShare = 0.5
)

// suspect reports whether a worker has crashed under the item, which may be the cause.
func (i *item) suspect() bool { return len(i.crashes) > 0 }

// needsIsolation reports whether the item has to run isolated. The items of a gang only
// work together, so they are never isolated.
func (i *item) needsIsolation() bool {
	if i.step.spec.Gang {
		return false
	}
	return i.matchingCrashes() >= matchingCrashesToIsolate || i.strongCrashes() >= crashesToIsolate || len(i.crashes) >= crashesWithWeakToIsolate
}

// strongCrashes returns the number of crashes that are not weak.
func (i *item) strongCrashes() int {
	n := 0
	for _, c := range i.crashes {
		if !c.Weak {
			n++
		}
	}
	return n
}

// likelyCause reports whether workers crash because of the item. With mostly weak crashes it
// takes more of them, as workers that crash from outside leave such.
func (i *item) likelyCause() bool {
	crashes := len(i.crashes)
	return i.matchingCrashes() >= crashesToGiveUp || crashes >= maxCrashes && 2*i.strongCrashes() > crashes || crashes >= maxCrashesWithWeak
}

// setCrashes replaces the crashes that a run of the item may have caused.
func (i *item) setCrashes(crashes []job.Crash) {
	before := i.needsIsolation()
	i.crashes = crashes
	switch after := i.needsIsolation(); {
	case after && !before:
		i.step.toIsolate++
	case before && !after:
		i.step.toIsolate--
	}
}

// suspects returns the copies that may have made their worker crash. Long-running
// items that served their users did not crash the worker when they started, and a run
// that has already crashed a former lifetime is looked for in this one, but hardly
// there. Of the items with crashes at a comparable age, only those with the most matching
// crashes are suspected again.
func (w *worker) suspects() []*itemCopy {
	var suspects []*itemCopy
	most := 0
	for _, cp := range w.orderedCopies {
		if cp.phase == starting || cp.item.step.job.final() || cp.served() || cp.item.crashed(cp.run) {
			continue
		}
		suspects = append(suspects, cp)
		most = max(most, cp.item.matchingCrashes())
	}
	return slices.DeleteFunc(suspects, func(cp *itemCopy) bool {
		matching := cp.item.matchingCrashes()
		return matching > 0 && matching < most
	})
}

// crashed reports whether a worker has crashed under a run of the item.
func (i *item) crashed(run int64) bool {
	return slices.ContainsFunc(i.crashes, func(c job.Crash) bool { return c.Run == run })
}

// served reports whether the run is one of a long-running item that has served its
// users.
func (cp *itemCopy) served() bool { return cp.item.step.spec.LongRunning && cp.percent >= 100 }

// suspectRuns records the runs on a worker that has fallen silent, or whose lifetime
// has ended, and that may be the cause. at is the latest time at which the worker can
// have crashed. It is not known yet whether the worker has crashed. The record is durable,
// because the next owner may be the first to know.
func (c *Core) suspectRuns(w *worker, at Time) {
	for _, cp := range w.suspects() {
		i := cp.item
		if slices.ContainsFunc(i.lostRuns, func(l job.LostRun) bool { return l.Run == cp.run }) {
			continue
		}
		l := job.LostRun{Worker: w.place(), StartMillis: w.StartMillis, Crash: job.Crash{Run: cp.run}}
		l.MinAgeMillis = cp.minAge().Milliseconds()
		l.MaxAgeMillis = max(at-max(cp.startedAt, cp.sentAt, cp.absentAt), 0).Milliseconds()
		if cp.adopted {
			// A former owner started the run; startedAt is when it was adopted.
			l.MaxAgeMillis += maxJobAge.Milliseconds()
		}
		l.WeakReason = w.weakReason(cp, l.Crash)
		l.Weak = l.WeakReason != ""
		i.lostRuns = append(i.lostRuns, l)
		c.lostAt[w.place()] = append(c.lostAt[w.place()], i)
		c.recordHistory(i)
	}
}

// suspectLateStart records a run as lost whose start was without a result when its worker fell
// silent.
func (c *Core) suspectLateStart(cp *itemCopy, now Time) {
	if cp.worker.silent {
		c.suspectRuns(cp.worker, cmp.Or(cp.worker.endedAt, now))
	}
}

// recordHistory makes a lost or failed run of an item durable.
func (c *Core) recordHistory(i *item) {
	j := i.step.job
	c.markDirty(j)
	i.historyVersion, j.historyVersion = j.version, j.version
}

// historyCommitted reports whether the store has the lost and failed runs of the item. The item
// is not started before: if the next worker crashes and the owner is lost as well, the next
// owner would not know of these runs. Whether a lost run counts as a crash is not waited
// for, as the next owner decides that from the lost run.
func (i *item) historyCommitted() bool { return i.historyVersion <= i.step.job.committed }

// settleLostRuns decides about the lost runs at the place of a worker. Those of
// earlier lifetimes have crashed it. Those of its present lifetime are dropped if
// it is known that it has not crashed.
func (c *Core) settleLostRuns(w Worker, notCrashed bool, now Time) {
	items := c.lostAt[w.place()]
	if len(items) == 0 {
		return
	}
	delete(c.lostAt, w.place())
	for _, i := range items {
		var crashed []job.LostRun
		dropped, left := false, false
		i.lostRuns = slices.DeleteFunc(i.lostRuns, func(l job.LostRun) bool {
			switch {
			case l.Worker != w.place():
				return false
			case l.StartMillis < w.StartMillis:
				crashed = append(crashed, l)
				return true
			}
			dropped, left = dropped || notCrashed, left || !notCrashed
			return notCrashed
		})
		if left {
			c.lostAt[w.place()] = append(c.lostAt[w.place()], i)
		}
		if dropped && !i.done && !i.step.job.final() {
			c.markDirty(i.step.job)
		}
		for _, l := range crashed {
			c.countCrash(i, l, now)
		}
	}
}

// dropLostRuns forgets the lost runs of jobs that are removed.
func (c *Core) dropLostRuns(removed map[string]bool) {
	if len(removed) == 0 {
		return
	}
	for place, items := range c.lostAt {
		items = slices.DeleteFunc(items, func(i *item) bool { return removed[i.step.job.ID] })
		if c.lostAt[place] = items; len(items) == 0 {
			delete(c.lostAt, place)
		}
	}
}

// restoreLostRuns sets the lost runs of an item from its durable record.
func (c *Core) restoreLostRuns(i *item, lost []job.LostRun, now Time) {
	i.lostRuns = slices.Clone(lost)
	for _, l := range lost {
		c.lostAt[l.Worker] = append(c.lostAt[l.Worker], i)
		if w := cmp.Or(c.workerOnVM[l.Worker], c.workers[l.Worker]); w != nil {
			c.settleLostRuns(w.Worker, false, now)
		}
	}
}

// endPlanned reports whether the present lifetime of a worker ends as planned. A worker whose
// process had ended before the owner closed it has crashed.
func (w *worker) endPlanned() bool {
	return w.Draining || w.closed && (w.endedAt == 0 || w.endedClosed)
}

// workerEnded is called when the lifetime of a worker has ended. Unless the end was
// planned, the worker has crashed.
func (c *Core) workerEnded(w *worker, now Time) {
	if w.endPlanned() {
		c.settleLostRuns(w.Worker, true, now)
		return
	}
	if !w.silent {
		c.processEnded(w, now)
	}
	if len(w.orderedCopies) > 0 {
		c.suspectRuns(w, cmp.Or(w.endedAt, now))
		c.trace(Event{
			Name: "worker_crashed", Worker: w.ID, VM: w.VM, Service: w.Service,
			Detail: fmt.Sprintf("runs=%d suspects=%d", len(w.orderedCopies), len(c.lostAt[w.place()])),
		})
	}
}

// replaceFormerWorker ends the lifetime of the worker that ran on a VM before the
// given one. It returns false if the given worker is the former one: the registry
// keeps its entry for a while.
func (c *Core) replaceFormerWorker(info Worker, now Time) bool {
	former := c.workerOnVM[info.VM]
	if info.VM == "" || former == nil || former.ID == info.ID || former.StartMillis == info.StartMillis {
		return true
	}
	if info.StartMillis < former.StartMillis {
		return false
	}
	c.workerEnded(former, now)
	for _, cp := range copiesOf(former) {
		c.requeueLost(cp, "vm_restarted", now)
	}
	c.removeWorker(former, now)
	return true
}

// countCrash counts a worker that crashed under a run of the item, and gives the job
// up if the item is the cause.
func (c *Core) countCrash(i *item, lost job.LostRun, now Time) {
	j := i.step.job
	if j.final() || i.done || i.crashed(lost.Run) {
		return
	}
	i.setCrashes(append(slices.Clone(i.crashes), lost.Crash))
	i.avoid = lost.Worker
	c.markDirty(j)
	matching, strong := i.matchingCrashes(), i.strongCrashes()
	c.trace(Event{
		Name: "item_suspected", Item: i.id().String(), Run: lost.Run, VM: lost.Worker,
		Detail: fmt.Sprintf("crashes=%d weak=%d matching=%d age_ms=%d-%d history=%s",
			len(i.crashes), len(i.crashes)-strong, matching, lost.MinAgeMillis, lost.MaxAgeMillis, crashHistory(i.crashes)),
	})
	c.giveUpIfCause(i, now)
}

// crashHistory lists, for the log, the crashes that are counted against an item: the run, its
// age in milliseconds, and why the crash is weak.
func crashHistory(crashes []job.Crash) string {
	history := make([]string, 0, len(crashes))
	for _, c := range crashes {
		history = append(history, strings.TrimSuffix(fmt.Sprintf("%d:%d-%d:%s", c.Run, c.MinAgeMillis, c.MaxAgeMillis, c.WeakReason), ":"))
	}
	return strings.Join(history, ",")
}

// giveUpIfCause gives the job of an item up if the item is the cause of crashes. It does
// not while another run of the item is known to go on, or while a worker that was not
// contacted may have a run of a former owner.
func (c *Core) giveUpIfCause(i *item, now Time) {
	j := i.step.job
	if j.final() || i.done || !i.likelyCause() {
		return
	}
	if j.inherited && !c.settled && len(c.formerHolders) > 0 {
		c.inheritedCauses = append(c.inheritedCauses, i)
		return
	}
	if !slices.ContainsFunc(i.copies, func(cp *itemCopy) bool { return cp.listed && !cp.worker.silent }) {
		c.finish(j, job.Failed, "workers_crashed", "item="+i.id().String(), now)
	}
}

// clearRun forgets that a run may have crashed its worker: the worker lists it, so
// that the start reached the worker's present lifetime.
func (c *Core) clearRun(i *item, run int64) {
	if i.crashed(run) {
		i.setCrashes(slices.DeleteFunc(slices.Clone(i.crashes), func(c job.Crash) bool { return c.Run == run }))
		c.markDirty(i.step.job)
	}
}

// clearSuspicion forgets the crashes of a long-running item that serves its users.
func (c *Core) clearSuspicion(cp *itemCopy) {
	if cp.item.suspect() {
		cp.item.setCrashes(nil)
		cp.countSuspect(-1)
		cp.suspect, cp.isolated = false, false
		c.markDirty(cp.item.step.job)
	}
}

// countSuspect adds n to the suspects on the copy's worker if the copy is one.
func (cp *itemCopy) countSuspect(n int) {
	if cp.suspect {
		cp.worker.suspectRuns += n
	}
	if cp.isolated {
		cp.worker.isolatedRuns += n
	}
}
