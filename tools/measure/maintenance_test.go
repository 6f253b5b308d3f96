package main

import (
	"math/rand/v2"
	"testing"
)

// Guards against faults that have no effect, a lower bound that a wave beats,
// and waves that skip VMs, exceed a budget or reboot a VM twice.
func TestWaves(t *testing.T) {
	for _, deployment := range []string{"etikettwerk", "mas-trunk"} {
		for _, fault := range waveFaults {
			for seed := range uint64(3) {
				config, vms := exampleFleet(deployment)
				if len(vms) != 50 {
					t.Fatalf("%s has %d VMs", deployment, len(vms))
				}
				// The last seed uses a wave for each pool.
				r := newWaveRun(rand.New(rand.NewPCG(1, seed)), fault, seed == 2, config, vms)
				got := r.run()
				if got.ratio < 1 || got.unmaintained > 0 || got.breaches > 0 || got.rebootedTwice > 0 {
					t.Errorf("%s, %s, seed %d: %+v", deployment, fault, seed, got)
				}
				// A longer reboot is drawn in advance and doesn't count as a hit.
				if hits := fault == waveRackLost || fault == waveAbsent || fault == waveLostResponses || fault == waveNewHolder; hits != (r.faultHits > 0) {
					t.Errorf("%s, %s, seed %d: %d VMs, responses or holders hit by the fault", deployment, fault, seed, r.faultHits)
				}
			}
		}
	}
}

// Guards against a budget check that never counts a breach.
func TestWaveBreachesAreCounted(t *testing.T) {
	config, vms := exampleFleet("mas-trunk")
	for _, v := range vms {
		v.zone, v.rack = "a", "r01"
	}
	r := newWaveRun(rand.New(rand.NewPCG(1, 1)), waveNoFault, false, config, vms)
	// The holder plans with the budget of the note; the check uses a smaller one.
	for pool := range r.budgets {
		r.budgets[pool] = 1
	}
	if got := r.run(); got.breaches == 0 {
		t.Error("planned work beyond the budget is not counted")
	}
}
