package execution

import "time"

const (
	// overTargetTime is how long a long-running item may be over its target
	// before the fillers beside it are slowed. It is a quarter of the 4 s after
	// which users count as harmed.
	overTargetTime = 700 * time.Millisecond
	// recoverTime is how long the items must be well under their targets before
	// the fillers get more.
	recoverTime = 2 * time.Second
	// recoveredShare is the share of the target that counts as well under it.
	recoveredShare = 0.7
	fullPace       = 100
	paceRaise      = 25
)

// pace slows fillers beside long-running items that are over their targets.
func (c *Core) pace(o *Orders, now Time) {
	for _, w := range c.sorted {
		if !w.contacted || w.fillerCPU == 0 {
			continue
		}
		over, calm := w.overTarget(now)
		for _, cp := range w.inOrder {
			if !cp.item.step.spec.Filler || cp.phase != running || cp.stopWanted {
				continue
			}
			level := cp.pace
			switch {
			case over && now-cp.overSince > overTargetTime:
				level = level / 3 / 5 * 5
			case calm && now-cp.overSince > recoverTime && level < fullPace:
				level = min(level+paceRaise, fullPace)
			}
			if level != cp.pace {
				cp.pace, cp.overSince = level, now
				o.Paces = append(o.Paces, Pace{Run: cp.id(), Worker: w.Worker, Percent: level})
			}
		}
	}
}

// overTarget reports whether a long-running item on the worker has been over
// its target for some time, and whether all are well under theirs.
func (w *worker) overTarget(now Time) (over, calm bool) {
	calm = true
	for _, cp := range w.inOrder {
		target := cp.item.step.spec.TailTarget
		if target == 0 || cp.item.step.spec.Filler || cp.phase != running {
			continue
		}
		tail := time.Duration(cp.load) * time.Millisecond
		if tail > target {
			if cp.overSince == 0 {
				cp.overSince = now
			}
			over = over || now-cp.overSince > overTargetTime
		} else {
			cp.overSince = 0
		}
		calm = calm && float64(tail) < recoveredShare*float64(target)
	}
	return over, calm
}
