// Package capacity plans the moves of VMs between pools. It does no I/O and
// reads no clock: the caller passes in a snapshot and the time and carries out
// the moves. Planner serves pools whose demand is given in slots and expects to
// be called once per second; Rebalancer serves pools whose demand is given in
// cores.
package capacity

import "time"

// Pool is the state and the demand of one pool.
type Pool struct {
	Name string
	// Spare pools supply VMs to the other pools and take back idle ones.
	Spare bool
	// VMs is the number of VMs of the pool, serving or not.
	VMs int
	// MinimumVMs is the smallest number of serving VMs that a move may leave in
	// the pool.
	MinimumVMs int
	// MaxUnavailable is the availability budget of the pool: no VM leaves the
	// pool while that many of its VMs are out of service. VMs that are moving to
	// a known pool don't count. It doesn't apply to spare pools.
	MaxUnavailable int
	SlotsPerWorker int
	// SlotsWanted is the demand in slots, including waiting work.
	SlotsWanted float64
	// Queued is the number of waiting requests, Busy the number of slots in use.
	Queued int
	Busy   int
}

// VM is one VM of the fleet.
type VM struct {
	ID   string
	Pool string
	// HomePool is the pool that the configuration assigns the VM to. Pool differs
	// from it while the VM works for another pool.
	HomePool         string
	AvailabilityZone string
	Rack             string
	// Serving VMs take requests of their pool.
	Serving bool
	// Target is the destination pool of a move in progress, if known.
	Target string
	// Busy is the number of slots in use on the VM, if known. A move waits until
	// they are free, so VMs with few busy slots are moved first.
	Busy int
	// MovedAt is when the VM last changed its pool.
	MovedAt time.Time
}

// Snapshot is the state of the fleet that a plan is based on.
type Snapshot struct {
	Pools []Pool
	VMs   []VM
}

// Move takes a VM from one pool to another.
type Move struct {
	VM, From, To string
}

// HoldPolicy selects the hold time of a pool: how long it keeps the VMs of a
// burst after the burst has ended.
type HoldPolicy int

// Hold policies. HoldHistogram is the default; the others serve as a comparison
// in benchmarks.
const (
	// HoldHistogram extends the hold time as long as the expected benefit
	// exceeds the expected cost, based on a histogram of the gaps between
	// bursts.
	HoldHistogram HoldPolicy = iota
	// HoldFixed uses Options.FixedHold.
	HoldFixed
	// HoldAverage holds for slightly more than the exponential moving average of
	// the gaps between bursts, unless that costs more than it saves.
	HoldAverage
)

// Options configure a Planner. Zero values stand for the defaults.
type Options struct {
	// WaitingWeight is the cost of one slot's worth of work waiting for one
	// second, BufferWeight the cost of keeping one slot idle for one second;
	// default 1 each.
	WaitingWeight, BufferWeight float64
	// MoveSeconds is how long a VM is out of service during a move; default 5.
	MoveSeconds float64
	// MinimumMoveInterval is the minimum time between two moves of a VM, which is
	// unrelated to the hold time of a pool; default 10 s.
	MinimumMoveInterval time.Duration
	Hold                HoldPolicy
	// FixedHold is the hold time of HoldFixed; default 30 s.
	FixedHold time.Duration
	// WarmUp is how long the planner observes a pool other than a spare pool
	// before it takes VMs from it; default 60 s, negative for no warm-up.
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
	if o.MinimumMoveInterval <= 0 {
		o.MinimumMoveInterval = 10 * time.Second
	}
	if o.FixedHold <= 0 {
		o.FixedHold = 30 * time.Second
	}
	if o.WarmUp == 0 {
		o.WarmUp = time.Minute
	}
	return o
}
