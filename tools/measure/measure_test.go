package main

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"
)

// smallWorkload returns a workload of ten seconds, which keeps the tests short.
func smallWorkload(seed uint64) (scenario, workload) {
	s := scenario{Deployment: "mas-trunk", Seed: seed, Quick: true}
	return s, newWorkloadOf(s, 10*time.Second)
}

// Guards against results that differ between runs with the same seed.
func TestRunsAreDeterministic(t *testing.T) {
	var waits [2]float64
	var moves [2]int
	for i := range waits {
		s, w := smallWorkload(1)
		options := s.weights()
		// During the default warm-up of 60 s VMs move from the spare pool only.
		options.WarmUp = -1
		r := runCapacity(s, w, poolSizes, planned(options))
		waits[i], moves[i] = r.wait(), r.moves
	}
	if waits[0] != waits[1] || moves[0] != moves[1] {
		t.Errorf("two runs with one seed: waits %v, moves %v", waits, moves)
	}
}

// Guards against jobs without an outcome: they would be missing from the
// quantiles and make them look better.
func TestEveryJobHasAnOutcome(t *testing.T) {
	s, w := smallWorkload(2)
	for name, newPool := range map[string]func(int) dispatcher{
		"learned": newLearnedPool, "first come first served": newFCFSPool, "round robin": newRoundRobin,
	} {
		for _, o := range newSimulation(s, w, newPool).run() {
			if !o.done && !o.failed && !o.cancelled && o.refused == 0 {
				t.Fatalf("%s: %s has no outcome", name, o.job.id)
			}
		}
	}
}

// Guards against a bound that real dispatchers beat, which would make the
// targets meaningless.
func TestClairvoyantIsABound(t *testing.T) {
	s, w := smallWorkload(3)
	best := summarise(clairvoyant(w))
	for name, newPool := range map[string]func(int) dispatcher{"learned": newLearnedPool, "first come first served": newFCFSPool} {
		got := summarise(newSimulation(s, w, newPool).run())
		if quantile(got.shortSlowdowns, 0.99) < quantile(best.shortSlowdowns, 0.99) {
			t.Errorf("%s has a lower p99 slowdown of short work than the bound", name)
		}
	}
}

// Guards against rows that lack the fields which readers of the JSON expect.
func TestRowsHaveNulls(t *testing.T) {
	var out bytes.Buffer
	if err := writeJSON(&out, []Row{row("wait", "seconds", 1).baseline(2)}); err != nil {
		t.Fatal(err)
	}
	var rows []map[string]any
	if err := json.Unmarshal(out.Bytes(), &rows); err != nil {
		t.Fatal(err)
	}
	for _, field := range []string{"measure", "unit", "value", "baseline", "bound", "target", "met"} {
		if _, ok := rows[0][field]; !ok {
			t.Errorf("field %q is missing", field)
		}
	}
	if rows[0]["bound"] != nil || rows[0]["baseline"] != 2.0 {
		t.Errorf("row %v", rows[0])
	}
}
