package execution

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// exclusion says why a worker gets no work at present.
type exclusion string

// The exclusions in the order in which they are checked.
const (
	notExcluded          exclusion = ""
	excludedUnregistered exclusion = "unregistered"
	excludedUncontacted  exclusion = "uncontacted"
	excludedSilent       exclusion = "silent"
	// excludedClockOld: the last report is too old to derive the worker's clock from it.
	excludedClockOld exclusion = "clock_old"
	// excludedPlanned: the worker drains, or is closed for upkeep or a move of its VM.
	excludedPlanned exclusion = "planned"
	// excludedPaused: a start was not carried out just now.
	excludedPaused exclusion = "paused"
	// excludedUnrecorded: the store does not name the worker as a possible lease holder yet.
	excludedUnrecorded exclusion = "unrecorded"
	// excludedUnsettled: the worker may have more ends of a former owner to list.
	excludedUnsettled exclusion = "unsettled"
	// excludedIsolated: the worker has an item that has to run isolated.
	excludedIsolated exclusion = "isolated"
	// excludedAvoided: the worker has failed what it started. Long-running items without
	// another worker, and single items as trials, may start there all the same.
	excludedAvoided exclusion = "avoided"
)

var exclusions = []exclusion{
	excludedUnregistered, excludedUncontacted, excludedSilent, excludedClockOld, excludedPlanned, excludedPaused, excludedUnrecorded,
	excludedUnsettled, excludedIsolated, excludedAvoided,
}

// exclusionOf returns why a worker may get no work, or notExcluded.
func (c *Core) exclusionOf(w *worker, now Time) exclusion {
	switch {
	case !w.present:
		return excludedUnregistered
	case !w.contacted:
		return excludedUncontacted
	case w.silent:
		return excludedSilent
	case now-w.clockAt >= maxClockAge:
		return excludedClockOld
	case w.Draining || w.closed:
		return excludedPlanned
	case now < w.pausedUntil:
		return excludedPaused
	case !w.holderRecorded:
		return excludedUnrecorded
	case !c.settled && w.endsCutOff:
		return excludedUnsettled
	case w.isolatedRuns > 0:
		return excludedIsolated
	case now < w.avoidUntil:
		return excludedAvoided
	}
	return notExcluded
}

// eligibleWorkers holds the workers of a service that may get work. maxFree is,
// for each resource, the most that any of them has free: steps that need more are
// skipped without a search.
type eligibleWorkers struct {
	workers []*worker
	maxFree job.Resources
	// isolated are the workers that would be eligible but for an isolated item.
	isolated []*worker
	// avoided are the workers that would be eligible but for their failures.
	avoided []*worker
}

// addTrials makes avoided workers eligible for one item each if there are no others: an
// item that is done there ends the avoidance, and an item that fails may be the cause.
func (e *eligibleWorkers) addTrials(now Time) {
	if len(e.workers) > 0 {
		return
	}
	e.avoided = slices.DeleteFunc(e.avoided, func(w *worker) bool {
		if len(w.orderedCopies) > 0 || now < w.failedAt+avoidTime {
			return false
		}
		e.add(w)
		return true
	})
}

// trialStarted takes a worker on which an item was started as a trial from the eligible
// ones. It does nothing for other workers.
func (e *eligibleWorkers) trialStarted(w *worker, now Time) {
	if now < w.avoidUntil && slices.Contains(e.workers, w) {
		e.workers = slices.DeleteFunc(slices.Clone(e.workers), func(o *worker) bool { return o == w })
		e.avoided = append(slices.Clone(e.avoided), w)
	}
}

func (e *eligibleWorkers) add(w *worker) {
	e.workers = append(e.workers, w)
	free := w.free()
	e.maxFree = job.Resources{
		MilliCPU: max(e.maxFree.MilliCPU, free.MilliCPU), MemoryMB: max(e.maxFree.MemoryMB, free.MemoryMB), GPU: max(e.maxFree.GPU, free.GPU),
	}
}

// eligibleByService returns the workers that may get work, by service. One that has more
// ends to list gets none until the takeover, which waits for them, is settled. The result is
// valid until the next call, which uses its memory again.
func (c *Core) eligibleByService(now Time) map[string]*eligibleWorkers {
	if c.eligible == nil {
		c.eligible = map[string]*eligibleWorkers{}
	}
	byService := c.eligible
	for _, e := range byService {
		*e = eligibleWorkers{workers: e.workers[:0], isolated: e.isolated[:0], avoided: e.avoided[:0]}
	}
	for _, w := range c.sortedWorkers {
		e := c.exclusionOf(w, now)
		if e != notExcluded && e != excludedIsolated && e != excludedAvoided {
			continue
		}
		p := byService[w.Service]
		if p == nil {
			p = &eligibleWorkers{}
			byService[w.Service] = p
		}
		if e == excludedIsolated {
			p.isolated = append(p.isolated, w)
			continue
		}
		if e == excludedAvoided {
			p.avoided = append(p.avoided, w)
			continue
		}
		p.add(w)
	}
	maps.DeleteFunc(byService, func(_ string, e *eligibleWorkers) bool { return len(e.workers)+len(e.isolated)+len(e.avoided) == 0 })
	for _, p := range byService {
		p.addTrials(now)
	}
	return byService
}

// maxClockAge is how long after a report the worker's clock may still be derived
// from it.
const maxClockAge = 30 * time.Second

// Idle workers are called when their last report is minIdleCallAge old, some up to
// idleCallSpread later: a new owner calls all workers at once, so that all idle ones would
// be due together from then on. What is left of maxClockAge is for calls that fail.
const (
	minIdleCallAge = maxClockAge / 2
	idleCallSpread = 8 * time.Second
)

// idleCallAge returns the age of the last report at which an idle worker is called. It
// depends on the ID.
func idleCallAge(id string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(id))
	// The last step of MurmurHash: FNV alone maps similar IDs to similar numbers.
	n := h.Sum32()
	n = (n ^ n>>16) * 0x85ebca6b
	n = (n ^ n>>13) * 0xc2b2ae35
	n ^= n >> 16
	return minIdleCallAge + time.Duration(n%1000)*idleCallSpread/1000
}

// remove takes a worker from the eligible ones.
func (e *eligibleWorkers) remove(w *worker) {
	is := func(other *worker) bool { return other == w }
	e.workers, e.avoided = slices.DeleteFunc(slices.Clone(e.workers), is), slices.DeleteFunc(slices.Clone(e.avoided), is)
	e.isolated = slices.DeleteFunc(slices.Clone(e.isolated), is)
}

// lastChoice returns the workers on which items of a step may start if no other worker
// takes them. A long-running item must not wait beside a free worker, and the pauses after
// its own failures limit its starts. Other items would use up their attempts.
//
// Once one of its items has waited for maxIsolationWait, they may also start on workers with
// an isolated item, which may run for 20 s.
func (e *eligibleWorkers) lastChoice(s *step, now Time) []*worker {
	if !s.spec.LongRunning {
		return nil
	}
	waited := func(i *item) bool { return i.waitedForIsolation(now) }
	if slices.ContainsFunc(s.tracked, waited) || s.fresh > 0 && waited(s.firstFresh()) {
		return slices.Concat(e.avoided, e.isolated)
	}
	return e.avoided
}
