package execution

import (
	"cmp"
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

const (
	// stopRetryInterval is the pause before an unanswered order to stop is
	// repeated.
	stopRetryInterval = 300 * time.Millisecond
	// stallTimeout is how long a run may show no progress before it is stopped
	// and started elsewhere. A run that takes 20 s progresses by 1 % every
	// 0.2 s.
	stallTimeout = 2500 * time.Millisecond
)

// Round decides what to start, to stop and to slow down. wall is the time of
// day.
func (c *Core) Round(wall time.Time, now Time) Orders {
	var o Orders
	c.Due(wall, now)
	c.dropLapsed(now)
	c.stopStalledRuns(now)
	c.evacuateDraining(now)
	c.orderStops(&o, now)
	c.paceFillers(&o, now)
	c.place(&o, now)
	return o
}

// stopStalledRuns marks runs to be stopped that make no progress.
func (c *Core) stopStalledRuns(now Time) {
	for _, w := range c.sortedWorkers {
		for _, cp := range w.orderedCopies {
			if cp.stopWanted || cp.phase != running || cp.pace < 100 || cp.item.step.spec.Filler {
				continue
			}
			if cp.item.step.spec.LongRunning && cp.percent >= 100 {
				continue
			}
			if now-cp.progressedAt > stallTimeout && w.clockAt > cp.progressedAt+stallTimeout/2 {
				cp.stopWanted = true
				cp.item.avoid = w.ID
				c.trace(Event{Name: "run_stalled", Item: cp.item.id().String(), Run: cp.run, Worker: w.ID, Took: now - cp.startedAt})
				c.recordFailure(w, now)
			}
		}
	}
}

// orderStops orders the stop of every run that is marked to be stopped and of
// every orphan.
func (c *Core) orderStops(o *Orders, now Time) {
	for _, w := range c.sortedWorkers {
		if !w.contacted {
			continue
		}
		for _, cp := range w.orderedCopies {
			if !cp.stopWanted || cp.stopInFlight || cp.phase == starting || cp.stopConfirmedAt > 0 && now-cp.stopConfirmedAt < c.options.StopTimeout+stopRetryInterval {
				continue
			}
			if cp.stopAskedAt > 0 && now-cp.stopAskedAt < stopRetryInterval {
				continue
			}
			cp.stopAskedAt, cp.stopInFlight = now, true
			o.Stops = append(o.Stops, Stop{Run: cp.id(), Worker: w.Worker})
		}
		for _, r := range orphansOf(w) {
			orphan := w.orphans[r]
			if orphan.stopInFlight || orphan.stopAskedAt > 0 && now-orphan.stopAskedAt < c.options.StopTimeout+stopRetryInterval {
				continue
			}
			orphan.stopAskedAt, orphan.stopInFlight = now, true
			o.Stops = append(o.Stops, Stop{Run: r, Worker: w.Worker})
		}
	}
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
		if answered && w.Born == s.Worker.Born {
			cp.stopConfirmedAt = now
		}
	}
}

// StartDone records the answer to a start.
func (c *Core) StartDone(s Start, result StartResult, now Time) {
	w := c.workers[s.Worker.ID]
	if w == nil {
		return
	}
	cp := w.copies[s.Run]
	if cp == nil || cp.phase == running {
		return
	}
	switch result {
	case Started:
		c.confirm(cp, now)
		return
	case StartUnknown:
		cp.phase, cp.confirmedAt = unresolved, now
		w.avoidUntil = max(w.avoidUntil, now+rejectionPause)
		c.trace(Event{Name: "start_unanswered", Item: s.Item.String(), Run: s.Run.Run, Worker: w.ID})
		return
	case NotStarted:
		w.avoidUntil = max(w.avoidUntil, now+rejectionPause)
	case RejectedRoom:
		w.avoidUntil = max(w.avoidUntil, now+rejectionPause)
	case RejectedTicket:
		delete(c.advice, ticketKey{s.Item.Job, s.Item.Occurrence, s.Item.Step})
	case RejectedOld:
	}
	if cp.phase == unresolved {
		// The worker has restarted since then; the order may yet reach it.
		return
	}
	i := cp.item
	c.dropCopy(cp)
	c.trace(Event{Name: "start_rejected", Item: s.Item.String(), Run: s.Run.Run, Worker: w.ID, Reason: result.String()})
	if i.step.spec.Gang {
		c.stopGang(i.step)
	}
}

// rejectionPause is how long a worker gets no work after it rejected a start for
// lack of room, could not be sent one or did not answer one.
const rejectionPause = 300 * time.Millisecond

func (r StartResult) String() string {
	return [...]string{"started", "not_started", "old", "room", "ticket", "unknown"}[r]
}

// stopGang marks all members of a gang to be stopped after one of them could not
// start: the others would wait for it in vain.
func (c *Core) stopGang(s *step) {
	for n := range s.items {
		for _, cp := range s.items[n].copies {
			cp.stopWanted = true
		}
	}
}

// LimitStarts bounds the starts of each of the next rounds. A gang whose turn
// comes before the limit is reached is started whole, even if it exceeds the
// limit.
func (c *Core) LimitStarts(n int) { c.startLimit = &n }

// place starts waiting work items in the order of rank.
func (c *Core) place(o *Orders, now Time) {
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
	pools := c.pools(now)
	candidates := make([]candidate, 0, len(steps))
	for _, s := range steps {
		q := c.queueOf(s.job)
		if pools[q.Service] != nil {
			candidates = append(candidates, candidate{step: s, queue: q, rank: c.rankOf(s, q, now)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(a.rank.compare(b.rank), a.step.id().Compare(b.step.id()))
	})
	for _, cand := range candidates {
		if c.startLimit != nil && len(o.Starts) >= *c.startLimit {
			break
		}
		if cand.step.job.inherited && !c.settled {
			continue
		}
		c.placeStep(o, cand, pools[cand.queue.Service], now)
	}
	c.pendingSteps = slices.DeleteFunc(c.pendingSteps, func(s *step) bool {
		if s.hasWaiting() {
			return false
		}
		s.pending = false
		return true
	})
}

func (s *step) hasWaiting() bool {
	for n := range s.items {
		if s.items[n].waiting() {
			return true
		}
	}
	return false
}

type candidate struct {
	step  *step
	queue job.Queue
	rank  rank
}

// pool holds the workers of a service that may get work. room is an upper bound,
// for each resource, of what any of them has free: steps that need more are
// skipped without a search.
type pool struct {
	workers []*worker
	room    job.Resources
}

// pools returns the workers that may get work, by service.
func (c *Core) pools(now Time) map[string]*pool {
	pools := map[string]*pool{}
	for _, w := range c.sortedWorkers {
		if w.present && w.contacted && !w.silent && w.holderRecorded && !w.Draining && !w.closed && now >= w.avoidUntil && now-w.clockAt < maxClockAge {
			p := pools[w.Service]
			if p == nil {
				p = &pool{}
				pools[w.Service] = p
			}
			p.workers = append(p.workers, w)
			free := w.free()
			p.room = job.Resources{
				MilliCPU: max(p.room.MilliCPU, free.MilliCPU), MemoryMB: max(p.room.MemoryMB, free.MemoryMB), GPU: max(p.room.GPU, free.GPU),
			}
		}
	}
	return pools
}

// maxClockAge is how long after a report the worker's clock may still be derived
// from it.
const maxClockAge = 30 * time.Second

// placeStep starts the waiting items of a step as far as the pool has room.
func (c *Core) placeStep(o *Orders, cand candidate, p *pool, now Time) {
	s := cand.step
	if !s.spec.Charge().Fits(p.room) {
		return
	}
	pool := p.workers
	tickets, ok := c.ticketsFor(s, cand.queue, now)
	if !ok {
		return
	}
	if s.spec.Gang {
		c.placeGang(o, s, pool, tickets, now)
		return
	}
	for n := range s.items {
		i := &s.items[n]
		if !i.waiting() || now < i.notBefore {
			continue
		}
		if c.startLimit != nil && len(o.Starts) >= *c.startLimit {
			return
		}
		w := c.chooseWorker(i, pool, tickets)
		if w == nil {
			return
		}
		run := max(i.lastRun+1, c.firstRun)
		o.Starts = append(o.Starts, c.start(i, w, run, i.saved, tickets, now))
	}
}

// start adds the copy of an item on a worker and returns the order for it.
func (c *Core) start(i *item, w *worker, run int64, saved string, tickets map[string]string, now Time) Start {
	c.addCopy(i, w, run, starting, now)
	c.trace(Event{Name: "run_placed", Item: i.id().String(), Run: run, Worker: w.ID, Service: w.Service, Took: now - i.step.readyAt})
	deadline := w.clockNow(now) + c.options.Hold
	w.grant(deadline)
	return Start{
		Run: Run{i.id(), run}, Worker: w.Worker, Spec: i.step.job.Spec, Saved: saved,
		Ticket: tickets[w.ID], Deadline: deadline,
	}
}

// chooseWorker returns the worker for an item, or nil when none accepts it. It
// prefers the rack of the item's data, and within it the most loaded worker, so
// that idle VMs can be lent to other pools. Fillers go to the least loaded
// worker.
func (c *Core) chooseWorker(i *item, pool []*worker, tickets map[string]string) *worker {
	s := i.step
	charge := s.spec.Charge()
	var best *worker
	var bestScore float64
	for _, w := range pool {
		if !w.accepts(s, charge, tickets) {
			continue
		}
		score := -w.load()
		if s.spec.Filler {
			score = w.fillerLoad()
		}
		if w.ID == i.avoid {
			score += avoidPenalty
		}
		if s.spec.LongRunning {
			score += siblingPenalty * float64(s.copies[w])
			if w.stopExpected {
				score += stopExpectedPenalty
			}
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

// Penalties are added to the score of a worker, in units of the load of a fully
// used worker. The worker with the lowest score is chosen.
const (
	otherRackPenalty    = 2
	avoidPenalty        = 1
	stopExpectedPenalty = 1
	// siblingPenalty spreads the items of a long-running step: fewer of them
	// are lost with a VM, and a planned stop has to move fewer of them one by
	// one.
	siblingPenalty = 1
)

// accepts reports whether an item of a step may be placed on the worker.
func (w *worker) accepts(s *step, charge job.Resources, tickets map[string]string) bool {
	if !charge.Fits(w.free()) {
		return false
	}
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

// load is the fraction of the worker's CPU that is allocated to work items other
// than fillers.
func (w *worker) load() float64 {
	return float64(w.used.MilliCPU) / float64(max(w.Capacity.MilliCPU, 1))
}

// fillerLoad is the load including fillers, which use what the other items leave
// unused.
func (w *worker) fillerLoad() float64 {
	return float64(w.used.MilliCPU+w.fillerCPU) / float64(max(w.Capacity.MilliCPU, 1))
}

// placeGang starts all items of a gang together under one run number, or none.
func (c *Core) placeGang(o *Orders, s *step, pool []*worker, tickets map[string]string, now Time) {
	run, saved := c.firstRun, ""
	for n := range s.items {
		i := &s.items[n]
		if !i.waiting() || now < i.notBefore {
			return
		}
		run = max(run, i.lastRun+1)
		if i.saved != "" {
			saved = i.saved
		}
	}
	racks := [][]*worker{pool}
	if s.spec.SameRack {
		racks = append(byRack(pool), pool)
	}
	for _, workers := range racks {
		var placed []Start
		for n := range s.items {
			w := c.chooseWorker(&s.items[n], workers, tickets)
			if w == nil {
				break
			}
			placed = append(placed, c.start(&s.items[n], w, run, saved, tickets, now))
		}
		if len(placed) == len(s.items) {
			o.Starts = append(o.Starts, placed...)
			return
		}
		for _, p := range placed {
			w := c.workers[p.Worker.ID]
			c.dropCopy(w.copies[p.Run])
		}
	}
}

// byRack groups workers by rack, in the order of the rack names.
func byRack(pool []*worker) [][]*worker {
	racks := map[string][]*worker{}
	for _, w := range pool {
		racks[w.Rack] = append(racks[w.Rack], w)
	}
	var out [][]*worker
	for _, ws := range racks {
		out = append(out, ws)
	}
	slices.SortFunc(out, func(a, b []*worker) int { return cmp.Compare(a[0].Rack, b[0].Rack) })
	return out
}
