package ingress

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/claims"
	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/peer"
	"dotterelhead.example/dotterelhead/request"
)

// memoryStore is a store in memory that loses some answers.
type memoryStore struct {
	infrastructure.Store
	mu      sync.Mutex
	random  *rand.Rand
	percent int
	version int64
	values  map[string]infrastructure.KeyValue
}

func (m *memoryStore) call(effect func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.random.IntN(100) < m.percent {
		if m.random.IntN(2) == 0 {
			_ = effect()
		}
		return infrastructure.ErrOutcomeUnknown
	}
	return effect()
}

func (m *memoryStore) Get(_ context.Context, key string) (value infrastructure.KeyValue, err error) {
	err = m.call(func() error {
		var ok bool
		if value, ok = m.values[key]; !ok {
			return infrastructure.ErrNotFound
		}
		return nil
	})
	return value, err
}

func (m *memoryStore) List(_ context.Context, prefix, after string, limit int) (values []infrastructure.KeyValue, err error) {
	err = m.call(func() error {
		for _, key := range slices.Sorted(maps.Keys(m.values)) {
			if strings.HasPrefix(key, prefix) && key > after && len(values) < limit {
				values = append(values, m.values[key])
			}
		}
		return nil
	})
	return values, err
}

func (m *memoryStore) Put(_ context.Context, key string, value []byte, expected int64, _ string) (version int64, err error) {
	err = m.call(func() error {
		if m.values[key].Version != expected {
			return infrastructure.ErrConflict
		}
		m.version++
		version = m.version
		m.values[key] = infrastructure.KeyValue{Key: key, Version: version, Value: bytes.Clone(value)}
		return nil
	})
	return version, err
}

func (m *memoryStore) Delete(_ context.Context, key string, expected int64) error {
	return m.call(func() error { delete(m.values, key); return nil })
}

// recorder passes calls on to the owner, records them and loses some answers.
type recorder struct {
	peer.Peer
	owner    *claims.Owner
	mu       sync.Mutex
	random   *rand.Rand
	percent  int
	reserved map[string]string
	finished map[string][]peer.KeyState
}

// maybeLoseAnswer calls record and returns errLostAnswer for a share of the calls.
func (r *recorder) maybeLoseAnswer(record func()) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	record()
	if r.random.IntN(100) < r.percent {
		return errLostAnswer
	}
	return nil
}

var errLostAnswer = fmt.Errorf("answer lost")

func (r *recorder) Reserve(ctx context.Context, q *peer.ReserveRequest) (*peer.ReserveResponse, error) {
	answer, err := r.owner.Reserve(ctx, q)
	if lost := r.maybeLoseAnswer(func() {
		if err == nil && answer.State == peer.KeyState_RESERVED {
			r.reserved[q.Attempt] = string(q.KeyHash)
		}
	}); lost != nil {
		return nil, lost
	}
	return answer, err
}

func (r *recorder) Claim(ctx context.Context, q *peer.ClaimRequest) (*peer.ClaimResponse, error) {
	answer, err := r.owner.Claim(ctx, q)
	if lost := r.maybeLoseAnswer(func() {}); lost != nil {
		return nil, lost
	}
	return answer, err
}

func (r *recorder) Finish(ctx context.Context, q *peer.FinishRequest) (*peer.FinishResponse, error) {
	answer, err := r.owner.Finish(ctx, q)
	if lost := r.maybeLoseAnswer(func() {
		r.finished[q.Attempt] = append(r.finished[q.Attempt], q.State)
	}); lost != nil {
		return nil, lost
	}
	return answer, err
}

func (r *recorder) Await(ctx context.Context, q *peer.AwaitRequest) (*peer.AwaitResponse, error) {
	return r.owner.Await(ctx, q)
}

// Guards against a second execution of a key, "not run" for an attempt that
// was sent, attempts that are never finished or finished with a wrong state,
// and repeats that get another answer than the first.
func TestKeys(t *testing.T) {
	for _, percent := range []int{0, 10} {
		t.Run(fmt.Sprintf("%d%% of the answers lost", percent), func(t *testing.T) { checkKeys(t, percent) })
	}
}

func checkKeys(t *testing.T, percent int) {
	f := newFixture(t)
	random := rand.New(rand.NewPCG(1, 2))
	steps := []string{stepOK, stepOK, step500, stepLost, stepHalf, stepLong, stepNoDial, stepStale, stepRefused}
	f.reset(func() string { return steps[random.IntN(len(steps))] }, 100)
	owner := claims.NewOwner(claims.OwnerOptions{
		Store:  &memoryStore{random: rand.New(rand.NewPCG(1, 3)), percent: percent, values: map[string]infrastructure.KeyValue{}},
		Region: "north", EntryID: "owner", Owned: func(int) bool { return true }, WritesPerSecond: 200,
	})
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { owner.Run(ctx) })
	defer func() { stop(); running.Wait() }()
	r := &recorder{
		owner: owner, random: rand.New(rand.NewPCG(1, 4)), percent: percent,
		reserved: map[string]string{}, finished: map[string][]peer.KeyState{},
	}
	keys := NewIdempotencyStage(claims.NewClient(claims.ClientOptions{
		EntryID: "entry", Members: func() []string { return []string{"owner"} },
		Peer: func(string) (peer.Peer, bool) { return r, true }, RetryPause: time.Millisecond,
	}), f.attempts)

	const count, callers = 60, 3
	results := make([][callers]request.Result, count)
	var group sync.WaitGroup
	for i := range count {
		for j := range callers {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
				defer cancel()
				if i%10 == 9 && j == 0 {
					// This caller disconnects early.
					time.AfterFunc(20*time.Millisecond, cancel)
				}
				results[i][j] = keys.Serve(ctx, f.request(fmt.Sprint(i, "/", j), "POST", fmt.Sprint("key", i), 5*time.Second))
				closeRest(results[i][j])
			})
		}
	}
	group.Wait()
	keys.Wait()
	f.checkReleased(t.Errorf)
	for i := range count {
		first := f.checkKey(t, r, i, results[i][:])
		repeat := keys.Serve(ctx, f.request(fmt.Sprint(i, "/repeat"), "POST", fmt.Sprint("key", i), 5*time.Second))
		closeRest(repeat)
		if first == nil {
			continue
		}
		if a := repeat.Answer; a == nil || a.Status != first.Status || !bytes.Equal(a.Body, first.Body) || !reflect.DeepEqual(a.Header, first.Header) {
			t.Errorf("key %d: first answer %d %q, repeat %+v", i, first.Status, first.Body, repeat)
		}
	}
	keys.Wait()
}

func closeRest(result request.Result) {
	if a := result.Answer; a != nil && a.BodyRest != nil {
		a.BodyRest.Close()
	}
}

// checkKey returns the answer that repeats of the key must get, if any.
func (f *fixture) checkKey(t *testing.T, r *recorder, i int, results []request.Result) *request.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	executions := 0
	var first *request.Answer
	for j, result := range results {
		arrived := f.arrived[fmt.Sprint(i, "/", j)]
		executions += arrived
		if arrived > 0 && result.Outcome == request.NotRun {
			t.Errorf("key %d: not run, but a worker got it", i)
		}
		a := result.Answer
		if a != nil && a.BodyRest == nil {
			if len(a.Header["X-Part"]) != 2 {
				t.Errorf("key %d: answer with the headers %v, want two values of X-Part", i, a.Header)
			}
			if first != nil && !bytes.Equal(first.Body, a.Body) {
				t.Errorf("key %d: answers %q and %q", i, first.Body, a.Body)
			}
			first = a
		}
	}
	if executions > 1 {
		t.Errorf("key %d ran %d times", i, executions)
	}
	hash, ran := string(claims.KeyHash("s", fmt.Sprint("key", i))), 0
	r.mu.Lock()
	defer r.mu.Unlock()
	for attempt, key := range r.reserved {
		if key != hash {
			continue
		}
		states := slices.Compact(slices.Clone(r.finished[attempt]))
		if len(states) != 1 {
			t.Errorf("key %d: an attempt was finished as %v", i, states)
			continue
		}
		if states[0] != peer.KeyState_NOT_RUN {
			ran++
		}
		if first != nil && states[0] != peer.KeyState_NOT_RUN && states[0] != peer.KeyState_ANSWERED {
			t.Errorf("key %d: answered, but finished as %v", i, states)
		}
	}
	if ran != executions {
		t.Errorf("key %d: %d executions, %d attempts finished as run", i, executions, ran)
	}
	return first
}
