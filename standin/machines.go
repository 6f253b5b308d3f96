package standin

import (
	"sort"
	"sync"
	"time"

	"dotterelhead.example/dotterelhead/infrastructure"
)

// historyKeep is how long past states of a VM are kept; the lag of the list
// must be shorter.
const historyKeep = 10 * time.Minute

// machines holds the VMs and what the lagging list showed of them.
type machines struct {
	mu  sync.Mutex
	vms map[string]*machine
}

// machine is one VM. An operation in done has been accepted; a repeat does
// nothing. A drain and a reboot may share an operation id.
type machine struct {
	vm        infrastructure.VM
	gone      bool
	rebooting bool
	done      map[string]struct{}
	history   []pastState
}

type pastState struct {
	since time.Time
	vm    infrastructure.VM
	gone  bool
}

func newMachines(vms []infrastructure.VM) *machines {
	m := &machines{vms: map[string]*machine{}}
	for _, vm := range vms {
		m.register(vm, time.Time{})
	}
	return m
}

// register adds or replaces a VM as of the given time. Without a boot count,
// a VM that is already known counts as booted again.
func (m *machines) register(vm infrastructure.VM, now time.Time) infrastructure.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.vms[vm.ID]
	if x == nil {
		x = &machine{done: map[string]struct{}{}}
		m.vms[vm.ID] = x
	}
	if vm.State == "" {
		vm.State = infrastructure.VMLive
		// A VM that announces its present boot again may be draining by now.
		if vm.BootCount != 0 && vm.BootCount == x.vm.BootCount && !x.gone {
			vm.State = x.vm.State
		}
	}
	if vm.BootCount == 0 {
		vm.BootCount = x.vm.BootCount + 1
	}
	vm.BootCount = max(vm.BootCount, x.vm.BootCount)
	x.vm, x.gone = vm, false
	x.note(now)
	return vm
}

// remove makes a VM gone and reports whether it was there.
func (m *machines) remove(id string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.vms[id]
	if x == nil || x.gone {
		return false
	}
	x.gone = true
	x.note(now)
	return true
}

func (x *machine) note(now time.Time) {
	x.history = append(x.history, pastState{since: now, vm: x.vm, gone: x.gone})
	old := 0
	for old+1 < len(x.history) && x.history[old+1].since.Before(now.Add(-historyKeep)) {
		old++
	}
	x.history = x.history[old:]
}

func (m *machines) get(id string) (infrastructure.VM, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.vms[id]
	if x == nil || x.gone {
		return infrastructure.VM{}, infrastructure.ErrNotFound
	}
	return x.vm, nil
}

// list returns the VMs as they were at a time.
func (m *machines) list(at time.Time) []infrastructure.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	vms := []infrastructure.VM{}
	for _, x := range m.vms {
		for i := len(x.history) - 1; i >= 0; i-- {
			if past := x.history[i]; !past.since.After(at) {
				if !past.gone {
					vms = append(vms, past.vm)
				}
				break
			}
		}
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	return vms
}

// begin records an operation and reports whether it is to be carried out.
func (m *machines) begin(call, id string, op infrastructure.Operation) (*machine, bool, error) {
	x := m.vms[id]
	if x == nil || x.gone {
		return nil, false, infrastructure.ErrNotFound
	}
	if op.ExpectedBoot > x.vm.BootCount {
		return nil, false, infrastructure.ErrConflict
	}
	name := call + " " + op.ID
	if _, repeated := x.done[name]; repeated || op.ExpectedBoot < x.vm.BootCount {
		return x, false, nil
	}
	x.done[name] = struct{}{}
	return x, true, nil
}

func (m *machines) drain(id string, op infrastructure.Operation, now time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, effective, err := m.begin("drain", id, op)
	if err != nil || !effective {
		return err
	}
	x.vm.State = infrastructure.VMLeaving
	x.note(now)
	return nil
}

// reboot reports whether the caller has to carry out the reboot.
func (m *machines) reboot(id string, op infrastructure.Operation, now time.Time) (vm infrastructure.VM, start bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, effective, err := m.begin("reboot", id, op)
	if err != nil || !effective || x.rebooting {
		return infrastructure.VM{}, false, err
	}
	x.rebooting = true
	x.vm.State = infrastructure.VMLeaving
	x.note(now)
	return x.vm, true, nil
}

// booted records the end of a reboot.
func (m *machines) booted(id string, boot int64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.vms[id]
	x.rebooting = false
	x.vm.State = infrastructure.VMLive
	x.vm.BootCount = max(x.vm.BootCount, boot)
	x.note(now)
}
