package claims

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dotterelhead.example/dotterelhead/peer"
)

// entryVM is an owner with its client.
type entryVM struct {
	*Owner
	client *Client
	stop   func()
}

// region is a set of entry VMs that share a store and can call each other.
type region struct {
	t       *testing.T
	store   *memoryStore
	mu      sync.Mutex
	members []string
	entries map[string]*entryVM
}

func newRegion(t *testing.T, store *memoryStore, members ...string) *region {
	r := &region{t: t, store: store, members: members, entries: map[string]*entryVM{}}
	for _, id := range members {
		r.start(id)
	}
	return r
}

func (r *region) stop() {
	for _, e := range r.entries {
		e.stop()
	}
}

// ownerPeer is a peer connection that calls another owner of the test directly.
type ownerPeer struct {
	peer.Peer
	*Owner
}

func (p ownerPeer) Reserve(ctx context.Context, m *peer.ReserveRequest) (*peer.ReserveResponse, error) {
	return p.Owner.Reserve(ctx, m)
}
func (p ownerPeer) Claim(ctx context.Context, m *peer.ClaimRequest) (*peer.ClaimResponse, error) {
	return p.Owner.Claim(ctx, m)
}
func (p ownerPeer) Finish(ctx context.Context, m *peer.FinishRequest) (*peer.FinishResponse, error) {
	return p.Owner.Finish(ctx, m)
}
func (p ownerPeer) Await(ctx context.Context, m *peer.AwaitRequest) (*peer.AwaitResponse, error) {
	return p.Owner.Await(ctx, m)
}

func attemptOn(name, attempt string) Attempt {
	return Attempt{ID: attempt, KeyHash: KeyHash("orders", name), Fingerprint: Fingerprint("POST", "/"+name, nil, "")}
}

func (r *region) expect(want peer.KeyState) func(Result, error) Result {
	return func(got Result, err error) Result {
		r.t.Helper()
		if err != nil || got.State != want {
			r.t.Fatalf("got %s and error %v, want %s", got.State, err, want)
		}
		return got
	}
}

// start runs an owner and registers it; its stop function ends it.
func (r *region) start(id string) {
	owner := NewOwner(OwnerOptions{
		Store: r.store, Region: "north", EntryID: id,
		Owned: func(shard int) bool { return ShardOwner(shard, r.live()) == id },
		// With the default, the simulated days of these tests would take long.
		OwnershipInterval: time.Minute,
	})
	ctx, cancel := context.WithCancel(r.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := owner.Run(ctx); !errors.Is(err, context.Canceled) {
			r.t.Errorf("run %s: %v", id, err)
		}
	}()
	client := NewClient(ClientOptions{
		Local: owner, EntryID: id, Members: r.live,
		Peer: func(other string) (peer.Peer, bool) {
			r.mu.Lock()
			defer r.mu.Unlock()
			e, ok := r.entries[other]
			if !ok {
				return nil, false
			}
			return ownerPeer{Owner: e.Owner}, true
		},
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[id] = &entryVM{Owner: owner, client: client, stop: func() { cancel(); <-done }}
}

func (r *region) live() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.members)
}

// setMembers replaces the members.
func (r *region) setMembers(members ...string) {
	r.mu.Lock()
	r.members = members
	entries := maps.Clone(r.entries)
	r.mu.Unlock()
	for _, e := range entries {
		wakeUp(e.Owner.wakeup)
	}
}

func (r *region) client(n int) *Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries[r.members[n%len(r.members)]].client
}

// Guards against a repeated request that runs again, or gets no answer, at any entry
// VM.
func TestRepeatGetsTheFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t, newMemoryStore(1), "a", "b", "c")
		defer r.stop()
		ctx, a, b := t.Context(), r.client(0), r.client(1)
		for n := range 20 {
			on := func(attempt string) Attempt { return attemptOn(fmt.Sprint("key", n), fmt.Sprint(attempt, n)) }
			r.expect(peer.KeyState_RESERVED)(a.Reserve(ctx, on("first")))
			r.expect(peer.KeyState_IN_PROGRESS)(b.Reserve(ctx, on("second")))
			r.expect(peer.KeyState_CLAIMED)(a.Claim(ctx, on("first")))
			time.AfterFunc(15*time.Second, func() {
				r.finish(a, on("first"), peer.KeyState_ANSWERED, []byte("made"))
			})
			if got := r.expect(peer.KeyState_ANSWERED)(b.Await(ctx, on("second"))); string(got.Answer.GetBody()) != "made" {
				t.Fatalf("the waiter got %v", got.Answer)
			}
			r.expect(peer.KeyState_ANSWERED)(b.Reserve(ctx, on("third")))
		}
		time.Sleep(11 * time.Minute)
		r.expect(peer.KeyState_FINISHED)(b.Reserve(ctx, attemptOn("key0", "third")))
		time.Sleep(25 * time.Hour)
		r.expect(peer.KeyState_RESERVED)(b.Reserve(ctx, attemptOn("key0", "third")))
	})
}

func (r *region) finish(c *Client, a Attempt, state peer.KeyState, body []byte) {
	if err := c.Finish(r.t.Context(), a, state, &peer.KeptAnswer{Status: 201, Body: body}); err != nil {
		r.t.Error(err)
	}
}

// Guards against keeping answers above the size limit, and against losing the
// outcomes of finished attempts at a shutdown.
func TestHandoverKeepsOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t, newMemoryStore(1), "a", "b")
		defer r.stop()
		a, b := r.client(0), r.client(1)
		for n := range 40 {
			attempt := attemptOn(fmt.Sprint("key", n), "first")
			r.expect(peer.KeyState_CLAIMED)(a.Claim(t.Context(), attempt))
			r.finish(a, attempt, peer.KeyState_ANSWERED, make([]byte, 70<<10))
			r.expect(peer.KeyState_FINISHED)(a.Reserve(t.Context(), attemptOn(fmt.Sprint("key", n), "second")))
		}
		if err := r.entries["a"].Handover(t.Context()); err != nil {
			t.Fatal(err)
		}
		r.setMembers("b")
		for n := range 40 {
			r.expect(peer.KeyState_FINISHED)(b.Reserve(t.Context(), attemptOn(fmt.Sprint("key", n), "third")))
		}
	})
}

// Guards against callers that have to wait, or get a wrong state, while the store is
// down or hangs.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore(1)
		r := newRegion(t, store, "a", "b")
		defer r.stop()
		ctx, a := t.Context(), r.client(0)
		known := attemptOn("known", "first")
		known.Timeout = 10 * time.Minute
		r.expect(peer.KeyState_CLAIMED)(a.Claim(ctx, known))
		for n, fault := range []func(*memoryStore){
			func(m *memoryStore) { m.down = true },
			func(m *memoryStore) { m.hang = true },
		} {
			store.set(fault)
			for i := range 60 {
				begun := time.Now()
				attempt := attemptOn(fmt.Sprint("key", n, i%3), fmt.Sprint("t", n, i))
				got, err := a.Reserve(ctx, attempt)
				if err == nil && got.State == peer.KeyState_RESERVED {
					got, err = a.Claim(ctx, attempt)
				}
				r.expect(peer.KeyState_STORE_UNAVAILABLE)(got, err)
				if waited := time.Since(begun); waited > time.Second || i > 3 && waited > 0 {
					t.Fatalf("attempt %d waited %v", i, waited)
				}
				r.expect(peer.KeyState_IN_PROGRESS)(a.Reserve(ctx, attemptOn("known", "second")))
				time.Sleep(time.Second)
			}
			store.set(func(m *memoryStore) { m.down, m.hang = false, false })
			time.Sleep(3 * time.Second)
			attempt := attemptOn(fmt.Sprint("key", n, 0), fmt.Sprint("after", n))
			r.expect(peer.KeyState_RESERVED)(a.Reserve(ctx, attempt))
			r.expect(peer.KeyState_CLAIMED)(a.Claim(ctx, attempt))
		}
	})
}

// Guards against a single claim that waits for others to share its write, and
// against a separate write for every claim.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore(1)
		r := newRegion(t, store, "a")
		defer r.stop()
		r.expect(peer.KeyState_CLAIMED)(r.client(0).Claim(t.Context(), attemptOn("warm", "up")))
		time.Sleep(5 * time.Second)
		store.set(func(m *memoryStore) { m.writes = 0; m.delay = time.Millisecond })
		begun := time.Now()
		r.expect(peer.KeyState_CLAIMED)(r.client(0).Claim(t.Context(), attemptOn("lone", "claim")))
		if waited := time.Since(begun); waited > 3*time.Millisecond {
			t.Errorf("a single claim took %v", waited)
		}
		var claims sync.WaitGroup
		for n := range 2000 {
			claims.Go(func() {
				r.expect(peer.KeyState_CLAIMED)(r.client(0).Claim(t.Context(), attemptOn(fmt.Sprint("key", n), "t")))
			})
		}
		claims.Wait()
		if store.writes > 100 || time.Since(begun) > 3*time.Second {
			t.Errorf("2000 claims took %d writes and %v", store.writes, time.Since(begun))
		}
	})
}

// Guards against shards that move although their owner is still a member, and
// against shards that are spread unevenly.
func TestShardsMoveOnlyFromLeavingMembers(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	owned := map[string]int{}
	for shard := range 1000 {
		before := ShardOwner(shard, members)
		owned[before]++
		if after := ShardOwner(shard, members[1:]); before != "a" && after != before {
			t.Errorf("shard %d moved from %s to %s", shard, before, after)
		}
	}
	for _, member := range members {
		if owned[member] < 80 || owned[member] > 170 {
			t.Errorf("%s owns %d of 1000 shards", member, owned[member])
		}
	}
}

// Guards against messages that lose a field on the wire, and against a failed call
// whose result looks like RESERVED, which would let the attempt proceed.
func TestClientOverNetwork(t *testing.T) {
	r := newRegion(t, newMemoryStore(1), "a")
	server := httptest.NewServer(peer.NewPeerServer(ownerPeer{Owner: r.entries["a"].Owner}))
	remote := peer.NewPeerProtobufClient(server.URL, server.Client())
	client := NewClient(ClientOptions{
		EntryID: "b", Members: func() []string { return []string{"a"} }, AwaitCallTimeout: 50 * time.Millisecond,
		Peer: func(string) (peer.Peer, bool) { return remote, true },
	})
	first, second := attemptOn("key", "first"), attemptOn("key", "second")
	r.expect(peer.KeyState_RESERVED)(client.Reserve(t.Context(), first))
	r.expect(peer.KeyState_IN_PROGRESS)(client.Reserve(t.Context(), second))
	r.expect(peer.KeyState_CLAIMED)(client.Claim(t.Context(), first))
	time.AfterFunc(100*time.Millisecond, func() { r.finish(client, first, peer.KeyState_ANSWERED, []byte("made")) })
	if got := r.expect(peer.KeyState_ANSWERED)(client.Await(t.Context(), second)); string(got.Answer.GetBody()) != "made" {
		t.Errorf("the waiter got %v", got.Answer)
	}
	other := second
	other.Fingerprint = Fingerprint("PUT", "/key", nil, "")
	r.expect(peer.KeyState_MISMATCH)(client.Await(t.Context(), other))
	r.stop()
	if err := client.Finish(t.Context(), first, peer.KeyState_NOT_RUN, nil); !errors.Is(err, ErrNoOwner) {
		t.Errorf("finish at a stopped owner: %v", err)
	}
	server.Close()
	if got, err := client.Reserve(t.Context(), second); err == nil || got.State != peer.KeyState_NOT_OWNER {
		t.Errorf("got %s and error %v from a closed server", got.State, err)
	}
}
