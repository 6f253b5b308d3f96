package execution

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dotterelhead.example/dotterelhead/scheduler/capacity"
)

const (
	// refuseLoad is the share of the work that a pool can do in time from which on further
	// jobs are refused. Run times are expected to within a quarter, and as short jobs go
	// first, more jobs than in proportion to their work may still be done in time. admitLoad
	// is the share below which they are accepted again, so that the refusal does not change
	// with every job.
	refuseLoad, admitLoad = 1.5, 0.9
	// refusalLag is how much later than it was decided entry VMs accept jobs again: a pause
	// between two decisions, a write and a watch. Without waiting work for that long, the pool
	// would turn to late jobs although jobs that can be in time were sent.
	refusalLag = 500 * time.Millisecond
	// minReturnSpread is the least range of times over which refused requesters return.
	// They are told whole seconds.
	minReturnSpread = 2 * time.Second
)

// QueueLoad is the load of one queue, as far as it decides on the admission of jobs that
// run once, as soon as they can, and end by themselves.
type QueueLoad struct {
	Queue string
	// Cores are those of the pool's VMs that work without an end leaves, and GainableCores
	// those of VMs that the pool can get within MoveTime.
	Cores, GainableCores float64
	MoveTime             time.Duration
	// StartInTime is the time within which a new job has to start so that it meets its
	// objective, and StartWithin the same so that it ends before it has lost its value.
	StartInTime, StartWithin time.Duration
	// Claims are the work that does not come after that of the queue, one claim for each
	// organisation. OthersMaySend is set if further organisations may send jobs to the queue.
	Claims        []WorkClaim
	OthersMaySend bool
}

// WorkClaim is the accepted work of an organisation in core-seconds that can still have a
// value. InTime is the part of jobs that can still meet their objective. Weight is its share
// relative to those of others.
type WorkClaim struct {
	Organisation         string
	Weight, Work, InTime float64
	// CapCores are the cores of the organisation's cap, or 0 if it has none. Work that the
	// cap keeps from running takes no room from the others, and does not count.
	CapCores float64
}

// within returns how much of the given work counts, as the cap allows at most so much to be
// done within a time. share is the factor of the limit.
func (c *WorkClaim) within(work, share float64, d time.Duration) float64 {
	if c.CapCores == 0 {
		return work
	}
	return min(work, share*c.CapCores*max(d, 0).Seconds())
}

// Refusal says that jobs of a queue are refused, because they would certainly end after
// they have lost their value.
type Refusal struct {
	Queue string
	// Organisations are those whose jobs are refused, sorted, and All is set if these are
	// all organisations that may send jobs to the queue.
	Organisations []string
	All           bool
	// Drain is how long it takes until jobs are accepted again if no further work
	// arrives. Requesters return within Spread after that.
	Drain, Spread time.Duration
	// Work is the accepted work in core-seconds.
	Work float64
}

// Admit decides whether jobs of a queue are refused. refused are the organisations whose
// jobs of the queue are refused now. A new job comes before those that are late, and then,
// once it is late itself, after the older ones. So it certainly loses its value only if the
// pool can neither start it before it is late, behind the jobs that can be in time, nor
// afterwards, behind all that can have a value.
func Admit(load QueueLoad, refused map[string]bool) (Refusal, bool) {
	valuable, early := load.capacityWithin(load.StartWithin), load.capacityWithin(load.StartInTime)
	r := Refusal{Queue: load.Queue}
	type limit struct{ share, work, inTime float64 }
	limits := map[bool][]limit{}
	for wasRefused, share := range map[bool]float64{false: refuseLoad, true: admitLoad} {
		work := fairWork(share*valuable, load.Claims, func(c WorkClaim) float64 { return c.within(c.Work, share, load.StartWithin) })
		inTime := fairWork(share*early, load.Claims, func(c WorkClaim) float64 { return c.within(c.InTime, share, load.StartInTime) })
		for n := range load.Claims {
			limits[wasRefused] = append(limits[wasRefused], limit{share, work[n], inTime[n]})
		}
	}
	for n, c := range load.Claims {
		r.Work += c.Work
		l := limits[refused[c.Organisation]][n]
		if c.within(c.Work, l.share, load.StartWithin) > l.work && c.within(c.InTime, l.share, load.StartInTime) > l.inTime {
			r.Organisations = append(r.Organisations, c.Organisation)
		}
	}
	if len(r.Organisations) == 0 {
		return Refusal{}, false
	}
	slices.Sort(r.Organisations)
	r.All = len(r.Organisations) == len(load.Claims) && !load.OthersMaySend
	drain := (r.Work - admitLoad*valuable) / max(load.Cores+load.GainableCores, 1)
	// After StartWithin, what waits now has started or has lost its value, and comes after
	// new jobs.
	r.Drain = min(max(time.Duration(drain*float64(time.Second)), 0), load.StartWithin)
	r.Spread = max(r.Drain, minReturnSpread)
	return r, true
}

// capacityWithin returns the work that the pool can do within a time, in core-seconds.
func (l *QueueLoad) capacityWithin(d time.Duration) float64 {
	return l.Cores*max(d, 0).Seconds() + l.GainableCores*max(d-l.MoveTime, 0).Seconds()
}

// fairWork divides an amount of work among claims by their weights. What a claim does not
// need goes to the others.
func fairWork(amount float64, claims []WorkClaim, workOf func(WorkClaim) float64) []float64 {
	given := make([]float64, len(claims))
	order := make([]int, len(claims))
	weights := 0.0
	for n, c := range claims {
		order[n] = n
		weights += c.Weight
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(workOf(claims[a])*claims[b].Weight, workOf(claims[b])*claims[a].Weight)
	})
	for _, n := range order {
		weight := claims[n].Weight
		given[n] = min(workOf(claims[n]), amount*weight/max(weights, weight))
		amount -= given[n]
		weights -= weight
	}
	return given
}

// FreeVMs are VMs by their pool: Idle ones run nothing, so that other pools can get them, and
// Arriving ones are moving in or starting.
type FreeVMs struct{ Idle, Arriving map[string]int }

// QueueLoads returns the load of each queue whose jobs may be refused. It is empty if the
// manifest has no organisations: then jobs are not refused for the load.
func (c *Core) QueueLoads(free FreeVMs, moveTime time.Duration, now Time) []QueueLoad {
	if c.manifest.Organisations == nil {
		return nil
	}
	pools := map[string]capacity.CoreDemand{}
	for _, d := range c.Demands(now) {
		pools[d.Pool] = d
	}
	totalIdle := 0
	for _, n := range free.Idle {
		totalIdle += n
	}
	work := c.valuableWork(now)
	var loads []QueueLoad
	for _, q := range c.manifest.Queues {
		path := c.meanCriticalPath[q.Name]
		d, known := pools[q.Service]
		if path == 0 || !known {
			continue
		}
		claims := map[string]*WorkClaim{}
		for key, amount := range work {
			if key.service != q.Service || key.priority > q.Priority {
				continue
			}
			claim := claims[key.organisation]
			if claim == nil {
				claim = &WorkClaim{Organisation: key.organisation, Weight: 1}
				if o := c.manifest.Organisations.ByName(key.organisation); o != nil && o.Weight > 0 {
					claim.Weight, claim.CapCores = o.Weight, cores(o.Cap.MilliCPU)
				}
				claims[key.organisation] = claim
			}
			claim.Work += amount.all
			claim.InTime += amount.inTime
		}
		load := QueueLoad{
			Queue: q.Name, Cores: max(c.registeredCores(q.Service)-d.LongRunningCores, 0), GainableCores: float64(totalIdle-free.Idle[q.Service]+free.Arriving[q.Service]) * d.CoresPerVM,
			MoveTime: moveTime, StartWithin: lateFactor*objectiveOf(q, path) - path,
			// All cores may become free at once, so that work of one run time can be started.
			StartInTime: max(objectiveOf(q, path)-path, path) + refusalLag,
		}
		senders := 0
		for _, name := range slices.Sorted(maps.Keys(claims)) {
			load.Claims = append(load.Claims, *claims[name])
			if q.Public && name == "" || !q.Public && c.manifest.Organisations.ByName(name) != nil {
				senders++
			}
		}
		load.OthersMaySend = senders < c.manifest.Organisations.Len()
		if q.Public {
			// The jobs of a public queue belong to no organisation.
			load.OthersMaySend = senders == 0
		}
		loads = append(loads, load)
	}
	return loads
}

// workKey selects the work that competes in one way.
type workKey struct {
	service, organisation string
	priority              int
}

// valuable is work of jobs that can have a value in core-seconds, and that of jobs that can be
// in time.
type valuable struct{ all, inTime float64 }

// valuableWork returns the work that waits of jobs that can have a value. Work without an end
// and fillers are left out. What runs is left out too: while all cores are in use, they become
// free at the rate at which waiting work is started.
func (c *Core) valuableWork(now Time) map[workKey]valuable {
	work := map[workKey]valuable{}
	seen := map[*occurrence]bool{}
	for _, pending := range c.pendingSteps {
		o := pending.occurrence
		if seen[o] || pending.job.final() {
			continue
		}
		seen[o] = true
		q := c.queueOf(pending.job)
		class := c.rankOf(pending, q, now).valueClass
		if class == valueNone {
			continue
		}
		key := workKey{q.Service, pending.job.Organisation, q.Priority}
		v := work[key]
		for _, s := range o.steps {
			if s.spec.LongRunning || s.spec.Filler {
				continue
			}
			waiting := float64(max(s.itemsLeft-s.runningItems(), 0)) * cores(s.spec.Charge().MilliCPU) * c.runTime(s, now).Seconds()
			v.all += waiting
			if class == valueInTime {
				v.inTime += waiting
			}
		}
		work[key] = v
	}
	return work
}

func (s *step) runningItems() int {
	n := 0
	for _, copies := range s.copies {
		n += copies
	}
	return n
}

// registeredCores returns the cores of the workers of a service, with those that take no work
// for a while: they may take some again before the waiting jobs have lost their value.
func (c *Core) registeredCores(service string) float64 {
	total := 0.0
	for _, w := range c.sortedWorkers {
		if w.Service == service && w.present {
			total += cores(max(w.largestMilliCPU, w.Capacity.MilliCPU))
		}
	}
	return total
}
