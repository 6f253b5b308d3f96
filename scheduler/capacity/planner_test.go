package capacity

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// noWarmUp lets tests that aren't about the warm-up expect moves from the first
// second.
const noWarmUp = time.Duration(-1)

// Guards against moves that take a pool below its minimum or exceed its
// availability budget, that move a VM twice within MinimumMoveInterval or while
// it is being moved, or that name the wrong pool.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := Options{
			WaitingWeight: rapid.SampledFrom([]float64{1, 20}).Draw(t, "weight"),
			Hold:          rapid.SampledFrom([]HoldPolicy{HoldHistogram, HoldFixed, HoldAverage}).Draw(t, "hold"),
			WarmUp:        noWarmUp,
		}
		planner := NewPlanner(options)
		now := time.Unix(1000, 0)
		s := Snapshot{Pools: []Pool{
			{Name: "spare", Spare: true, MinimumVMs: 1, SlotsPerWorker: 8},
			{Name: "a", MinimumVMs: 2, MaxUnavailable: 1, SlotsPerWorker: 8},
			{Name: "b", MinimumVMs: 3, MaxUnavailable: 2, SlotsPerWorker: 8},
		}}
		for i := range 14 {
			pool := s.Pools[i%3].Name
			s.VMs = append(s.VMs, VM{ID: fmt.Sprintf("vm%02d", i), Pool: pool, HomePool: pool, Serving: true})
		}
		inProgress := map[string]Move{}
		for range rapid.IntRange(1, 100).Draw(t, "seconds") {
			now = now.Add(time.Second)
			for i := 1; i < len(s.Pools); i++ {
				s.Pools[i].SlotsWanted = rapid.SampledFrom([]float64{0, 3, 20, 60, 200}).Draw(t, "wanted")
			}
			changeVMs(t, now, s.VMs, inProgress)
			moves := planner.Plan(now, s)
			checkMoves(t, now, s, moves, inProgress)
			for _, m := range moves {
				inProgress[m.VM] = m
			}
		}
	})
}

// changeVMs makes VMs fail and return to service, and advances moves in progress.
func changeVMs(t *rapid.T, now time.Time, vms []VM, inProgress map[string]Move) {
	for i := range vms {
		vm := &vms[i]
		m, moving := inProgress[vm.ID]
		switch action := rapid.IntRange(0, 9).Draw(t, "vm"); {
		case moving && vm.Serving:
			vm.Serving = false
		case moving && action < 4:
			vm.Pool, vm.Serving, vm.MovedAt = m.To, true, now
			delete(inProgress, vm.ID)
		case !moving && action == 9:
			vm.Serving = !vm.Serving
		}
	}
}

func checkMoves(t *rapid.T, now time.Time, s Snapshot, moves []Move, inProgress map[string]Move) {
	vms, pools := map[string]VM{}, map[string]Pool{}
	serving, unavailable := map[string]int{}, map[string]int{}
	for _, p := range s.Pools {
		pools[p.Name] = p
	}
	for _, vm := range s.VMs {
		vms[vm.ID] = vm
		if _, moving := inProgress[vm.ID]; moving {
			continue
		}
		if vm.Serving {
			serving[vm.Pool]++
		} else {
			unavailable[vm.Pool]++
		}
	}
	for _, m := range moves {
		vm, from := vms[m.VM], pools[m.From]
		if _, moving := inProgress[m.VM]; moving || !vm.Serving || vm.Pool != m.From || m.To == m.From || pools[m.To].Name == "" {
			t.Fatalf("invalid move %+v of VM %+v", m, vm)
		}
		if now.Sub(vm.MovedAt) < 10*time.Second {
			t.Fatalf("%s is moved again %s after its last move", m.VM, now.Sub(vm.MovedAt))
		}
		if serving[m.From]--; serving[m.From] < from.MinimumVMs {
			t.Fatalf("%s is left with %d of at least %d VMs", m.From, serving[m.From], from.MinimumVMs)
		}
		if !from.Spare && unavailable[m.From] >= from.MaxUnavailable {
			t.Fatalf("%s gives up a VM with %d VMs out of service, budget %d", m.From, unavailable[m.From], from.MaxUnavailable)
		}
		delete(vms, m.VM)
	}
}

// Guards against idle VMs that are moved to a spare pool other than their home.
func TestIdleVMsReturnHome(t *testing.T) {
	s := Snapshot{Pools: []Pool{
		{Name: "ledger", Spare: true}, {Name: "tooling", Spare: true},
		{Name: "a", MinimumVMs: 1, MaxUnavailable: 1, SlotsPerWorker: 8},
	}}
	for _, home := range []string{"a", "ledger", "tooling"} {
		s.VMs = append(s.VMs, VM{ID: "of-" + home, Pool: "a", HomePool: home, Serving: true})
	}
	moves := NewPlanner(Options{WarmUp: noWarmUp}).Plan(time.Unix(1000, 0), s)
	if len(moves) != 2 {
		t.Errorf("moves %v, want both VMs that are away from their home pool", moves)
	}
	for _, m := range moves {
		if m.VM != "of-"+m.To {
			t.Errorf("%s goes to %s", m.VM, m.To)
		}
	}
}

// Guards against a hold time that ignores regular gaps between bursts, or that
// covers gaps whose cost exceeds the benefit of the VM.
func TestHoldFollowsGaps(t *testing.T) {
	var g gaps
	for range 20 {
		g.add(5 * time.Second)
		g.add(100 * time.Second)
	}
	if hold := g.hold(20, 1); hold != 6*time.Second {
		t.Errorf("half of the gaps take 5 s, a VM is worth 20 s: hold %s, want 6 s", hold)
	}
	if hold := g.hold(500, 1); hold != 101*time.Second {
		t.Errorf("a VM is worth 500 s: hold %s, want 101 s", hold)
	}
	if hold := g.hold(5, 1); hold != 0 {
		t.Errorf("a VM is worth 5 s: hold %s, want 0", hold)
	}
}

// Guards against a new holder of the control role that takes VMs from idle pools
// before it has observed their demand, also after a gap in its observation, and
// against a warm-up that keeps spare VMs from a pool that needs them.
func TestWarmUpKeepsIdleVMs(t *testing.T) {
	s := Snapshot{Pools: []Pool{
		{Name: "spare", Spare: true},
		{Name: "idle", MinimumVMs: 1, MaxUnavailable: 1, SlotsPerWorker: 8},
		{Name: "needy", MinimumVMs: 1, MaxUnavailable: 1, SlotsPerWorker: 8, SlotsWanted: 40},
	}}
	for _, id := range []string{"spare", "idle", "idle-2", "idle-3", "needy"} {
		pool, _, _ := strings.Cut(id, "-")
		s.VMs = append(s.VMs, VM{ID: id, Pool: pool, HomePool: pool, Serving: true})
	}
	planner, start := NewPlanner(Options{WarmUp: 20 * time.Second}), time.Unix(1000, 0)
	check := func(second int, want ...string) {
		t.Helper()
		var from []string
		for _, m := range planner.Plan(start.Add(time.Duration(second)*time.Second), s) {
			from = append(from, m.From)
		}
		if !slices.Equal(from, want) {
			t.Errorf("second %d: VMs taken from %v, want %v", second, from, want)
		}
	}
	check(0, "spare")
	s.VMs[0].Pool = "needy"
	for second := 1; second < 20; second++ {
		check(second)
	}
	for second := 40; second < 60; second++ {
		check(second)
	}
	check(60, "idle", "idle")
}
