// Package dispatch grants slots on workers. For each pool one entry VM, the
// dispatcher, holds the only queue; the other entry VMs ask it for slots and
// then send to the worker themselves.
package dispatch

import (
	"context"
	"sync"
	"time"

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
	// Held returns the grants that this entry VM holds itself.
	Held func(pool string) []*peer.GrantInUse
	Now  func() time.Time
}

// Server is the dispatcher of the pools that this entry VM owns.
type Server struct {
	options ServerOptions

	mu    sync.Mutex
	pools map[string]*ownedPool
}

// ownedPool is a pool that this entry VM dispatches.
type ownedPool struct {
	name string

	mu      sync.Mutex
	state   *dispatching.Pool
	waiting map[string]chan dispatching.Decision
	grants  map[string]issued
	ready   bool
	lost    bool
}

// issued is a grant and the entry VM that holds it.
type issued struct {
	entry string
	at    time.Time
}

// NewServer returns a server without pools.
func NewServer(options ServerOptions) *Server {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Server{options: options, pools: map[string]*ownedPool{}}
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
	s.mu.Lock()
	defer s.mu.Unlock()
	owned, ok := s.pools[name]
	if !ok {
		owned = &ownedPool{
			name:    name,
			state:   s.options.NewPool(name),
			waiting: map[string]chan dispatching.Decision{},
			grants:  map[string]issued{},
		}
		s.pools[name] = owned
		go s.takeOver(owned)
	}
	return owned, true
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
	for id, reply := range owned.waiting {
		close(reply)
		delete(owned.waiting, id)
	}
}

// takeOver learns the grants of the previous dispatcher from the entry VMs
// before the first slot is granted.
func (s *Server) takeOver(owned *ownedPool) {
	held := s.heldByAll(owned.name)
	owned.mu.Lock()
	defer owned.mu.Unlock()
	now := s.options.Now()
	for entry, grants := range held {
		for _, g := range grants {
			owned.state.Adopt(now, g.Grant, g.Worker, dispatching.Request{
				ID: g.Grant, Service: g.Service, Operation: g.Operation,
			})
			owned.grants[g.Grant] = issued{entry: entry, at: now}
		}
	}
	owned.ready = true
	owned.deliver(now, owned.state.SetWorkers(now, s.options.Workers(owned.name)))
}

// heldByAll asks every live entry VM for the grants it holds. Entry VMs that
// do not answer are missing in the result.
func (s *Server) heldByAll(pool string) map[string][]*peer.GrantInUse {
	ctx, cancel := context.WithTimeout(context.Background(), adoptTimeout)
	defer cancel()
	var mu sync.Mutex
	held := map[string][]*peer.GrantInUse{s.options.EntryID: s.options.Held(pool)}
	var group errgroup.Group
	for _, member := range s.options.Members() {
		client, ok := s.options.Peer(member)
		if member == s.options.EntryID || !ok {
			continue
		}
		group.Go(func() error {
			answer, err := client.GrantsInUse(ctx, &peer.GrantsInUseRequest{Pool: pool})
			if err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			held[member] = answer.Grants
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
		reply, ok := o.waiting[d.RequestID]
		if ok {
			delete(o.waiting, d.RequestID)
			reply <- d
			continue
		}
		if d.Reason == dispatching.ReasonNone {
			decisions = append(decisions, o.state.Release(now, d.Grant, dispatching.ResultNotSent, 0)...)
		}
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
	reply, ok := owned.push(s.options.Now(), r)
	if !ok {
		return notDispatcher, nil
	}
	select {
	case d, ok := <-reply:
		if !ok {
			return notDispatcher, nil
		}
		return s.answer(owned, r, d), nil
	case <-ctx.Done():
		owned.cancel(s.options.Now(), r.RequestId, reply)
		return nil, ctx.Err()
	}
}

func (o *ownedPool) push(now time.Time, r *peer.AcquireRequest) (chan dispatching.Decision, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lost {
		return nil, false
	}
	if _, twice := o.waiting[r.RequestId]; twice {
		return nil, false
	}
	reply := make(chan dispatching.Decision, 1)
	o.waiting[r.RequestId] = reply
	o.deliver(now, o.state.Push(now, dispatching.Request{
		ID:        r.RequestId,
		Service:   r.Service,
		Operation: r.Operation,
		Team:      r.Team,
		Declared:  time.Duration(r.DeclaredMillis) * time.Millisecond,
		StartBy:   now.Add(time.Duration(r.WaitMillis) * time.Millisecond),
		Avoid:     r.Avoid,
		Urgent:    r.Urgent,
	}))
	return reply, true
}

// cancel removes a request whose caller has gone, and gives a slot back that
// was granted in the meantime.
func (o *ownedPool) cancel(now time.Time, id string, reply chan dispatching.Decision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.waiting[id] == reply {
		delete(o.waiting, id)
		o.state.Cancel(now, id)
	}
	select {
	case d, ok := <-reply:
		if ok && d.Reason == dispatching.ReasonNone {
			o.deliver(now, o.state.Release(now, d.Grant, dispatching.ResultNotSent, 0))
		}
	default:
	}
}

func (s *Server) answer(owned *ownedPool, r *peer.AcquireRequest, d dispatching.Decision) *peer.AcquireResponse {
	if d.Reason == dispatching.ReasonNone {
		owned.mu.Lock()
		owned.grants[d.Grant] = issued{entry: r.Entry, at: s.options.Now()}
		owned.mu.Unlock()
	}
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

// Release gives slots back. A repeat has no effect.
func (s *Server) Release(_ context.Context, r *peer.ReleaseRequest) (*peer.ReleaseResponse, error) {
	s.mu.Lock()
	owned, ok := s.pools[r.Pool]
	s.mu.Unlock()
	if !ok {
		return &peer.ReleaseResponse{}, nil
	}
	owned.mu.Lock()
	defer owned.mu.Unlock()
	now := s.options.Now()
	for _, result := range r.Results {
		delete(owned.grants, result.Grant)
		run := time.Duration(result.RunMicros) * time.Microsecond
		owned.deliver(now, owned.state.Release(now, result.Grant, resultOfPeer[result.Result], run))
	}
	return &peer.ReleaseResponse{}, nil
}

// Demand returns the demand of the pools that this entry VM dispatches.
func (s *Server) Demand() []*peer.PoolDemand {
	var demand []*peer.PoolDemand
	for _, owned := range s.all() {
		owned.mu.Lock()
		d, ejected := owned.state.Demand(s.options.Now()), owned.state.Ejected()
		owned.mu.Unlock()
		demand = append(demand, &peer.PoolDemand{
			Pool: owned.name, SlotsWanted: d.SlotsWanted, Queued: int64(d.Queued), Busy: int64(d.Busy), Ejected: ejected,
		})
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

// WorkersChanged passes a new set of serving workers on to the decisions.
func (s *Server) WorkersChanged() {
	for _, owned := range s.all() {
		owned.mu.Lock()
		if now := s.options.Now(); owned.ready {
			owned.deliver(now, owned.state.SetWorkers(now, s.options.Workers(owned.name)))
		}
		owned.mu.Unlock()
	}
}

// Run refuses requests that cannot start in time, drops pools that have
// another dispatcher and frees the slots of lost messages, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	reconcile := time.NewTicker(reconcileInterval)
	defer reconcile.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, owned := range s.all() {
				s.drop(owned.name)
			}
			return
		case <-tick.C:
			s.tick()
		case <-reconcile.C:
			for _, owned := range s.all() {
				s.reconcile(owned)
			}
		}
	}
}

func (s *Server) tick() {
	for _, owned := range s.all() {
		if !s.owns(owned.name) {
			s.drop(owned.name)
			continue
		}
		owned.mu.Lock()
		now := s.options.Now()
		owned.deliver(now, owned.state.Tick(now))
		owned.mu.Unlock()
	}
}

// reconcile frees grants whose holder does not know them: the answer to its
// Acquire or its Release was lost, or the entry VM was replaced.
func (s *Server) reconcile(owned *ownedPool) {
	started := s.options.Now()
	held := s.heldByAll(owned.name)
	members := map[string]bool{}
	for _, member := range s.options.Members() {
		members[member] = true
	}
	known := map[string]bool{}
	for _, grants := range held {
		for _, g := range grants {
			known[g.Grant] = true
		}
	}
	owned.mu.Lock()
	defer owned.mu.Unlock()
	now := s.options.Now()
	for id, grant := range owned.grants {
		_, answered := held[grant.entry]
		settled := started.Sub(grant.at) > reconcileInterval
		if settled && !known[id] && (answered || !members[grant.entry]) {
			delete(owned.grants, id)
			owned.deliver(now, owned.state.Release(now, id, dispatching.ResultCancelled, 0))
		}
	}
}
