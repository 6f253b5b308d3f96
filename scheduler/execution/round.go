package execution

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

const (
	// stopRetryInterval is the minimum time before an order to stop a run is
	// repeated. StopTimeout is added if the worker has answered the order, so
	// that it has time to end the run, and always for orphans.
	stopRetryInterval = 300 * time.Millisecond
	// stallTimeout is how long a run may show no progress before it is stopped
	// and started elsewhere. A run of longestRunTime, 20 s, progresses by 1 %
	// every 0.2 s, so that a run that works shows progress well within it.
	stallTimeout = 2500 * time.Millisecond
)

// Round decides what to start, to stop and to slow down. wall is the time of
// day.
func (c *Core) Round(wall time.Time, now Time) Orders {
	var o Orders
	c.MarkDue(wall, now)
	c.recheckAttempts(now)
	c.dropLapsed(now)
	c.stopStalledRuns(now)
	c.evacuateDraining(now)
	c.orderStops(&o, now)
	c.paceFillers(&o, now)
	c.place(&o, now)
	c.markOutlasting(now)
	c.traceWaiting(now)
	c.traceCapWaits(now)
	return o
}

// stopStalledRuns marks runs to be stopped that make no progress.
func (c *Core) stopStalledRuns(now Time) {
	for _, w := range c.busyWorkers {
		for _, cp := range w.orderedCopies {
			if !cp.stopWanted && cp.stalled(now) {
				cp.stopWanted = true
				if cp.stalledAt == cp.progressedAt {
					continue
				}
				cp.stalledAt = cp.progressedAt
				cp.item.avoid = w.place()
				c.trace(Event{Name: "run_stalled", Item: cp.item.id().String(), Run: cp.run, Worker: w.ID, Took: now - cp.startedAt})
				c.recordFailure(w, cp.item, now)
			}
		}
	}
}

// stalled reports whether a run makes no progress although it should.
func (cp *itemCopy) stalled(now Time) bool {
	if cp.phase != running || cp.pace < 100 || cp.item.step.spec.Filler {
		return false
	}
	if cp.item.step.spec.LongRunning && cp.percent >= 100 {
		return false
	}
	// Without a report from the second half of the timeout, it is not known that the
	// run makes no progress.
	return now-cp.progressedAt > stallTimeout && cp.worker.reportedAt > cp.progressedAt+stallTimeout/2
}

// orderStops orders the stop of every run that is marked to be stopped, as far as the
// availability limit of its step allows it at the time of the order, and of every
// orphan.
func (c *Core) orderStops(o *Orders, now Time) {
	for _, w := range c.busyWorkers {
		if !w.contacted {
			continue
		}
		for _, cp := range w.orderedCopies {
			if !cp.stopWanted || cp.stopInFlight || cp.phase == starting || cp.stopAnsweredAt > 0 && now-cp.stopAnsweredAt < c.options.StopTimeout+stopRetryInterval {
				continue
			}
			if cp.stopOrderedAt > 0 && now-cp.stopOrderedAt < stopRetryInterval {
				continue
			}
			if !c.confirmStop(cp, now) {
				continue
			}
			o.Stops = append(o.Stops, Stop{
				Run: cp.id(), Worker: w.Worker, Fence: w.fence, Reason: cp.stopReason(now), Detail: cp.stopDetail(now), orderedBefore: cp.stopOrderedAt,
			})
			cp.stopOrderedAt, cp.stopInFlight = now, true
		}
		for _, r := range orphansOf(w) {
			orphan := w.orphans[r]
			if orphan.stopInFlight || orphan.stopOrderedAt > 0 && now-orphan.stopOrderedAt < c.options.StopTimeout+stopRetryInterval {
				continue
			}
			o.Stops = append(o.Stops, Stop{Run: r, Worker: w.Worker, Fence: w.fence, Reason: "unwanted", orderedBefore: orphan.stopOrderedAt})
			orphan.stopOrderedAt, orphan.stopInFlight = now, true
		}
	}
}

// stopReason says, for the log, why a run has to end.
func (cp *itemCopy) stopReason(now Time) string {
	switch {
	case cp.item.step.job.final():
		return "job_ended"
	case cp.item.done:
		return "item_done"
	case cp.inDoubt:
		return "in_doubt"
	case cp.worker.closed || cp.worker.Draining:
		return "planned"
	case cp.stalled(now):
		return "stalled"
	}
	return "other"
}

// stopDetail says, for the log, what is known of a run that has to end.
func (cp *itemCopy) stopDetail(now Time) string {
	detail := fmt.Sprintf("report_age_ms=%d", (now - cp.worker.reportedAt).Milliseconds())
	if cp.listed {
		detail += fmt.Sprintf(",percent=%d", cp.percent)
	}
	return detail
}

// StopDone records the answer to an order to stop; answered is false when none
// came.
func (c *Core) StopDone(s Stop, answered bool, now Time) {
	w := c.workers[s.Worker.ID]
	if w == nil {
		return
	}
	if orphan := w.orphans[s.Run]; orphan != nil {
		orphan.stopInFlight = false
	}
	if cp := w.copies[s.Run]; cp != nil {
		cp.stopInFlight = false
		if answered && w.StartMillis == s.Worker.StartMillis {
			cp.stopAnsweredAt = now
		}
	}
}

// StartDone records the answer to a start.
func (c *Core) StartDone(s Start, result StartResult, now Time) {
	w := c.workers[s.Worker.ID]
	if w == nil {
		return
	}
	// A start that the worker rejects extends its lease as well.
	c.extendLaterLease(w, now)
	cp := w.copies[s.Run]
	if cp == nil || cp.phase == running {
		return
	}
	switch result {
	case Started:
		c.confirm(cp, now)
		c.suspectLateStart(cp, now)
		return
	case StartUnknown:
		cp.phase, cp.phaseSince = unresolved, now
		w.pausedUntil = now + failedStartPause
		c.trace(Event{Name: "start_unanswered", Item: s.Item.String(), Run: s.Run.Number, Worker: w.ID})
		c.suspectLateStart(cp, now)
		return
	case NotStarted:
		w.pausedUntil = now + failedStartPause
	case RejectedCapacity:
		w.pausedUntil = now + failedStartPause
	case RejectedTicket:
		delete(c.advice, ticketKey{s.Item.Job, s.Item.Occurrence, s.Item.Step})
	case RejectedStale:
	}
	if cp.phase == unresolved {
		// The worker has restarted since the start was ordered. The answer may be
		// from its former lifetime, and the order may yet reach the new one.
		return
	}
	i := cp.item
	c.dropCopy(cp)
	c.trace(Event{Name: "start_rejected", Item: s.Item.String(), Run: s.Run.Number, Worker: w.ID, Reason: result.String()})
	if i.step.spec.Gang {
		c.stopGang(i.step)
	}
}

// failedStartPause is how long a worker gets no work at all after a start on it had the
// result NotStarted, RejectedCapacity or StartUnknown.
const failedStartPause = 300 * time.Millisecond

func (r StartResult) String() string {
	return [...]string{"started", "not_started", "old", "room", "ticket", "unknown"}[r]
}

// stopGang marks all members of a gang to be stopped after one of them could not
// start, or has to end before it has: the others would wait for it in vain.
func (c *Core) stopGang(s *step) {
	for _, i := range s.tracked {
		for _, cp := range i.copies {
			cp.stopWanted, cp.inDoubt = true, false
		}
	}
}

// LimitStarts bounds the starts of each of the next rounds. A gang whose turn
// comes before the limit is reached is started whole, even if it exceeds the
// limit.
func (c *Core) LimitStarts(n int) { c.startLimit = &n }

// place starts work items that are startable in the order of rank.
func (c *Core) place(o *Orders, now Time) {
	c.beginCapRound()
	if len(c.pendingSteps) == 0 {
		return
	}
	steps := c.pendingSteps[:0]
	for _, s := range c.pendingSteps {
		if s.job.final() || s.done() {
			s.pending = false
			continue
		}
		steps = append(steps, s)
	}
	c.pendingSteps = steps
	clear(c.estimates)
	c.decideRates(now)
	eligible := c.eligibleByService(now)
	candidates := make([]candidate, 0, len(steps))
	for _, s := range steps {
		q := c.queueOf(s.job)
		if eligible[q.Service] != nil {
			candidates = append(candidates, candidate{step: s, queue: q, rank: c.rankOf(s, q, now)})
		}
	}
	sortByRank(candidates)
	c.placeIsolated(o, candidates, eligible, now)
	c.setShares(candidates)
	c.placeReserved(o, candidates, eligible, now)
	c.placeInOrder(o, candidates, eligible, now)
	c.pendingSteps = slices.DeleteFunc(c.pendingSteps, func(s *step) bool {
		if s.hasStartable() {
			return false
		}
		s.pending = false
		return true
	})
}

func (s *step) hasStartable() bool {
	return s.fresh > 0 || slices.ContainsFunc(s.tracked, (*item).startable)
}

type candidate struct {
	step  *step
	queue job.Queue
	rank  rank
	// share is that of the organisation of the step's pool, or nil. upToShare is set while
	// only work within it is placed.
	share     *poolShare
	upToShare bool
}

// placeStep starts the startable items of a step as far as the eligible workers
// have enough free capacity.
func (c *Core) placeStep(o *Orders, cand candidate, eligible *eligibleWorkers, now Time) {
	s := cand.step
	if !c.capAllows(s, s.spec.StartCount()) {
		return
	}
	lastChoice := eligible.lastChoice(s, now)
	if !s.spec.Charge().Fits(eligible.maxFree) && len(lastChoice) == 0 {
		return
	}
	tickets, ok := c.ticketsFor(s, cand.queue, now)
	if !ok {
		return
	}
	if s.spec.Gang {
		c.placeGang(o, s, eligible, lastChoice, tickets, now)
		return
	}
	// place reports whether the item was started.
	place := func(i *item) bool {
		if c.startLimit != nil && len(o.Starts) >= *c.startLimit || !c.capAllows(s, 1) || cand.upToShare && cand.share.reached() {
			return false
		}
		w := cmp.Or(c.chooseWorker(i, eligible.workers, tickets), c.chooseWorker(i, lastChoice, tickets))
		if w == nil {
			return false
		}
		run := max(i.lastRun+1, c.firstRun)
		o.Starts = append(o.Starts, c.start(s.item(i.index), w, run, i.saved, tickets, now))
		eligible.trialStarted(w, now)
		cand.share.add(s.spec.Charge(), 1)
		return true
	}
	for _, i := range s.tracked {
		if i.startable() && !i.needsIsolation() && now >= i.notBefore && !place(i) {
			return
		}
	}
	for s.fresh > 0 && place(s.firstFresh()) {
	}
}

// start adds the copy of an item on a worker and returns the order for it.
func (c *Core) start(i *item, w *worker, run int64, saved string, tickets map[string]string, now Time) Start {
	cp := c.addCopy(i, w, run, starting, now)
	c.expectRunTime(cp, now)
	c.traceSecondCopy(cp)
	c.trace(Event{Name: "run_placed", Item: i.id().String(), Run: run, Worker: w.ID, Service: w.Service, Took: now - i.step.readyAt})
	deadline := w.clockNow(now) + c.options.LeaseDuration
	w.grant(deadline)
	c.extendLaterLease(w, now)
	return Start{
		Run: Run{i.id(), run}, Worker: w.Worker, Spec: i.step.job.Spec, Saved: saved,
		Ticket: tickets[w.ID], Deadline: deadline, Fence: w.fence,
	}
}

// chooseWorker returns the worker for an item, or nil when none accepts it. It
// prefers the rack of the item's data, and within it the most loaded worker, so
// that idle VMs can be lent to other services. Fillers go to the least loaded
// worker.
func (c *Core) chooseWorker(i *item, workers []*worker, tickets map[string]string) *worker {
	s := i.step
	charge := s.spec.Charge()
	var best *worker
	var bestScore float64
	long := c.expectedLong(s)
	for _, w := range workers {
		if !w.accepts(s, charge, tickets) || i.hasCopyAt(w) {
			continue
		}
		score := -w.cpuFraction()
		switch {
		case s.spec.Filler:
			score = w.cpuFractionWithFillers()
		case i.suspect():
			// If the item crashes the worker, it takes the fewest other runs with it.
			score = w.cpuFraction()
		}
		if w.place() == i.avoid {
			score += avoidPenalty
		}
		if w.suspectRuns > 0 {
			score += suspectPenalty
		}
		if s.spec.LongRunning {
			score += siblingPenalty * float64(s.copies[w])
		}
		if w.stopExpected && (s.spec.LongRunning || long) {
			score += stopExpectedPenalty
		}
		if w.speed.slow {
			score += slowPenalty
		}
		if s.spec.DataRack != "" && w.Rack != s.spec.DataRack {
			score += otherRackPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// Penalties are added to the score of a worker. 1 corresponds to all of the
// worker's CPU. The worker with the lowest score is chosen.
const (
	otherRackPenalty    = 2
	avoidPenalty        = 1
	stopExpectedPenalty = 1
	slowPenalty         = 1
	// suspectPenalty keeps suspects apart from each other and from other items.
	suspectPenalty = 2
	// siblingPenalty spreads the items of a long-running step: fewer of them
	// are lost with a VM, and a planned stop has to move fewer of them one by
	// one.
	siblingPenalty = 1
)

// accepts reports whether an item of a step may be placed on the worker. tickets
// is nil if none is needed, or if the advice is yet to be asked for.
func (w *worker) accepts(s *step, charge job.Resources, tickets map[string]string) bool {
	return charge.Fits(w.free()) && w.allows(s, tickets)
}

// allows is accepts without regard to the worker's free capacity.
func (w *worker) allows(s *step, tickets map[string]string) bool {
	if s.spec.MaxPerWorker > 0 && s.copies[w] >= s.spec.MaxPerWorker {
		return false
	}
	if s.spec.Label != "" && !slices.Contains(w.Labels, s.spec.Label) {
		return false
	}
	if tickets != nil && tickets[w.ID] == "" {
		return false
	}
	return true
}

// cpuFraction returns the fraction of the worker's CPU that is reserved for work
// items other than fillers.
func (w *worker) cpuFraction() float64 {
	return float64(w.used.MilliCPU) / float64(max(w.Capacity.MilliCPU, 1))
}

// cpuFractionWithFillers also counts the CPU that fillers request. It may exceed
// 1, because fillers use what the other items leave unused.
func (w *worker) cpuFractionWithFillers() float64 {
	return float64(w.used.MilliCPU+w.fillerCPU) / float64(max(w.Capacity.MilliCPU, 1))
}

// placeGang starts all items of a gang together under one run number, or none.
// With SameRack it first tries each rack alone, then all workers together; those of
// lastChoice only take the items that no other worker takes. All items start from the same
// checkpoint: that of the last item that has one.
func (c *Core) placeGang(o *Orders, s *step, eligible *eligibleWorkers, lastChoice []*worker, tickets map[string]string, now Time) {
	run, saved := c.firstRun, ""
	for _, i := range s.tracked {
		if !i.startable() || now < i.notBefore {
			return
		}
		run = max(run, i.lastRun+1)
		if i.saved != "" {
			saved = i.saved
		}
	}
	groups := [][]*worker{eligible.workers}
	if s.spec.SameRack {
		groups = append(byRack(eligible.workers), eligible.workers)
	}
	for n, group := range groups {
		var others []*worker
		if n == len(groups)-1 {
			others = lastChoice
		}
		chosen := c.chooseForGang(s, group, others, tickets)
		if len(chosen) < s.spec.Count {
			continue
		}
		for n, w := range chosen {
			o.Starts = append(o.Starts, c.start(s.item(n), w, run, saved, tickets, now))
			eligible.trialStarted(w, now)
		}
		return
	}
}

// chooseForGang returns a worker for each of the first items of a gang, as far as workers,
// or else others, accept them together.
func (c *Core) chooseForGang(s *step, workers, others []*worker, tickets map[string]string) []*worker {
	var chosen []*worker
	count := func(i *item, w *worker, by int) {
		w.reserve(s.spec, int64(by))
		if s.copies[w] += by; s.copies[w] <= 0 {
			delete(s.copies, w)
		}
		if i.suspect() {
			w.suspectRuns += by
		}
	}
	for n := range s.spec.Count {
		i := s.peek(n)
		w := cmp.Or(c.chooseWorker(i, workers, tickets), c.chooseWorker(i, others, tickets))
		if w == nil {
			break
		}
		chosen = append(chosen, w)
		count(i, w, 1)
	}
	for n, w := range chosen {
		count(s.peek(n), w, -1)
	}
	return chosen
}

// byRack groups workers by rack, in the order of the rack names.
func byRack(workers []*worker) [][]*worker {
	racks := map[string][]*worker{}
	for _, w := range workers {
		racks[w.Rack] = append(racks[w.Rack], w)
	}
	var out [][]*worker
	for _, ws := range racks {
		out = append(out, ws)
	}
	slices.SortFunc(out, func(a, b []*worker) int { return cmp.Compare(a[0].Rack, b[0].Rack) })
	return out
}
