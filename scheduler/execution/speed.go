package execution

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// A worker is slow if its runs take slowFactor times as long as those of the typical
	// worker of its service. With 1.6, up to 13 healthy ones of 350 were slow for a while in
	// a day of 50 s, because the items of a step differ by a third.
	slowFactor = 2
	// A worker is compared with others from minSpeedWeight runs on, if there are
	// minComparedWorkers.
	minSpeedWeight     = 3
	minComparedWorkers = 3
	// maxSpeedWeight bounds the weight of earlier runs, and speedHalfLife is the time in
	// which it halves: a slow worker, which gets less work, counts as slow no longer than
	// about 7 s without a further run, and is tried again.
	maxSpeedWeight = 8
	speedHalfLife  = 5 * time.Second
	// maxRunRatio bounds how much a single run counts.
	maxRunRatio = 4
	// speedInterval is how often the workers of a service are compared.
	speedInterval = 500 * time.Millisecond
)

// workerSpeed is the decaying mean of the logarithm of how long runs on a worker took
// compared with the same step's items elsewhere.
type workerSpeed struct {
	logRatio, weight float64
	at               Time
	// slow is set while the worker is slow as of the last comparison.
	slow bool
}

func (v *workerSpeed) add(ratio float64, now Time) {
	v.weight = min(v.weightAt(now), maxSpeedWeight-1) + 1
	v.at = now
	bounded := min(max(ratio, 1/float64(maxRunRatio)), maxRunRatio)
	v.logRatio += (math.Log(bounded) - v.logRatio) / v.weight
}

// weightAt returns how many runs the mean stands for.
func (v *workerSpeed) weightAt(now Time) float64 {
	return v.weight * math.Exp2(-float64(now-v.at)/float64(speedHalfLife))
}

// slowness returns how long runs take on the worker compared with others. It returns false
// if too few are known.
func (v *workerSpeed) slowness(now Time) (float64, bool) {
	return math.Exp(v.logRatio), v.weightAt(now) >= minSpeedWeight
}

// learnSpeed compares a run with the items of the same step on other workers, which are
// independent of what the requester declared and of how long such steps take. It reports
// whether the worker is slow.
func (c *Core) learnSpeed(cp *itemCopy, took time.Duration, now Time) (slow bool) {
	w := cp.worker
	if typical, ok := cp.item.step.typicalElsewhere(w.place()); ok {
		w.speed.add(float64(took)/float64(typical), now)
	}
	return c.isSlowAt(w, now)
}

// compareSpeeds updates the typical slowness of each service's workers. If a whole pool is
// slow, its typical worker is, and none is slow by comparison.
func (c *Core) compareSpeeds(now Time) {
	if now-c.speedsAt < speedInterval {
		return
	}
	c.speedsAt = now
	known := map[string][]float64{}
	for _, w := range c.sortedWorkers {
		if slowness, ok := w.speed.slowness(now); ok && w.present {
			known[w.Service] = append(known[w.Service], slowness)
		}
	}
	clear(c.typicalSpeeds)
	for service, all := range known {
		if len(all) >= minComparedWorkers {
			slices.Sort(all)
			c.typicalSpeeds[service] = all[len(all)/2]
		}
	}
	for _, w := range c.sortedWorkers {
		slow := c.isSlowAt(w, now)
		if slow != w.speed.slow {
			w.speed.slow = slow
			c.traceSpeed(w, now)
		}
	}
}

// traceSpeed logs that a worker has become slow or is no longer.
func (c *Core) traceSpeed(w *worker, now Time) {
	name := "worker_speed_normal"
	if w.speed.slow {
		name = "worker_slow"
	}
	slowness, _ := w.speed.slowness(now)
	c.trace(Event{Name: name, Worker: w.ID, VM: w.VM, Service: w.Service, Detail: fmt.Sprintf("slowness=%.2f typical=%.2f", slowness, c.typicalSpeeds[w.Service])})
}

func (c *Core) isSlowAt(w *worker, now Time) bool {
	slowness, ok := w.speed.slowness(now)
	typical := c.typicalSpeeds[w.Service]
	return ok && typical > 0 && slowness > slowFactor*typical
}
