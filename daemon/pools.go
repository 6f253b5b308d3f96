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
	// leavingVMsPollInterval is how often an entry VM checks whether it has to
	// read the platform's VM list itself.
	leavingVMsPollInterval = 500 * time.Millisecond
	// storeStaleAfter is the time since the last contact with the store, own or
	// reported by another entry VM, after which the store may be down. A watch of
	// the store returns after at most 2 s, also if nothing has changed. storeStaleAfter
	// plus leavingVMsPollInterval is below the 3 s within which a leaving VM must
	// stop getting new work.
	storeStaleAfter = 2200 * time.Millisecond
	// storeProbeTimeout bounds the read that checks whether the store is down.
	storeProbeTimeout = 300 * time.Millisecond
)

// pollLeavingVMs reads the platform's VM list while the store is down, so that
// leaving VMs get no new work. While the store is up, the fleet document names
// the leaving VMs.
func (e *EntryVM) pollLeavingVMs(ctx context.Context) {
	ticker := time.NewTicker(leavingVMsPollInterval)
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

// isStoreDown reports whether the store does not respond. After storeStaleAfter it
// reads one small key to find out, which costs less than reading the VM list. The
// time since the last contact is not enough evidence, because entry VMs that do not
// watch the store learn of a contact only from other entry VMs.
func (e *EntryVM) isStoreDown(ctx context.Context) bool {
	age, ok := e.node.FleetDocumentAge(time.Now())
	if !ok || age <= storeStaleAfter {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeProbeTimeout)
	defer cancel()
	_, err := e.platform.Get(ctx, control.LeaseKey(e.settings.Region))
	return err != nil && !errors.Is(err, infrastructure.ErrNotFound)
}

// ejectedWorkers returns the workers that the dispatchers of the region have
// ejected. They count as unavailable in the availability budgets.
func (e *EntryVM) ejectedWorkers() map[string]bool {
	ejected := map[string]bool{}
	for _, demand := range e.node.MemberDemand() {
		for _, worker := range demand.Ejected {
			ejected[worker] = true
		}
	}
	return ejected
}

// connectionLimit returns the maximum number of connections from this entry VM
// to one worker. It divides the smallest connections_per_worker of all pools
// evenly among the registered entry VMs.
func (e *EntryVM) connectionLimit() int {
	perWorker := maxConnectionsPerWorker
	for _, pool := range e.configInForce().Pools {
		perWorker = min(perWorker, pool.ConnectionsPerWorker)
	}
	registry, _ := e.node.Registry()
	return max(1, perWorker/max(1, registry.Size()))
}

// maxConnectionsPerWorker is the number of connections that a worker of the current
// deployments accepts. Pools can only lower it.
const maxConnectionsPerWorker = 64

func (e *EntryVM) servingWorkers(pool string) []dispatching.Worker {
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

// limits returns the queue limit of a pool and the slot quotas of the teams from
// the configuration in force.
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
