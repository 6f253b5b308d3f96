package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/peer"
)

// retryInterval is the pause before a request asks again after its dispatcher
// changed or could not be reached.
const retryInterval = 50 * time.Millisecond

// askAgainAfter is how long the first call of Acquire may go without an answer
// before a second one is made.
const askAgainAfter = 2 * time.Second

// maxReleaseBatch bounds the results in one Release call.
const maxReleaseBatch = 256

// sendAttempts is how often a Release is sent. The second attempt covers a
// connection that was lost.
const sendAttempts = 2

// Refusal is the error of a request that got no slot.
type Refusal struct {
	Status     peer.AcquireResponse_Status
	RetryAfter time.Duration
}

// Error names the reason.
func (r *Refusal) Error() string { return "no slot: " + r.Status.String() }

// Request asks for a slot.
type Request struct {
	Pool, Service, Operation, Team string
	Declared                       time.Duration
	// StartBy is the latest useful start.
	StartBy time.Time
	Avoid   []string
	Urgent  bool
	// Fingerprint is the same for repeats of one job.
	Fingerprint string
	// NonRepeatable requests are not tried on a worker that is under suspicion.
	NonRepeatable bool
}

// Grant is a slot on a worker until it is released.
type Grant struct {
	ID         string
	Pool       string
	Service    string
	Operation  string
	Worker     string
	Address    string
	Generation int64
	Since      time.Time
	dispatcher string
}

// ClientOptions configure a Client.
type ClientOptions struct {
	EntryID string
	// Local serves the pools that this entry VM dispatches itself.
	Local   *Server
	Members func() []string
	Peer    func(entry string) (peer.Peer, bool)
	Now     func() time.Time
}

// Client asks the dispatchers for slots and gives them back.
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

// acquirer is what Acquire needs of a dispatcher, local or remote.
type acquirer interface {
	Acquire(context.Context, *peer.AcquireRequest) (*peer.AcquireResponse, error)
}

func (c *Client) dispatcher(pool string) (string, acquirer, bool) {
	owner := Owner(pool, c.options.Members())
	if owner == c.options.EntryID {
		return owner, c.options.Local, true
	}
	client, ok := c.options.Peer(owner)
	return owner, client, ok
}

// Acquire waits for a slot until r.StartBy. The error is a *Refusal, or that
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
	owner, dispatcher, ok := c.dispatcher(r.Pool)
	if !ok {
		return Grant{}, &Refusal{Status: peer.AcquireResponse_NOT_DISPATCHER}
	}
	if owner != c.options.EntryID {
		var cancel context.CancelFunc
		ctx, cancel = peer.WhileOwner(ctx, owner, func() string { return Owner(r.Pool, c.options.Members()) })
		defer cancel()
	}
	// Each call has an id of its own, so that a call that is repeated after a
	// lost answer does not meet its predecessor.
	id := uuid.NewString()
	ask := c.askRemote
	if owner == c.options.EntryID {
		ask = acquirer.Acquire
	}
	answer, err := ask(dispatcher, ctx, &peer.AcquireRequest{
		RequestId:      id,
		Entry:          c.options.EntryID,
		Pool:           r.Pool,
		Service:        r.Service,
		Operation:      r.Operation,
		Team:           r.Team,
		DeclaredMillis: r.Declared.Milliseconds(),
		WaitMillis:     max(1, wait.Milliseconds()),
		Avoid:          r.Avoid,
		Urgent:         r.Urgent,
		Fingerprint:    r.Fingerprint,
		NonRepeatable:  r.NonRepeatable,
	})
	if err != nil {
		if owner != c.options.EntryID {
			// The slot may have been granted and its answer lost.
			c.queue(releaseTarget{dispatcher: owner, pool: r.Pool}, &peer.GrantResult{
				RequestId: id, Result: peer.GrantResult_CANCELLED,
			})
		}
		return Grant{}, errors.Wrapf(err, "ask dispatcher %s", owner)
	}
	if answer.Status != peer.AcquireResponse_GRANTED {
		return Grant{}, &Refusal{
			Status:     answer.Status,
			RetryAfter: time.Duration(answer.RetryAfterMillis) * time.Millisecond,
		}
	}
	grant := Grant{
		ID: answer.Grant, Pool: r.Pool, Service: r.Service, Operation: r.Operation,
		Worker: answer.Worker, Address: answer.Address, Generation: answer.Generation,
		Since: c.options.Now(), dispatcher: owner,
	}
	c.mu.Lock()
	c.held[grant.ID] = grant
	c.mu.Unlock()
	if Owner(r.Pool, c.options.Members()) != owner {
		// The new dispatcher may have asked for the grants in use before the
		// answer arrived, and would grant the slot again.
		c.Release(grant, peer.GrantResult_CANCELLED, 0)
		return Grant{}, &Refusal{Status: peer.AcquireResponse_NOT_DISPATCHER}
	}
	return grant, nil
}

// acquired is what one call of Acquire returned.
type acquired struct {
	call   int
	answer *peer.AcquireResponse
	err    error
}

// askRemote calls a remote dispatcher, and again on another connection when no
// answer comes for a while, because connections can go silent while new ones
// work. The dispatcher knows the request by its id: it keeps its place in the
// queue, and repeats an answer that was lost.
func (c *Client) askRemote(dispatcher acquirer, ctx context.Context, r *peer.AcquireRequest) (*peer.AcquireResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan acquired)
	call := func(n int) {
		answer, err := dispatcher.Acquire(ctx, r)
		select {
		case answers <- acquired{call: n, answer: answer, err: err}:
		case <-ctx.Done():
		}
	}
	latest, wait := 1, askAgainAfter
	go call(latest)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case got := <-answers:
			replaced := got.err != nil || got.answer.Status == peer.AcquireResponse_NOT_DISPATCHER
			if got.call < latest && replaced {
				continue
			}
			return got.answer, got.err
		case <-timer.C:
			latest++
			go call(latest)
			// Long waits are usually those of a long queue.
			wait *= 2
			timer.Reset(wait)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Release gives a grant back and reports how its request went.
func (c *Client) Release(g Grant, result peer.GrantResult_Result, run time.Duration) {
	ended := &peer.GrantResult{
		Grant: g.ID, Worker: g.Worker, Service: g.Service, Operation: g.Operation,
		Result: result, RunMicros: run.Microseconds(),
	}
	c.mu.Lock()
	delete(c.held, g.ID)
	c.mu.Unlock()
	c.queue(releaseTarget{dispatcher: g.dispatcher, pool: g.Pool}, ended)
	if owner := Owner(g.Pool, c.options.Members()); owner != "" && owner != g.dispatcher {
		// A new dispatcher has adopted the grant under the same id.
		c.queue(releaseTarget{dispatcher: owner, pool: g.Pool}, ended)
	}
}

func (c *Client) queue(target releaseTarget, result *peer.GrantResult) {
	c.mu.Lock()
	c.releases[target] = append(c.releases[target], result)
	c.mu.Unlock()
	c.wakeUp()
}

// Held returns the grants of a pool that this entry VM holds.
func (c *Client) Held(pool string) []*peer.GrantInUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	var held []*peer.GrantInUse
	for _, g := range c.held {
		if g.Pool == pool {
			held = append(held, &peer.GrantInUse{
				Grant: g.ID, Worker: g.Worker, Service: g.Service, Operation: g.Operation,
				RunningMillis: now.Sub(g.Since).Milliseconds(),
			})
		}
	}
	return held
}

// Run sends the released grants until ctx ends, and then what is left. Results
// that cannot be delivered are dropped; the dispatcher's reconciliation frees
// their slots.
func (c *Client) Run(ctx context.Context) {
	// A leaving entry VM reports its last results, because the dispatcher
	// keeps the slots of one that falls silent.
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

// takeReleases returns what can be sent now. A target has one batch under way
// at a time, so that a dispatcher that does not answer delays only its own.
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
	for range sendAttempts {
		client, ok := c.options.Peer(batch.target.dispatcher)
		if !ok || c.sendOnce(ctx, client, r) == nil {
			return
		}
	}
}

func (c *Client) sendOnce(ctx context.Context, client peer.Peer, r *peer.ReleaseRequest) error {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	_, err := client.Release(ctx, r)
	return err
}
