package claims

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/peer"
)

// ErrNoOwner reports that the owner of the key's shard could not be reached, or that
// the entry VM that should own the shard did not serve it for the whole RetryWindow.
var ErrNoOwner = errors.New("no owner found for the shard")

// ClientOptions configures a Client.
type ClientOptions struct {
	// Local is the owner that runs on this entry VM.
	Local   *Owner
	EntryID string
	// Peer returns the connection to another entry VM.
	Peer func(entryID string) (peer.Peer, bool)
	// Members returns the live members, this entry VM included.
	Members func() []string
	// Shards defaults to DefaultShards.
	Shards int
	// RetryPause is the pause before a call is repeated at the same entry VM,
	// which may not have noticed yet that it is the owner; default 50 ms.
	RetryPause time.Duration
	// RetryWindow bounds how long calls are repeated; default 5 s, which is longer
	// than the 3 s after which the shards of an unresponsive entry VM get another
	// owner.
	RetryWindow time.Duration
	// AwaitCallTimeout bounds one Await call to a peer; default 10 s. The timeout of
	// calls to peers must be longer.
	AwaitCallTimeout time.Duration
}

// Attempt is one try to execute the request of a key.
type Attempt struct {
	// ID is unique among all attempts of all entry VMs.
	ID          string
	KeyHash     []byte
	Fingerprint []byte
	// Timeout is how long the owner waits for Finish before it ends the attempt; it
	// is derived from the caller's deadline. 0 means the owner's default.
	Timeout time.Duration
}

// Result is the owner's reply about a key.
type Result struct {
	State peer.KeyState
	// Answer is set with the state ANSWERED. It is shared and must not be changed.
	Answer *peer.KeptAnswer
}

// Client sends attempts to the owners of their keys. An attempt takes these steps:
//
//  1. Reserve announces the attempt. If it returns IN_PROGRESS, another attempt on the
//     key came first. Await then returns the outcome of that one, and this attempt
//     ends.
//  2. Claim records that the request is about to be sent. It is called once a slot on
//     a worker has been acquired (see package dispatch).
//  3. After the request has been sent, Finish reports its outcome.
//
// A request may be sent only after Claim returned CLAIMED. After any other
// outcome, an error included, the attempt must not be sent, now or later. After
// an error of Reserve or Claim the caller ends the attempt with Finish and
// NOT_RUN: the reservation or the claim may have been made.
type Client struct {
	options ClientOptions
}

// NewClient returns a client.
func NewClient(options ClientOptions) *Client {
	if options.Shards == 0 {
		options.Shards = DefaultShards
	}
	if options.RetryPause == 0 {
		options.RetryPause = 50 * time.Millisecond
	}
	if options.RetryWindow == 0 {
		options.RetryWindow = 5 * time.Second
	}
	if options.AwaitCallTimeout == 0 {
		options.AwaitCallTimeout = 10 * time.Second
	}
	return &Client{options: options}
}

// ownerAPI is the part of peer.Peer that owners serve.
type ownerAPI interface {
	Reserve(context.Context, *peer.ReserveRequest) (*peer.ReserveResponse, error)
	Claim(context.Context, *peer.ClaimRequest) (*peer.ClaimResponse, error)
	Finish(context.Context, *peer.FinishRequest) (*peer.FinishResponse, error)
	Await(context.Context, *peer.AwaitRequest) (*peer.AwaitResponse, error)
}

// Reserve announces an attempt. RESERVED means that it may proceed; IN_PROGRESS
// means that another attempt came first, which Await waits for; any other state
// ends the attempt.
func (c *Client) Reserve(ctx context.Context, attempt Attempt) (Result, error) {
	request := &peer.ReserveRequest{
		KeyHash: attempt.KeyHash, Fingerprint: attempt.Fingerprint, Attempt: attempt.ID,
		Entry: c.options.EntryID, HoldMillis: attempt.Timeout.Milliseconds(),
	}
	return c.callWithRetry(ctx, attempt.KeyHash, func(ctx context.Context, owner ownerAPI) (Result, error) {
		response, err := owner.Reserve(ctx, request)
		return Result{State: response.GetState(), Answer: response.GetAnswer()}, err
	})
}

// Claim records that the attempt is about to be sent. Besides the states that
// end the attempt it may return IN_PROGRESS, when the shard has a new owner and
// another attempt reserved the key there first; the attempt may then Await it.
func (c *Client) Claim(ctx context.Context, attempt Attempt) (Result, error) {
	request := &peer.ClaimRequest{
		KeyHash: attempt.KeyHash, Fingerprint: attempt.Fingerprint, Attempt: attempt.ID,
		Entry: c.options.EntryID, HoldMillis: attempt.Timeout.Milliseconds(),
	}
	return c.callWithRetry(ctx, attempt.KeyHash, func(ctx context.Context, owner ownerAPI) (Result, error) {
		response, err := owner.Claim(ctx, request)
		return Result{State: response.GetState(), Answer: response.GetAnswer()}, err
	})
}

// Finish ends an attempt with one of these states: NOT_RUN when it was not sent,
// ANSWERED with its answer, FINISHED when it was answered but the answer is not to
// be kept, UNKNOWN when it may have run. If Finish fails for an attempt that was
// granted the key, later attempts on the key get UNKNOWN until its record expires; at
// the same owner, they get IN_PROGRESS until the attempt times out.
func (c *Client) Finish(ctx context.Context, attempt Attempt, state peer.KeyState, answer *peer.KeptAnswer) error {
	request := &peer.FinishRequest{KeyHash: attempt.KeyHash, Attempt: attempt.ID, State: state, Answer: answer}
	result, err := c.callWithRetry(ctx, attempt.KeyHash, func(ctx context.Context, owner ownerAPI) (Result, error) {
		response, err := owner.Finish(ctx, request)
		if response.GetNotOwner() {
			return Result{State: peer.KeyState_NOT_OWNER}, err
		}
		return Result{State: state}, err
	})
	if err == nil && result.State == peer.KeyState_NOT_OWNER {
		return ErrNoOwner
	}
	return err
}

// Await waits until the attempt that came first has ended, and returns its outcome.
// NOT_RUN means that neither the first attempt nor this one ran.
func (c *Client) Await(ctx context.Context, attempt Attempt) (Result, error) {
	request := &peer.AwaitRequest{
		KeyHash: attempt.KeyHash, Attempt: attempt.ID, WaitMillis: c.options.AwaitCallTimeout.Milliseconds(),
		Fingerprint: attempt.Fingerprint,
	}
	for {
		result, err := c.callWithRetry(ctx, attempt.KeyHash, func(ctx context.Context, owner ownerAPI) (Result, error) {
			response, err := owner.Await(ctx, request)
			return Result{State: response.GetState(), Answer: response.GetAnswer()}, err
		})
		if err != nil || result.State != peer.KeyState_IN_PROGRESS {
			return result, err
		}
		if err := ctx.Err(); err != nil {
			return result, errors.Wrap(err, "await")
		}
	}
}

// callWithRetry calls the owner of a key. After NOT_OWNER or an error it repeats the
// call at the owner according to the members at that time. Repeating a call is safe
// because the owner recognises the attempt.
func (c *Client) callWithRetry(ctx context.Context, keyHash []byte, call func(context.Context, ownerAPI) (Result, error)) (Result, error) {
	for until := time.Now().Add(c.options.RetryWindow); ; {
		owner := c.ownerOf(keyHash)
		result, err := c.callOwner(ctx, keyHash, owner, call)
		if err == nil && result.State != peer.KeyState_NOT_OWNER || ctx.Err() != nil || time.Now().After(until) {
			return result, err
		}
		if c.ownerOf(keyHash) == owner && sleep(ctx, c.options.RetryPause) != nil {
			return result, err
		}
	}
}

func (c *Client) ownerOf(keyHash []byte) string {
	return ShardOwner(ShardOf(keyHash, c.options.Shards), c.options.Members())
}

func (c *Client) callOwner(ctx context.Context, keyHash []byte, entryID string, call func(context.Context, ownerAPI) (Result, error)) (Result, error) {
	var owner ownerAPI = c.options.Local
	if entryID != c.options.EntryID || c.options.Local == nil {
		remote, ok := c.options.Peer(entryID)
		if !ok {
			return Result{State: peer.KeyState_NOT_OWNER}, errors.Wrapf(ErrNoOwner, "entry VM %q", entryID)
		}
		var cancel context.CancelFunc
		ctx, cancel = peer.WithOwnerCheck(ctx, entryID, func() string { return c.ownerOf(keyHash) })
		defer cancel()
		owner = remote
	}
	result, err := call(ctx, owner)
	if err != nil {
		// The zero value of the state is RESERVED, which would let the attempt
		// proceed.
		return Result{State: peer.KeyState_NOT_OWNER}, errors.Wrapf(err, "call owner %s", entryID)
	}
	return result, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
