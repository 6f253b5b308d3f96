package maintenance

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		// A fixed seed makes the result the same on each run.
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// Guards against plans that exceed a budget or max_concurrent, that take VMs of
// several racks out of service or maintain a VM twice, and against waves that
// never finish when VMs fail, return and disappear.
func TestWaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Snapshot{}
		pools := rapid.IntRange(1, 3).Draw(t, "pools")
		for i := range pools {
			s.Pools = append(s.Pools, Pool{Name: fmt.Sprint("p", i), MaxUnavailable: rapid.SampledFrom([]int{Unlimited, 1, 2, 3}).Draw(t, "budget")})
		}
		for i := range rapid.IntRange(1, 24).Draw(t, "vms") {
			pool := fmt.Sprint("p", rapid.IntRange(0, pools-1).Draw(t, "pool"))
			s.VMs = append(s.VMs, VM{ID: fmt.Sprintf("v%02d", i), Pool: pool, HomePool: pool, AvailabilityZone: fmt.Sprint(i / 8), Rack: fmt.Sprint(i / 4 % 2)})
		}
		for i := range rapid.IntRange(1, 2).Draw(t, "waves") {
			w := Wave{Name: fmt.Sprint("w", i), MaxConcurrent: rapid.IntRange(1, 4).Draw(t, "max concurrent")}
			for _, p := range s.Pools {
				w.Pools = append(w.Pools, p.Name)
			}
			if reasons := Conflicts(w, s.Pools); len(reasons) > 0 {
				t.Fatalf("Conflicts refuses a wave that can finish: %v", reasons)
			}
			s.Waves = append(s.Waves, w)
		}
		for round := range 300 {
			plan := Next(s)
			finished := true
			for i, state := range plan.Waves {
				s.Waves[i].Finished = state.Finished
				finished = finished && state.Finished
			}
			if finished {
				return
			}
			for _, withdrawal := range plan.Withdrawals {
				applyWithdrawal(t, s, withdrawal)
			}
			checkPlan(t, s, plan)
			advance(t, s, round < 40)
		}
		t.Fatalf("waves did not end: %+v", s)
	})
}

func applyWithdrawal(t *rapid.T, s Snapshot, withdrawal Withdrawal) {
	for i := range s.VMs {
		if s.VMs[i].ID == withdrawal.VM {
			if s.VMs[i].State != Serving {
				t.Fatalf("%s is taken out of service in state %d", withdrawal.VM, s.VMs[i].State)
			}
			s.VMs[i].State, s.VMs[i].Wave = PlannedOutage, withdrawal.Wave
		}
	}
}

func checkPlan(t *rapid.T, s Snapshot, plan Plan) {
	out, touched := map[string]int{}, map[string]bool{}
	for _, vm := range s.VMs {
		if vm.State == PlannedOutage || vm.State == Failed {
			out[vm.Pool]++
		}
		for _, withdrawal := range plan.Withdrawals {
			touched[vm.Pool] = touched[vm.Pool] || withdrawal.VM == vm.ID
		}
	}
	for _, p := range s.Pools {
		if touched[p.Name] && p.MaxUnavailable != Unlimited && out[p.Name] > p.MaxUnavailable {
			t.Fatalf("%s: %d out of service, budget %d", p.Name, out[p.Name], p.MaxUnavailable)
		}
	}
	for _, w := range s.Waves {
		racks, n := map[rackKey]bool{}, 0
		for _, vm := range s.VMs {
			if vm.Wave == w.Name {
				racks[rackOf(vm)] = true
				n++
			}
		}
		if len(racks) > 1 || n > w.MaxConcurrent {
			t.Fatalf("%s works on %d VMs in %d racks, max_concurrent %d", w.Name, n, len(racks), w.MaxConcurrent)
		}
	}
}

// advance ends the maintenance of some VMs and, if faults is set, makes others
// fail, return or disappear.
func advance(t *rapid.T, s Snapshot, faults bool) {
	for i := range s.VMs {
		vm := &s.VMs[i]
		draw := 0
		if faults {
			draw = rapid.IntRange(0, 40).Draw(t, "event")
		}
		switch {
		case vm.State == PlannedOutage && draw < 20:
			for j := range s.Waves {
				if s.Waves[j].Name == vm.Wave {
					for _, id := range s.Waves[j].Done {
						if id == vm.ID {
							t.Fatalf("%s is maintained twice", vm.ID)
						}
					}
					s.Waves[j].Done = append(s.Waves[j].Done, vm.ID)
				}
			}
			vm.State, vm.Wave = Serving, ""
		case vm.State == Failed && draw < 5:
			vm.State = Serving
		case draw == 39:
			vm.State, vm.Wave = Failed, ""
		case draw == 40:
			vm.State, vm.Wave = Removed, ""
		}
	}
}

// Guards against accepting a wave that can never finish.
func TestFits(t *testing.T) {
	pools := []Pool{{Name: "p", MaxUnavailable: 0}, {Name: "q", MaxUnavailable: 1}}
	reasons := Conflicts(Wave{Name: "w", Pools: []string{"p", "q", "r"}}, pools)
	want := "[max_concurrent is 0, so no VM can be taken out of service the services of pool p allow no VM to be unavailable pool r does not exist]"
	if fmt.Sprint(reasons) != want {
		t.Errorf("got %v, want %v", reasons, want)
	}
}
