package control

import (
	"time"

	"dotterelhead.example/dotterelhead/fleet"
	"dotterelhead.example/dotterelhead/scheduler/capacity"
)

// Capacity plans moves between pools.
type Capacity interface {
	Plan(now time.Time, s capacity.Snapshot) []capacity.Move
}

func capacitySnapshot(s snapshot) capacity.Snapshot {
	var out capacity.Snapshot
	index := map[string]int{}
	busy := map[string]int{}
	for _, p := range s.config.Pools {
		budget, limited := fleet.Budget(s.config, p.Name)
		if !limited {
			budget = len(s.document.VMs)
		}
		index[p.Name] = len(out.Pools)
		out.Pools = append(out.Pools, capacity.Pool{
			Name: p.Name, Spare: p.Spare, MinimumVMs: p.MinimumVMs,
			MaxUnavailable: budget, SlotsPerWorker: p.SlotsPerWorker,
		})
	}
	for _, d := range s.demand {
		for worker, slots := range d.BusySlots {
			busy[worker] += int(slots)
		}
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
		out.VMs = append(out.VMs, capacity.VM{
			ID: vm.ID, Pool: vm.Pool, HomePool: vm.HomePool,
			AvailabilityZone: vm.AvailabilityZone, Rack: vm.Rack,
			Serving: vm.Phase == fleet.Serving, Target: vm.TargetPool, MovedAt: movedAt,
			Busy: busy[vm.ID],
		})
	}
	return out
}
