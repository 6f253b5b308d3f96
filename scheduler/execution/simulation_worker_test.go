package execution

import (
	"time"

	"pgregory.net/rapid"

	"dotterelhead.example/dotterelhead/job"
)

// simWorker is a worker of the simulation.
type simWorker struct {
	Worker
	running map[Run]Time
	ended   []EndedItem
	lastEnd int64
	// listed are the runs that the worker has listed to the present owner.
	listed map[Run]bool
	// highest is the highest run of each item that has ended or was ordered to
	// stop; only higher ones may start.
	highest map[job.ItemID]int64
	// deadline is the end of the lease, in the time of the simulation.
	deadline Time
	// fence is the highest fencing token that the worker has seen.
	fence    int64
	bootedAt Time
	silent   bool
	// cutAfterStart is set if the worker is cut off from the owner and the registry once it has
	// started an item.
	cutAfterStart bool
	// failing is set while the worker fails all items.
	failing bool
	// unacknowledged are the ends that were not acknowledged yet, by number. It
	// is cleared when the worker's lease lapses.
	unacknowledged map[int64]unacknowledgedEnd
	// unanswered are the items whose start got no answer in the worker's lifetime.
	unanswered map[job.ItemID]bool
	// crashAt is when a deadly item crashes the worker, backAt is when the worker
	// is up again. Both are 0 otherwise. crashedLate is set if a late order started the
	// deadly item.
	crashAt, backAt Time
	crashedLate     bool
	// capacities are the changes of the capacity. The registry shows the last one
	// from registeredAt on, unless that is 0.
	capacities   []simCapacity
	registeredAt Time
}

// simCapacity is a capacity that is in force from a time on.
type simCapacity struct {
	from     Time
	milliCPU int64
}

func (w *simWorker) unreachable() bool { return w.silent || w.backAt > 0 }

// capacityLimit returns the largest capacity in force within a time before now.
func (w *simWorker) capacityLimit(now Time, within time.Duration) int64 {
	limit := w.Capacity.MilliCPU
	for n, c := range w.capacities {
		if n+1 == len(w.capacities) || w.capacities[n+1].from > now-within {
			limit = max(limit, c.milliCPU)
		}
	}
	return limit
}

type unacknowledgedEnd struct {
	item job.ItemID
	end  *simEnd
}

type lateOrder struct {
	at          Time
	start       Start
	fence       int64
	to          *simWorker
	startMillis int64
}

// setCapacity changes the capacity of a worker. Its registry entry shows the change
// later.
func (s *simulation) setCapacity(w *simWorker, milliCPU int64) {
	if len(w.capacities) == 0 {
		w.capacities = []simCapacity{{0, w.Capacity.MilliCPU}}
	}
	w.capacities = append(w.capacities, simCapacity{s.now, milliCPU})
	w.Capacity.MilliCPU = milliCPU
	w.registeredAt = s.now + time.Duration(rapid.IntRange(1, int(simRegisteredWithin/time.Millisecond)).Draw(s.t, "registered after"))*time.Millisecond
}

// extendLease extends the lease of a worker to a time on its clock. Workers shorten leases
// to the longest that they accept; a deadline that was meant for a former lifetime may be
// far ahead.
func (s *simulation) extendLease(w *simWorker, deadline time.Duration) {
	w.deadline = max(w.deadline, s.now+min(deadline-s.clock(w), s.maxLease))
}

// restartUnseen starts a worker again. Its registry entry shows that later, and it may be out
// of reach for the owner from now on or once it has got a start.
func (s *simulation) restartUnseen(w *simWorker) {
	if w.backAt > 0 {
		return
	}
	s.t.Logf("%v %s starts again unseen", s.now, w.ID)
	s.boot(w)
	w.registeredAt = s.now + time.Duration(rapid.IntRange(1, int(simRegisteredWithin/time.Millisecond)).Draw(s.t, "registered after"))*time.Millisecond
	w.cutAfterStart = rapid.Bool().Draw(s.t, "cut off after a start")
}
