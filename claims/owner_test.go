package claims

import (
	"context"
	"errors"
	"fmt"
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

// region is a set of entry VMs over one store that know each other.
type region struct {
	t       *testing.T
	store   *memoryStore
	members []string
	entries map[string]*entryVM
}

func newRegion(t *testing.T, store *memoryStore, members ...string) *region {
	r := &region{t: t, store: store, members: members, entries: map[string]*entryVM{}}
	for _, id := range members {
		owner := NewOwner(OwnerOptions{
			Store: store, Region: "north", EntryID: id,
			Owned: func(shard int) bool { return ShardOwner(shard, members) == id },
			// Simulated days would take long with the default.
			OwnershipInterval: time.Minute,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			if err := owner.Run(ctx); !errors.Is(err, context.Canceled) {
				t.Errorf("run %s: %v", id, err)
			}
		}()
		client := NewClient(ClientOptions{
			Local: owner, EntryID: id,
			Members: func() []string { return members },
			Peer:    func(other string) (peer.Peer, bool) { return ownerPeer{Owner: r.entries[other].Owner}, true },
		})
		r.entries[id] = &entryVM{Owner: owner, client: client, stop: func() { cancel(); <-done }}
	}
	return r
}

func (r *region) stop() {
	for _, e := range r.entries {
		e.stop()
	}
}

// ownerPeer is the connection to another owner of the test.
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

// Guards against a repeat that runs again, or gets no answer, at any entry VM.
func TestRepeatGetsTheFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t, newMemoryStore(1), "a", "b", "c")
		defer r.stop()
		ctx := t.Context()
		for n := range 20 {
			first, repeat := attemptOn(fmt.Sprint("key", n), fmt.Sprint("first", n)), attemptOn(fmt.Sprint("key", n), fmt.Sprint("second", n))
			a, b := r.entries["a"].client, r.entries["b"].client
			r.expect(peer.KeyState_RESERVED)(a.Reserve(ctx, first))
			r.expect(peer.KeyState_IN_PROGRESS)(b.Reserve(ctx, repeat))
			r.expect(peer.KeyState_CLAIMED)(a.Claim(ctx, first))
			answer := &peer.KeptAnswer{Status: 201, Body: []byte("made")}
			time.AfterFunc(15*time.Second, func() {
				if err := a.Finish(ctx, first, peer.KeyState_ANSWERED, answer); err != nil {
					t.Error(err)
				}
			})
			if got := r.expect(peer.KeyState_ANSWERED)(b.Await(ctx, repeat)); got.Answer.GetStatus() != 201 {
				t.Fatalf("the waiter got %v", got.Answer)
			}
			late := attemptOn(fmt.Sprint("key", n), fmt.Sprint("third", n))
			r.expect(peer.KeyState_ANSWERED)(b.Reserve(ctx, late))
			time.Sleep(11 * time.Minute)
			r.expect(peer.KeyState_FINISHED)(b.Reserve(ctx, late))
			time.Sleep(25 * time.Hour)
			r.expect(peer.KeyState_RESERVED)(b.Reserve(ctx, late))
		}
	})
}
