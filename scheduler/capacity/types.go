// Package capacity plans the moves of VMs between pools. It is pure: the
// caller passes a snapshot and a time each second and carries out the moves.
package capacity

import "time"

// Pool is the state and the demand of one pool.
type Pool struct {
	Name string
	// Spare pools lend VMs to other pools and take idle ones.
	Spare bool
	// VMs is the number of VMs of the pool, serving or not.
	VMs int
	// MinimumVMs is the number of serving VMs below which no move takes a VM.
	MinimumVMs int
	// MaxUnavailable is the number of VMs of the pool that may be out of
	// service at the same time, VMs on their way out included.
	MaxUnavailable int
	SlotsPerWorker int
	// SlotsWanted is the demand in slots, work that waits included.
	SlotsWanted float64
	Queued      int
	Busy        int
}

// VM is one VM of the fleet.
type VM struct {
	ID               string
	Pool             string
	HomePool         string
	AvailabilityZone string
	Rack             string
	// Serving VMs take requests of their pool.
	Serving bool
	// Target is the pool that a move under way takes the VM to, if known.
	Target string
	// Busy is the number of slots in use on the VM, if known. A move waits for
	// them, so VMs with few of them move first.
	Busy int
	// MovedAt is when the VM last changed its pool.
	MovedAt time.Time
}

// Snapshot is what the planner decides on.
type Snapshot struct {
	Pools []Pool
	VMs   []VM
}

// Move takes a VM from one pool to another.
type Move struct {
	VM, From, To string
}

// HoldPolicy selects how long a pool keeps the VMs of a burst.
type HoldPolicy int

// Hold policies. The measurement compares them.
const (
	// HoldHistogram extends the hold while the expected profit per cost stays
	// above one, by a histogram of the times between bursts.
	HoldHistogram HoldPolicy = iota
	// HoldFixed holds for Options.FixedHold.
	HoldFixed
	// HoldAverage holds for an exponential average of the times between
	// bursts, as long as that pays.
	HoldAverage
)

// Options configure a Planner. Zero values stand for the defaults.
type Options struct {
	// WaitingWeight is the price of a slot of work that waits for a second,
	// BufferWeight that of an idle slot held for a second; default 1 each.
	WaitingWeight, BufferWeight float64
	// MoveSeconds is how long a move takes a VM out of service; default 5.
	MoveSeconds float64
	// MinimumHold is the time within which no VM is moved twice; default 10 s.
	MinimumHold time.Duration
	Hold        HoldPolicy
	// FixedHold is the hold of HoldFixed; default 30 s.
	FixedHold time.Duration
	// WarmUp is how long the planner watches a pool that is not spare before it
	// takes VMs from it; default 60 s, negative for none.
	WarmUp time.Duration
}

func (o Options) withDefaults() Options {
	if o.WaitingWeight <= 0 {
		o.WaitingWeight = 1
	}
	if o.BufferWeight <= 0 {
		o.BufferWeight = 1
	}
	if o.MoveSeconds <= 0 {
		o.MoveSeconds = 5
	}
	if o.MinimumHold <= 0 {
		o.MinimumHold = 10 * time.Second
	}
	if o.FixedHold <= 0 {
		o.FixedHold = 30 * time.Second
	}
	if o.WarmUp == 0 {
		o.WarmUp = time.Minute
	}
	return o
}
