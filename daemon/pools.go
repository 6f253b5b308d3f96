package daemon

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/control"
	"dotterelhead.example/dotterelhead/dispatch"
	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/scheduler/dispatching"
)

const (
	// listInterval is how often an entry VM looks whether it has to read the
	// platform's list itself.
	listInterval = 500 * time.Millisecond
	// staleStore is the age of the store knowledge from which the store may be
	// down. A watch renews it every 2 s. Together with listInterval it stays
	// below the 3 s in which a leaving VM must get no new work.
	staleStore = 2200 * time.Millisecond
	// storeProbeTimeout bounds the read that tells whether the store is down.
	storeProbeTimeout = 300 * time.Millisecond
)

// followList reads the platform's list while the store is down, so that leaving
// VMs get no new work. Otherwise the fleet document names them.
func (e *EntryVM) followList(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		leaving := map[string]bool{}
		if e.isStoreDown(ctx) {
			vms, err := e.platform.VMs(ctx)
			if err != nil {
				continue
			}
			for _, vm := range vms {
				if vm.State == infrastructure.VMLeaving {
					leaving[vm.ID] = true
				}
			}
		}
		if !maps.Equal(leaving, *e.leavingVMs.Load()) {
			e.leavingVMs.Store(&leaving)
			e.server.WorkersChanged()
		}
	}
}

// isStoreDown reports whether the store does not answer. Old knowledge alone
// does not say so, because members that do not watch learn from their peers; a
// read of one small key costs less than the list.
func (e *EntryVM) isStoreDown(ctx context.Context) bool {
	age, ok := e.node.StoreAge(time.Now())
	if !ok || age <= staleStore {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeProbeTimeout)
	defer cancel()
	_, err := e.platform.Get(ctx, control.LeaseKey(e.settings.Region))
	return err != nil && !errors.Is(err, infrastructure.ErrNotFound)
}

// ejected returns the workers that the dispatchers of the region have ejected.
// They count against the availability budgets.
func (e *EntryVM) ejected() map[string]bool {
	ejected := map[string]bool{}
	for _, demand := range e.node.DemandOfMembers() {
		for _, worker := range demand.Ejected {
			ejected[worker] = true
		}
	}
	return ejected
}

// connectionLimit shares the connections that a worker takes among the
// registered entry VMs.
func (e *EntryVM) connectionLimit() int {
	perWorker := defaultConnectionsPerWorker
	for _, pool := range e.configInForce().Pools {
		perWorker = min(perWorker, pool.ConnectionsPerWorker)
	}
	registry, _ := e.node.Registry()
	return max(1, perWorker/max(1, registry.Size()))
}

// defaultConnectionsPerWorker is what one worker of today's deployments takes.
const defaultConnectionsPerWorker = 64

func (e *EntryVM) workers(pool string) []dispatching.Worker {
	config, ok := e.configInForce().Pool(pool)
	if !ok {
		return nil
	}
	var workers []dispatching.Worker
	leaving := *e.leavingVMs.Load()
	for _, vm := range e.table.Serving(pool) {
		if leaving[vm.ID] {
			continue
		}
		workers = append(workers, dispatching.Worker{
			ID: vm.ID, Address: vm.Address, AvailabilityZone: vm.AvailabilityZone, Rack: vm.Rack,
			Slots: config.SlotsPerWorker, Generation: vm.Generation,
		})
	}
	return workers
}

func (e *EntryVM) newPool(pool string) *dispatching.Pool {
	return dispatching.NewPool(dispatching.Options{MaxQueue: e.limits(pool).MaxQueue})
}

// limits returns the bounds of a pool by the configuration in force.
func (e *EntryVM) limits(pool string) dispatch.Limits {
	config := e.configInForce()
	limits := dispatch.Limits{TeamSlots: map[string]int{}}
	for _, service := range config.Services {
		if service.Pool == pool {
			limits.MaxQueue += service.MaxQueue
		}
	}
	for _, team := range config.Teams {
		limits.TeamSlots[team.Name] = team.SlotQuota
	}
	return limits
}
