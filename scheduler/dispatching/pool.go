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
	// longRatio is the factor by which the 75th percentile of the run time of an
	// operation must exceed the median of all work for its requests to count as
	// long.
	longRatio = 10
	// A request that was started as short counts as long once it has run for
	// both shortRunRatio times the 95th percentile of its operation and longRatio
	// times the median of all work.
	shortRunRatio = 2
	// Time constants of the moving average of the demand of short work. It rises
	// fast, because slots that long work takes at the start of a burst of short
	// work are unavailable to the burst while the long work runs.
	shortLoadRiseTime = time.Second
	shortLoadFallTime = 5 * time.Second
	// reserveDeviations is the margin of the slots reserved for short work, in
	// standard deviations of its demand. The same number of slots is added, so
	// that some are reserved even if the recent demand was zero.
	reserveDeviations = 1
	// busyShare is the share of the busy slots that counts as demand when the
	// offered load is lower. Long work holds slots for many seconds after a
	// burst, so counting all busy slots would hide the end of the burst.
	busyShare = 0.5
	// backlogCompletionTime is the time within which the queued work should be
	// completed. It converts queued work into wanted slots.
	backlogCompletionTime = 30 * time.Second
)

// queuedRequest is a request that waits for a slot.
type queuedRequest struct {
	request  Request
	sequence int64
	// key orders the queue. It is the arrival time plus Ageing times
	// medianRunTime.
	key           time.Time
	medianRunTime time.Duration
	meanRunTime   time.Duration
	long          bool
	// inBacklog tells whether the request is included in the backlog of its
	// queue.
	inBacklog    bool
	queueEntry   *queueing.Entry[*queuedRequest]
	startByEntry *queueing.Entry[*queuedRequest]
	// queue is the heap that holds queueEntry.
	queue *queueing.Heap[*queuedRequest]
}

// grant is a slot in use.
type grant struct {
	request Request
	worker  string
	started time.Time
	// long grants count against the limit of long work.
	long bool
	// expectedEnd is in seconds since the first grant of the pool.
	expectedEnd float64
	// longAt is the time from which a grant that is still running counts as
	// long.
	longAt      time.Time
	longAtEntry *queueing.Entry[*grant]
}

// Pool is the dispatcher state of one pool.
//
// Invariants: the number of grants in use on a worker never exceeds its slots,
// except for grants that were adopted (see Adopt). Each pushed
// request gets exactly one decision unless it is cancelled first.
type Pool struct {
	options   Options
	workers   map[string]Worker
	placement *placement.Set
	learner   *runtimes.Learner
	ejection  *ejection.Workers
	failing   *ejection.Jobs
	teams     *quota.Teams
	// parked holds the queued requests that wait for the quota of their team.
	parked   map[parkedGroup]*queueing.Heap[*queuedRequest]
	requests map[string]*queuedRequest
	grants   map[string]*grant
	// urgent, short and long are the queues of the requests that aren't parked.
	urgent *queueing.Heap[*queuedRequest]
	short  *queueing.Heap[*queuedRequest]
	long   *queueing.Heap[*queuedRequest]
	// startByQueue orders the queued requests by StartBy, and longAtQueue orders
	// the short grants by longAt, so that due entries are found without a scan.
	startByQueue *queueing.Heap[*queuedRequest]
	longAtQueue  *queueing.Heap[*grant]
	// longBusy is the number of long grants in use.
	longBusy int
	// shortLoad is a moving average of the slots that short work needs.
	shortLoad  float64
	observedAt time.Time
	// queuedWork is the sum of the mean run times of all queued requests.
	queuedWork time.Duration
	offered    offeredLoad
	// pendingWork is the work that new requests have to wait for.
	pendingWork pendingWork
	// runTimeSamples counts the run times that the learner has observed.
	runTimeSamples int
	// lastSequence numbers both requests and grants.
	lastSequence int64
}

// byKey orders the requests of a queue by key, then by arrival.
func byKey(a, b *queuedRequest) bool {
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
		options: options, pendingWork: newPendingWork(), workers: map[string]Worker{}, placement: placement.NewSet(), learner: runtimes.NewLearner(),
		ejection: ejection.NewWorkers(ejection.Options{}), failing: ejection.NewJobs(),
		teams: quota.NewTeams(), parked: map[parkedGroup]*queueing.Heap[*queuedRequest]{},
		requests: map[string]*queuedRequest{}, grants: map[string]*grant{},
		urgent: queueing.New(byKey), short: queueing.New(byKey), long: queueing.New(byKey),
		startByQueue: queueing.New(func(a, b *queuedRequest) bool { return a.request.StartBy.Before(b.request.StartBy) }),
		longAtQueue:  queueing.New(func(a, b *grant) bool { return a.longAt.Before(b.longAt) }),
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
	p.placement.SetWorkers(ids, slots)
	p.ejection.SetWorkers(ids)
	p.ejection.Reevaluate(now)
	p.updateAllPlacements(now)
	return p.dispatch(now)
}

// SetMaxQueue changes the maximum number of waiting requests. Requests that are
// already in the queue stay there.
func (p *Pool) SetMaxQueue(n int) { p.options.MaxQueue = n }

// Adopt records a grant that another process made while it dispatched the
// requests of the pool. id is the ID of the grant. Adopt is idempotent.
func (p *Pool) Adopt(now time.Time, id, worker string, r Request) {
	if p.grants[id] == nil {
		q := &queuedRequest{request: r}
		p.estimate(q)
		p.startGrant(now, id, worker, q)
	}
}

// Push adds a request. Pushing a request that is already waiting has no effect.
func (p *Pool) Push(now time.Time, r Request) []Decision {
	if p.requests[r.ID] != nil {
		return nil
	}
	if len(p.requests) >= p.options.MaxQueue {
		return []Decision{{RequestID: r.ID, Reason: ReasonQueueFull, RetryAfter: time.Second}}
	}
	if wait := p.jobRefusalTime(now, r); wait > 0 {
		return []Decision{{RequestID: r.ID, Reason: ReasonFailingJob, RetryAfter: wait}}
	}
	q := p.newQueuedRequest(now, r)
	// Requests that cannot start in time count towards the offered load too, so
	// that the pool is given VMs for them.
	p.offered.add(now, q.meanRunTime)
	if wait, late := p.cannotStartInTime(now, q); late {
		return append(p.dispatch(now), Decision{RequestID: r.ID, Reason: ReasonCannotStartInTime, RetryAfter: wait})
	}
	p.enqueue(q)
	return p.dispatch(now)
}

// Cancel removes a waiting request.
func (p *Pool) Cancel(_ time.Time, requestID string) bool {
	q := p.requests[requestID]
	if q == nil {
		return false
	}
	p.dequeue(q)
	return true
}

// Release ends a grant. Unknown grants are ignored, which makes it idempotent.
func (p *Pool) Release(now time.Time, grantID string, result Result, ran time.Duration) []Decision {
	g := p.grants[grantID]
	if g == nil {
		return nil
	}
	delete(p.grants, grantID)
	p.longAtQueue.Remove(g.longAtEntry)
	if g.long {
		p.longBusy--
	}
	p.addToTotals(g, -1)
	p.placement.ReleaseSlot(g.worker)
	p.teams.ReleaseSlot(g.request.Team, g.request.Urgent)
	p.unparkGroupOf(g.request)
	if result == ResultOK {
		p.runTimeSamples++
		p.learner.Observe(operation(g.request), g.request.DeclaredRunTime, ran)
	}
	p.recordResult(now, g, result)
	return p.dispatch(now)
}

// Tick refuses requests that can no longer start in time and starts the due
// probes of ejected workers.
func (p *Pool) Tick(now time.Time) []Decision {
	p.ejection.Reevaluate(now)
	p.updateAllPlacements(now)
	return p.dispatch(now)
}

// Demand returns the demand of the pool.
func (p *Pool) Demand(now time.Time) Demand {
	queued, busy := len(p.requests), len(p.grants)
	backlogSlots := min(float64(queued), p.queuedWork.Seconds()/backlogCompletionTime.Seconds())
	return Demand{SlotsWanted: max(busyShare*float64(busy), p.offered.at(now)) + backlogSlots, Queued: queued, Busy: busy}
}

// BusySlots returns the number of slots in use on each worker that has any.
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

func (p *Pool) newQueuedRequest(now time.Time, r Request) *queuedRequest {
	p.lastSequence++
	q := &queuedRequest{request: r, sequence: p.lastSequence, key: now}
	p.estimate(q)
	if p.options.Policy == PolicyLearned {
		q.key = now.Add(time.Duration(p.options.Ageing * float64(q.medianRunTime)))
	}
	q.inBacklog = p.teams.AvailableSlots(r.Team, r.Urgent) == math.MaxInt
	return q
}

func (p *Pool) enqueue(q *queuedRequest) {
	q.queue = p.queueOf(q)
	q.queueEntry = q.queue.Push(q)
	q.startByEntry = p.startByQueue.Push(q)
	p.requests[q.request.ID] = q
	p.queuedWork += q.meanRunTime
	if b := p.backlogOf(q); b != nil {
		b.add(q)
	}
}

func (p *Pool) dequeue(q *queuedRequest) {
	q.queue.Remove(q.queueEntry)
	p.startByQueue.Remove(q.startByEntry)
	delete(p.requests, q.request.ID)
	p.queuedWork -= q.meanRunTime
	if b := p.backlogOf(q); b != nil {
		b.remove(q)
	}
	// Otherwise a parked request of the team could keep waiting for the removed
	// one, which was to start before it.
	p.unparkGroupOf(q.request)
}

// estimate sets the expected run time of a request: the learned one of its
// operation, else the one that its caller declared, else the learned one of all
// work.
func (p *Pool) estimate(q *queuedRequest) {
	if e, ok := p.learner.Estimate(operation(q.request), q.request.DeclaredRunTime); ok {
		q.medianRunTime, q.meanRunTime = e.Median, e.Mean
	} else if q.request.DeclaredRunTime > 0 {
		q.medianRunTime, q.meanRunTime = q.request.DeclaredRunTime, q.request.DeclaredRunTime
	} else {
		e, _ := p.learner.Overall()
		q.medianRunTime, q.meanRunTime = e.Median, e.Mean
	}
	q.long = p.isLong(q.request)
}

// isLong reports whether requests of this operation usually take much longer
// than the median of all work.
func (p *Pool) isLong(r Request) bool {
	e, known := p.learner.Estimate(operation(r), r.DeclaredRunTime)
	all, _ := p.learner.Overall()
	return known && p.options.Policy == PolicyLearned && e.P75 > longRatio*all.Median
}

func (p *Pool) queueOf(q *queuedRequest) *queueing.Heap[*queuedRequest] {
	switch {
	case p.options.Policy == PolicyFirstComeFirstServed:
		return p.short
	case q.request.Urgent:
		return p.urgent
	case q.long:
		return p.long
	}
	return p.short
}

// dispatch refuses expired requests, starts due probes and grants free slots to
// queued requests until no worker has a free slot or no request can use one.
func (p *Pool) dispatch(now time.Time) []Decision {
	p.reclassifyOverdue(now)
	p.updateShortLoad(now)
	p.ejection.ForEachSuspected(func(id string) { p.updatePlacement(now, id) })
	decisions := p.expire(now)
	decisions = append(decisions, p.probe(now)...)
	var skipped []*queuedRequest
	for p.placement.Available() {
		q := p.nextRequest()
		if q == nil {
			break
		}
		if p.teams.AvailableSlots(q.request.Team, q.request.Urgent) == 0 {
			p.park(q)
			continue
		}
		worker, ok := p.placement.Pick(p.workersToAvoid(q.request))
		if !ok {
			// Only workers that the request avoids have free slots.
			q.queue.Remove(q.queueEntry)
			skipped = append(skipped, q)
			continue
		}
		p.dequeue(q)
		decisions = append(decisions, p.grant(now, q, worker))
	}
	for _, q := range skipped {
		q.queue.Restore(q.queueEntry)
	}
	return decisions
}

// expire refuses the requests whose StartBy has passed.
func (p *Pool) expire(now time.Time) []Decision {
	var decisions []Decision
	for e := p.startByQueue.Peek(); e != nil && !e.Value.request.StartBy.After(now); e = p.startByQueue.Peek() {
		reason := p.expiryReason(e.Value)
		p.dequeue(e.Value)
		decisions = append(decisions, Decision{
			RequestID: e.Value.request.ID, Reason: reason, RetryAfter: time.Second,
		})
	}
	return decisions
}

// workersToAvoid returns the workers that a request should not be sent to. A
// request that has failed on every worker of the pool may get any of them,
// because waiting for another worker would only use up its time.
func (p *Pool) workersToAvoid(r Request) []string {
	for id := range p.workers {
		if !slices.Contains(r.AvoidWorkers, id) {
			return r.AvoidWorkers
		}
	}
	return nil
}

// nextRequest returns the request that gets the next free slot, or nil.
func (p *Pool) nextRequest() *queuedRequest {
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

// longLimit returns the number of slots that long work may hold: the slots that
// the recent demand of short work leaves free, with a margin that is based on
// the standard deviation of a Poisson distribution (see reserveDeviations). It
// is at least LongShare of the slots and at least 1, so that long work always
// progresses.
func (p *Pool) longLimit() int {
	slots := float64(p.placement.Slots())
	reserve := p.shortLoad + reserveDeviations*math.Sqrt(p.shortLoad) + reserveDeviations
	return max(int(slots-reserve), int(p.options.LongShare*slots), 1)
}

// updateShortLoad updates the moving average of the slots that short work uses
// or waits for.
func (p *Pool) updateShortLoad(now time.Time) {
	load := float64(len(p.grants) - p.longBusy + p.short.Len() + p.urgent.Len())
	tau := shortLoadFallTime
	if load > p.shortLoad {
		tau = shortLoadRiseTime
	}
	if elapsed := now.Sub(p.observedAt); elapsed > 0 {
		p.shortLoad += (load - p.shortLoad) * (1 - math.Exp(-elapsed.Seconds()/tau.Seconds()))
		p.observedAt = now
	}
}

func (p *Pool) grant(now time.Time, q *queuedRequest, worker string) Decision {
	p.lastSequence++
	id := q.request.ID + "/" + strconv.FormatInt(p.lastSequence, 10)
	p.startGrant(now, id, worker, q)
	return Decision{RequestID: q.request.ID, GrantID: id, Worker: p.workers[worker]}
}

// startGrant records a grant as in use and takes a slot of its worker.
func (p *Pool) startGrant(now time.Time, id, worker string, q *queuedRequest) {
	g := &grant{request: q.request, worker: worker, started: now, long: q.long}
	g.expectedEnd = p.secondsAt(now) + q.meanRunTime.Seconds()
	p.addToTotals(g, 1)
	p.grants[id] = g
	p.placement.AcquireSlot(worker)
	p.teams.AcquireSlot(q.request.Team, q.request.Urgent)
	p.ejection.Started(now, worker)
	p.updatePlacement(now, worker)
	if g.long {
		p.longBusy++
	} else if limit, ok := p.shortRunLimit(q.request); ok {
		g.longAt = now.Add(limit)
		g.longAtEntry = p.longAtQueue.Push(g)
	}
}

// shortRunLimit returns the run time after which a request that was started as
// short counts as long; false if there is no limit.
func (p *Pool) shortRunLimit(r Request) (time.Duration, bool) {
	all, known := p.learner.Overall()
	if !known || p.options.Policy != PolicyLearned {
		return 0, false
	}
	e, _ := p.learner.Estimate(operation(r), r.DeclaredRunTime)
	return max(shortRunRatio*e.P95, longRatio*all.Median), true
}

// reclassifyOverdue counts the short grants that have reached their run time
// limit as long.
func (p *Pool) reclassifyOverdue(now time.Time) {
	for e := p.longAtQueue.Peek(); e != nil && !e.Value.longAt.After(now); e = p.longAtQueue.Peek() {
		p.longAtQueue.Remove(e)
		p.addToTotals(e.Value, -1)
		e.Value.long = true
		p.addToTotals(e.Value, 1)
		p.longBusy++
	}
}
