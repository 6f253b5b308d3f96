// Package owner runs the process that owns all jobs: it holds the owner's
// lease in the store, keeps the state machine of package execution fed, and
// carries out its orders.
package owner

import (
	"context"
	"encoding/json"
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
// number: another process is the owner.
var ErrFenced = errors.New("fenced off")

// ErrNotSent reports an order that certainly was not carried out.
var ErrNotSent = errors.New("not carried out")

// Workers carries out orders. Each call names the lifetime that it means and
// carries the fence number.
type Workers interface {
	// Start returns ErrFenced, or the result.
	Start(ctx context.Context, s execution.Start, fence int64) (execution.StartResult, error)
	Stop(ctx context.Context, s execution.Stop, fence int64) error
	Hold(ctx context.Context, h execution.Hold, fence int64) (execution.Report, error)
	Pace(ctx context.Context, p execution.Pace, fence int64) error
}

// RegistryHandler receives the registry of workers.
type RegistryHandler struct {
	Reset   func([]execution.Worker)
	Changed func(seen []execution.Worker, gone []string)
}

// Registry follows the platform's registry of workers until ctx ends.
type Registry interface {
	Follow(ctx context.Context, h RegistryHandler)
}

// Advisor says which workers may run a step.
type Advisor interface {
	Advise(ctx context.Context, q execution.Question) (tickets map[string]string, validity time.Duration, err error)
}

// Options configure an Owner.
type Options struct {
	Node     string
	Store    store.Store
	Workers  Workers
	Registry Registry
	Advisor  Advisor
	Machines Machines
	// StatusPrefix is where the records of Machines.WaveStatus lie.
	StatusPrefix string
	// Manifest returns the manifest in force, or nil.
	Manifest func() *job.Manifest
	// Waves returns the waves that operators asked for.
	Waves func() []Wave
	Log   *telemetry.Logger
	Scope tally.Scope
	// Lease is the time after which another process may become the owner.
	Lease time.Duration
	// CPUShare is the part of a core that this entry VM has; 0 means that it is
	// not limited.
	CPUShare float64
	// ContendDelay is how long this process waits before it contends for a
	// vacant ownership, so that larger entry VMs come first.
	ContendDelay time.Duration
	// HandOver is the least time between cloud orders of successive owners for
	// one machine.
	HandOver time.Duration
	// OrdersPerSecond is how many orders for VMs the platform takes.
	OrdersPerSecond float64
	// UpkeepTime and MoveTime are how long a VM is away for its upkeep or for a
	// move.
	UpkeepTime, MoveTime time.Duration
	// KeepFinished is how long finished jobs can be asked for.
	KeepFinished time.Duration
	Execution    execution.Options
}

const (
	// orderRateShare and orderBurstShare divide what the platform takes in a
	// second. Together they are less than all of it, for a former owner's last
	// orders.
	orderRateShare  = 0.6
	orderBurstShare = 1.0 / 3
	// renewEvery is the pause between renewals; several fit into a lease.
	renewEvery = 300 * time.Millisecond
	// renewTimeout leaves time for two more renewals after a lost answer. A slow
	// store answers in about 250 ms.
	renewTimeout = 350 * time.Millisecond
	// authorityMargin is kept of a lease for the time between the check of the
	// authority and the arrival of an order.
	authorityMargin = 300 * time.Millisecond
	// contendEvery is the pause after an attempt to become the owner.
	contendEvery = 100 * time.Millisecond
	// ownerWait is how long a watch of the owner's key waits.
	ownerWait = 5 * time.Second
)

// Owner contends for the ownership of the jobs and exercises it.
type Owner struct {
	options Options
	process string
	metrics metrics
	// orderLimit keeps the orders for VMs within what the platform takes.
	orderLimit *rate.Limiter

	mu   sync.Mutex
	seen *seenOwner
}

// New returns an owner; Run makes it work.
func New(o Options) *Owner {
	return &Owner{
		options: o, process: uuid.NewString(), metrics: newMetrics(o.Scope),
		orderLimit: rate.NewLimiter(rate.Limit(o.OrdersPerSecond*orderRateShare), max(1, int(o.OrdersPerSecond*orderBurstShare))),
	}
}

// Run contends for the ownership until ctx ends, and then hands it back.
func (o *Owner) Run(ctx context.Context) {
	vacant := make(chan struct{}, 1)
	go o.watchOwner(ctx, vacant)
	go o.challenge(ctx)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-vacant:
		}
		wait(ctx, nil, o.options.ContendDelay)
		if o.options.Manifest() != nil {
			if t := o.contend(ctx); t != nil {
				o.exercise(ctx, t)
			}
		}
		wait(ctx, nil, contendEvery)
	}
}

// watchOwner signals while there is no owner, or while the owner is a former
// process of this entry VM.
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
		poke(vacant)
	}
	free := false
	store.Follow(ctx, o.options.Store, jobstore.OwnerKey, ownerWait, store.Follower{
		Reset: func(items []store.Item, _ int64) {
			free = len(items) == 0
			note(items)
		},
		Changed: func(events []store.Event) {
			last := events[len(events)-1]
			free = last.Deleted
			if last.Deleted {
				note(nil)
			} else {
				note([]store.Item{last.Item})
			}
		},
		Current: func(time.Time) {
			if free {
				poke(vacant)
			}
		},
	})
}

// contend tries to become the owner. The lease counts from before it was
// granted.
func (o *Owner) contend(ctx context.Context) *term {
	asked := boottime.Now()
	held, err := jobstore.Acquire(ctx, o.options.Store, o.claim(), o.options.Lease)
	if err != nil {
		if ctx.Err() == nil {
			o.options.Log.Warn().Str("event", "ownership_not_acquired").Err(err).Msg("")
		}
		return nil
	}
	if held == nil {
		return nil
	}
	return newTerm(o, held, asked)
}

func (o *Owner) exercise(ctx context.Context, t *term) {
	o.options.Log.Info().Str("event", "ownership_acquired").Int64("term", t.held.Term).Int64("fence", t.held.Fence).Msg("")
	reason := t.run(ctx)
	o.options.Log.Info().Str("event", "ownership_ended").Int64("term", t.held.Term).Int64("fence", t.held.Fence).Str("reason", reason.Error()).Msg("")
}
