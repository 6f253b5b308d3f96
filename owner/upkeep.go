package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Machine is a VM in the platform's list.
type Machine struct {
	ID     string
	Pool   string
	Worker string
	// Up is set while the VM is neither moving, nor in upkeep, nor down.
	Up bool
}

// Machines moves VMs between pools and takes them down for upkeep.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	// Upkeep takes a VM down for its upkeep in a wave. It succeeds if that is
	// done already.
	Upkeep(ctx context.Context, machine string, wave int64, fence int64) error
	Move(ctx context.Context, machine, pool string, fence int64) error
}

// Errors of Machines.
var (
	// ErrBusy reports a VM that is moving, in upkeep or leaving.
	ErrBusy = errors.New("VM is busy")
	// ErrNotInWave reports a VM that the wave does not name.
	ErrNotInWave = errors.New("VM is not in the wave")
)

// Wave asks for the upkeep of VMs.
type Wave struct {
	Number   int64
	Machines []string
	Duration time.Duration
	// AtOnce is how many may be down for it together.
	AtOnce int
}

func (t *term) upkeep(ctx context.Context) { <-ctx.Done() }
