// Package infrastructure defines the interface of the platform that entry VMs
// run on: a key-value store with compare-and-swap, leases and watches, a list of
// VMs that may be out of date, and operations to drain and reboot a VM.
package infrastructure

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of platform calls. Callers compare with errors.Is.
var (
	// ErrConflict reports that the key did not have the expected version, or
	// that the boot count of the VM is lower than the expected one.
	ErrConflict = errors.New("version conflict")
	// ErrNotFound reports that a key, lease or VM does not exist.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable reports that the call had no effect: the platform could
	// not be reached or refused the call.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown reports that the answer was lost; the call may or may not
	// have taken effect.
	ErrOutcomeUnknown = errors.New("outcome unknown")
)

// KeyValue is a key of the store with its value and version.
type KeyValue struct {
	Key string `json:"key"`
	// Version grows with every write to any key of the store.
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// WatchResult is the result of one Watch call.
type WatchResult struct {
	// Changed holds the current state of the keys that changed.
	Changed []KeyValue `json:"changed"`
	// Deleted holds the keys that were deleted.
	Deleted []string `json:"deleted"`
	// Next is the version from which the next Watch continues.
	Next int64 `json:"next"`
}

// Store is the key-value service of the platform.
type Store interface {
	// Get returns ErrNotFound for a key that does not exist.
	Get(ctx context.Context, key string) (KeyValue, error)
	// List returns up to limit keys that start with prefix and sort after
	// the key after.
	List(ctx context.Context, prefix, after string, limit int) ([]KeyValue, error)
	// Put writes value if the key has the expected version; 0 means that the
	// key must not exist. A lease that is not empty is attached to the key.
	// Put returns the new version.
	Put(ctx context.Context, key string, value []byte, expected int64, lease string) (int64, error)
	// Delete removes the key if it has the expected version.
	Delete(ctx context.Context, key string, expected int64) error
	// Watch waits up to the given time for changes later than version after to
	// keys that start with prefix.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (WatchResult, error)
	// GrantLease creates a lease; the keys attached to it are deleted when it
	// expires.
	GrantLease(ctx context.Context, ttl time.Duration) (string, error)
	KeepAlive(ctx context.Context, lease string) error
	RevokeLease(ctx context.Context, lease string) error
}

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM. A VM that is gone is absent from the list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list.
type VM struct {
	ID               string  `json:"id"`
	Address          string  `json:"address"`
	AvailabilityZone string  `json:"availability_zone"`
	Rack             string  `json:"rack"`
	State            VMState `json:"state"`
	// BootCount grows by one with every boot of the VM.
	BootCount int64 `json:"boot_count"`
	// EntryVM marks the VMs that run dotterelheadd, which forwards requests to
	// backend servers. The other VMs run backend servers.
	EntryVM bool `json:"entry_vm"`
}

// Inventory is the platform's list of live and leaving VMs, which may be out of
// date.
type Inventory interface {
	VMs(ctx context.Context) ([]VM, error)
}

// Operation identifies a drain or reboot, so that repeating it has no effect.
type Operation struct {
	ID string `json:"operation"`
	// ExpectedBoot is the boot count that the caller saw before the operation
	// was started. The platform ignores the operation once the boot count
	// exceeds it.
	ExpectedBoot int64 `json:"expected_boot"`
}

// VMOperations drains and reboots VMs.
type VMOperations interface {
	// Drain makes the platform list the VM as leaving until its next boot.
	Drain(ctx context.Context, vm string, op Operation) error
	// Reboot starts a reboot, which is complete when the boot count returned by
	// VM or Inventory has grown.
	Reboot(ctx context.Context, vm string, op Operation) error
	// VM returns the current record of one VM, which is never out of date.
	VM(ctx context.Context, vm string) (VM, error)
}

// Platform combines all platform interfaces that an entry VM uses.
type Platform interface {
	Store
	Inventory
	VMOperations
}
