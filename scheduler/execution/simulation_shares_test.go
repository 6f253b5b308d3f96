package execution

import (
	"slices"

	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/scheduler/fairness"
)

// checkShares fails if a start of the last round went to an organisation above its fair share
// although work of the same class of another one that is below its own could have taken its
// place.
func (s *simulation) checkShares(starts []Start) {
	if !s.enabled {
		return
	}
	var capacity job.Resources
	for _, w := range s.core.sortedWorkers {
		if w.present {
			capacity = capacity.Add(w.Capacity, 1)
		}
	}
	_, used := s.core.usedByPool()
	wanted := map[string]job.Resources{}
	for _, p := range s.core.pendingSteps {
		wanted[p.job.Organisation] = wanted[p.job.Organisation].Add(p.spec.Charge(), int64(p.startableItems()))
	}
	fair := map[string]float64{}
	var claims []fairness.Claim
	for _, name := range sortedKeys(s.core.organisations) {
		o := s.core.organisations[name]
		claims = append(claims, fairness.Claim{Organisation: name, Weight: o.weight, Used: used[poolKey{testService, o}], Wanted: o.withinCap(wanted[name])})
	}
	for _, share := range fairness.Shares(capacity, claims) {
		fair[share.Organisation] = share.Fair
	}
	after := func(o *organisation, charge job.Resources, n int64) float64 {
		return fairness.Dominant(used[poolKey{testService, o}].Add(charge, n), capacity)
	}
	eligible := s.core.eligibleByService(s.now)[testService]
	if eligible == nil {
		eligible = &eligibleWorkers{}
	}
	for _, st := range starts {
		j := s.core.jobs[st.Item.Job]
		i := j.item(st.Item)
		charge := i.step.spec.Charge()
		if j.organisation == nil || i.needsIsolation() || after(j.organisation, charge, -1) < fair[j.Organisation]+1e-6 {
			continue
		}
		rank := s.core.rankOf(i.step, s.queue(), s.now)
		for _, p := range s.core.pendingSteps {
			o := p.job.organisation
			if o == nil || o == j.organisation || !s.core.mayStart(p.job) || !p.spec.Charge().Fits(charge) || !rank.sameClass(s.core.rankOf(p, s.queue(), s.now)) {
				continue
			}
			if w := s.core.workers[st.Worker.ID]; w != nil && w.isolatedRuns > 0 && !slices.Contains(eligible.lastChoice(p, s.now), w) {
				// Beside an isolated item, only items that have waited for that may start.
				continue
			}
			if o.allows(p.spec, 1) && p.couldStart(s.now) && after(o, p.spec.Charge(), 1) < fair[o.name]-1e-6 {
				s.t.Fatalf("%v starts above the share of %s (%v), while work of job %s waits and %s is below its share (%v)", st.Run, j.Organisation, fair[j.Organisation], p.job.ID, o.name, fair[o.name])
			}
		}
	}
}

// couldStart reports whether an item of the step that need not run isolated may start now.
func (s *step) couldStart(now Time) bool {
	for _, i := range s.tracked {
		if i.startable() && !i.needsIsolation() && now >= i.notBefore {
			return true
		}
	}
	return s.fresh > 0
}
