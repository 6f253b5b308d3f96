package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"dotterelhead.example/dotterelhead/peer"
)

// Guards against executing a key twice: each of 10,000 keys is sent through two or
// three of eight entry VMs at once, while 5% of the store's responses are lost.
func TestTenThousandKeysRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore(7)
		r := newRegion(t, store, "a", "b", "c", "d", "e", "f", "g", "h")
		defer r.stop()
		time.Sleep(time.Second)
		store.set(func(m *memoryStore) { m.lost, m.delay, m.writes, m.reads = 0.05, 2*time.Millisecond, 0, 0 })
		random := rand.New(rand.NewPCG(7, 7))
		executions := make([]atomic.Int32, 10000)
		outcomes := map[peer.KeyState]int{}
		var mu sync.Mutex
		var callers sync.WaitGroup
		begun := time.Now()
		for n := range executions {
			start, first := time.Duration(random.Int64N(int64(20*time.Second))), random.IntN(8)
			for copyOf := range 2 + random.IntN(2) {
				callers.Go(func() {
					time.Sleep(start)
					attempt := attemptOn(fmt.Sprint("key", n), fmt.Sprint("t", n, ".", copyOf))
					state := r.execute(r.client(first+copyOf), attempt, func() { executions[n].Add(1) })
					mu.Lock()
					defer mu.Unlock()
					outcomes[state]++
				})
			}
		}
		callers.Wait()
		executedTwice, notExecuted := 0, 0
		for n := range executions {
			switch executions[n].Load() {
			case 0:
				notExecuted++
			case 1:
			default:
				executedTwice++
			}
		}
		t.Logf("10000 keys: %d doubled, %d not run; outcomes %v; %d store writes and %d reads in %v",
			executedTwice, notExecuted, outcomes, store.writes, store.reads, time.Since(begun))
		if executedTwice > 0 {
			t.Errorf("%d keys ran more than once", executedTwice)
		}
		if notExecuted > 500 {
			t.Errorf("%d keys did not run", notExecuted)
		}
	})
}

// execute handles an attempt as the ingress does and returns its outcome; CLAIMED
// means that the attempt itself ran.
func (r *region) execute(c *Client, attempt Attempt, run func()) peer.KeyState {
	ctx := r.t.Context()
	got, err := c.Reserve(ctx, attempt)
	if err == nil && got.State == peer.KeyState_IN_PROGRESS {
		got, err = c.Await(ctx, attempt)
	}
	if err == nil && got.State == peer.KeyState_RESERVED {
		got, err = c.Claim(ctx, attempt)
	}
	if err == nil && got.State == peer.KeyState_CLAIMED {
		run()
		time.Sleep(20 * time.Millisecond)
		r.finish(c, attempt, peer.KeyState_ANSWERED, []byte(attempt.ID))
	}
	if err != nil {
		r.t.Error(err)
	}
	return got.State
}

// claimOp is one call in a history: a Claim, or with notRun a Finish with NOT_RUN.
// Histories are partitioned by key.
type claimOp struct {
	key, attempt string
	notRun       bool
}

// claimState is the state of a key as callers observe it.
type claimState struct {
	holder string
	// uncertain is set when a record may exist without a holder: a claim had an
	// uncertain outcome, or a Finish with NOT_RUN was lost with its owner.
	uncertain bool
}

// claimModel specifies that a key is granted to only one attempt until that attempt
// finishes with NOT_RUN, and that UNKNOWN is returned only if the key may have been
// claimed.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(claimOp).key
			byKey[k] = append(byKey[k], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return claimState{} },
	Step: func(state, in, out any) (bool, any) {
		s, op := state.(claimState), in.(claimOp)
		if op.notRun {
			return s.holder == op.attempt, claimState{uncertain: true}
		}
		switch out.(peer.KeyState) {
		case peer.KeyState_CLAIMED:
			return s.holder == "", claimState{holder: op.attempt, uncertain: s.uncertain}
		case peer.KeyState_ANSWERED, peer.KeyState_FINISHED:
			return s.holder != "", s
		case peer.KeyState_UNKNOWN:
			return s.holder != "" || s.uncertain, s
		case peer.KeyState_STORE_UNAVAILABLE, peer.KeyState_NOT_OWNER:
			s.uncertain = true
		}
		return true, s
	},
}

// Guards against histories that are not linearizable, while owners are killed and
// replaced, responses of the store are lost and the store is unavailable.
func TestClaimHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore(3)
		r := newRegion(t, store, "a", "b", "c")
		store.set(func(m *memoryStore) { m.lost, m.delay = 0.1, 2*time.Millisecond })
		var clock atomic.Int64
		var mu sync.Mutex
		var history []porcupine.Operation
		counts := map[peer.KeyState]int{}
		record := func(client int, in claimOp, call int64, out peer.KeyState) {
			mu.Lock()
			defer mu.Unlock()
			history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: clock.Add(1)})
			counts[out]++
		}
		var clients sync.WaitGroup
		for client := range 8 {
			random := rand.New(rand.NewPCG(3, uint64(client)))
			clients.Go(func() {
				for n := range 100 {
					op := claimOp{key: fmt.Sprint("key", n/2), attempt: fmt.Sprint("t", client, ".", n)}
					attempt := attemptOn(op.key, op.attempt)
					call := clock.Add(1)
					got, err := r.client(client).Claim(t.Context(), attempt)
					if err != nil {
						got.State = peer.KeyState_NOT_OWNER
					}
					record(client, op, call, got.State)
					time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
					if err == nil && got.State != peer.KeyState_CLAIMED {
						continue
					}
					if err == nil && random.IntN(3) == 0 {
						_ = r.client(client).Finish(t.Context(), attempt, peer.KeyState_FINISHED, nil)
						continue
					}
					call = clock.Add(1)
					_ = r.client(client).Finish(t.Context(), attempt, peer.KeyState_NOT_RUN, nil)
					if got.State == peer.KeyState_CLAIMED {
						op.notRun = true
						record(client, op, call, peer.KeyState_NOT_RUN)
					}
				}
			})
		}
		for n := range 6 {
			time.Sleep(700 * time.Millisecond)
			r.setMembers([][]string{{"a", "b"}, {"b", "c", "a"}, {"c"}}[n%3]...)
			if n%3 == 2 {
				store.set(func(m *memoryStore) { m.down = true })
				time.Sleep(300 * time.Millisecond)
				store.set(func(m *memoryStore) { m.down = false })
				r.entries["a"].stop()
				r.start("a")
			}
		}
		clients.Wait()
		r.stop()
		t.Logf("%d calls: %v", len(history), counts)
		if counts[peer.KeyState_CLAIMED] < 50 {
			t.Errorf("too few grants: %v", counts)
		}
		if !porcupine.CheckOperations(claimModel, history) {
			t.Error("the history is not linearizable")
		}
	})
}

// BenchmarkClaims measures Reserve, Claim and Finish at one owner, with the default
// limit of batches per second and without a limit.
func BenchmarkClaims(b *testing.B) {
	for name, batches := range map[string]float64{"batches=20": 20, "batches=unbounded": 1e9} {
		b.Run(name, func(b *testing.B) {
			store := newMemoryStore(1)
			owner := NewOwner(OwnerOptions{
				Store: store, Region: "north", EntryID: "a", Shards: 2, WritesPerSecond: batches,
				Owned: func(int) bool { return true },
			})
			ctx, cancel := context.WithCancel(b.Context())
			done := make(chan struct{})
			go func() { defer close(done); _ = owner.Run(ctx) }()
			client := NewClient(ClientOptions{Local: owner, EntryID: "a", Shards: 2, Members: func() []string { return []string{"a"} }})
			var next atomic.Int64
			b.SetParallelism(2000 / runtime.GOMAXPROCS(0))
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					n := next.Add(1)
					attempt := attemptOn(fmt.Sprint("key", n), fmt.Sprint("t", n))
					_, _ = client.Reserve(ctx, attempt)
					if got, err := client.Claim(ctx, attempt); err != nil || got.State != peer.KeyState_CLAIMED {
						b.Errorf("%v %v", got.State, err)
						return
					}
					_ = client.Finish(ctx, attempt, peer.KeyState_FINISHED, nil)
				}
			})
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(float64(store.writes)/float64(b.N), "writes/claim")
			cancel()
			<-done
		})
	}
}

// BenchmarkRememberedKeys measures the memory that the record of a key takes.
func BenchmarkRememberedKeys(b *testing.B) {
	for range b.N {
		sim := newSimulation(defaultLimits(), "a")
		n := sim.nodes[0]
		sim.step(n, acquireInput{})
		sim.run(n)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		const keys = 1_000_000
		for i := range keys {
			in := attemptInput{key: key(KeyHash("orders", fmt.Sprint(i))), attempt: fmt.Sprint(i)}
			sim.step(n, claimInput{in})
			sim.step(n, finishInput{key: in.key, attempt: in.attempt, state: peer.KeyState_FINISHED})
			if i%500 == 499 {
				sim.run(n)
				// Only records are measured, so drop the attempts and the chunks.
				for _, current := range n.running {
					current.phase = attemptClaimed
				}
				clear(n.running)
				clear(sim.store.values)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "bytes/key")
		runtime.KeepAlive(n)
	}
}
