package intake

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/store"
	"dotterelhead.example/dotterelhead/store/storetest"
)

func testJob(n int) *job.Job {
	return &job.Job{ID: fmt.Sprintf("%016x", n), Queue: "q", Steps: []job.Step{{Count: 1}}}
}

// startIntake returns an intake that runs until the end of the test.
func startIntake(t interface{ Cleanup(func()) }, s store.Store) *Intake {
	in := New(s, store.NewHealth())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { in.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return in
}

// TestAnswersAreTrue guards against the answer "accepted" for a job that is not
// stored, and "not accepted" for a job that is stored, also if a late write
// stores it afterwards.
func TestAnswersAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fates := rapid.SliceOfN(rapid.SampledFrom([]storetest.Outcome{
			storetest.Applied, storetest.Refused, storetest.Lost, storetest.Delayed,
		}), 1, 6).Draw(rt, "fates")
		s := storetest.New()
		var mu sync.Mutex
		s.OutcomeOf = func(store.Transaction) storetest.Outcome {
			mu.Lock()
			defer mu.Unlock()
			if len(fates) == 0 {
				return storetest.Applied
			}
			f := fates[0]
			fates = fates[1:]
			return f
		}
		in := startIntake(rt, s)
		var group sync.WaitGroup
		answers := make([]error, 4)
		for n := range answers {
			group.Go(func() { answers[n] = in.Submit(testJob(n % 3)) })
		}
		group.Wait()
		s.ApplyDelayed()
		for n, err := range answers {
			_, getErr := s.Get(context.Background(), jobstore.JobKey(testJob(n%3).ID))
			stored := getErr == nil
			switch {
			case err == nil && !stored:
				rt.Fatalf("job %d was accepted and is not stored", n%3)
			case errors.Is(err, ErrNotAccepted) && stored && !acceptedElsewhere(answers, n):
				rt.Fatalf("job %d was refused each time and is stored", n%3)
			}
		}
	})
}

// acceptedElsewhere reports whether another submission of the same job was not
// refused and so may have stored it.
func acceptedElsewhere(answers []error, n int) bool {
	for m, err := range answers {
		if m != n && m%3 == n%3 && !errors.Is(err, ErrNotAccepted) {
			return true
		}
	}
	return false
}

// A job that is submitted while the store is known to be down must be refused at
// once, not after the timeouts of calls that cannot succeed.
func TestRefusedAtOnceWhileTheStoreIsDown(t *testing.T) {
	s := storetest.New()
	health := store.NewHealth()
	in := New(s, health)
	health.Observe(store.ErrUnavailable)
	time.Sleep(300 * time.Millisecond)
	health.Observe(store.ErrUnavailable)
	started := time.Now()
	if err := in.Submit(testJob(1)); !errors.Is(err, ErrNotAccepted) {
		t.Errorf("submit: %v, want a refusal", err)
	}
	if _, err := in.Phase(context.Background(), testJob(1).ID, ""); !errors.Is(err, ErrStoreDown) {
		t.Errorf("phase: %v, want ErrStoreDown", err)
	}
	if took := time.Since(started); took > 50*time.Millisecond {
		t.Errorf("refusals took %v", took)
	}
}

// Guards against a job that runs although its requester was told, in answer to the
// cancellation, that there is none: its submission was read, or its write carried out,
// only afterwards.
func TestCancelledJobIsNotAcceptedLater(t *testing.T) {
	s := storetest.New()
	in := startIntake(t, s)
	ctx := context.Background()
	s.OutcomeOf = func(store.Transaction) storetest.Outcome { return storetest.Delayed }
	if err := in.Submit(testJob(1)); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatalf("submission whose writes are delayed: %v", err)
	}
	s.OutcomeOf = nil
	for n := 1; n <= 2; n++ {
		if err := in.Cancel(ctx, testJob(n).ID, ""); !errors.Is(err, ErrJobNotFound) {
			t.Fatalf("cancellation of unknown job %d: %v", n, err)
		}
	}
	s.ApplyDelayed()
	if err := in.Submit(testJob(2)); !errors.Is(err, ErrCancelled) || !errors.Is(err, ErrNotAccepted) {
		t.Errorf("submission after the cancellation: %v, want ErrCancelled", err)
	}
	for n := 1; n <= 2; n++ {
		if phase, err := in.Phase(ctx, testJob(n).ID, ""); !errors.Is(err, ErrJobNotFound) {
			t.Errorf("job %d is %s after its cancellation was answered: %v", n, phase, err)
		}
	}
	if err := in.Submit(testJob(3)); err != nil {
		t.Errorf("job that was not cancelled: %v", err)
	}
}

// Guards against a store that is filled by requesters that cancel jobs which never existed.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	s := storetest.New()
	in := startIntake(t, s)
	ctx := context.Background()
	var group sync.WaitGroup
	var found, refused atomic.Int32
	for n := range 3 * unknownCancelBurst {
		group.Go(func() {
			switch err := in.Cancel(ctx, testJob(n).ID, ""); {
			case errors.Is(err, ErrJobNotFound):
				found.Add(1)
			case errors.Is(err, ErrBusy):
				refused.Add(1)
			default:
				t.Errorf("cancellation of unknown job %d: %v", n, err)
			}
		})
	}
	group.Wait()
	items, _, err := store.ReadAll(ctx, s, jobstore.InboxPrefix)
	if err != nil {
		t.Fatal(err)
	}
	if n := int(found.Load()); len(items) != n || n < unknownCancelBurst || refused.Load() == 0 {
		t.Errorf("%d cancellations were answered, %d refused, and %d records are stored", n, refused.Load(), len(items))
	}
	if err := in.Cancel(ctx, testJob(0).ID, ""); !errors.Is(err, ErrJobNotFound) && !errors.Is(err, ErrBusy) {
		t.Errorf("repeated cancellation: %v", err)
	}
}

// Guards against jobs that are accepted without a bound, until each owner is killed for its
// memory, and against a refusal of a job that was accepted before.
func TestFullBacklogRefusesNewJobs(t *testing.T) {
	s := storetest.New()
	in := startIntake(t, s)
	ctx := context.Background()
	if err := in.Submit(testJob(1)); err != nil {
		t.Fatal(err)
	}
	if err := in.Cancel(ctx, testJob(2).ID, ""); !errors.Is(err, ErrJobNotFound) {
		t.Fatalf("cancellation of an unknown job: %v", err)
	}
	setBacklog := func(queues ...string) {
		value, err := json.Marshal(jobstore.Backlog{FullQueues: queues})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: jobstore.BacklogKey, Value: value}}}); err != nil {
			t.Fatal(err)
		}
		for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
			if b := in.backlog.Load(); b != nil && slices.Equal(b.FullQueues, queues) {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("the intake does not know that %v are full", queues)
			}
		}
	}
	setBacklog("a", "q")
	for n, want := range []error{ErrBacklogFull, nil, ErrCancelled} {
		if err := in.Submit(testJob(n)); !errors.Is(err, want) {
			t.Errorf("job %d of a full queue: %v, want %v", n, err, want)
		}
	}
	if _, err := s.Get(ctx, jobstore.JobKey(testJob(0).ID)); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("the refused job is stored: %v", err)
	}
	other := testJob(3)
	other.Queue = "b"
	if err := in.Submit(other); err != nil {
		t.Errorf("job of a queue that is not full: %v", err)
	}
	setBacklog("a")
	if err := in.Submit(testJob(0)); err != nil {
		t.Errorf("job after its queue has room: %v", err)
	}
}

// operation is a requester's call in a history.
type operation struct{ call, id string }

// outcome is the answer to a call.
type outcome string

const (
	succeeded outcome = "ok"
	refused   outcome = "not accepted"
	cancelled outcome = "cancelled before"
	noJob     outcome = "no such job"
	unknown   outcome = "unknown"
)

// jobState is the state of a job in the specification.
type jobState int

const (
	absent jobState = iota
	// stored is a job that was accepted. It stays so, cancelled or not.
	stored
	// barred is a job that was cancelled while it was absent.
	barred
)

// jobModel is the specification of one job: it exists forever once a submission
// took effect, and never if a cancellation took effect first.
var jobModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, o := range history {
			id := o.Input.(operation).id
			parts[id] = append(parts[id], o)
		}
		var out [][]porcupine.Operation
		for _, p := range parts {
			out = append(out, p)
		}
		return out
	},
	Init: func() []any { return []any{absent} },
	Step: func(state, input, output any) []any {
		before, call, got := state.(jobState), input.(operation).call, output.(outcome)
		after := before
		switch {
		case call == "submit" && before == absent:
			after = stored
		case call == "cancel" && before == absent:
			after = barred
		}
		switch {
		case got == unknown:
			return []any{before, after}
		case got == refused:
			return []any{before}
		case got == cancelled && before == barred, got == noJob && before != stored, got == succeeded && after == stored:
			return []any{after}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestHistoriesAreLinearizable checks that concurrent calls at several entry VMs,
// with lost, late and refused writes, are linearizable for each job.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		checkHistory(t, seed)
	}
}

func checkHistory(t *testing.T, seed uint64) {
	t.Helper()
	s := storetest.New()
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 0))
	s.OutcomeOf = func(store.Transaction) storetest.Outcome {
		mu.Lock()
		defer mu.Unlock()
		return []storetest.Outcome{storetest.Applied, storetest.Applied, storetest.Refused, storetest.Lost, storetest.Delayed}[random.IntN(5)]
	}
	intakes := []*Intake{startIntake(t, s), startIntake(t, s)}
	var history []porcupine.Operation
	var group sync.WaitGroup
	for client := range 6 {
		group.Go(func() {
			calls := rand.New(rand.NewPCG(seed, uint64(client)+1))
			for range 8 {
				in := intakes[calls.IntN(len(intakes))]
				o := operation{call: []string{"submit", "phase", "cancel"}[calls.IntN(3)], id: testJob(calls.IntN(2)).ID}
				start := time.Now().UnixNano()
				got := perform(in, o)
				end := time.Now().UnixNano()
				if got == unknown {
					// The write may take effect at any later time.
					end = 1 << 62
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: o, Call: start, Output: got, Return: end})
				mu.Unlock()
			}
		})
	}
	group.Wait()
	history = slices.DeleteFunc(history, func(o porcupine.Operation) bool {
		return o.Output == unknown && o.Input.(operation).call == "phase"
	})
	// The checker allows a client one operation at a time. A client goes on after
	// an operation with an unknown outcome, which stays open, so each operation
	// gets a client of its own.
	for i := range history {
		history[i].ClientId = i
	}
	if result := porcupine.CheckOperationsTimeout(jobModel.ToModel(), history, 10*time.Second); result != porcupine.Ok {
		t.Errorf("seed %d: history of %d calls is %s", seed, len(history), result)
	}
}

func perform(in *Intake, o operation) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	var err error
	switch o.call {
	case "submit":
		err = in.Submit(&job.Job{ID: o.id, Steps: []job.Step{{Count: 1}}})
	case "phase":
		_, err = in.Phase(ctx, o.id, "")
	case "cancel":
		err = in.Cancel(ctx, o.id, "")
	}
	switch {
	case err == nil:
		return succeeded
	case errors.Is(err, ErrCancelled):
		return cancelled
	case errors.Is(err, ErrNotAccepted):
		return refused
	case errors.Is(err, ErrJobNotFound):
		return noJob
	}
	return unknown
}
