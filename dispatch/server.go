// Package dispatch grants slots on workers to the entry VMs, which receive the
// requests of callers. A worker is a VM that runs a backend server; each of its slots
// handles one request at a time. The workers are divided into pools.
//
// Each pool has one queue, held by the entry VM that owns the pool and is therefore
// its dispatcher. The other entry VMs acquire slots from the dispatcher and then send
// their requests to the worker directly. This package handles the calls between the
// entry VMs and the change of dispatchers; package dispatching decides which request
// gets which slot.
package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"dotterelhead.example/dotterelhead/peer"
	"dotterelhead.example/dotterelhead/scheduler/dispatching"
)

const (
	// tickInterval is how often waiting requests are checked against the latest
	// time at which they can start.
	tickInterval = 20 * time.Millisecond
	// reconcileInterval is how often a dispatcher compares its grants with those
	// that the entry VMs hold, to free slots for which a message was lost.
	reconcileInterval = 2 * time.Second
	// peerCallTimeout bounds a round of GrantsInUse calls to the entry VMs, and
	// one Release call. A new dispatcher grants nothing during its first round.
	peerCallTimeout = time.Second
	// frozenAfter is the pause between two ticks after which this process
	// presumes that it was frozen, that is, suspended together with its VM or by
	// the operating system. It is shorter than the time after which the others
	// replace an unresponsive dispatcher (3 s after its last answer to a heartbeat,
	// at the earliest 2 s after it was frozen, because heartbeats are 1 s apart), so
	// that a dispatcher that resumes does not grant slots from outdated state.
	frozenAfter = 1500 * time.Millisecond
	// unresponsiveGrantTimeout bounds how long the slots of an unresponsive entry
	// VM, one that does not answer GrantsInUse calls, stay reserved. After that,
	// leaving a share of the pool idle costs more than a worker that runs a few
	// requests beyond its slots.
	unresponsiveGrantTimeout = 30 * time.Second
	// maxMissedRounds is the number of successive responses of an entry VM without
	// a grant after which the grant is freed. After a single one, the grant may
	// still be on its way to an entry VM that was frozen and has just resumed.
	maxMissedRounds = 2
	// noWorkerWait is how long a pool may be without any worker before its
	// requests are refused; moves and reboots of VMs cause short gaps.
	noWorkerWait = time.Second
)

// ServerOptions configures a Server.
type ServerOptions struct {
	EntryID string
	// Members returns the live entry VMs, this one included.
	Members func() []string
	// Peer returns the client of another entry VM.
	Peer func(entry string) (peer.Peer, bool)
	// Workers returns the serving workers of a pool.
	Workers func(pool string) []dispatching.Worker
	// NewPool returns the scheduling state of a pool.
	NewPool func(pool string) *dispatching.Pool
	// Limits returns the limits of a pool from the current configuration; if it is
	// nil, the limits set by NewPool apply.
	Limits func(pool string) Limits
	// HeldGrants returns the grants that this entry VM holds as a client.
	HeldGrants func(pool string) []*peer.GrantInUse
	Now        func() time.Time
}

// Limits holds the limits of a pool's queue and of the slots of its teams.
type Limits struct {
	MaxQueue int
	// TeamSlots maps teams with a quota to the slots that they may hold.
	TeamSlots map[string]int
}

// Server is the dispatcher of the pools that this entry VM owns, according to the
// function DispatcherOf.
type Server struct {
	options ServerOptions
	// background is the context of the calls to other entry VMs; it is cancelled
	// when the server stops.
	background       context.Context
	cancelBackground context.CancelFunc
	backgroundCalls  sync.WaitGroup

	mu       sync.Mutex
	pools    map[string]*ownedPool
	lastTick time.Time
	closed   bool
}

// ownedPool is a pool that this entry VM dispatches.
//
// Invariant: every grant that state counts as in use is in grants, from the
// decision until the release.
type ownedPool struct {
	name string

	mu      sync.Mutex
	state   *dispatching.Pool
	waiting map[string]*waiter
	grants  map[string]*issuedGrant
	// byRequest maps request ids to grant ids, to find the grant of a request whose
	// response was lost.
	byRequest map[string]string
	// releasedDuringQuery holds the grants that were released while the entry VMs
	// are queried for their grants, because a response may still list them. It is
	// nil when no query is running.
	releasedDuringQuery map[string]bool
	// unresponsiveSince maps each unresponsive entry VM that holds grants to the time
	// at which a reconciliation first found it so.
	unresponsiveSince map[string]time.Time
	noWorkerSince     time.Time
	ready             bool
	dropped           bool
}

// waiter is an Acquire call that waits for the decision on its request.
type waiter struct {
	entry    string
	deadline time.Time
	reply    chan dispatching.Decision
	// replaced is set when a later call for the same request took its place.
	replaced bool
}

// issuedGrant is a grant and the entry VM that holds it.
type issuedGrant struct {
	entry   string
	request string
	// decision is kept to repeat a response that was lost.
	decision dispatching.Decision
	waiter   *waiter
	// issuedAt is when this dispatcher issued or adopted the grant.
	issuedAt time.Time
	// deadline is the StartBy of the request, after which the request is presumed
	// to have ended. For adopted grants, whose deadline is not known, it is
	// unresponsiveGrantTimeout after the adoption.
	deadline     time.Time
	missedRounds int
}

// NewServer returns a server that dispatches no pool yet.
func NewServer(options ServerOptions) *Server {
	if options.Now == nil {
		options.Now = time.Now
	}
	s := &Server{options: options, pools: map[string]*ownedPool{}}
	s.background, s.cancelBackground = context.WithCancel(context.Background())
	return s
}

func (s *Server) isDispatcher(pool string) bool {
	return DispatcherOf(pool, s.options.Members()) == s.options.EntryID
}

// pool returns the state of a pool, and starts the takeover if this entry VM has
// just become its dispatcher. It reports false when this entry VM is not the
// dispatcher.
func (s *Server) pool(name string) (*ownedPool, bool) {
	if !s.isDispatcher(name) {
		s.drop(name)
		return nil, false
	}
	s.dropIfFrozen()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, false
	}
	owned, ok := s.pools[name]
	if !ok {
		owned = &ownedPool{
			name:                name,
			state:               s.options.NewPool(name),
			waiting:             map[string]*waiter{},
			grants:              map[string]*issuedGrant{},
			byRequest:           map[string]string{},
			releasedDuringQuery: map[string]bool{},
			unresponsiveSince:   map[string]time.Time{},
		}
		s.pools[name] = owned
		s.backgroundCalls.Go(func() { s.takeOver(owned) })
	}
	return owned, true
}

// dropIfFrozen drops all pools when this process was frozen: another entry VM may
// have dispatched them in the meantime, so the pools have to be taken over again.
func (s *Server) dropIfFrozen() {
	s.mu.Lock()
	frozen := !s.lastTick.IsZero() && s.options.Now().Sub(s.lastTick) > frozenAfter
	s.mu.Unlock()
	if frozen {
		s.dropAll()
	}
}

func (s *Server) dropAll() {
	for _, owned := range s.ownedPools() {
		s.drop(owned.name)
	}
}

// drop removes a pool that this entry VM no longer dispatches, and ends the Acquire
// calls that wait in it with NOT_DISPATCHER.
func (s *Server) drop(name string) {
	s.mu.Lock()
	owned, ok := s.pools[name]
	delete(s.pools, name)
	s.mu.Unlock()
	if !ok {
		return
	}
	owned.mu.Lock()
	defer owned.mu.Unlock()
	owned.dropped = true
	for id, w := range owned.waiting {
		close(w.reply)
		delete(owned.waiting, id)
	}
}

// takeOver queries the entry VMs for the grants of the previous dispatcher before
// the first slot is granted.
//
// An entry VM that does not answer within peerCallTimeout counts as holding no
// grants: it is unknown on which workers its requests run and for how long.
// Reserving a guessed share of each worker would cost the pool more, just when its
// requests have already waited for the new dispatcher, than the few requests that
// a worker may run beyond its slots in the meantime. The grants are adopted as soon
// as the entry VM answers. Grants that this dispatcher issued itself are known, and
// are kept while their entry VM is unresponsive; see reconcile.
func (s *Server) takeOver(owned *ownedPool) {
	held := s.queryHeldGrants(owned.name)
	owned.mu.Lock()
	defer owned.mu.Unlock()
	now := s.options.Now()
	owned.adopt(now, held)
	owned.releasedDuringQuery = nil
	owned.ready = true
	s.configure(now, owned)
}

// configure applies the current workers and limits to the scheduling state.
func (s *Server) configure(now time.Time, owned *ownedPool) {
	if s.options.Limits != nil {
		limits := s.options.Limits(owned.name)
		owned.state.SetMaxQueue(limits.MaxQueue)
		owned.deliver(now, owned.state.SetQuotas(now, limits.TeamSlots))
	}
	owned.setWorkers(now, s.options.Workers(owned.name))
}

// adopt adds the grants that were issued by other dispatchers.
func (o *ownedPool) adopt(now time.Time, held map[string][]*peer.GrantInUse) {
	for entry, grants := range held {
		for _, g := range grants {
			if o.grants[g.Grant] != nil || o.releasedDuringQuery[g.Grant] {
				continue
			}
			o.state.Adopt(now, g.Grant, g.Worker, dispatching.Request{
				ID: g.Grant, Service: g.Service, Operation: g.Operation,
			})
			o.grants[g.Grant] = &issuedGrant{entry: entry, issuedAt: now, deadline: now.Add(unresponsiveGrantTimeout)}
		}
	}
}

func (o *ownedPool) setWorkers(now time.Time, workers []dispatching.Worker) {
	switch {
	case len(workers) > 0:
		o.noWorkerSince = time.Time{}
	case o.noWorkerSince.IsZero():
		o.noWorkerSince = now
	}
	o.deliver(now, o.state.SetWorkers(now, workers))
}

// hasNoWorker reports whether the pool has been without workers for too long
// to let requests wait.
func (o *ownedPool) hasNoWorker(now time.Time) bool {
	return o.ready && !o.noWorkerSince.IsZero() && now.Sub(o.noWorkerSince) > noWorkerWait
}

// queryHeldGrants queries the live entry VMs and the named ones for the grants that
// they hold. Entry VMs that do not answer are missing from the result; those whose
// process has ended are listed without grants.
func (s *Server) queryHeldGrants(pool string, named ...string) map[string][]*peer.GrantInUse {
	ctx, cancel := context.WithTimeout(s.background, peerCallTimeout)
	defer cancel()
	var mu sync.Mutex
	held := map[string][]*peer.GrantInUse{s.options.EntryID: s.options.HeldGrants(pool)}
	set := func(member string, grants []*peer.GrantInUse) {
		mu.Lock()
		defer mu.Unlock()
		held[member] = grants
	}
	members := slices.Concat(s.options.Members(), named)
	slices.Sort(members)
	var group errgroup.Group
	for _, member := range slices.Compact(members) {
		if member == s.options.EntryID {
			continue
		}
		client, ok := s.options.Peer(member)
		if !ok {
			continue
		}
		group.Go(func() error {
			response, err := client.GrantsInUse(ctx, &peer.GrantsInUseRequest{Pool: pool})
			switch {
			case err == nil:
				set(member, response.Grants)
			case errors.Is(err, syscall.ECONNREFUSED):
				// The VM is up but the process has ended, so its connections
				// to the workers are closed.
				set(member, nil)
			}
			return nil
		})
	}
	group.Wait()
	return held
}

// deliver passes decisions to the requests that wait for them. A grant whose
// request was cancelled is released again.
func (o *ownedPool) deliver(now time.Time, decisions []dispatching.Decision) {
	for len(decisions) > 0 {
		d := decisions[0]
		decisions = decisions[1:]
		if w, ok := o.waiting[d.RequestID]; ok {
			delete(o.waiting, d.RequestID)
			if d.Reason == dispatching.ReasonNone {
				o.grants[d.GrantID] = &issuedGrant{entry: w.entry, request: d.RequestID, decision: d, waiter: w, issuedAt: now, deadline: w.deadline}
				o.byRequest[d.RequestID] = d.GrantID
			}
			w.reply <- d
			continue
		}
		if d.Reason == dispatching.ReasonNone {
			// The worker is not at fault, so this does not count as its failure.
			decisions = append(decisions, o.state.Release(now, d.GrantID, dispatching.ResultCancelled, 0)...)
		}
	}
}

// release ends a grant. A grant that is not known is ignored.
func (o *ownedPool) release(now time.Time, grant string, result dispatching.Result, run time.Duration) {
	if o.releasedDuringQuery != nil {
		o.releasedDuringQuery[grant] = true
	}
	if g := o.grants[grant]; g != nil {
		delete(o.grants, grant)
		delete(o.byRequest, g.request)
	}
	o.deliver(now, o.state.Release(now, grant, result, run))
}

// cancelRequest ends a request whose caller has gone: it is removed from the queue,
// or, if it was granted a slot and the response was lost, the slot is released.
func (o *ownedPool) cancelRequest(now time.Time, request string) {
	if w, ok := o.waiting[request]; ok {
		delete(o.waiting, request)
		close(w.reply)
		o.state.Cancel(now, request)
	}
	if grant, ok := o.byRequest[request]; ok {
		o.release(now, grant, dispatching.ResultCancelled, 0)
	}
}

var statusOfReason = map[dispatching.Reason]peer.AcquireResponse_Status{
	dispatching.ReasonNone:              peer.AcquireResponse_GRANTED,
	dispatching.ReasonQueueFull:         peer.AcquireResponse_QUEUE_FULL,
	dispatching.ReasonCannotStartInTime: peer.AcquireResponse_CANNOT_START_IN_TIME,
	dispatching.ReasonNoWorker:          peer.AcquireResponse_NO_WORKER,
	dispatching.ReasonFailingJob:        peer.AcquireResponse_FAILING_JOB,
	dispatching.ReasonQuota:             peer.AcquireResponse_QUOTA,
}

// Acquire waits for a slot.
func (s *Server) Acquire(ctx context.Context, r *peer.AcquireRequest) (*peer.AcquireResponse, error) {
	notDispatcher := &peer.AcquireResponse{Status: peer.AcquireResponse_NOT_DISPATCHER}
	owned, ok := s.pool(r.Pool)
	if !ok {
		return notDispatcher, nil
	}
	w, ok := owned.enqueue(s.options.Now(), r)
	if !ok {
		return notDispatcher, nil
	}
	select {
	case d, ok := <-w.reply:
		if !ok {
			return notDispatcher, nil
		}
		return acquireResponse(d), nil
	case <-ctx.Done():
		owned.mu.Lock()
		defer owned.mu.Unlock()
		if !w.replaced {
			owned.cancelRequest(s.options.Now(), r.RequestId)
		}
		return nil, ctx.Err()
	}
}

// enqueue adds a request to the queue. A repeated call for a waiting request takes
// the place of the earlier call; one for a request that already has a slot gets the
// same response again.
func (o *ownedPool) enqueue(now time.Time, r *peer.AcquireRequest) (*waiter, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.dropped {
		return nil, false
	}
	w := &waiter{
		entry:    r.Entry,
		deadline: now.Add(time.Duration(r.WaitMillis) * time.Millisecond),
		reply:    make(chan dispatching.Decision, 1),
	}
	if previous, ok := o.waiting[r.RequestId]; ok {
		previous.replaced = true
		close(previous.reply)
		w.deadline = previous.deadline
		o.waiting[r.RequestId] = w
		return w, true
	}
	if grant, ok := o.byRequest[r.RequestId]; ok {
		g := o.grants[grant]
		g.waiter.replaced = true
		g.waiter = w
		w.reply <- g.decision
		return w, true
	}
	if o.hasNoWorker(now) {
		w.reply <- noWorker(r.RequestId)
		return w, true
	}
	o.waiting[r.RequestId] = w
	o.deliver(now, o.state.Push(now, dispatching.Request{
		ID:              r.RequestId,
		Service:         r.Service,
		Operation:       r.Operation,
		Team:            r.Team,
		DeclaredRunTime: time.Duration(r.DeclaredMillis) * time.Millisecond,
		StartBy:         w.deadline,
		AvoidWorkers:    r.Avoid,
		Urgent:          r.Urgent,
		Fingerprint:     r.Fingerprint,
		NonRepeatable:   r.NonRepeatable,
	}))
	return w, true
}

func noWorker(request string) dispatching.Decision {
	return dispatching.Decision{RequestID: request, Reason: dispatching.ReasonNoWorker, RetryAfter: noWorkerWait}
}

func acquireResponse(d dispatching.Decision) *peer.AcquireResponse {
	return &peer.AcquireResponse{
		Status:           statusOfReason[d.Reason],
		Grant:            d.GrantID,
		Worker:           d.Worker.ID,
		Address:          d.Worker.Address,
		Generation:       d.Worker.Generation,
		RetryAfterMillis: d.RetryAfter.Milliseconds(),
	}
}

var resultOfPeer = map[peer.GrantResult_Result]dispatching.Result{
	peer.GrantResult_OK:        dispatching.ResultOK,
	peer.GrantResult_FAILED:    dispatching.ResultFailed,
	peer.GrantResult_NOT_SENT:  dispatching.ResultNotSent,
	peer.GrantResult_CANCELLED: dispatching.ResultCancelled,
	peer.GrantResult_SILENT:    dispatching.ResultConnectionStalled,
}

// Release releases grants. Repeating a release has no effect. A result without a
// grant cancels its request, and releases the grant if the request got one.
func (s *Server) Release(_ context.Context, r *peer.ReleaseRequest) (*peer.ReleaseResponse, error) {
	s.dropIfFrozen()
	s.mu.Lock()
	owned, ok := s.pools[r.Pool]
	s.mu.Unlock()
	if !ok {
		return &peer.ReleaseResponse{}, nil
	}
	owned.mu.Lock()
	defer owned.mu.Unlock()
	if owned.dropped {
		return &peer.ReleaseResponse{}, nil
	}
	now := s.options.Now()
	for _, result := range r.Results {
		if result.Grant == "" {
			owned.cancelRequest(now, result.RequestId)
			continue
		}
		run := time.Duration(result.RunMicros) * time.Microsecond
		owned.release(now, result.Grant, resultOfPeer[result.Result], run)
	}
	return &peer.ReleaseResponse{}, nil
}

// Demand returns the demand of the pools that this entry VM dispatches.
func (s *Server) Demand() []*peer.PoolDemand {
	var demand []*peer.PoolDemand
	for _, owned := range s.ownedPools() {
		owned.mu.Lock()
		d := owned.state.Demand(s.options.Now())
		poolDemand := &peer.PoolDemand{
			Pool: owned.name, SlotsWanted: d.SlotsWanted, Queued: int64(d.Queued), Busy: int64(d.Busy),
			Ejected: owned.state.Ejected(), BusySlots: map[string]int32{},
		}
		for worker, busy := range owned.state.BusySlots() {
			poolDemand.BusySlots[worker] = int32(busy)
		}
		owned.mu.Unlock()
		demand = append(demand, poolDemand)
	}
	return demand
}

func (s *Server) ownedPools() []*ownedPool {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*ownedPool, 0, len(s.pools))
	for _, owned := range s.pools {
		all = append(all, owned)
	}
	return all
}

// WorkersChanged must be called when the serving workers or the limits have
// changed; it applies them to all pools.
func (s *Server) WorkersChanged() {
	for _, owned := range s.ownedPools() {
		owned.mu.Lock()
		if now := s.options.Now(); owned.ready {
			s.configure(now, owned)
		}
		owned.mu.Unlock()
	}
}

// Run refuses requests that cannot start in time, drops pools that have got another
// dispatcher, and frees slots for which a message was lost, until ctx ends. Afterwards
// the server dispatches no pool.
func (s *Server) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	reconcile := time.NewTicker(reconcileInterval)
	defer reconcile.Stop()
	for {
		select {
		case <-ctx.Done():
			s.close()
			return
		case <-tick.C:
			s.tick()
		case <-reconcile.C:
			s.reconcileAll()
		}
	}
}

func (s *Server) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.dropAll()
	s.cancelBackground()
	s.backgroundCalls.Wait()
}

func (s *Server) tick() {
	s.dropIfFrozen()
	s.mu.Lock()
	s.lastTick = s.options.Now()
	s.mu.Unlock()
	for _, owned := range s.ownedPools() {
		if !s.isDispatcher(owned.name) {
			s.drop(owned.name)
			continue
		}
		owned.mu.Lock()
		owned.tick(s.options.Now())
		owned.mu.Unlock()
	}
}

func (o *ownedPool) tick(now time.Time) {
	o.deliver(now, o.state.Tick(now))
	if !o.hasNoWorker(now) {
		return
	}
	for id, w := range o.waiting {
		delete(o.waiting, id)
		o.state.Cancel(now, id)
		w.reply <- noWorker(id)
	}
}

// reconcileAll starts the reconciliation of each pool in the background, so that an
// unresponsive entry VM cannot delay the ticks. Pools whose grants are being
// queried already are skipped.
func (s *Server) reconcileAll() {
	for _, owned := range s.ownedPools() {
		owned.mu.Lock()
		start := owned.ready && owned.releasedDuringQuery == nil
		if start {
			owned.releasedDuringQuery = map[string]bool{}
		}
		owned.mu.Unlock()
		if start {
			s.backgroundCalls.Go(func() { s.reconcile(owned) })
		}
	}
}

// reconcile frees grants that their holder does not know: the response to its Acquire
// call or its Release call was lost, or the entry VM was replaced. It adopts grants
// that another dispatcher issued while both considered the pool their own.
//
// The grants of an unresponsive entry VM are kept until mayFree reports true,
// because the workers go on with the requests that a frozen process has sent. The grants of a process that is known to have ended are freed,
// because its connections are closed and the workers notice that.
func (s *Server) reconcile(owned *ownedPool) {
	started := s.options.Now()
	held := s.queryHeldGrants(owned.name, owned.holders()...)
	known := map[string]bool{}
	for _, grants := range held {
		for _, g := range grants {
			known[g.Grant] = true
		}
	}
	owned.mu.Lock()
	defer owned.mu.Unlock()
	now := s.options.Now()
	for entry := range held {
		delete(owned.unresponsiveSince, entry)
	}
	for id, grant := range owned.grants {
		if _, answered := held[grant.entry]; known[id] || grant.issuedAt.After(started) {
			grant.missedRounds = 0
		} else if answered {
			if grant.missedRounds++; grant.missedRounds >= maxMissedRounds {
				owned.release(now, id, dispatching.ResultCancelled, 0)
			}
		} else if owned.mayFree(now, grant) {
			owned.release(now, id, dispatching.ResultCancelled, 0)
		}
	}
	owned.adopt(now, held)
	owned.releasedDuringQuery = nil
}

// holders returns the entry VMs that hold grants, and removes all others from
// silentSince.
func (o *ownedPool) holders() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	holding := map[string]bool{}
	for _, grant := range o.grants {
		holding[grant.entry] = true
	}
	maps.DeleteFunc(o.unresponsiveSince, func(entry string, _ time.Time) bool { return !holding[entry] })
	return slices.Collect(maps.Keys(holding))
}

// mayFree reports whether a grant of an unresponsive entry VM may be freed: the
// deadline of its request has passed, or the entry VM has been unresponsive for
// unresponsiveGrantTimeout.
func (o *ownedPool) mayFree(now time.Time, grant *issuedGrant) bool {
	since, ok := o.unresponsiveSince[grant.entry]
	if !ok {
		since = now
		o.unresponsiveSince[grant.entry] = now
	}
	return !now.Before(grant.deadline) || now.Sub(since) >= unresponsiveGrantTimeout
}
