package execution

import (
	"slices"

	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/scheduler/fairness"
)

// poolShare is the part of a pool that an organisation has in the present round.
type poolShare struct {
	capacity, used job.Resources
	// fair is its fair share, as a part of the pool.
	fair float64
}

// poolKey names the share of an organisation of the pool of a service.
type poolKey struct {
	service      string
	organisation *organisation
}

// reached reports whether the organisation has its fair share. Jobs without an organisation,
// whose share is nil, have no limit.
func (p *poolShare) reached() bool {
	return p != nil && fairness.Dominant(p.used, p.capacity) >= p.fair
}

func (p *poolShare) add(charge job.Resources, n int) {
	if p != nil {
		p.used = p.used.Add(charge, int64(n))
	}
}

// setShares gives each candidate the share of its organisation of the pool. It does nothing
// if no job has an organisation.
func (c *Core) setShares(candidates []candidate) {
	if len(c.organisations) == 0 {
		return
	}
	capacity, used := c.usedByPool()
	wanted := map[poolKey]job.Resources{}
	claims := map[string][]fairness.Claim{}
	byService := map[string][]poolKey{}
	note := func(key poolKey) {
		if _, known := wanted[key]; !known {
			wanted[key] = job.Resources{}
			byService[key.service] = append(byService[key.service], key)
		}
	}
	for i := range candidates {
		if o := candidates[i].step.job.organisation; o != nil {
			key := poolKey{candidates[i].queue.Service, o}
			note(key)
			s := candidates[i].step
			wanted[key] = addBounded(wanted[key], s.spec.Charge(), s.startableItems())
		}
	}
	if len(wanted) == 0 {
		return
	}
	for key := range used {
		if byService[key.service] != nil {
			note(key)
		}
	}
	shares := make(map[poolKey]*poolShare, len(wanted))
	for service, keys := range byService {
		for _, key := range keys {
			claim := fairness.Claim{Used: used[key], Wanted: wanted[key]}
			if o := key.organisation; o != nil {
				claim.Weight, claim.Wanted = o.weight, o.withinCap(claim.Wanted)
			}
			claims[service] = append(claims[service], claim)
		}
		for n, share := range fairness.Shares(capacity[service], claims[service]) {
			shares[keys[n]] = &poolShare{capacity: capacity[service], used: used[keys[n]], fair: share.Fair}
		}
	}
	for i := range candidates {
		if o := candidates[i].step.job.organisation; o != nil {
			candidates[i].share = shares[poolKey{candidates[i].queue.Service, o}]
		}
	}
}

// usedByPool returns the capacity of the pools and what each organisation uses of them.
func (c *Core) usedByPool() (capacity map[string]job.Resources, used map[poolKey]job.Resources) {
	capacity, used = map[string]job.Resources{}, map[poolKey]job.Resources{}
	for _, w := range c.sortedWorkers {
		if w.present {
			capacity[w.Service] = capacity[w.Service].Add(w.Capacity, 1)
		}
		for _, cp := range w.orderedCopies {
			if o := cp.item.step.job.organisation; o != nil {
				key := poolKey{w.Service, o}
				used[key] = used[key].Add(cp.item.step.spec.Charge(), 1)
			}
		}
	}
	return capacity, used
}

// withinCap limits what an organisation wants to what its cap leaves: the others may have
// the rest.
func (o *organisation) withinCap(wanted job.Resources) job.Resources {
	limit := func(wanted, cap, running int64) int64 {
		if cap == 0 {
			return wanted
		}
		return min(wanted, max(cap-running, 0))
	}
	return job.Resources{
		MilliCPU: limit(wanted.MilliCPU, o.cap.MilliCPU, o.running.MilliCPU),
		MemoryMB: limit(wanted.MemoryMB, o.cap.MemoryMB, o.running.MemoryMB),
		GPU:      limit(wanted.GPU, o.cap.GPU, o.running.GPU),
	}
}

// placeInOrder places the candidates, which are in the order of their ranks. Among those
// with the same class, work of organisations below their fair shares comes first, up to these
// shares. The rest follows in the same order, so that no room is left while some work fits.
func (c *Core) placeInOrder(o *Orders, candidates []candidate, eligible map[string]*eligibleWorkers, now Time) {
	for len(candidates) > 0 {
		n := 1
		for n < len(candidates) && candidates[n].rank.sameClass(candidates[0].rank) {
			n++
		}
		group := candidates[:n]
		candidates = candidates[n:]
		var others []candidate
		for _, cand := range group {
			cand.upToShare = cand.share != nil
			if cand.upToShare && cand.share.reached() || c.placeCandidate(o, cand, eligible, now) {
				cand.upToShare = false
				others = append(others, cand)
			}
		}
		for _, cand := range others {
			c.placeCandidate(o, cand, eligible, now)
		}
	}
}

// placeCandidate places a step as far as it may. It reports whether the step could go on but
// for the share of its organisation.
func (c *Core) placeCandidate(o *Orders, cand candidate, eligible map[string]*eligibleWorkers, now Time) bool {
	if c.startLimit != nil && len(o.Starts) >= *c.startLimit || !c.mayStart(cand.step.job) {
		return false
	}
	started := len(o.Starts)
	c.placeStep(o, cand, eligible[cand.queue.Service], now)
	if cand.step.spec.Gang {
		cand.share.add(cand.step.spec.Charge(), len(o.Starts)-started)
	}
	return cand.upToShare && len(o.Starts) > started && cand.share.reached() && cand.step.hasStartable()
}

// sameClass reports whether only the order decides between two ranks.
func (r rank) sameClass(o rank) bool {
	return r.kind == o.kind && r.priority == o.priority && r.beyondRate == o.beyondRate && r.valueClass == o.valueClass
}

// sortByRank sorts candidates by rank.
func sortByRank(candidates []candidate) {
	slices.SortFunc(candidates, func(a, b candidate) int {
		if r := a.rank.compare(b.rank); r != 0 {
			return r
		}
		return a.step.id().Compare(b.step.id())
	})
}
