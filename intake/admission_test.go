package intake

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/store"
	"dotterelhead.example/dotterelhead/store/storetest"
)

func refusingBacklog(organisations ...string) jobstore.Backlog {
	return jobstore.Backlog{Renewal: 1, Refusals: []jobstore.LoadRefusal{{Queue: "q", Organisations: organisations, After: 4 * time.Second, Spread: 6 * time.Second}}}
}

// jobOf returns a job of an organisation.
func jobOf(n int, organisation string) *job.Job {
	j := testJob(n)
	j.Organisation = organisation
	return j
}

// Guards against a refusal that also hits accepted jobs, organisations within their share,
// jobs that last, or timed ones.
func TestRefusalForLoad(t *testing.T) {
	in := startIntake(t, storetest.New())
	if err := in.Submit(jobOf(1, "large")); err != nil {
		t.Fatal(err)
	}
	in.backlog.Store(&knownBacklog{refusingBacklog("large"), boottime.Now()})
	var overload *OverloadError
	if err := in.Submit(jobOf(2, "large")); !errors.As(err, &overload) || !errors.Is(err, ErrNotAccepted) || !overload.BeyondShare || overload.RetryAfter < 4*time.Second {
		t.Errorf("job of an organisation beyond its share: %v", err)
	}
	lasting, timed, other := jobOf(3, "large"), jobOf(4, "large"), jobOf(5, "large")
	lasting.Steps[0].LongRunning, timed.Occurrences, other.Queue = true, 1, "r"
	for _, j := range []*job.Job{jobOf(1, "large"), jobOf(6, "small"), lasting, timed, other} {
		if err := in.Submit(j); err != nil {
			t.Errorf("job %s of %q: %v", j.ID, j.Organisation, err)
		}
	}
}

// Guards against entry VMs that refuse jobs for a load that has passed: the record of a lost
// owner stays in the store, and one that was only read may be of such an owner.
func TestOldRefusalRefusesNobody(t *testing.T) {
	in := startIntake(t, storetest.New())
	for n, changedAt := range []time.Duration{0, boottime.Now() - jobstore.RefusalValidity - time.Millisecond} {
		in.backlog.Store(&knownBacklog{refusingBacklog(), changedAt})
		if err := in.Submit(testJob(n + 1)); err != nil {
			t.Errorf("record received at %v: %v", changedAt, err)
		}
	}
}

// Guards against an intake that trusts a record it has read, or misses the one that follows.
func TestRefusalIsKnownOnceItIsRenewed(t *testing.T) {
	s := storetest.New()
	write := func(renewal int64) {
		b := refusingBacklog()
		b.Renewal = renewal
		value, err := json.Marshal(b)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: jobstore.BacklogKey, Value: value}}}); err != nil {
			t.Fatal(err)
		}
	}
	write(1)
	in := startIntake(t, s)
	for deadline := time.Now().Add(5 * time.Second); in.backlog.Load() == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the record was not read")
		}
	}
	if err := in.Submit(testJob(1)); err != nil {
		t.Errorf("job after the record was read: %v", err)
	}
	write(2)
	for n := 2; ; n++ {
		if err := in.Submit(testJob(n)); errors.Is(err, ErrOverloaded) {
			return
		}
		if n > 5000 {
			t.Fatal("the renewed record refuses nobody")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a refusal of a job that may be stored while the store cannot tell.
func TestFailedReadRefusesNobodyForTheLoad(t *testing.T) {
	s := &unreadableStore{Store: storetest.New()}
	in := startIntake(t, s)
	in.backlog.Store(&knownBacklog{refusingBacklog(), boottime.Now()})
	if err := in.Submit(testJob(1)); err != nil {
		t.Errorf("submission while the store fails to read: %v", err)
	}
}

// unreadableStore fails reads of single keys.
type unreadableStore struct{ store.Store }

func (s *unreadableStore) Get(context.Context, string) (store.Item, error) {
	return store.Item{}, errors.WithStack(store.ErrUnavailable)
}

// Load pattern: 200 jobs are refused at once. Guards against requesters that all return
// together and are refused again, and against a job that is told different times.
func TestRefusedRequestersReturnSpread(t *testing.T) {
	r := refusingBacklog().Refusals[0]
	perSecond := map[int]int{}
	for n := range 200 {
		id := fmt.Sprintf("%016x", n*7919)
		after := r.ReturnAfter(id)
		if after < r.After || after >= r.After+r.Spread || after != r.ReturnAfter(id) {
			t.Fatalf("job %s returns after %v", id, after)
		}
		perSecond[int(after.Seconds())]++
	}
	for second, n := range perSecond {
		if n > 2*200/6 {
			t.Errorf("%d of 200 return in second %d of 4 to 10", n, second)
		}
	}
}
