// Package dispatch grants slots on workers. For each pool one entry VM, the
// dispatcher, holds the only queue; the other entry VMs ask it for slots and
// then send to the worker themselves.
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
	// tickInterval is how often waiting requests are checked for their
	// latest start.
	tickInterval = 20 * time.Millisecond
	// reconcileInterval is how often a dispatcher compares its grants with
	// what the entry VMs hold, which frees the slots of lost messages.
	reconcileInterval = 2 * time.Second
	// adoptTimeout bounds how long a new dispatcher waits for entry VMs that
	// do not say which grants they hold.
	adoptTimeout = time.Second
	// frozenAfter is the pause between two ticks after which this entry VM
	// presumes that it was frozen. It is shorter than the time after which the
	// others replace a silent dispatcher (2 s after its last heartbeat at the
	// earliest), so that a dispatcher that wakes does not grant by old state.
	frozenAfter = 1500 * time.Millisecond
	// silentHold bounds how long the slots of a silent entry VM are held back.
	// Beyond it, a share of the pool that lies idle costs more than a worker
	// that runs a few requests beyond its slots.
	silentHold = 30 * time.Second
	// missingRounds is the number of successive answers without a grant after
	// which its holder does not have it. After one, the grant may still be on
	// its way to an entry VM that has just woken.
	missingRounds = 2
	// noWorkerWait is how long a pool may be without any worker before its
	// requests are refused; moves and reboots leave short gaps.
	noWorkerWait = time.Second
)

// ServerOptions configure a Server.
type ServerOptions struct {
	EntryID string
	// Members returns the live entry VMs, this one included.
	Members func() []string
	// Peer returns the client of another entry VM.
	Peer func(entry string) (peer.Peer, bool)
	// Workers returns the serving workers of a pool.
	Workers func(pool string) []dispatching.Worker
	// NewPool returns the decision state of a pool.
	NewPool func(pool string) *dispatching.Pool
	// Limits returns the bounds of a pool from the configuration in force;
	// nil leaves those of NewPool.
	Limits func(pool string) Limits
	// Held returns the grants that this entry VM holds itself.
	Held func(pool string) []*peer.GrantInUse
	Now  func() time.Time
}

// Limits bound the queue of a pool and the slots of its teams.
type Limits struct {
	MaxQueue int
	// TeamSlots maps teams with a quota to the slots that they may hold.
	TeamSlots map[string]int
}

// Server is the dispatcher of the pools that this entry VM owns.
type Server struct {
	options ServerOptions
	// asking ends the calls to other entry VMs when the server stops.
	asking     context.Context
	stopAsking context.CancelFunc
	asks       sync.WaitGroup

	mu     sync.Mutex
	pools  map[string]*ownedPool
	ticked time.Time
	closed bool
}

// ownedPool is a pool that this entry VM dispatches.
//
// Invariant: each grant that the decisions count as in use is in grants, from
// the moment at which it is decided until it is released.
type ownedPool struct {
	name string

	mu      sync.Mutex
	state   *dispatching.Pool
	waiting map[string]*waiter
	grants  map[string]*issued
	// byRequest finds the grant of a request whose answer was lost.
	byRequest map[string]string
	// ended holds the grants that were released while the entry VMs are asked
	// for theirs, because an answer may still name them; nil at other times.
	ended map[string]bool
	// silent holds the time since which an entry VM does not answer.
	silent        map[string]time.Time
	withoutWorker time.Time
	ready         bool
	lost          bool
}

// waiter is a request that waits for its decision.
type waiter struct {
	entry    string
	deadline time.Time
	reply    chan dispatching.Decision
	// replaced tells that a later call of the same request waits instead.
	replaced bool
}

// issued is a grant and the entry VM that holds it.
type issued struct {
	entry   string
	request string
	// decision repeats an answer that was lost.
	decision dispatching.Decision
	waiter   *waiter
	at       time.Time
	// endsBy is the deadline of the request, by which its entry VM has ended it.
	endsBy  time.Time
	missing int
}

// NewServer returns a server without pools.
func NewServer(options ServerOptions) *Server {
	if options.Now == nil {
		options.Now = time.Now
	}
	s := &Server{options: options, pools: map[string]*ownedPool{}}
	s.asking, s.stopAsking = context.WithCancel(context.Background())
	return s
}

func (s *Server) owns(pool string) bool {
	return Owner(pool, s.options.Members()) == s.options.EntryID
}

// pool returns the state of a pool, and takes the pool over if this entry VM
// has just become its dispatcher.
func (s *Server) pool(name string) (*ownedPool, bool) {
	if !s.owns(name) {
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
			name:      name,
			state:     s.options.NewPool(name),
			waiting:   map[string]*waiter{},
			grants:    map[string]*issued{},
			byRequest: map[string]string{},
			ended:     map[string]bool{},
			silent:    map[string]time.Time{},
		}
		s.pools[name] = owned
		s.asks.Go(func() { s.takeOver(owned) })
	}
	return owned, true
}

// dropIfFrozen drops all pools when this entry VM was frozen: another one may
// have dispatched them in the meantime, so their grants are asked for again.
func (s *Server) dropIfFrozen() {
	s.mu.Lock()
	frozen := !s.ticked.IsZero() && s.options.Now().Sub(s.ticked) > frozenAfter
	s.mu.Unlock()
	if frozen {
		s.dropAll()
	}
}

func (s *Server) dropAll() {
	for _, owned := range s.all() {
		s.drop(owned.name)
	}
}

// drop refuses what waits in a pool that has another dispatcher now.
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
	owned.lost = true
	for id, w := range owned.waiting {
		close(w.reply)
		delete(owned.waiting, id)
	}
}

// takeOver learns the grants of the previous dispatcher from the entry VMs
// before the first slot is granted.
//
// An entry VM that does not answer within adoptTimeout counts as holding none:
// nothing tells on which workers its requests run or for how long, and holding
// back a guessed share of each worker would cost the pool more, at the moment
// at which its requests already waited for the new dispatcher, than the few
// requests that a worker may run beyond its slots meanwhile. Its grants are
// adopted as soon as it answers. Grants that this dispatcher issued itself are
// known, and kept while their entry VM is silent; see reconcile.
func (s *Server) takeOver(owned *ownedPool) {
	held := s.heldByAll(owned.name)
	owned.mu.Lock()
	defer owned.mu.Unlock()
	now := s.options.Now()
	owned.adopt(now, held)
	owned.ended = nil
	owned.ready = true
	s.configure(now, owned)
}

// configure passes the workers and the limits in force on to the decisions.
func (s *Server) configure(now time.Time, owned *ownedPool) {
	if s.options.Limits != nil {
		limits := s.options.Limits(owned.name)
		owned.state.SetMaxQueue(limits.MaxQueue)
		owned.deliver(now, owned.state.SetQuotas(now, limits.TeamSlots))
	}
	owned.setWorkers(now, s.options.Workers(owned.name))
}

// adopt counts the grants that other dispatchers issued.
func (o *ownedPool) adopt(now time.Time, held map[string][]*peer.GrantInUse) {
	for entry, grants := range held {
		for _, g := range grants {
			if o.grants[g.Grant] != nil || o.ended[g.Grant] {
				continue
			}
			o.state.Adopt(now, g.Grant, g.Worker, dispatching.Request{
				ID: g.Grant, Service: g.Service, Operation: g.Operation,
			})
			o.grants[g.Grant] = &issued{entry: entry, at: now, endsBy: now.Add(silentHold)}
		}
	}
}

func (o *ownedPool) setWorkers(now time.Time, workers []dispatching.Worker) {
	switch {
	case len(workers) > 0:
		o.withoutWorker = time.Time{}
	case o.withoutWorker.IsZero():
		o.withoutWorker = now
	}
	o.deliver(now, o.state.SetWorkers(now, workers))
}

// hasNoWorker reports whether the pool has been without workers for too long
// to let requests wait.
func (o *ownedPool) hasNoWorker(now time.Time) bool {
	return o.ready && !o.withoutWorker.IsZero() && now.Sub(o.withoutWorker) > noWorkerWait
}

// heldByAll asks the live entry VMs and the named ones for the grants they
// hold. Entry VMs that do not answer are missing in the result; those whose
// process is gone hold none.
func (s *Server) heldByAll(pool string, named ...string) map[string][]*peer.GrantInUse {
	ctx, cancel := context.WithTimeout(s.asking, adoptTimeout)
	defer cancel()
	var mu sync.Mutex
	held := map[string][]*peer.GrantInUse{s.options.EntryID: s.options.Held(pool)}
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
			answer, err := client.GrantsInUse(ctx, &peer.GrantsInUseRequest{Pool: pool})
			switch {
			case err == nil:
				set(member, answer.Grants)
			case errors.Is(err, syscall.ECONNREFUSED):
				// Its VM is up and the process is gone, so its connections to
				// the workers are closed.
				set(member, nil)
			}
			return nil
		})
	}
	group.Wait()
	return held
}

// deliver hands decisions to the requests that wait for them. A grant whose
// request has gone is given back.
func (o *ownedPool) deliver(now time.Time, decisions []dispatching.Decision) {
	for len(decisions) > 0 {
		d := decisions[0]
		decisions = decisions[1:]
		if w, ok := o.waiting[d.RequestID]; ok {
			delete(o.waiting, d.RequestID)
			if d.Reason == dispatching.ReasonNone {
				o.grants[d.Grant] = &issued{entry: w.entry, request: d.RequestID, decision: d, waiter: w, at: now, endsBy: w.deadline}
				o.byRequest[d.RequestID] = d.Grant
			}
			w.reply <- d
			continue
		}
		if d.Reason == dispatching.ReasonNone {
			// The worker has no part in it, so it is not charged.
			decisions = append(decisions, o.state.Release(now, d.Grant, dispatching.ResultCancelled, 0)...)
		}
	}
}

// release ends a grant. Unknown grants have no effect.
func (o *ownedPool) release(now time.Time, grant string, result dispatching.Result, run time.Duration) {
	if o.ended != nil {
		o.ended[grant] = true
	}
	if g := o.grants[grant]; g != nil {
		delete(o.grants, grant)
		delete(o.byRequest, g.request)
	}
	o.deliver(now, o.state.Release(now, grant, result, run))
}

// withdraw ends a request whose caller has gone, whether it waits or was
// granted a slot that nobody knows of.
func (o *ownedPool) withdraw(now time.Time, request string) {
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
	w, ok := owned.push(s.options.Now(), r)
	if !ok {
		return notDispatcher, nil
	}
	select {
	case d, ok := <-w.reply:
		if !ok {
			return notDispatcher, nil
		}
		return answer(d), nil
	case <-ctx.Done():
		owned.mu.Lock()
		defer owned.mu.Unlock()
		if !w.replaced {
			owned.withdraw(s.options.Now(), r.RequestId)
		}
		return nil, ctx.Err()
	}
}

// push adds a request to the queue. A repeat of a request that waits takes its
// place; one of a request that has a slot gets the same answer.
func (o *ownedPool) push(now time.Time, r *peer.AcquireRequest) (*waiter, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lost {
		return nil, false
	}
	w := &waiter{
		entry:    r.Entry,
		deadline: now.Add(time.Duration(r.WaitMillis) * time.Millisecond),
		reply:    make(chan dispatching.Decision, 1),
	}
	if former, ok := o.waiting[r.RequestId]; ok {
		former.replaced = true
		close(former.reply)
		w.deadline = former.deadline
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
		ID:            r.RequestId,
		Service:       r.Service,
		Operation:     r.Operation,
		Team:          r.Team,
		Declared:      time.Duration(r.DeclaredMillis) * time.Millisecond,
		StartBy:       w.deadline,
		Avoid:         r.Avoid,
		Urgent:        r.Urgent,
		Fingerprint:   r.Fingerprint,
		NonRepeatable: r.NonRepeatable,
	}))
	return w, true
}

func noWorker(request string) dispatching.Decision {
	return dispatching.Decision{RequestID: request, Reason: dispatching.ReasonNoWorker, RetryAfter: noWorkerWait}
}

func answer(d dispatching.Decision) *peer.AcquireResponse {
	return &peer.AcquireResponse{
		Status:           statusOfReason[d.Reason],
		Grant:            d.Grant,
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
	peer.GrantResult_SILENT:    dispatching.ResultSilent,
}

// Release gives slots back. A repeat has no effect. A result without a grant
// gives back what its request waits for or was granted.
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
	if owned.lost {
		return &peer.ReleaseResponse{}, nil
	}
	now := s.options.Now()
	for _, result := range r.Results {
		if result.Grant == "" {
			owned.withdraw(now, result.RequestId)
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
	for _, owned := range s.all() {
		owned.mu.Lock()
		d := owned.state.Demand(s.options.Now())
		entry := &peer.PoolDemand{
			Pool: owned.name, SlotsWanted: d.SlotsWanted, Queued: int64(d.Queued), Busy: int64(d.Busy),
			Ejected: owned.state.Ejected(), BusySlots: map[string]int32{},
		}
		for worker, busy := range owned.state.BusySlots() {
			entry.BusySlots[worker] = int32(busy)
		}
		owned.mu.Unlock()
		demand = append(demand, entry)
	}
	return demand
}

func (s *Server) all() []*ownedPool {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*ownedPool, 0, len(s.pools))
	for _, owned := range s.pools {
		all = append(all, owned)
	}
	return all
}

// WorkersChanged passes a new set of serving workers, or a changed
// configuration, on to the decisions.
func (s *Server) WorkersChanged() {
	for _, owned := range s.all() {
		owned.mu.Lock()
		if now := s.options.Now(); owned.ready {
			s.configure(now, owned)
		}
		owned.mu.Unlock()
	}
}

// Run refuses requests that cannot start in time, drops pools that have
// another dispatcher and frees the slots of lost messages, until ctx ends.
// Afterwards the server dispatches no pool.
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
	s.stopAsking()
	s.asks.Wait()
}

func (s *Server) tick() {
	s.dropIfFrozen()
	s.mu.Lock()
	s.ticked = s.options.Now()
	s.mu.Unlock()
	for _, owned := range s.all() {
		if !s.owns(owned.name) {
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

// reconcileAll reconciles each pool beside the ticks, which a silent entry VM
// must not delay. A pool that is being asked for already is left out.
func (s *Server) reconcileAll() {
	for _, owned := range s.all() {
		owned.mu.Lock()
		idle := owned.ready && owned.ended == nil
		if idle {
			owned.ended = map[string]bool{}
		}
		owned.mu.Unlock()
		if idle {
			s.asks.Go(func() { s.reconcile(owned) })
		}
	}
}

// reconcile frees grants whose holder does not know them: the answer to its
// Acquire or its Release was lost, or the entry VM was replaced. It adopts
// grants that another dispatcher issued while both took the pool for theirs.
//
// The grants of an entry VM that does not answer are kept until their requests
// have ended, because a frozen process does not end what it has sent: the
// worker goes on with it. Those of a process that is known to be gone are
// freed, because its connections are closed and the workers know it.
func (s *Server) reconcile(owned *ownedPool) {
	started := s.options.Now()
	held := s.heldByAll(owned.name, owned.holders()...)
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
		delete(owned.silent, entry)
	}
	for id, grant := range owned.grants {
		if _, answered := held[grant.entry]; known[id] || grant.at.After(started) {
			grant.missing = 0
		} else if answered {
			if grant.missing++; grant.missing >= missingRounds {
				owned.release(now, id, dispatching.ResultCancelled, 0)
			}
		} else if owned.hasEnded(now, grant) {
			owned.release(now, id, dispatching.ResultCancelled, 0)
		}
	}
	owned.adopt(now, held)
	owned.ended = nil
}

// holders returns the entry VMs that hold grants, and forgets the silence of
// all others.
func (o *ownedPool) holders() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	holding := map[string]bool{}
	for _, grant := range o.grants {
		holding[grant.entry] = true
	}
	maps.DeleteFunc(o.silent, func(entry string, _ time.Time) bool { return !holding[entry] })
	return slices.Collect(maps.Keys(holding))
}

// hasEnded reports whether the request of a silent entry VM counts as ended.
func (o *ownedPool) hasEnded(now time.Time, grant *issued) bool {
	since, ok := o.silent[grant.entry]
	if !ok {
		since = now
		o.silent[grant.entry] = now
	}
	return !now.Before(grant.endsBy) || now.Sub(since) >= silentHold
}
