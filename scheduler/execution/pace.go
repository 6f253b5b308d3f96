package execution

import "time"

const (
	// overTargetTime is how long a long-running item may be over its target
	// before the fillers on its worker are slowed down, and the minimum time
	// between two slowdowns of a filler. It has to be well below the 4 s after
	// which users count as harmed.
	overTargetTime = 700 * time.Millisecond
	// recoverTime is the time after a change of a filler's pace before the pace
	// is raised, if the long-running items are well under their targets.
	recoverTime = 2 * time.Second
	// recoveredFraction is the fraction of the target below which an item is
	// well under it.
	recoveredFraction = 0.7
	fullPace          = 100 // percent
	paceStep          = 25  // percentage points
)

// paceFillers slows fillers down on workers with long-running items that are
// over their targets, and lets them speed up again afterwards. A slowdown
// divides the pace by 3 and rounds it down to a multiple of 5: from 100 % to 30 %,
// 10 % and 0, at which the filler does not progress.
func (c *Core) paceFillers(o *Orders, now Time) {
	for _, w := range c.busyWorkers {
		if !w.contacted || w.fillerCPU == 0 {
			continue
		}
		over, recovered := w.overTarget(now)
		for _, cp := range w.orderedCopies {
			if !cp.item.step.spec.Filler || cp.phase != running || cp.stopWanted {
				continue
			}
			pace := cp.pace
			switch {
			case over && now-cp.overSince > overTargetTime:
				pace = pace / 3 / 5 * 5
			case recovered && now-cp.overSince > recoverTime && pace < fullPace:
				pace = min(pace+paceStep, fullPace)
			}
			if pace != cp.pace {
				cp.pace, cp.overSince = pace, now
				o.Paces = append(o.Paces, Pace{Run: cp.id(), Worker: w.Worker, Percent: pace, Fence: w.fence})
			}
		}
	}
}

// overTarget reports whether a long-running item on the worker has been over
// its target for some time, and whether all are well under theirs.
func (w *worker) overTarget(now Time) (over, recovered bool) {
	recovered = true
	for _, cp := range w.orderedCopies {
		target := cp.item.step.spec.TailTarget
		if target == 0 || cp.item.step.spec.Filler || cp.phase != running {
			continue
		}
		tail := time.Duration(cp.tailMillis) * time.Millisecond
		if tail > target {
			if cp.overSince == 0 {
				cp.overSince = now
			}
			over = over || now-cp.overSince > overTargetTime
		} else {
			cp.overSince = 0
		}
		recovered = recovered && float64(tail) < recoveredFraction*float64(target)
	}
	return over, recovered
}
