package execution

import (
	"fmt"
	"slices"
	"time"
)

const (
	// outlastingInterval is how often runs are checked for outlasting others.
	outlastingInterval = 100 * time.Millisecond
	// standstillTime is how long a run may show no progress before a second copy starts
	// beside it. One of 20 s, the longest that requesters declare, shows progress every
	// 0.2 s. After stallTimeout the run is stopped.
	standstillTime = time.Second
	// maxEvidenceAge is the maximum age of a worker's last report for it to be evidence.
	// Workers report several times a second.
	maxEvidenceAge = 700 * time.Millisecond
	// minUnevenness bounds the learned unevenness of a step's items from below. It stands
	// for the tail if too little is known.
	minUnevenness = 2
	// defaultUnevenness stands for the tail as long as too few items are known.
	defaultUnevenness = 3
	// tailMargin is the factor above the 95th percentile beyond which a run is suspicious.
	// Whether its item or its worker is the cause is decided by further evidence.
	tailMargin = 1.3
	// copyStartTime is added to the expected run time of a second copy: the order has to
	// reach a worker, and the end to be reported.
	copyStartTime = 200 * time.Millisecond
)

// runEvidence is what is known of a run of which a second copy may start.
type runEvidence struct {
	// elapsed is how long the run has been going on; total is how long it will take in all
	// at its speed so far, or zero if that is not known.
	elapsed, total time.Duration
	// still is how long it has shown no progress although its worker reports.
	still time.Duration
	// typical is the run time of other items: of the same step on other workers if siblings
	// is set, else of the image. suspicious and extreme are the run times beyond which 5 and
	// 1 of 100 such items are, with a margin.
	typical, suspicious, extreme time.Duration
	siblings                     bool
	// workerSlow is set if the worker was slow with earlier runs, or its runs of other
	// steps outlast the items of those steps on other workers as well.
	workerSlow bool
}

// outlastReason says why a run outlasts what such runs take; it is empty if it does not, or
// if a second copy would not end before it. An item that is long by nature has the worker's
// other runs and the other items of its step against it: a copy of it would take as long.
func (e runEvidence) outlastReason() string {
	if e.typical == 0 || e.elapsed < e.typical {
		return ""
	}
	expected := max(e.elapsed, e.total)
	reason := ""
	switch {
	case e.still >= standstillTime:
		// Nothing tells when it goes on.
		return "no_progress"
	case e.siblings && expected > e.extreme:
		reason = "siblings"
	case e.workerSlow && expected > e.suspicious:
		reason = "slow_worker"
	default:
		return ""
	}
	left := e.elapsed
	if e.total > 0 {
		left = e.total - e.elapsed
	}
	if left <= e.typical+copyStartTime {
		return ""
	}
	return reason
}

// markOutlasting decides which runs of speculative items outlast what such runs take. Their
// items are startable while the pool has free capacity and no other work waits for it.
func (c *Core) markOutlasting(now Time) {
	if c.options.TrustDeclared || now-c.outlastingAt < outlastingInterval {
		return
	}
	c.outlastingAt = now
	c.compareSpeeds(now)
	busy := c.servicesWithWaitingWork()
	var eligible map[string]*eligibleWorkers
	for _, w := range c.busyWorkers {
		for _, cp := range w.orderedCopies {
			if !cp.item.step.spec.Speculative {
				continue
			}
			was := cp.outlasts
			cp.outlasts = false
			i := cp.item
			if busy[w.Service] || i.done || cp.stopWanted || cp.phase != running || i.step.spec.Gang || len(i.copies) > 1 || w.silent || now-w.reportedAt > maxEvidenceAge {
				continue
			}
			e := c.evidenceOf(cp, now)
			reason := e.outlastReason()
			if reason == "" {
				continue
			}
			if eligible == nil {
				eligible = c.eligibleByService(now)
			}
			if !c.hasRoomForCopy(i, eligible[w.Service]) {
				continue
			}
			cp.outlasts = true
			c.addPending(i.step)
			if !was {
				c.trace(Event{
					Name: "run_outlasts", Item: i.id().String(), Run: cp.run, Worker: w.ID, Service: w.Service, Reason: reason, Took: e.elapsed,
					Detail: fmt.Sprintf("expected_ms=%d suspicious_ms=%d extreme_ms=%d percent=%d still_ms=%d siblings=%t worker_slow=%t",
						e.typical.Milliseconds(), e.suspicious.Milliseconds(), e.extreme.Milliseconds(), cp.percent, e.still.Milliseconds(), e.siblings, e.workerSlow),
				})
			}
		}
	}
}

// hasRoomForCopy reports whether a worker that is not slow can take a second copy of the item.
// Without one, the item would count as waiting work of the pool.
func (c *Core) hasRoomForCopy(i *item, eligible *eligibleWorkers) bool {
	if eligible == nil {
		return false
	}
	w := c.chooseWorker(i, eligible.workers, nil)
	return w != nil && !w.speed.slow
}

// servicesWithWaitingWork returns the services for which items wait, apart from second
// copies.
func (c *Core) servicesWithWaitingWork() map[string]bool {
	busy := map[string]bool{}
	for _, s := range c.pendingSteps {
		if s.job.final() || s.done() {
			continue
		}
		waits := func(i *item) bool { return len(i.copies) == 0 && i.startable() }
		if s.fresh > 0 || slices.ContainsFunc(s.tracked, waits) {
			busy[c.queueOf(s.job).Service] = true
		}
	}
	return busy
}

// evidenceOf gathers what is known of a run.
func (c *Core) evidenceOf(cp *itemCopy, now Time) runEvidence {
	e := c.comparison(cp, now)
	if now-cp.worker.reportedAt < maxEvidenceAge {
		e.still = max(cp.worker.reportedAt-cp.progressedAt, 0)
	}
	e.workerSlow = cp.worker.speed.slow || c.othersOutlast(cp, now)
	return e
}

// comparison compares a run with others like it, without evidence about its worker.
func (c *Core) comparison(cp *itemCopy, now Time) runEvidence {
	e := runEvidence{elapsed: now - cp.startedAt}
	e.total, _ = cp.projected()
	s := cp.item.step
	if typical, ok := s.typicalElsewhere(cp.worker.place()); ok {
		uneven := c.learnedUnevenness(s)
		e.siblings, e.typical = true, typical
		e.suspicious, e.extreme = scaled(typical, uneven.suspicious), scaled(typical, uneven.extreme)
		return e
	}
	if learned, ok := c.learned(s); ok {
		e.typical, e.suspicious, e.extreme = learned.Median, scaled(learned.P95, tailMargin), scaled(learned.P99, tailMargin)
	}
	return e
}

func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// unevenness says how much longer than the typical item of its step an item takes that is
// suspicious, and one that is extreme.
type unevenness struct{ suspicious, extreme float64 }

// learnedUnevenness returns the unevenness of the items of a step's image.
func (c *Core) learnedUnevenness(s *step) unevenness {
	for _, o := range s.operations() {
		if e, ok := c.unevenness.Estimate(o, 0); ok {
			p95, p99 := float64(e.P95)/float64(typicalRatio), float64(e.P99)/float64(typicalRatio)
			return unevenness{max(tailMargin*p95, minUnevenness), max(tailMargin*p99, minUnevenness)}
		}
	}
	return unevenness{minUnevenness, defaultUnevenness}
}

// othersOutlast reports whether at least half of the steps of which the worker has runs,
// apart from that of cp, and at least one, have a run that is suspicious too. Only steps
// with items on other workers count.
func (c *Core) othersOutlast(cp *itemCopy, now Time) bool {
	suspicious := map[*step]bool{}
	for _, other := range cp.worker.orderedCopies {
		s := other.item.step
		if s == cp.item.step || s.spec.LongRunning || s.spec.Filler || s.spec.Gang || other.phase != running || other.adopted {
			continue
		}
		// A comparison with the image alone is no evidence: at any time, a good part of the
		// runs in progress are those of long steps.
		e := c.comparison(other, now)
		if !e.siblings || max(e.elapsed, e.total) < e.typical/2 {
			continue
		}
		suspicious[s] = suspicious[s] || max(e.elapsed, e.total) > e.suspicious
	}
	n := 0
	for _, is := range suspicious {
		if is {
			n++
		}
	}
	return n > 0 && 2*n >= len(suspicious)
}

// hasCopyAt reports whether a copy of the item is on the worker or its VM.
func (i *item) hasCopyAt(w *worker) bool {
	return slices.ContainsFunc(i.copies, func(cp *itemCopy) bool { return cp.worker == w || cp.worker.place() == w.place() })
}

// traceSecondCopy logs that a second copy was started beside the first one.
func (c *Core) traceSecondCopy(cp *itemCopy) {
	if !cp.isSecond {
		return
	}
	first := cp.item.copies[0]
	reason := "silent"
	if first.outlasts {
		reason = "outlasts"
	}
	c.trace(Event{Name: "second_copy_started", Item: cp.item.id().String(), Run: cp.run, Worker: cp.worker.ID, Reason: reason, Took: cp.startedAt - first.startedAt})
}

// traceFirstEnd logs which of two copies was done first.
func (c *Core) traceFirstEnd(cp *itemCopy, took time.Duration) {
	i := cp.item
	if !cp.isSecond && len(i.copies) == 0 {
		return
	}
	reason := "first_copy"
	if cp.isSecond {
		reason = "second_copy"
	}
	c.trace(Event{Name: "copy_ended_first", Item: i.id().String(), Run: cp.run, Worker: cp.worker.ID, Reason: reason, Took: took})
}
