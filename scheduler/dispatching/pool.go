package dispatching

import (
	"math"
	"slices"
	"strconv"
	"time"

	"dotterelhead.example/dotterelhead/scheduler/ejection"
	"dotterelhead.example/dotterelhead/scheduler/placement"
	"dotterelhead.example/dotterelhead/scheduler/queueing"
	"dotterelhead.example/dotterelhead/scheduler/quota"
	"dotterelhead.example/dotterelhead/scheduler/runtimes"
)

const (
	// longRatio is how many times the median run time of all work an operation
	// must take to count as long.
	longRatio = 10
	// promiseRatio is how many times the 95th percentile of its operation a
	// request may run before it counts as long.
	promiseRatio = 2
	// The average of the demand of short work rises fast, because slots that
	// long work takes at the start of a burst are lost for its duration.
	shortLoadRise = time.Second
	shortLoadFall = 5 * time.Second
	// reserveDeviations is the margin of the reserve for short work.
	reserveDeviations = 1
	// busyShare is the part of the busy slots that counts as lasting demand when
	// less work arrives. Long work holds slots for many seconds after a burst,
	// and counting all of them hides its end.
	busyShare = 0.5
	// drainTime is the time in which a queue should be worked off; it turns
	// queued work into slots wanted.
	drainTime = 30 * time.Second
)

// waiting is a request in the queue.
type waiting struct {
	request  Request
	sequence int64
	// key orders the queue: the arrival plus Ageing times the expected run time.
	key      time.Time
	expected time.Duration
	mean     time.Duration
	long     bool
	// counted requests are in the backlog of their queue.
	counted  bool
	order    *queueing.Entry[*waiting]
	deadline *queueing.Entry[*waiting]
	// queue is the heap that holds order.
	queue *queueing.Heap[*waiting]
}

// grant is a slot in use.
type grant struct {
	request Request
	worker  string
	started time.Time
	// long grants count against the limit of long work.
	long bool
	// end is its expected end in seconds since the first grant.
	end float64
	// promise is when a grant that is still running counts as long.
	promise time.Time
	demote  *queueing.Entry[*grant]
}

// Pool is the dispatcher state of one pool.
//
// Invariants: the grants in use on a worker never exceed its slots, except for
// grants that were adopted from a previous dispatcher. Each pushed request gets
// exactly one decision unless it is cancelled first.
type Pool struct {
	options  Options
	workers  map[string]Worker
	slots    *placement.Set
	learner  *runtimes.Learner
	ejection *ejection.Workers
	failing  *ejection.Jobs
	teams    *quota.Teams
	// parked holds the requests of teams that hold their quota.
	parked   map[parkedTeam]*queueing.Heap[*waiting]
	requests map[string]*waiting
	grants   map[string]*grant
	urgent   *queueing.Heap[*waiting]
	short    *queueing.Heap[*waiting]
	long     *queueing.Heap[*waiting]
	// deadlines and promises find what is due without a scan.
	deadlines *queueing.Heap[*waiting]
	promises  *queueing.Heap[*grant]
	longBusy  int
	// shortLoad is a moving average of the slots that short work needs.
	shortLoad  float64
	observedAt time.Time
	// queuedWork is the sum of the expected run times in the queue.
	queuedWork time.Duration
	offered    offeredLoad
	// ahead is what new requests wait for; learned counts the run times.
	ahead   work
	learned int
	next    int64
}

// byKey orders the requests of a queue.
func byKey(a, b *waiting) bool {
	if !a.key.Equal(b.key) {
		return a.key.Before(b.key)
	}
	return a.sequence < b.sequence
}

// NewPool returns a pool without workers.
func NewPool(options Options) *Pool {
	if options.LongShare <= 0 {
		options.LongShare = 0.25
	}
	if options.Ageing <= 0 {
		options.Ageing = 5
	}
	if options.EarlyRefusal == 0 {
		options.EarlyRefusal = 3
	}
	return &Pool{
		options: options, ahead: newWork(), workers: map[string]Worker{}, slots: placement.NewSet(), learner: runtimes.NewLearner(),
		ejection: ejection.NewWorkers(ejection.Options{}), failing: ejection.NewJobs(),
		teams: quota.NewTeams(), parked: map[parkedTeam]*queueing.Heap[*waiting]{},
		requests: map[string]*waiting{}, grants: map[string]*grant{},
		urgent: queueing.New(byKey), short: queueing.New(byKey), long: queueing.New(byKey),
		deadlines: queueing.New(func(a, b *waiting) bool { return a.request.StartBy.Before(b.request.StartBy) }),
		promises:  queueing.New(func(a, b *grant) bool { return a.promise.Before(b.promise) }),
	}
}

// SetWorkers replaces the workers that may get new requests.
func (p *Pool) SetWorkers(now time.Time, workers []Worker) []Decision {
	clear(p.workers)
	ids, slots := make([]string, len(workers)), make([]int, len(workers))
	for i, w := range workers {
		p.workers[w.ID] = w
		ids[i], slots[i] = w.ID, w.Slots
	}
	p.slots.List(ids, slots)
	p.ejection.List(ids)
	p.ejection.Review(now)
	p.markAll(now)
	return p.dispatch(now)
}

// SetMaxQueue changes the bound of the waiting requests. Requests that wait
// already stay.
func (p *Pool) SetMaxQueue(n int) { p.options.MaxQueue = n }

// Adopt records a grant made by a previous dispatcher of the pool. A repeat
// has no effect.
func (p *Pool) Adopt(now time.Time, id, worker string, r Request) {
	if p.grants[id] == nil {
		w := &waiting{request: r}
		p.estimate(w)
		p.start(now, id, worker, w)
	}
}

// Push adds a request. A repeat of a request that waits has no effect.
func (p *Pool) Push(now time.Time, r Request) []Decision {
	if p.requests[r.ID] != nil {
		return nil
	}
	if len(p.requests) >= p.options.MaxQueue {
		return []Decision{{RequestID: r.ID, Reason: ReasonQueueFull, RetryAfter: time.Second}}
	}
	if wait := p.refusedJob(now, r); wait > 0 {
		return []Decision{{RequestID: r.ID, Reason: ReasonFailingJob, RetryAfter: wait}}
	}
	w := p.newWaiting(now, r)
	// Refused work counts as offered, so that the pool is given VMs for it.
	p.offered.add(now, w.mean)
	if wait, late := p.cannotStart(now, w); late {
		return append(p.dispatch(now), Decision{RequestID: r.ID, Reason: ReasonCannotStartInTime, RetryAfter: wait})
	}
	p.enqueue(w)
	return p.dispatch(now)
}

// Cancel removes a waiting request.
func (p *Pool) Cancel(_ time.Time, requestID string) bool {
	w := p.requests[requestID]
	if w == nil {
		return false
	}
	p.dequeue(w)
	return true
}

// Release ends a grant. Unknown grants are ignored, so that a repeat has no
// effect.
func (p *Pool) Release(now time.Time, grantID string, result Result, ran time.Duration) []Decision {
	g := p.grants[grantID]
	if g == nil {
		return nil
	}
	delete(p.grants, grantID)
	p.promises.Remove(g.demote)
	if g.long {
		p.longBusy--
	}
	p.hold(g, -1)
	p.slots.Give(g.worker)
	p.teams.Give(g.request.Team, g.request.Urgent)
	p.unpark(g.request)
	if result == ResultOK {
		p.learned++
		p.learner.Observe(operation(g.request), g.request.Declared, ran)
	}
	p.judge(now, g, result)
	return p.dispatch(now)
}

// Tick refuses requests that cannot start in time any more and starts probes
// of ejected workers that are due.
func (p *Pool) Tick(now time.Time) []Decision {
	p.ejection.Review(now)
	p.markAll(now)
	return p.dispatch(now)
}

// Demand returns the demand of the pool.
func (p *Pool) Demand(now time.Time) Demand {
	queued, busy := len(p.requests), len(p.grants)
	backlog := min(float64(queued), p.queuedWork.Seconds()/drainTime.Seconds())
	return Demand{SlotsWanted: max(busyShare*float64(busy), p.offered.at(now)) + backlog, Queued: queued, Busy: busy}
}

// BusySlots returns the slots in use on each worker that has any.
func (p *Pool) BusySlots() map[string]int {
	busy := map[string]int{}
	for _, g := range p.grants {
		busy[g.worker]++
	}
	return busy
}

func operation(r Request) runtimes.Operation {
	return runtimes.Operation{Service: r.Service, Name: r.Operation}
}

func (p *Pool) newWaiting(now time.Time, r Request) *waiting {
	p.next++
	w := &waiting{request: r, sequence: p.next, key: now}
	p.estimate(w)
	if p.options.Policy == PolicyLearned {
		w.key = now.Add(time.Duration(p.options.Ageing * float64(w.expected)))
	}
	w.counted = p.teams.Room(r.Team, r.Urgent) == math.MaxInt
	return w
}

func (p *Pool) enqueue(w *waiting) {
	w.queue = p.queueOf(w)
	w.order = w.queue.Push(w)
	w.deadline = p.deadlines.Push(w)
	p.requests[w.request.ID] = w
	p.queuedWork += w.mean
	if b := p.backlogOf(w); b != nil {
		b.add(w)
	}
}

func (p *Pool) dequeue(w *waiting) {
	w.queue.Remove(w.order)
	p.deadlines.Remove(w.deadline)
	delete(p.requests, w.request.ID)
	p.queuedWork -= w.mean
	if b := p.backlogOf(w); b != nil {
		b.remove(w)
	}
	// Otherwise parked requests of the team could wait although the one that
	// was to start before them is gone.
	p.unpark(w.request)
}

// estimate sets what is expected of a request: the learned run time of its
// operation, else what its caller declared, else that of all work.
func (p *Pool) estimate(w *waiting) {
	if e, ok := p.learner.Estimate(operation(w.request), w.request.Declared); ok {
		w.expected, w.mean = e.Median, e.Mean
	} else if w.request.Declared > 0 {
		w.expected, w.mean = w.request.Declared, w.request.Declared
	} else {
		e, _ := p.learner.Overall()
		w.expected, w.mean = e.Median, e.Mean
	}
	w.long = p.isLong(w.request)
}

// isLong reports whether the operation of a request takes much longer than
// the median of all work.
func (p *Pool) isLong(r Request) bool {
	e, known := p.learner.Estimate(operation(r), r.Declared)
	all, _ := p.learner.Overall()
	return known && p.options.Policy == PolicyLearned && e.P75 > longRatio*all.Median
}

func (p *Pool) queueOf(w *waiting) *queueing.Heap[*waiting] {
	switch {
	case p.options.Policy == PolicyFirstComeFirstServed:
		return p.short
	case w.request.Urgent:
		return p.urgent
	case w.long:
		return p.long
	}
	return p.short
}

func (p *Pool) dispatch(now time.Time) []Decision {
	p.demote(now)
	p.observeShort(now)
	p.ejection.Suspects(func(id string) { p.mark(now, id) })
	decisions := p.expire(now)
	decisions = append(decisions, p.probe(now)...)
	var passed []*waiting
	for p.slots.Available() {
		w := p.nextRequest()
		if w == nil {
			break
		}
		if p.teams.Room(w.request.Team, w.request.Urgent) == 0 {
			p.park(w)
			continue
		}
		worker, ok := p.slots.Pick(p.avoided(w.request))
		if !ok {
			// The workers that it avoids are the only free ones.
			w.queue.Remove(w.order)
			passed = append(passed, w)
			continue
		}
		p.dequeue(w)
		decisions = append(decisions, p.grant(now, w, worker))
	}
	for _, w := range passed {
		w.queue.Restore(w.order)
	}
	return decisions
}

// expire refuses the requests whose time to start has passed.
func (p *Pool) expire(now time.Time) []Decision {
	var decisions []Decision
	for e := p.deadlines.Peek(); e != nil && !e.Value.request.StartBy.After(now); e = p.deadlines.Peek() {
		reason := p.expiryReason(e.Value)
		p.dequeue(e.Value)
		decisions = append(decisions, Decision{
			RequestID: e.Value.request.ID, Reason: reason, RetryAfter: time.Second,
		})
	}
	return decisions
}

// avoided returns the workers that a request should not get. A request that
// has failed on every worker of the pool may get any: waiting for another one
// would only use up its time.
func (p *Pool) avoided(r Request) []string {
	for id := range p.workers {
		if !slices.Contains(r.Avoid, id) {
			return r.Avoid
		}
	}
	return nil
}

// nextRequest returns the request that gets the next free slot.
func (p *Pool) nextRequest() *waiting {
	if e := p.urgent.Peek(); e != nil {
		return e.Value
	}
	short, long := p.short.Peek(), p.long.Peek()
	if p.longBusy >= p.longLimit() {
		long = nil
	}
	switch {
	case short == nil && long == nil:
		return nil
	case long == nil:
		return short.Value
	case short == nil || long.Value.key.Before(short.Value.key):
		return long.Value
	}
	return short.Value
}

// longLimit is the number of slots that long work may hold: what the recent
// demand of short work leaves, with a standard deviation of a Poisson
// distribution as margin. It is at least LongShare of the slots, so that long work always progresses.
func (p *Pool) longLimit() int {
	slots := float64(p.slots.Slots())
	reserve := p.shortLoad + reserveDeviations*math.Sqrt(p.shortLoad) + reserveDeviations
	return max(int(slots-reserve), int(p.options.LongShare*slots), 1)
}

// observeShort follows the slots that short work uses or waits for.
func (p *Pool) observeShort(now time.Time) {
	load := float64(len(p.grants) - p.longBusy + p.short.Len() + p.urgent.Len())
	tau := shortLoadFall
	if load > p.shortLoad {
		tau = shortLoadRise
	}
	if elapsed := now.Sub(p.observedAt); elapsed > 0 {
		p.shortLoad += (load - p.shortLoad) * (1 - math.Exp(-elapsed.Seconds()/tau.Seconds()))
		p.observedAt = now
	}
}

func (p *Pool) grant(now time.Time, w *waiting, worker string) Decision {
	p.next++
	id := w.request.ID + "/" + strconv.FormatInt(p.next, 10)
	p.start(now, id, worker, w)
	return Decision{RequestID: w.request.ID, Grant: id, Worker: p.workers[worker]}
}

func (p *Pool) start(now time.Time, id, worker string, w *waiting) {
	g := &grant{request: w.request, worker: worker, started: now, long: w.long}
	g.end = p.secondsAt(now) + w.mean.Seconds()
	p.hold(g, 1)
	p.grants[id] = g
	p.slots.Take(worker)
	p.teams.Take(w.request.Team, w.request.Urgent)
	p.ejection.Started(now, worker)
	p.mark(now, worker)
	if g.long {
		p.longBusy++
	} else if promise, ok := p.promise(w.request); ok {
		g.promise = now.Add(promise)
		g.demote = p.promises.Push(g)
	}
}

// promise is the time after which a request that runs as short counts as long.
func (p *Pool) promise(r Request) (time.Duration, bool) {
	all, known := p.learner.Overall()
	if !known || p.options.Policy != PolicyLearned {
		return 0, false
	}
	e, _ := p.learner.Estimate(operation(r), r.Declared)
	return max(promiseRatio*e.P95, longRatio*all.Median), true
}

// demote counts the grants that ran longer than promised as long.
func (p *Pool) demote(now time.Time) {
	for e := p.promises.Peek(); e != nil && !e.Value.promise.After(now); e = p.promises.Peek() {
		p.promises.Remove(e)
		p.hold(e.Value, -1)
		e.Value.long = true
		p.hold(e.Value, 1)
		p.longBusy++
	}
}
