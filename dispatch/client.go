package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/peer"
)

// retryInterval is the pause before Acquire calls a dispatcher again after the
// dispatcher changed or could not be reached.
const retryInterval = 50 * time.Millisecond

// firstResendDelay is how long an Acquire call to a remote dispatcher may go
// without a response before a second one is sent.
const firstResendDelay = 2 * time.Second

// maxReleaseBatch is the maximum number of results in one Release call.
const maxReleaseBatch = 256

// maxReleaseAttempts is how often a Release is sent at most. The second attempt
// covers a connection that was lost.
const maxReleaseAttempts = 2

// Refusal is the error for a request that was refused a slot.
type Refusal struct {
	Status     peer.AcquireResponse_Status
	RetryAfter time.Duration
}

// Error describes the refusal by its status.
func (r *Refusal) Error() string { return "no slot: " + r.Status.String() }

// Request describes the request that a slot is needed for.
type Request struct {
	Pool, Service, Operation, Team string
	DeclaredRunTime                time.Duration
	// StartBy is the deadline of the request. After it no slot is granted, and the
	// dispatcher may free the slot of a request that an unresponsive entry VM holds.
	StartBy time.Time
	// AvoidWorkers names the workers on which the request has failed already.
	AvoidWorkers []string
	// Urgent requests are served before the other requests of the pool.
	Urgent bool
	// Fingerprint is the same for all repeats of a request, whatever their ids. With
	// it the dispatcher recognises requests that fail on every worker
	// (FAILING_JOB). It is unrelated to claims.Fingerprint.
	Fingerprint string
	// NonRepeatable requests must not be sent twice, so they are not tried on a
	// worker that is suspected of failing.
	NonRepeatable bool
}

// Grant is the right to use one slot of a worker until the grant is released.
type Grant struct {
	ID         string
	Pool       string
	Service    string
	Operation  string
	Worker     string
	Address    string
	Generation int64
	// ReceivedAt is when the client received the grant.
	ReceivedAt time.Time
	dispatcher string
}

// ClientOptions configures a Client.
type ClientOptions struct {
	EntryID string
	// Local is the dispatcher of the pools that this entry VM owns.
	Local   *Server
	Members func() []string
	Peer    func(entry string) (peer.Peer, bool)
	Now     func() time.Time
}

// Client acquires slots from the dispatchers and releases them.
type Client struct {
	options ClientOptions

	mu       sync.Mutex
	held     map[string]Grant
	releases map[releaseTarget][]*peer.GrantResult
	sending  map[releaseTarget]bool
	wake     chan struct{}
}

type releaseTarget struct{ dispatcher, pool string }

// NewClient returns a client that holds no grant.
func NewClient(options ClientOptions) *Client {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Client{
		options:  options,
		held:     map[string]Grant{},
		releases: map[releaseTarget][]*peer.GrantResult{},
		sending:  map[releaseTarget]bool{},
		wake:     make(chan struct{}, 1),
	}
}

// acquirer is the part of a dispatcher, local or remote, that Acquire uses.
type acquirer interface {
	Acquire(context.Context, *peer.AcquireRequest) (*peer.AcquireResponse, error)
}

func (c *Client) dispatcher(pool string) (string, acquirer, bool) {
	dispatcherID := DispatcherOf(pool, c.options.Members())
	if dispatcherID == c.options.EntryID {
		return dispatcherID, c.options.Local, true
	}
	client, ok := c.options.Peer(dispatcherID)
	return dispatcherID, client, ok
}

// Acquire waits for a slot until r.StartBy. The error is a *Refusal or the error
// of ctx.
func (c *Client) Acquire(ctx context.Context, r Request) (Grant, error) {
	for {
		wait := r.StartBy.Sub(c.options.Now())
		if wait <= 0 {
			return Grant{}, &Refusal{Status: peer.AcquireResponse_CANNOT_START_IN_TIME}
		}
		grant, err := c.acquireOnce(ctx, r, wait)
		if err == nil {
			return grant, nil
		}
		var refusal *Refusal
		if errors.As(err, &refusal) && refusal.Status != peer.AcquireResponse_NOT_DISPATCHER {
			return Grant{}, err
		}
		select {
		case <-ctx.Done():
			return Grant{}, ctx.Err()
		case <-time.After(min(retryInterval, wait)):
		}
	}
}

func (c *Client) acquireOnce(ctx context.Context, r Request, wait time.Duration) (Grant, error) {
	dispatcherID, dispatcher, ok := c.dispatcher(r.Pool)
	if !ok {
		return Grant{}, &Refusal{Status: peer.AcquireResponse_NOT_DISPATCHER}
	}
	if dispatcherID != c.options.EntryID {
		var cancel context.CancelFunc
		ctx, cancel = peer.WithOwnerCheck(ctx, dispatcherID, func() string { return DispatcherOf(r.Pool, c.options.Members()) })
		defer cancel()
	}
	// Each acquisition has an id of its own. A request that is retried after a lost
	// response must not be taken for the earlier acquisition, which is being cancelled.
	id := uuid.NewString()
	acquire := c.acquireRemote
	if dispatcherID == c.options.EntryID {
		acquire = acquirer.Acquire
	}
	response, err := acquire(dispatcher, ctx, &peer.AcquireRequest{
		RequestId:      id,
		Entry:          c.options.EntryID,
		Pool:           r.Pool,
		Service:        r.Service,
		Operation:      r.Operation,
		Team:           r.Team,
		DeclaredMillis: r.DeclaredRunTime.Milliseconds(),
		WaitMillis:     max(1, wait.Milliseconds()),
		Avoid:          r.AvoidWorkers,
		Urgent:         r.Urgent,
		Fingerprint:    r.Fingerprint,
		NonRepeatable:  r.NonRepeatable,
	})
	if err != nil {
		if dispatcherID != c.options.EntryID {
			// The slot may have been granted and the response lost, so cancel it.
			c.queue(releaseTarget{dispatcher: dispatcherID, pool: r.Pool}, &peer.GrantResult{
				RequestId: id, Result: peer.GrantResult_CANCELLED,
			})
		}
		return Grant{}, errors.Wrapf(err, "acquire a slot from dispatcher %s", dispatcherID)
	}
	if response.Status != peer.AcquireResponse_GRANTED {
		return Grant{}, &Refusal{
			Status:     response.Status,
			RetryAfter: time.Duration(response.RetryAfterMillis) * time.Millisecond,
		}
	}
	grant := Grant{
		ID: response.Grant, Pool: r.Pool, Service: r.Service, Operation: r.Operation,
		Worker: response.Worker, Address: response.Address, Generation: response.Generation,
		ReceivedAt: c.options.Now(), dispatcher: dispatcherID,
	}
	c.mu.Lock()
	c.held[grant.ID] = grant
	c.mu.Unlock()
	if DispatcherOf(r.Pool, c.options.Members()) != dispatcherID {
		// The new dispatcher may have queried the grants in use before this response
		// arrived, and would then grant the slot a second time.
		c.Release(grant, peer.GrantResult_CANCELLED, 0)
		return Grant{}, &Refusal{Status: peer.AcquireResponse_NOT_DISPATCHER}
	}
	return grant, nil
}

// acquireResult is the outcome of one call of Acquire; call is its number.
type acquireResult struct {
	call     int
	response *peer.AcquireResponse
	err      error
}

// acquireRemote calls a remote dispatcher, and calls it again when no response comes
// for a while, because a connection can stop delivering data while others work. The
// repeated call uses another connection, as the first one is still busy. The
// dispatcher recognises the request by its id: a repeated call keeps its place in the
// queue, and a response that was lost is sent again.
func (c *Client) acquireRemote(dispatcher acquirer, ctx context.Context, r *peer.AcquireRequest) (*peer.AcquireResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan acquireResult)
	call := func(n int) {
		response, err := dispatcher.Acquire(ctx, r)
		select {
		case results <- acquireResult{call: n, response: response, err: err}:
		case <-ctx.Done():
		}
	}
	latest, wait := 1, firstResendDelay
	go call(latest)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case got := <-results:
			failed := got.err != nil || got.response.Status == peer.AcquireResponse_NOT_DISPATCHER
			if got.call < latest && failed {
				// An earlier call fails when its connection breaks, and ends with
				// NOT_DISPATCHER when a later call takes its place in the queue. The
				// latest call is still running.
				continue
			}
			return got.response, got.err
		case <-timer.C:
			latest++
			go call(latest)
			// Back off, because a long wait is usually caused by a long queue.
			wait *= 2
			timer.Reset(wait)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Release releases a grant and reports the result and run time of its request. It
// only queues the message; Run sends it.
func (c *Client) Release(g Grant, result peer.GrantResult_Result, run time.Duration) {
	released := &peer.GrantResult{
		Grant: g.ID, Worker: g.Worker, Service: g.Service, Operation: g.Operation,
		Result: result, RunMicros: run.Microseconds(),
	}
	c.mu.Lock()
	delete(c.held, g.ID)
	c.mu.Unlock()
	c.queue(releaseTarget{dispatcher: g.dispatcher, pool: g.Pool}, released)
	if newDispatcher := DispatcherOf(g.Pool, c.options.Members()); newDispatcher != "" && newDispatcher != g.dispatcher {
		// The new dispatcher of the pool may have adopted the grant under the same id.
		c.queue(releaseTarget{dispatcher: newDispatcher, pool: g.Pool}, released)
	}
}

func (c *Client) queue(target releaseTarget, result *peer.GrantResult) {
	c.mu.Lock()
	c.releases[target] = append(c.releases[target], result)
	c.mu.Unlock()
	c.wakeUp()
}

// HeldGrants returns the grants that this entry VM holds in a pool.
func (c *Client) HeldGrants(pool string) []*peer.GrantInUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	var held []*peer.GrantInUse
	for _, g := range c.held {
		if g.Pool == pool {
			held = append(held, &peer.GrantInUse{
				Grant: g.ID, Worker: g.Worker, Service: g.Service, Operation: g.Operation,
				RunningMillis: now.Sub(g.ReceivedAt).Milliseconds(),
			})
		}
	}
	return held
}

// Run sends the queued releases until ctx ends, then sends those that are left and
// returns. Results that cannot be delivered are dropped; the dispatcher's
// reconciliation frees their slots.
func (c *Client) Run(ctx context.Context) {
	// An entry VM that shuts down still reports its last results, because the
	// dispatcher keeps the slots of an unresponsive entry VM reserved.
	sending := context.WithoutCancel(ctx)
	var group sync.WaitGroup
	sendAll := func() {
		for _, batch := range c.takeReleases() {
			group.Go(func() {
				c.send(sending, batch)
				c.finishSending(batch.target)
			})
		}
	}
	for {
		select {
		case <-ctx.Done():
			group.Wait()
			sendAll()
			group.Wait()
			return
		case <-c.wake:
			sendAll()
		}
	}
}

type releaseBatch struct {
	target  releaseTarget
	results []*peer.GrantResult
}

// takeReleases removes and returns the batches that can be sent now. At most one
// batch per target is in flight, so that an unresponsive dispatcher delays only its
// own releases.
func (c *Client) takeReleases() []releaseBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batches []releaseBatch
	for target, results := range c.releases {
		if c.sending[target] {
			continue
		}
		n := min(len(results), maxReleaseBatch)
		batches = append(batches, releaseBatch{target: target, results: results[:n]})
		if c.releases[target] = results[n:]; n == len(results) {
			delete(c.releases, target)
		}
		c.sending[target] = true
	}
	return batches
}

func (c *Client) finishSending(target releaseTarget) {
	c.mu.Lock()
	delete(c.sending, target)
	c.mu.Unlock()
	c.wakeUp()
}

func (c *Client) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Client) send(ctx context.Context, batch releaseBatch) {
	r := &peer.ReleaseRequest{Entry: c.options.EntryID, Pool: batch.target.pool, Results: batch.results}
	if batch.target.dispatcher == c.options.EntryID {
		c.options.Local.Release(ctx, r)
		return
	}
	for range maxReleaseAttempts {
		client, ok := c.options.Peer(batch.target.dispatcher)
		if !ok || c.sendOnce(ctx, client, r) == nil {
			return
		}
	}
}

func (c *Client) sendOnce(ctx context.Context, client peer.Peer, r *peer.ReleaseRequest) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	_, err := client.Release(ctx, r)
	return err
}
