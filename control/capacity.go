package control

import (
	"time"

	"dotterelhead.example/dotterelhead/fleet"
)

// The types below are identical to those of package scheduler/capacity and
// stand in for them until it is merged.

// Pool is a pool as the capacity plan sees it.
type Pool struct {
	Name                                            string
	Spare                                           bool
	VMs, MinimumVMs, MaxUnavailable, SlotsPerWorker int
	SlotsWanted                                     float64
	Queued, Busy                                    int
}

// VM is a VM as the capacity plan sees it.
type VM struct {
	ID, Pool, HomePool, AvailabilityZone, Rack string
	Serving                                    bool
	MovedAt                                    time.Time
}

// Snapshot is the input of the capacity plan.
type Snapshot struct {
	Pools []Pool
	VMs   []VM
}

// Move is one move of the capacity plan.
type Move struct{ VM, From, To string }

// Capacity plans moves between pools.
type Capacity interface {
	Plan(now time.Time, s Snapshot) []Move
}

func capacitySnapshot(s snapshot) Snapshot {
	var out Snapshot
	index := map[string]int{}
	for _, p := range s.config.Pools {
		budget, limited := fleet.Budget(s.config, p.Name)
		if !limited {
			budget = len(s.document.VMs)
		}
		index[p.Name] = len(out.Pools)
		out.Pools = append(out.Pools, Pool{
			Name: p.Name, Spare: p.Spare, MinimumVMs: p.MinimumVMs,
			MaxUnavailable: budget, SlotsPerWorker: p.SlotsPerWorker,
		})
	}
	for _, d := range s.demand {
		if i, ok := index[d.Pool]; ok {
			out.Pools[i].SlotsWanted += d.SlotsWanted
			out.Pools[i].Queued += int(d.Queued)
			out.Pools[i].Busy += int(d.Busy)
		}
	}
	for _, vm := range s.document.VMs {
		if i, ok := index[vm.Pool]; ok && vm.Phase != fleet.Down {
			out.Pools[i].VMs++
		}
		var movedAt time.Time
		if vm.MovedAtUnixMillis != 0 {
			movedAt = time.UnixMilli(vm.MovedAtUnixMillis)
		}
		out.VMs = append(out.VMs, VM{
			ID: vm.ID, Pool: vm.Pool, HomePool: vm.HomePool,
			AvailabilityZone: vm.AvailabilityZone, Rack: vm.Rack,
			Serving: vm.Phase == fleet.Serving, MovedAt: movedAt,
		})
	}
	return out
}
