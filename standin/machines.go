package standin

import (
	"sort"
	"sync"
	"time"

	"dotterelhead.example/dotterelhead/infrastructure"
)

// historyRetention is how long state changes of a VM are kept. The lag of the list
// of VMs must be shorter.
const historyRetention = 10 * time.Minute

// machines holds the VMs and their state changes. The list shows the states of an
// earlier time if a lag is set.
type machines struct {
	mu  sync.Mutex
	vms map[string]*machine
}

// machine is one VM. seenOperations holds the accepted operations, whose repeats
// have no effect. A drain and a reboot may share an operation id, so its keys
// include the name of the call.
type machine struct {
	vm             infrastructure.VM
	removed        bool
	rebooting      bool
	seenOperations map[string]struct{}
	history        []stateChange
}

// stateChange is the state of a VM since a time, until the next stateChange.
type stateChange struct {
	since   time.Time
	vm      infrastructure.VM
	removed bool
}

func newMachines(vms []infrastructure.VM) *machines {
	m := &machines{vms: map[string]*machine{}}
	for _, vm := range vms {
		m.register(vm, time.Time{})
	}
	return m
}

// register adds or replaces a VM as of the given time. If a known VM comes without
// a boot count, it is taken to have rebooted.
func (m *machines) register(vm infrastructure.VM, now time.Time) infrastructure.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.vms[vm.ID]
	if x == nil {
		x = &machine{seenOperations: map[string]struct{}{}}
		m.vms[vm.ID] = x
	}
	if vm.State == "" {
		vm.State = infrastructure.VMLive
		// A VM that registers its current boot again may be draining by now.
		if vm.BootCount != 0 && vm.BootCount == x.vm.BootCount && !x.removed {
			vm.State = x.vm.State
		}
	}
	if vm.BootCount == 0 {
		vm.BootCount = x.vm.BootCount + 1
	}
	vm.BootCount = max(vm.BootCount, x.vm.BootCount)
	x.vm, x.removed = vm, false
	x.recordState(now)
	return vm
}

// remove marks a VM as removed and reports whether it was registered.
func (m *machines) remove(id string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.vms[id]
	if x == nil || x.removed {
		return false
	}
	x.removed = true
	x.recordState(now)
	return true
}

func (x *machine) recordState(now time.Time) {
	x.history = append(x.history, stateChange{since: now, vm: x.vm, removed: x.removed})
	expired := 0
	for expired+1 < len(x.history) && x.history[expired+1].since.Before(now.Add(-historyRetention)) {
		expired++
	}
	x.history = x.history[expired:]
}

func (m *machines) get(id string) (infrastructure.VM, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.vms[id]
	if x == nil || x.removed {
		return infrastructure.VM{}, infrastructure.ErrNotFound
	}
	return x.vm, nil
}

// list returns the VMs in the state that they had at the given time.
func (m *machines) list(at time.Time) []infrastructure.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	vms := []infrastructure.VM{}
	for _, x := range m.vms {
		for i := len(x.history) - 1; i >= 0; i-- {
			if state := x.history[i]; !state.since.After(at) {
				if !state.removed {
					vms = append(vms, state.vm)
				}
				break
			}
		}
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	return vms
}

// beginOperation records an operation and reports whether it has to be carried
// out. Repeated operations and operations for an earlier boot have no effect; an
// operation for a later boot returns ErrConflict. The caller holds m.mu.
func (m *machines) beginOperation(call, id string, op infrastructure.Operation) (*machine, bool, error) {
	x := m.vms[id]
	if x == nil || x.removed {
		return nil, false, infrastructure.ErrNotFound
	}
	if op.ExpectedBoot > x.vm.BootCount {
		return nil, false, infrastructure.ErrConflict
	}
	seenKey := call + " " + op.ID
	if _, repeated := x.seenOperations[seenKey]; repeated || op.ExpectedBoot < x.vm.BootCount {
		return x, false, nil
	}
	x.seenOperations[seenKey] = struct{}{}
	return x, true, nil
}

func (m *machines) drain(id string, op infrastructure.Operation, now time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, required, err := m.beginOperation("drain", id, op)
	if err != nil || !required {
		return err
	}
	x.vm.State = infrastructure.VMLeaving
	x.recordState(now)
	return nil
}

// reboot reports whether the caller has to carry out the reboot.
func (m *machines) reboot(id string, op infrastructure.Operation, now time.Time) (vm infrastructure.VM, start bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, required, err := m.beginOperation("reboot", id, op)
	if err != nil || !required || x.rebooting {
		return infrastructure.VM{}, false, err
	}
	x.rebooting = true
	x.vm.State = infrastructure.VMLeaving
	x.recordState(now)
	return x.vm, true, nil
}

// rebootFinished records the end of a reboot.
func (m *machines) rebootFinished(id string, bootCount int64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.vms[id]
	x.rebooting = false
	x.vm.State = infrastructure.VMLive
	x.vm.BootCount = max(x.vm.BootCount, bootCount)
	x.recordState(now)
}
