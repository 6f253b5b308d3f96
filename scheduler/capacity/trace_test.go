package capacity

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// fleetSimulator carries out the moves of a planner. A move takes four seconds.
type fleetSimulator struct {
	planner  *Planner
	now      time.Time
	s        Snapshot
	arrivals map[string]arrival
}

type arrival struct {
	to string
	at time.Time
}

func newFleetSimulator() *fleetSimulator {
	f := &fleetSimulator{planner: NewPlanner(Options{WarmUp: noWarmUp}), now: time.Unix(1000, 0), arrivals: map[string]arrival{}}
	f.s.Pools = []Pool{
		{Name: "spare", Spare: true, SlotsPerWorker: 8},
		{Name: "a", MinimumVMs: 4, MaxUnavailable: 1, SlotsPerWorker: 8},
		{Name: "b", MinimumVMs: 4, MaxUnavailable: 1, SlotsPerWorker: 8},
	}
	for i := range 24 {
		pool := f.s.Pools[i%3].Name
		f.s.VMs = append(f.s.VMs, VM{ID: fmt.Sprintf("vm%02d", i), Pool: pool, HomePool: pool, Serving: true})
	}
	return f
}

// second advances the time by one second, plans once and returns the number of
// moves between each pair of pools.
func (f *fleetSimulator) second() string {
	f.now = f.now.Add(time.Second)
	for i := range f.s.VMs {
		vm := &f.s.VMs[i]
		if a, ok := f.arrivals[vm.ID]; ok && !a.at.After(f.now) {
			vm.Pool, vm.Serving, vm.MovedAt = a.to, true, f.now
			delete(f.arrivals, vm.ID)
		}
	}
	counts := map[string]int{}
	for _, m := range f.planner.Plan(f.now, f.s) {
		counts[m.From+"->"+m.To]++
		i := slices.IndexFunc(f.s.VMs, func(vm VM) bool { return vm.ID == m.VM })
		f.s.VMs[i].Serving = false
		f.arrivals[m.VM] = arrival{m.To, f.now.Add(4 * time.Second)}
	}
	var parts []string
	for route, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", route, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// Guards against faults that benchmarks have shown. The comments of each trace
// describe them.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		f := newFleetSimulator()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var seconds int
			var a, b float64
			d.ScanArgs(t, "seconds", &seconds)
			d.ScanArgs(t, "a", &a)
			d.ScanArgs(t, "b", &b)
			f.s.Pools[1].SlotsWanted, f.s.Pools[2].SlotsWanted = a, b
			var out strings.Builder
			for i := range seconds {
				if moves := f.second(); moves != "" {
					fmt.Fprintf(&out, "%d s: %s\n", i+1, moves)
				}
			}
			if out.Len() == 0 {
				return "no moves\n"
			}
			return out.String()
		})
	})
}
