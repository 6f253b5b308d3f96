package dispatch

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"dotterelhead.example/dotterelhead/peer"
	"dotterelhead.example/dotterelhead/scheduler/dispatching"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "30")
	goleak.VerifyTestMain(m)
}

// cluster runs several entry VMs in one process over an in-memory transport.
type cluster struct {
	mu      sync.Mutex
	entries map[string]*entry
	workers []dispatching.Worker
	slots   int
	// fault returns how a call fails: "" for no fault; "request" or "answer" when
	// that message is lost; "refused" when the connection is refused; "silent
	// request" or "silent answer" when the connection stops delivering data before
	// that message.
	fault func(from, to, method string) string
	stop  context.CancelFunc
	done  sync.WaitGroup
}

type entry struct {
	*cluster
	id      string
	members []string
	// frozenAt, if set, is the time at which the clock of the entry VM has stopped;
	// its calls hang until it is unset.
	frozenAt time.Time
	server   *Server
	client   *Client
}

func (e *entry) now() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.frozenAt.IsZero() {
		return e.frozenAt
	}
	return time.Now()
}

func newCluster(workers int, slots int, ids ...string) *cluster {
	ctx, stop := context.WithCancel(context.Background())
	c := &cluster{entries: map[string]*entry{}, slots: slots, stop: stop, fault: func(_, _, _ string) string { return "" }}
	c.setWorkers(workers)
	for _, id := range ids {
		e := &entry{cluster: c, id: id, members: ids}
		peers := func(to string) (peer.Peer, bool) { return &link{from: e, to: to}, true }
		members := func() []string {
			c.mu.Lock()
			defer c.mu.Unlock()
			return e.members
		}
		e.server = NewServer(ServerOptions{
			EntryID: id, Members: members, Peer: peers, Now: e.now,
			Workers: func(string) []dispatching.Worker {
				c.mu.Lock()
				defer c.mu.Unlock()
				return c.workers
			},
			NewPool: func(string) *dispatching.Pool {
				return dispatching.NewPool(dispatching.Options{MaxQueue: 1000})
			},
			HeldGrants: func(pool string) []*peer.GrantInUse { return e.client.HeldGrants(pool) },
		})
		e.client = NewClient(ClientOptions{EntryID: id, Local: e.server, Members: members, Peer: peers, Now: e.now})
		c.entries[id] = e
	}
	for _, e := range c.entries {
		c.done.Go(func() { e.server.Run(ctx) })
		c.done.Go(func() { e.client.Run(ctx) })
	}
	return c
}

func (c *cluster) close() {
	c.stop()
	c.done.Wait()
}

// setMembers sets the members that the named entry VMs see; without names, those
// that all of them see.
func (c *cluster) setMembers(members []string, of ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, e := range c.entries {
		if len(of) == 0 || slices.Contains(of, id) {
			e.members = members
		}
	}
}

// setWorkers changes the serving workers to the first n.
func (c *cluster) setWorkers(n int) {
	c.mu.Lock()
	c.workers = nil
	for i := range n {
		c.workers = append(c.workers, dispatching.Worker{ID: fmt.Sprintf("w%d", i), Slots: c.slots})
	}
	c.mu.Unlock()
	for _, e := range c.entries {
		e.server.WorkersChanged()
	}
}

func (c *cluster) freeze(id string, frozen bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[id].frozenAt = time.Time{}
	if frozen {
		c.entries[id].frozenAt = time.Now()
	}
}

func (c *cluster) setFault(fault func(from, to, method string) string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = fault
}

// busy returns the number of slots that an entry VM counts as used in its pools.
func (c *cluster) busy(id string) int64 {
	busy := int64(0)
	for _, d := range c.entries[id].server.Demand() {
		busy += d.Busy
	}
	return busy
}

// link carries the calls of one entry VM to another.
type link struct {
	peer.Peer
	from *entry
	to   string
}

var errLost = errors.New("message lost")

func call[Q, A any](ctx context.Context, l *link, method string, r Q, handle func(*entry, context.Context, Q) (A, error)) (A, error) {
	var none A
	c := l.from.cluster
	c.mu.Lock()
	fault := c.fault(l.from.id, l.to, method)
	to := c.entries[l.to]
	frozen := !to.frozenAt.IsZero() || !l.from.frozenAt.IsZero()
	c.mu.Unlock()
	time.Sleep(time.Millisecond)
	if frozen {
		<-ctx.Done()
		return none, ctx.Err()
	}
	switch fault {
	case "refused":
		return none, errors.Wrap(syscall.ECONNREFUSED, "dial")
	case "request":
		return none, errLost
	case "silent request":
		<-ctx.Done()
		return none, ctx.Err()
	}
	// As with a network connection, a cancellation by the caller reaches the callee
	// later, and an answer that is on its way by then is lost.
	served, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.Sleep(time.Millisecond); cancel() })()
	answer, err := handle(to, served, r)
	time.Sleep(time.Millisecond)
	switch fault {
	case "answer":
		return none, errLost
	case "silent answer":
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return none, ctx.Err()
	}
	return answer, err
}

func (l *link) Acquire(ctx context.Context, r *peer.AcquireRequest) (*peer.AcquireResponse, error) {
	return call(ctx, l, "Acquire", r, func(e *entry, ctx context.Context, r *peer.AcquireRequest) (*peer.AcquireResponse, error) {
		return e.server.Acquire(ctx, r)
	})
}

func (l *link) Release(ctx context.Context, r *peer.ReleaseRequest) (*peer.ReleaseResponse, error) {
	return call(ctx, l, "Release", r, func(e *entry, ctx context.Context, r *peer.ReleaseRequest) (*peer.ReleaseResponse, error) {
		return e.server.Release(ctx, r)
	})
}

func (l *link) GrantsInUse(ctx context.Context, r *peer.GrantsInUseRequest) (*peer.GrantsInUseResponse, error) {
	return call(ctx, l, "GrantsInUse", r, func(e *entry, _ context.Context, r *peer.GrantsInUseRequest) (*peer.GrantsInUseResponse, error) {
		return &peer.GrantsInUseResponse{Grants: e.client.HeldGrants(r.Pool)}, nil
	})
}

func (e *entry) acquire(ctx context.Context, wait time.Duration) (Grant, error) {
	return e.client.Acquire(ctx, Request{Pool: "p", Service: "s", Operation: "GET /", StartBy: time.Now().Add(wait)})
}

func (e *entry) mustAcquire(t *testing.T) Grant {
	t.Helper()
	g, err := e.acquire(t.Context(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

var entryIDs = []string{"a", "b", "c"}

// roles returns the dispatcher of pool "p" among the three entry VMs, the one that
// takes over when the first leaves, and the remaining one.
func roles() (first, second, third string) {
	first = DispatcherOf("p", entryIDs)
	rest := slices.DeleteFunc(slices.Clone(entryIDs), func(id string) bool { return id == first })
	second = DispatcherOf("p", rest)
	third = rest[0]
	if third == second {
		third = rest[1]
	}
	return first, second, third
}

func without(id string) []string {
	return slices.DeleteFunc(slices.Clone(entryIDs), func(member string) bool { return member == id })
}

// run runs a test with three entry VMs in a synctest bubble.
func run(t *testing.T, workers, slots int, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(workers, slots, entryIDs...)
		defer c.close()
		test(t, c)
	})
}

// Guards against a slot that stays taken for seconds when the answer of Acquire is
// lost, or when the caller cancels while the grant is on its way.
func TestLostGrantIsFreedAtOnce(t *testing.T) {
	first, second, _ := roles()
	t.Run("answer lost", func(t *testing.T) {
		run(t, 1, 1, func(t *testing.T, c *cluster) {
			lost := false
			c.setFault(func(_, _, method string) string {
				if method == "Acquire" && !lost {
					lost = true
					return "answer"
				}
				return ""
			})
			started := time.Now()
			c.entries[second].mustAcquire(t)
			if took := time.Since(started); took > 500*time.Millisecond {
				t.Fatalf("second try got the slot after %v", took)
			}
		})
	})
	t.Run("caller cancels", func(t *testing.T) {
		run(t, 1, 1, func(t *testing.T, c *cluster) {
			c.entries[second].client.Release(c.entries[second].mustAcquire(t), peer.GrantResult_OK, 0)
			time.Sleep(time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Microsecond)
			defer cancel()
			if _, err := c.entries[second].acquire(ctx, time.Minute); err == nil {
				t.Fatal("the answer arrived before the cancellation")
			}
			time.Sleep(100 * time.Millisecond)
			if busy := c.busy(first); busy != 0 {
				t.Fatalf("%d slots in use", busy)
			}
		})
	})
}

// Guards against a request that waits until its deadline because the connection to
// its dispatcher stopped delivering data, and against losing its place in the queue
// when the call is repeated.
func TestSilentConnectionToDispatcher(t *testing.T) {
	_, second, third := roles()
	for _, fault := range []string{"silent request", "silent answer"} {
		t.Run(fault, func(t *testing.T) {
			run(t, 1, 1, func(t *testing.T, c *cluster) {
				silent := true
				c.setFault(func(_, _, method string) string {
					if method == "Acquire" && silent {
						silent = false
						return fault
					}
					return ""
				})
				started := time.Now()
				g := c.entries[second].mustAcquire(t)
				if took := time.Since(started); took > 3*time.Second {
					t.Fatalf("slot granted after %v", took)
				}
				order := make(chan string, 2)
				for _, id := range []string{second, third} {
					go func() {
						g := c.entries[id].mustAcquire(t)
						order <- id
						c.entries[id].client.Release(g, peer.GrantResult_OK, 0)
					}()
					time.Sleep(500 * time.Millisecond)
				}
				time.Sleep(10 * time.Second)
				c.entries[second].client.Release(g, peer.GrantResult_OK, 0)
				if first := <-order; first != second {
					t.Fatalf("%s overtook %s", first, second)
				}
				<-order
			})
		})
	}
}

// Guards against counting cancelled requests as failures of a healthy worker, which
// would be ejected in the end.
func TestCancellationsDoNotEjectWorkers(t *testing.T) {
	first, _, _ := roles()
	run(t, 4, 1, func(t *testing.T, c *cluster) {
		e := c.entries[first]
		e.client.Release(e.mustAcquire(t), peer.GrantResult_OK, time.Millisecond)
		owned, _ := e.server.pool("p")
		for i := range 200 {
			// Three requests that are answered occupy three of the four workers, so
			// the cancelled one gets the remaining worker.
			answered := []Grant{e.mustAcquire(t), e.mustAcquire(t), e.mustAcquire(t)}
			r := &peer.AcquireRequest{RequestId: fmt.Sprint("r", i), Pool: "p", Service: "s", WaitMillis: 1000}
			if _, ok := owned.enqueue(time.Now(), r); !ok {
				t.Fatal("not dispatcher")
			}
			owned.mu.Lock()
			owned.cancelRequest(time.Now(), r.RequestId)
			owned.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			for _, g := range answered {
				e.client.Release(g, peer.GrantResult_OK, 10*time.Millisecond)
			}
			synctest.Wait()
		}
		owned.mu.Lock()
		defer owned.mu.Unlock()
		if ejected := owned.state.Ejected(); len(ejected) > 0 {
			t.Fatalf("ejected %v", ejected)
		}
	})
}

// Guards against a new dispatcher that adopts a grant whose release it received
// while it was querying the grants in use.
func TestReleaseDuringAdoption(t *testing.T) {
	first, second, third := roles()
	run(t, 1, 1, func(t *testing.T, c *cluster) {
		e := c.entries[third]
		g := e.mustAcquire(t)
		c.freeze(first, true)
		go func() {
			time.Sleep(300 * time.Millisecond)
			e.client.Release(g, peer.GrantResult_OK, 0)
		}()
		// An unresponsive member makes the takeover last until peerCallTimeout. Its
		// name is lengthened until it is not the dispatcher itself.
		unresponsive := "x"
		for DispatcherOf("p", []string{second, third, unresponsive}) != second {
			unresponsive += "x"
		}
		c.mu.Lock()
		c.entries[unresponsive] = &entry{cluster: c, id: unresponsive, frozenAt: time.Now()}
		c.mu.Unlock()
		c.setMembers([]string{second, third, unresponsive}, second, third)
		started := time.Now()
		e.client.Release(e.mustAcquire(t), peer.GrantResult_OK, 0)
		if took := time.Since(started); took > peerCallTimeout+200*time.Millisecond {
			t.Fatalf("slot granted after %v", took)
		}
		c.mu.Lock()
		delete(c.entries, unresponsive)
		c.mu.Unlock()
		c.setMembers(entryIDs)
	})
}

// Guards against a slot that the old dispatcher granted after the new one had queried
// the grants in use, and that counts as free at the new one for as long as its request
// runs.
func TestGrantsOfFormerDispatcherAreAdopted(t *testing.T) {
	first, second, third := roles()
	run(t, 1, 2, func(t *testing.T, c *cluster) {
		c.setMembers(without(first), second)
		c.entries[second].client.Release(c.entries[second].mustAcquire(t), peer.GrantResult_OK, 0)
		// The third entry VM still uses the old dispatcher.
		c.entries[third].mustAcquire(t)
		c.entries[third].mustAcquire(t)
		c.setMembers(without(first))
		time.Sleep(2*reconcileInterval + time.Second)
		if g, err := c.entries[second].acquire(t.Context(), time.Second); err == nil {
			t.Fatalf("granted %v beyond the slots", g)
		}
	})
}

// Guards against a dispatcher that was frozen and replaced, resumes, and grants
// slots from its outdated state.
func TestFrozenDispatcherQueriesGrantsAgain(t *testing.T) {
	first, second, third := roles()
	run(t, 1, 1, func(t *testing.T, c *cluster) {
		c.entries[third].client.Release(c.entries[third].mustAcquire(t), peer.GrantResult_OK, 0)
		time.Sleep(time.Second)
		c.freeze(first, true)
		time.Sleep(3 * time.Second)
		c.setMembers(without(first), second, third)
		c.entries[third].mustAcquire(t)
		c.setMembers(entryIDs, second, third)
		c.freeze(first, false)
		if g, err := c.entries[first].acquire(t.Context(), time.Second); err == nil {
			t.Fatalf("granted %v beyond the slots", g)
		}
	})
}

// Guards against granting the slots of an unresponsive entry VM again while its
// requests may still run, and against keeping them reserved for longer than that.
func TestSlotsOfUnresponsiveEntryAreHeldUntilDeadline(t *testing.T) {
	first, second, third := roles()
	run(t, 1, 1, func(t *testing.T, c *cluster) {
		if _, err := c.entries[third].acquire(t.Context(), 12*time.Second); err != nil {
			t.Fatal(err)
		}
		c.freeze(third, true)
		time.Sleep(3 * time.Second)
		c.setMembers(without(third), first, second)
		if _, err := c.entries[second].acquire(t.Context(), 7*time.Second); err == nil {
			t.Fatal("granted the slot of a request that may still run")
		}
		if _, err := c.entries[second].acquire(t.Context(), 8*time.Second); err != nil {
			t.Fatalf("the slot is held for too long: %v", err)
		}
	})
}

// Guards against holding the slots of a process that has ended until the deadlines
// of its requests.
func TestSlotsOfDeadEntryAreFreed(t *testing.T) {
	first, second, third := roles()
	run(t, 1, 1, func(t *testing.T, c *cluster) {
		c.entries[third].mustAcquire(t)
		c.setFault(func(_, to, _ string) string {
			if to == third {
				return "refused"
			}
			return ""
		})
		time.Sleep(3 * time.Second)
		c.setMembers(without(third), first, second)
		if _, err := c.entries[second].acquire(t.Context(), 2*reconcileInterval); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a peer client that returns a refused connection as an error in
// which ECONNREFUSED cannot be recognised.
func TestRefusedConnectionIsRecognised(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	clients := peer.NewClients(peer.ClientsOptions{Timeout: time.Second})
	defer clients.Close()
	_, err = clients.Client(listener.Addr().String()).GrantsInUse(t.Context(), &peer.GrantsInUseRequest{})
	if !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatalf("got %v", err)
	}
}

// Guards against an unresponsive entry VM that delays the refusal of requests whose
// deadline has passed.
func TestUnresponsiveEntryDoesNotDelayRefusals(t *testing.T) {
	first, second, third := roles()
	run(t, 1, 1, func(t *testing.T, c *cluster) {
		c.entries[second].mustAcquire(t)
		c.freeze(third, true)
		time.Sleep(reconcileInterval - 500*time.Millisecond)
		for range 20 {
			started := time.Now()
			c.entries[first].acquire(t.Context(), 100*time.Millisecond)
			if took := time.Since(started); took > 200*time.Millisecond {
				t.Fatalf("refused after %v", took)
			}
		}
	})
}

// Guards against requests that wait until their deadline in a pool without any
// worker, and against refusing them during a short gap without workers.
func TestPoolWithoutWorkers(t *testing.T) {
	first, second, _ := roles()
	run(t, 0, 1, func(t *testing.T, c *cluster) {
		for range 2 {
			started := time.Now()
			_, err := c.entries[second].acquire(t.Context(), time.Minute)
			var refusal *Refusal
			if !errors.As(err, &refusal) || refusal.Status != peer.AcquireResponse_NO_WORKER || time.Since(started) > 1500*time.Millisecond {
				t.Fatalf("got %v after %v", err, time.Since(started))
			}
		}
		go func() {
			time.Sleep(500 * time.Millisecond)
			c.setWorkers(1)
		}()
		c.setMembers(without(first))
		c.setMembers(entryIDs)
		time.Sleep(time.Second)
		c.entries[second].mustAcquire(t)
	})
}

// Guards against taking a pool over again after Run has ended, and against releases
// that are lost in a graceful shutdown.
func TestShutdown(t *testing.T) {
	first, second, _ := roles()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 1, entryIDs...)
		g := c.entries[second].mustAcquire(t)
		released := false
		c.setFault(func(_, to, method string) string {
			released = released || method == "Release" && to == first
			return ""
		})
		c.entries[second].client.Release(g, peer.GrantResult_OK, 0)
		c.close()
		if !released {
			t.Error("the release was not sent")
		}
		answer, err := c.entries[first].server.Acquire(t.Context(), &peer.AcquireRequest{RequestId: "late", Pool: "p", WaitMillis: 1000})
		if err != nil || answer.Status != peer.AcquireResponse_NOT_DISPATCHER {
			t.Errorf("got %v, %v", answer, err)
		}
	})
}

// Guards against slots that are granted twice, slots that are never freed and calls
// that never return, under lost messages, cancellations, frozen entry VMs and
// memberships that differ between entry VMs.
func TestSlotsAreGrantedOnceAndFreed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		changes := rapid.IntRange(0, 2).Draw(rt, "changes")
		percent := rapid.IntRange(0, 15).Draw(rt, "lost percent")
		synctest.Test(t, func(t *testing.T) { checkSlots(t, rt, seed, changes, percent) })
	})
}

func checkSlots(t *testing.T, rt *rapid.T, seed uint64, changes, percent int) {
	const slots = 2
	rng := rand.New(rand.NewPCG(seed, 1))
	c := newCluster(2, slots, entryIDs...)
	defer c.close()
	losses := rand.New(rand.NewPCG(seed, 2))
	c.setFault(func(_, _, method string) string {
		// A new dispatcher cannot count the grants of an entry VM that it cannot
		// reach; see takeOver.
		if losses.IntN(100) >= percent || method == "GrantsInUse" && changes > 0 {
			return ""
		}
		return []string{"request", "answer"}[losses.IntN(2)]
	})
	var mu sync.Mutex
	var lastOverlap time.Time
	running, ended := map[string]int{}, 0
	var callers sync.WaitGroup
	// overlapTolerance is how long after two entry VMs both considered themselves the
	// dispatcher a worker may still run more requests than it has slots; by then,
	// reconciliation has adopted all grants.
	overlapTolerance := 2*reconcileInterval + peerCallTimeout
	caller := func(e *entry, start, runTime, timeout time.Duration) {
		time.Sleep(start)
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		g, err := e.acquire(ctx, time.Minute)
		mu.Lock()
		ended++
		if err != nil {
			mu.Unlock()
			return
		}
		if running[g.Worker]++; running[g.Worker] > slots && (lastOverlap.IsZero() || time.Since(lastOverlap) > overlapTolerance) {
			rt.Errorf("%d requests on %d slots of %s, %v after the last change", running[g.Worker], slots, g.Worker, time.Since(lastOverlap))
		}
		mu.Unlock()
		time.Sleep(runTime)
		mu.Lock()
		running[g.Worker]--
		mu.Unlock()
		e.client.Release(g, peer.GrantResult_OK, runTime)
	}
	const requests = 120
	for range requests {
		e := c.entries[entryIDs[rng.IntN(3)]]
		milliseconds := func(n int) time.Duration { return time.Duration(rng.IntN(n)) * time.Millisecond }
		start, runTime, timeout := milliseconds(30000), milliseconds(1000), milliseconds(8000)
		if rng.IntN(10) == 0 {
			runTime *= 15
		}
		callers.Go(func() { caller(e, start, runTime, timeout) })
	}
	for range changes {
		time.Sleep(time.Duration(rng.IntN(5000)) * time.Millisecond)
		gone := entryIDs[rng.IntN(3)]
		recordOverlap := func() { mu.Lock(); lastOverlap = time.Now(); mu.Unlock() }
		recordOverlap()
		freeze := rng.IntN(2) == 0
		if freeze {
			c.freeze(gone, true)
			time.Sleep(3 * time.Second)
			recordOverlap()
		}
		for _, id := range without(gone) {
			c.setMembers(without(gone), id)
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
			recordOverlap()
		}
		time.Sleep(time.Second)
		c.freeze(gone, false)
		recordOverlap()
		c.setMembers(entryIDs)
		recordOverlap()
	}
	for i := range 10 {
		// The second worker leaves and returns while slots are granted.
		c.setWorkers(2 - i%2)
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
	}
	callers.Wait()
	if ended != requests {
		rt.Errorf("%d of %d calls of Acquire ended", ended, requests)
	}
	c.setFault(func(_, _, _ string) string { return "" })
	time.Sleep(5 * reconcileInterval)
	for id := range c.entries {
		if busy := c.busy(id); busy != 0 {
			rt.Errorf("%d slots lost at %s", busy, id)
		}
	}
}
