// Package fairness divides the room of a pool among organisations by weighted
// dominant-resource fairness: the dominant share of an organisation, its largest part of any
// resource of the pool, grows in proportion to its weight, until its demand is met or a
// resource that it needs is used up. What one does not want goes to the others.
package fairness

import (
	"cmp"
	"slices"

	"dotterelhead.example/dotterelhead/job"
)

// Claim is what an organisation uses and wants of a pool.
type Claim struct {
	Organisation string
	// Weight is relative to those of the others. One that is not above 0 counts as 1.
	Weight float64
	// Wanted is what it wants beside Used.
	Used, Wanted job.Resources
}

// Share is the part of a pool of an organisation.
type Share struct {
	Organisation string
	// Dominant is the largest part of any resource that it uses, and Fair what that part
	// may be. Fair is never above the demand.
	Dominant, Fair float64
	// Over is set if it uses more than its fair share. Then another one wants room and
	// is below its own, or the pool has more in use than its capacity.
	Over bool
}

const resources = 3

// parts are the parts of a pool's resources.
type parts [resources]float64

func partsOf(r, capacity job.Resources) parts {
	part := func(n, capacity int64) float64 {
		if capacity <= 0 {
			return 0
		}
		return float64(n) / float64(capacity)
	}
	return parts{part(r.MilliCPU, capacity.MilliCPU), part(r.MemoryMB, capacity.MemoryMB), part(r.GPU, capacity.GPU)}
}

// Dominant returns the largest part of any resource of a pool. Resources that the pool lacks
// don't count.
func Dominant(r, capacity job.Resources) float64 {
	p := partsOf(r, capacity)
	return max(p[0], p[1], p[2], 0)
}

// claimant is a claim whose share still grows with the level. At the level l its dominant
// share is l*weight.
type claimant struct {
	index          int
	weight, demand float64
	// slope is what it takes of each resource for each unit of the level.
	slope  parts
	frozen bool
}

// tolerance is a part of a pool that does not matter: sums of floats are not exact.
const tolerance = 1e-9

// Shares returns the shares of the claims in their order. It takes n log n time.
func Shares(capacity job.Resources, claims []Claim) []Share {
	shares := make([]Share, len(claims))
	claimants := make([]claimant, 0, len(claims))
	for i, c := range claims {
		shares[i] = Share{Organisation: c.Organisation, Dominant: Dominant(c.Used, capacity)}
		demand := partsOf(c.Used.Add(c.Wanted, 1), capacity)
		n := claimant{index: i, weight: c.Weight, demand: max(demand[0], demand[1], demand[2])}
		if !(n.weight > 0) {
			n.weight = 1
		}
		if n.demand <= 0 {
			continue
		}
		for r := range demand {
			n.slope[r] = n.weight * max(demand[r], 0) / n.demand
		}
		claimants = append(claimants, n)
	}
	slices.SortFunc(claimants, func(a, b claimant) int {
		return cmp.Or(cmp.Compare(a.demand/a.weight, b.demand/b.weight), cmp.Compare(a.index, b.index))
	})
	fill(claimants, shares)
	for i := range shares {
		shares[i].Over = shares[i].Dominant > shares[i].Fair+tolerance
	}
	return shares
}

// fill raises the level, at which the claimants' demands are met one after the other, until
// all are met or frozen by a resource that is used up.
func fill(claimants []claimant, shares []Share) {
	free, level := parts{1, 1, 1}, 0.0
	slope := slopeOf(claimants)
	for next := 0; next < len(claimants); {
		c := &claimants[next]
		if c.frozen {
			next++
			continue
		}
		to, usedUp := c.demand/c.weight, -1
		for r := range slope {
			if slope[r] > tolerance && level+free[r]/slope[r] < to {
				to, usedUp = level+free[r]/slope[r], r
			}
		}
		for r := range free {
			free[r] = max(free[r]-(to-level)*slope[r], 0)
		}
		level = to
		if usedUp < 0 {
			shares[c.index].Fair = c.demand
			for r := range slope {
				slope[r] -= c.slope[r]
			}
			next++
			continue
		}
		for i := next; i < len(claimants); i++ {
			if f := &claimants[i]; !f.frozen && f.slope[usedUp] > 0 {
				f.frozen = true
				shares[f.index].Fair = level * f.weight
			}
		}
		slope = slopeOf(claimants[next:])
	}
}

// slopeOf returns what the claimants that are not frozen take of each resource together for
// each unit of the level.
func slopeOf(claimants []claimant) parts {
	var sum parts
	for _, c := range claimants {
		for r := range sum {
			if !c.frozen {
				sum[r] += c.slope[r]
			}
		}
	}
	return sum
}
