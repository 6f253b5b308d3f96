// Package owner elects the one process that owns all jobs and does its work: it
// holds the owner's lease in the store, passes events to the state machine of
// package execution, and carries out the state machine's decisions.
package owner

import (
	"context"
	"encoding/json"
	"math"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/scheduler/execution"
	"dotterelhead.example/dotterelhead/store"
	"dotterelhead.example/dotterelhead/telemetry"
)

// ErrFenced reports that a worker or the platform has seen a higher fence
// number (fencing token): another process is the owner.
var ErrFenced = errors.New("fenced: another process is the owner")

// ErrNotExecuted reports an order that the receiver refused: it had no effect.
var ErrNotExecuted = errors.New("order not carried out")

// Workers sends orders to workers. Each call is meant for one process of a
// worker, which Worker.StartMillis in its argument identifies, and carries the
// fencing token of that process.
type Workers interface {
	// Start returns a result also if it fails. The error is ErrFenced if the
	// worker has seen a higher fence number.
	Start(ctx context.Context, s execution.Start) (execution.StartResult, error)
	Stop(ctx context.Context, s execution.Stop) error
	// Hold extends the leases of the runs on a worker and returns the worker's
	// running and ended items.
	Hold(ctx context.Context, h execution.Hold) (execution.Report, error)
	// Pace sets the speed of a run as a percentage of its full speed.
	Pace(ctx context.Context, p execution.Pace) error
}

// RegistryHandler receives the contents of the workers' registry (Reset) and
// its changes (Changed).
type RegistryHandler struct {
	Reset   func([]execution.Worker)
	Changed func(seen []execution.Worker, gone []string)
}

// Registry follows the platform's registry of workers until ctx ends.
type Registry interface {
	Follow(ctx context.Context, h RegistryHandler)
}

// Advisor decides which workers may run a step.
type Advisor interface {
	// Advise returns a ticket for each worker that may run the step, by the ID
	// of the worker, and how long the tickets are valid. The call that starts a
	// run carries the ticket, and the worker may reject it.
	Advise(ctx context.Context, q execution.AdviceRequest) (tickets map[string]string, validity time.Duration, err error)
}

// Options configure an Owner.
type Options struct {
	// Node is the name of this entry VM.
	Node     string
	Store    store.Store
	Workers  Workers
	Registry Registry
	Advisor  Advisor
	VMs      VMOperations
	// StatusPrefix is the prefix of the keys that VMOperations.WaveStatus returns.
	StatusPrefix string
	// Manifest returns the manifest in force, or nil.
	Manifest func() *job.Manifest
	// Waves returns the waves that operators requested.
	Waves func() []Wave
	Log   *telemetry.Logger
	Scope tally.Scope
	// Lease is the duration of the owner's lease. Another process may become the
	// owner once it has expired.
	Lease time.Duration
	// CPUShare is the fraction of a core that this entry VM has; 0 means that
	// it is not limited.
	CPUShare float64
	// ContendDelay is how long this process waits before it contends for a
	// vacant ownership, so that larger entry VMs become the owner first.
	ContendDelay time.Duration
	// MinOrderInterval is the minimum time between the orders of successive owners
	// for the same VM. It does not concern the handover of the ownership.
	MinOrderInterval time.Duration
	// OrdersPerSecond is how many orders for VMs the platform accepts per second.
	OrdersPerSecond float64
	// UpkeepTime and MoveTime are how long a VM is down for its upkeep or for a
	// move.
	UpkeepTime, MoveTime time.Duration
	// KeepFinished is how long the records of finished jobs are kept.
	KeepFinished time.Duration
	// MaxJobBytes bounds the memory of the accepted jobs, apart from what runs. No further
	// jobs are accepted of a queue that takes more than is left of it. 0 means no bound.
	MaxJobBytes int64
	Execution   execution.Options
}

const (
	// orderRateShare and orderBurstShare, times OrdersPerSecond, give the steady
	// rate and the largest burst of this owner's orders for VMs. Their sum is
	// below 1, to leave room for the last orders of a former owner.
	orderRateShare  = 0.6
	orderBurstShare = 1.0 / 3
	// renewEvery is the pause between renewals of the lease; several fit into a
	// lease.
	renewEvery = 300 * time.Millisecond
	// renewTimeout leaves time for two more renewals after a lost answer. A slow
	// store answers in about 250 ms.
	renewTimeout = 350 * time.Millisecond
	// authorityMargin is how long before the end of its lease an owner stops
	// giving orders. It covers the time between the check of the authority and
	// the arrival of the order.
	authorityMargin = 300 * time.Millisecond
	// contendEvery is the pause after an attempt to become the owner.
	contendEvery = 100 * time.Millisecond
	// uptimeDelay, times the common logarithm of a process's uptime in seconds, is
	// added to its ContendDelay, up to maxUptimeDelay. During a rolling restart,
	// the processes that have run longest are stopped next; as owners they would
	// have to hand over again. An order of magnitude in uptime exceeds the
	// differences between the times at which processes hear of a vacancy.
	uptimeDelay    = 20 * time.Millisecond
	maxUptimeDelay = 100 * time.Millisecond
	// After a loss of power all processes start within 0.3 s of each other, so that a small
	// entry VM may be the first by more than its ContendDelay. For startupSpread after its
	// start it waits startupDelayFactor times as long.
	startupSpread      = time.Second
	startupDelayFactor = 4
	// ownerWait is how long one watch call on the owner's key waits for changes.
	ownerWait = 5 * time.Second
)

// Owner contends for the ownership of the jobs, and runs the jobs while it has
// it.
type Owner struct {
	options   Options
	process   string
	startedAt time.Duration
	metrics   metrics
	// vmOrderLimit limits the rate of orders for VMs to what the platform accepts.
	vmOrderLimit *rate.Limiter

	mu   sync.Mutex
	seen *seenOwner
}

// New returns an owner that starts to work when Run is called.
func New(o Options) *Owner {
	return &Owner{
		options: o, process: uuid.NewString(), startedAt: boottime.Now(), metrics: newMetrics(o.Scope),
		vmOrderLimit: rate.NewLimiter(rate.Limit(o.OrdersPerSecond*orderRateShare), max(1, int(o.OrdersPerSecond*orderBurstShare))),
	}
}

// Run contends for the ownership until ctx ends, and then releases it.
func (o *Owner) Run(ctx context.Context) {
	vacant := make(chan struct{}, 1)
	go o.watchOwner(ctx, vacant)
	go o.challengeSmallerOwners(ctx)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-vacant:
		}
		wait(ctx, nil, o.contendDelay(boottime.Now()-o.startedAt))
		if o.options.Manifest() != nil {
			if t := o.contend(ctx); t != nil {
				o.runTerm(ctx, t)
			}
		}
		wait(ctx, nil, contendEvery)
	}
}

// contendDelay returns how long this process waits before it contends for the ownership.
func (o *Owner) contendDelay(uptime time.Duration) time.Duration {
	delay := o.options.ContendDelay + delayForUptime(uptime)
	if uptime < startupSpread {
		delay += (startupDelayFactor - 1) * o.options.ContendDelay
	}
	return delay
}

// delayForUptime returns how long a process waits before it contends for the
// ownership, in addition to ContendDelay.
func delayForUptime(uptime time.Duration) time.Duration {
	delay := time.Duration(float64(uptimeDelay) * math.Log10(1+uptime.Seconds()))
	return min(delay, maxUptimeDelay)
}

// watchOwner signals vacant when there is no owner, or when the owner is an
// earlier process of this entry VM, which has ended. While the owner's key does
// not exist, it repeats the signal after each watch call.
func (o *Owner) watchOwner(ctx context.Context, vacant chan struct{}) {
	note := func(claims []store.Item) {
		for _, item := range claims {
			var c jobstore.Claim
			if json.Unmarshal(item.Value, &c) == nil && (c.Node != o.options.Node || c.Process == o.process) {
				o.noteOwner(&c)
				return
			}
		}
		o.noteOwner(nil)
		signal(vacant)
	}
	keyAbsent := false
	store.Follow(ctx, o.options.Store, jobstore.OwnerKey, ownerWait, store.FollowHandler{
		Reset: func(items []store.Item, _ int64) {
			keyAbsent = len(items) == 0
			note(items)
		},
		Changed: func(events []store.Event) {
			last := events[len(events)-1]
			keyAbsent = last.Deleted
			if last.Deleted {
				note(nil)
			} else {
				note([]store.Item{last.Item})
			}
		},
		Synced: func(time.Time) {
			if keyAbsent {
				signal(vacant)
			}
		},
	})
}

// contend tries to become the owner; it returns nil if that fails. The duration
// of the lease is counted from before the request, because the store may have
// granted it at any time since.
func (o *Owner) contend(ctx context.Context) *term {
	requestedAt := boottime.Now()
	ownership, err := jobstore.Acquire(ctx, o.options.Store, o.claim(), o.options.Lease)
	if err != nil {
		if ctx.Err() == nil {
			o.options.Log.Warn().Str("event", "ownership_not_acquired").Err(err).Msg("")
		}
		return nil
	}
	if ownership == nil {
		return nil
	}
	return newTerm(o, ownership, requestedAt)
}

func (o *Owner) runTerm(ctx context.Context, t *term) {
	o.options.Log.Info().Str("event", "ownership_acquired").Int64("term", t.ownership.Term).Int64("fence", t.ownership.Fence).Msg("")
	reason := t.run(ctx)
	o.options.Log.Info().Str("event", "ownership_ended").Int64("term", t.ownership.Term).Int64("fence", t.ownership.Fence).Str("reason", reason.Error()).Msg("")
}
