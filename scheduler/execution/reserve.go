package execution

import (
	"slices"
	"time"
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
// that gangs don't keep smaller steps from starting. The limit of starts does not apply.
func (c *Core) placeReserved(o *Orders, candidates []candidate, eligible map[string]*eligibleWorkers, now Time) {
	if len(c.organisations) == 0 {
		return
	}
	for _, cand := range candidates {
		service := cand.queue.Service
		r := c.reservations[service]
		own := r != nil && r.step == cand.step
		if !cand.mayReserve(now) || cand.step.job.inherited && !c.settled || !c.capAllows(cand.step, cand.step.spec.Count) {
			if own {
				delete(c.reservations, service)
			}
			continue
		}
		if !own && (r != nil && r.step.waitsAsGang() || now < c.nextReservation[service]) {
			continue
		}
		if !own {
			r = &reservation{step: cand.step, since: now}
		}
		started := len(o.Starts)
		if c.placeStep(o, cand, eligible[service], now); len(o.Starts) > started {
			delete(c.reservations, service)
			c.nextReservation[service] = now + (now - r.since) + c.runTime(cand.step, now)
			c.trace(Event{Name: "gang_reservation_ended", Item: cand.step.id().String(), Service: service, Reason: "started", Took: now - r.since})
			continue
		}
		if r.workers = c.workersFor(r, eligible[service]); r.workers == nil {
			delete(c.reservations, service)
			continue
		}
		if c.reservations[service] != r {
			c.reservations[service] = r
			c.trace(Event{Name: "gang_reserves", Item: cand.step.id().String(), Service: service, Took: now - cand.step.readyAt})
		}
	}
	for service, r := range c.reservations {
		if !r.step.waitsAsGang() {
			delete(c.reservations, service)
			continue
		}
		if group := eligible[service]; group != nil {
			group.workers = slices.DeleteFunc(slices.Clone(group.workers), func(w *worker) bool { return slices.Contains(r.workers, w) })
		}
	}
}

// mayReserve reports whether the candidate is a gang of an organisation that has waited for
// longer than its queue's target latency.
func (cand *candidate) mayReserve(now Time) bool {
	s := cand.step
	return s.spec.Gang && s.job.organisation != nil && s.waitsAsGang() && now-s.readyAt >= max(cand.queue.TargetLatency, minReserveWait) &&
		!slices.ContainsFunc(s.tracked, func(i *item) bool { return now < i.notBefore })
}

// waitsAsGang reports whether no item of the step has a copy and some are to be started.
func (s *step) waitsAsGang() bool {
	return s.ready && !s.done() && !s.job.final() && len(s.copies) == 0 && s.hasStartable()
}

// workersFor returns the workers that can hold the gang once all runs on them have ended but
// those of long-running items, or nil if there are too few. Workers that were reserved before
// come first, so that they get free in the end, and then those that get free soonest.
func (c *Core) workersFor(r *reservation, eligible *eligibleWorkers) []*worker {
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
		if !w.allows(r.step, nil) {
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
