package execution

import (
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// minReserveWait is how long a gang waits at least before room is reserved for it. Half
// of the short runs of a pool end within that time.
const minReserveWait = 500 * time.Millisecond

// reservation keeps the workers of a pool free for a gang for which too few are free at a
// time, because smaller steps take what gets free.
type reservation struct {
	step    *step
	workers []*worker
	since   Time
}

// placeReserved starts the gangs with reservations, makes new ones, and takes their workers
// from the eligible ones. Each pool has one reservation at a time, and after it a pause, so
// that gangs don't keep smaller steps from starting. Reservations give way to work of a
// higher priority and to long-running items, which must not wait beside a free worker.
func (c *Core) placeReserved(o *Orders, candidates []candidate, eligible map[string]*eligibleWorkers, now Time) {
	if len(c.organisations) == 0 {
		return
	}
	c.endCapReservations(now)
	first := map[string]rank{}
	kept := map[string]*reservation{}
	for _, cand := range candidates {
		service := cand.queue.Service
		fitsCap := c.capAllows(cand.step, cand.step.spec.StartCount())
		if best, known := first[service]; !known && fitsCap {
			first[service] = cand.rank
		} else if known && (best.kind != cand.rank.kind || best.priority != cand.rank.priority) {
			continue
		}
		if !cand.mayReserve(now) || cand.step.job.inherited && !c.settled {
			continue
		}
		if !fitsCap {
			c.reserveCap(cand.step, now)
			continue
		}
		if o := cand.step.job.organisation; o.gang == cand.step {
			o.gangFits = true
		}
		if kept[service] != nil || cand.share.reached() || now < c.nextReservation[service] {
			continue
		}
		r := c.reservations[service]
		if r == nil || r.step != cand.step {
			if r != nil && r.step.waitsAsGang() {
				continue
			}
			r = &reservation{step: cand.step, since: now}
		}
		tickets, ok := c.ticketsFor(cand.step, cand.queue, now)
		if !ok {
			continue
		}
		started := len(o.Starts)
		if c.placeCandidate(o, cand, eligible, now); len(o.Starts) > started {
			c.nextReservation[service] = now + (now - r.since) + c.runTime(cand.step, now)
			c.trace(Event{Name: "gang_reservation_ended", Item: cand.step.id().String(), Service: service, Reason: "started", Took: now - r.since})
			continue
		}
		if r.workers = c.workersFor(r, eligible[service], tickets); r.workers == nil {
			continue
		}
		if c.reservations[service] != r {
			c.trace(Event{Name: "gang_reserves", Item: cand.step.id().String(), Service: service, Took: now - cand.step.readyAt})
		}
		kept[service] = r
	}
	c.reservations = kept
	for service, r := range kept {
		group := eligible[service]
		group.workers = slices.DeleteFunc(slices.Clone(group.workers), func(w *worker) bool { return slices.Contains(r.workers, w) })
	}
}

// reserveCap keeps smaller steps of an organisation from taking what its cap leaves, until a
// gang fits.
func (c *Core) reserveCap(s *step, now Time) {
	o := s.job.organisation
	if o.gang == nil && c.settled && now >= o.nextGang && c.mayFitCap(s) {
		o.gang, o.gangPriority, o.gangSince, o.gangFits = s, c.queueOf(s.job).Priority, now, false
	}
}

// mayFitCap reports whether a gang fits the cap of its organisation beside the organisation's
// long-running items, once all its other runs have ended.
func (c *Core) mayFitCap(s *step) bool {
	o := s.job.organisation
	var lasting job.Resources
	for _, w := range c.busyWorkers {
		for _, cp := range w.orderedCopies {
			if spec := cp.item.step.spec; spec.LongRunning && cp.item.step.job.organisation == o {
				lasting = lasting.Add(spec.Needs, 1)
			}
		}
	}
	return s.spec.Needs.FitsCap(o.cap, lasting, s.spec.Count)
}

// maxCapReservation is how long the rest of a cap is kept for a gang at most: all runs of the
// organisation but long-running ones have ended by then.
const maxCapReservation = longestRunTime

// endCapReservations ends those of gangs that have started, need not start any more, cannot
// fit the cap any more, or fit the cap and find no workers. The organisation has a pause after it, so that its gangs don't
// keep smaller steps from starting.
func (c *Core) endCapReservations(now Time) {
	for _, o := range c.organisations {
		if o.gang == nil {
			continue
		}
		noWorkers := o.gangFits && !c.reservesFor(o.gang)
		if noWorkers || !o.gang.waitsAsGang() || !c.mayFitCap(o.gang) || now-o.gangSince > maxCapReservation {
			o.nextGang = now + (now - o.gangSince) + c.runTime(o.gang, now)
			o.gang = nil
		}
	}
}

// reservesFor reports whether workers are reserved for a gang.
func (c *Core) reservesFor(s *step) bool {
	r := c.reservations[c.queueOf(s.job).Service]
	return r != nil && r.step == s
}

// keepsCapFor reports whether a step has to leave what the cap allows to a gang.
func (o *organisation) keepsCapFor(s *step, priority func() int) bool {
	return o.gang != nil && o.gang != s && !s.spec.LongRunning && priority() >= o.gangPriority
}

// mayReserve reports whether the candidate is a gang within the rate of its organisation
// that has waited for longer than its queue's target latency.
func (cand *candidate) mayReserve(now Time) bool {
	s := cand.step
	return s.spec.Gang && s.job.organisation != nil && !s.job.beyondRate && s.toIsolate == 0 && s.waitsAsGang() && now-s.readyAt >= max(cand.queue.TargetLatency, minReserveWait) &&
		!slices.ContainsFunc(s.tracked, func(i *item) bool { return now < i.notBefore })
}

// waitsAsGang reports whether no item of the step has a copy and some are to be started.
func (s *step) waitsAsGang() bool {
	return s.ready && !s.done() && !s.job.final() && len(s.copies) == 0 && s.hasStartable()
}

// workersFor returns the workers that can hold the gang once all runs on them have ended but
// those of long-running items, or nil if there are too few. Workers that were reserved before
// come first, so that they get free in the end, and then those that get free soonest.
func (c *Core) workersFor(r *reservation, eligible *eligibleWorkers, tickets map[string]string) []*worker {
	workers := slices.Clone(eligible.workers)
	slices.SortStableFunc(workers, func(a, b *worker) int {
		if x, y := slices.Contains(r.workers, a), slices.Contains(r.workers, b); x != y {
			if x {
				return -1
			}
			return 1
		}
		return len(a.orderedCopies) - len(b.orderedCopies)
	})
	spec, left := r.step.spec, r.step.spec.Count
	charge := spec.Charge()
	var chosen []*worker
	for _, w := range workers {
		if !w.allows(r.step, tickets) {
			continue
		}
		before, room := left, w.idleCapacity()
		for on := 0; left > 0 && charge.Fits(room) && (spec.MaxPerWorker == 0 || on < spec.MaxPerWorker); on++ {
			room = room.Add(charge, -1)
			left--
		}
		if left < before {
			chosen = append(chosen, w)
		}
		if left == 0 {
			return chosen
		}
	}
	return nil
}
