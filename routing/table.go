// Package routing decides to which VMs an entry VM may send requests, and tracks
// the requests in flight to each VM. Entry VMs receive the requests of callers; the
// other VMs run backend servers.
//
// The fleet document gives each VM a phase and a generation, which rises when the VM
// is assigned to another pool. Before that, the VM leaves phase Serving, and every
// entry VM reports it as released once it no longer uses the VM.
package routing

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/fleet"
)

// Errors that Admit and Check return.
var (
	// ErrNotServing reports that the VM is unknown, is not in phase Serving, or
	// has another generation than the one that was asked for.
	ErrNotServing = errors.New("VM is unknown or not serving in this generation")
	// ErrNoPermit reports that the entry VM holds no valid routing permit.
	ErrNoPermit = errors.New("no valid routing permit")
)

// Permit tells whether this entry VM may send to backend servers.
type Permit interface {
	Valid(now time.Time) bool
}

// Options configures a Table.
type Options struct {
	Permit Permit
	// CloseIdle closes the idle connections to a VM. It must not call the
	// table.
	CloseIdle func(vm string)
	// OnDrained is called when the last request to a VM that is not in phase Serving
	// has ended, so that the VM can be reported as released at once. It must not
	// call the table.
	OnDrained func()
	Now       func() time.Time
}

// Table admits requests to VMs and counts the requests in flight to each VM.
//
// Invariant: a VM is reported as released in a generation only while no
// request of this entry VM is in flight to it and its connections are closed,
// and afterwards no request of that generation is admitted.
type Table struct {
	options Options

	mu       sync.Mutex
	vms      map[string]fleet.VM
	inFlight map[string]int
}

// New returns a table without VMs.
func New(options Options) *Table {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.OnDrained == nil {
		options.OnDrained = func() {}
	}
	if options.CloseIdle == nil {
		options.CloseIdle = func(string) {}
	}
	return &Table{options: options, vms: map[string]fleet.VM{}, inFlight: map[string]int{}}
}

// Update replaces the VMs of the table by those of a newer fleet document, and
// closes the idle connections to VMs that no longer serve in their former
// generation.
func (t *Table) Update(doc fleet.Document) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]fleet.VM, len(doc.VMs))
	for _, vm := range doc.VMs {
		next[vm.ID] = vm
	}
	for id, old := range t.vms {
		vm, ok := next[id]
		if !ok || vm.Phase != fleet.Serving || vm.Generation != old.Generation {
			t.options.CloseIdle(id)
		}
	}
	t.vms = next
}

// Serving returns the VMs that serve a pool.
func (t *Table) Serving(pool string) []fleet.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	var serving []fleet.VM
	for _, vm := range t.vms {
		if vm.Pool == pool && vm.Phase == fleet.Serving {
			serving = append(serving, vm)
		}
	}
	return serving
}

// VM returns the entry of a VM in the latest fleet document.
func (t *Table) VM(id string) (fleet.VM, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	vm, ok := t.vms[id]
	return vm, ok
}

// Admit admits one request to a VM. The request counts as in flight until Done
// is called on the ticket.
func (t *Table) Admit(vm string, generation int64) (*Ticket, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record, err := t.check(vm, generation)
	if err != nil {
		return nil, err
	}
	t.inFlight[vm]++
	return &Ticket{table: t, vm: record}, nil
}

func (t *Table) check(vm string, generation int64) (fleet.VM, error) {
	record, ok := t.vms[vm]
	if !ok || record.Phase != fleet.Serving || record.Generation != generation {
		return fleet.VM{}, errors.Wrapf(ErrNotServing, "%s generation %d", vm, generation)
	}
	if !t.options.Permit.Valid(t.options.Now()) {
		return fleet.VM{}, ErrNoPermit
	}
	return record, nil
}

// InFlight returns the number of requests in flight to all VMs.
func (t *Table) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	for _, n := range t.inFlight {
		total += n
	}
	return total
}

// Released is a VM that this entry VM no longer uses in a generation.
type Released struct {
	VM         string
	Generation int64
}

// Released returns the VMs that are not in phase Serving and have no request of
// this entry VM in flight. It closes their idle connections.
func (t *Table) Released() []Released {
	t.mu.Lock()
	defer t.mu.Unlock()
	var released []Released
	for id, vm := range t.vms {
		if vm.Phase == fleet.Serving || t.inFlight[id] > 0 {
			continue
		}
		t.options.CloseIdle(id)
		released = append(released, Released{VM: id, Generation: vm.Generation})
	}
	return released
}

// Ticket is the admission of one request to a VM.
type Ticket struct {
	table *Table
	vm    fleet.VM
	once  sync.Once
}

// VM returns the VM as it was described when the request was admitted.
func (k *Ticket) VM() fleet.VM { return k.vm }

// Check returns nil if the request may still be sent, else ErrNotServing or
// ErrNoPermit. It is called on an established connection immediately before the first byte is written, because
// the process may have been frozen since Admit.
func (k *Ticket) Check() error {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	_, err := k.table.check(k.vm.ID, k.vm.Generation)
	return err
}

// ConnectionReusable reports whether the VM may still be sent requests. If not,
// the connection of the request must not be reused for later ones.
func (k *Ticket) ConnectionReusable() bool {
	return k.Check() == nil
}

// Done ends the request. Further calls have no effect.
func (k *Ticket) Done() {
	k.once.Do(func() {
		k.table.mu.Lock()
		defer k.table.mu.Unlock()
		if k.table.inFlight[k.vm.ID]--; k.table.inFlight[k.vm.ID] > 0 {
			return
		}
		delete(k.table.inFlight, k.vm.ID)
		if k.table.vms[k.vm.ID].Phase != fleet.Serving {
			k.table.options.OnDrained()
		}
	})
}
