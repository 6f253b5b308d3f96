package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/store"
	"dotterelhead.example/dotterelhead/store/storetest"
	"dotterelhead.example/dotterelhead/telemetry"
)

// An outage of the store affected all but the small entry VMs. One with a fifth
// of a core then became the owner of the jobs of 350 workers and stayed the
// owner. It could not read the workers' reports before their leases lapsed, so
// work was lost and finished items were started again.
func TestSmallOwnerHandsOver(t *testing.T) {
	for _, c := range []struct {
		name       string
		challenger float64
		handsOver  bool
	}{{"larger", 0.8, true}, {"slightly larger", 0.25, false}, {"not limited", 0, true}} {
		// On the fake clock a starved test process does not count as a slow owner.
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tm := testTerm(t, &fakeVMs{})
				tm.ownership.CPUShare = 0.2
				ended := make(chan error, 1)
				tm.end = func(err error) { ended <- err }
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				challenger := jobstore.Claim{Node: "entry-1", Process: "p", CPUShare: c.challenger}
				if err := jobstore.Challenge(ctx, tm.options.Store, challenger, time.Minute); err != nil {
					t.Fatal(err)
				}
				go tm.watchChallenges(ctx)
				select {
				case err := <-ended:
					if !c.handsOver || !errors.Is(err, errHandedOver) {
						t.Errorf("the term ended: %v", err)
					}
				case <-time.After(3 * challengeEvery / 2):
					if c.handsOver {
						t.Error("the owner did not hand over")
					}
				}
			})
		})
	}
}

// Only an entry VM that is much larger than the owner's may challenge the owner,
// and only after the owner was left alone for challengeAfter.
func TestOnlyLargerEntryVMsChallenge(t *testing.T) {
	o := New(Options{
		Node: "entry-0", Store: storetest.New(), Log: telemetry.Discard(), CPUShare: 0.4,
		Manifest: func() *job.Manifest { return &job.Manifest{} },
	})
	for _, c := range []struct {
		owner jobstore.Claim
		want  bool
	}{
		{jobstore.Claim{Node: "entry-1", CPUShare: 0.2}, true},
		{jobstore.Claim{Node: "entry-1", CPUShare: 0.4}, false},
		{jobstore.Claim{Node: "entry-1"}, false},
		{jobstore.Claim{Node: "entry-0", CPUShare: 0.2}, false},
	} {
		o.noteOwner(nil)
		o.noteOwner(&c.owner)
		if o.shouldChallenge() {
			t.Errorf("owner %+v is challenged at once", c.owner)
		}
		o.seen.since -= challengeAfter
		if o.shouldChallenge() != c.want {
			t.Errorf("owner %+v is challenged: %t, want %t", c.owner, !c.want, c.want)
		}
	}
}

// Entry VMs were restarted one after the other, every 2 s. The ownership went to
// one that was restarted next, four times in a row, and once while the store
// answered slowly: nothing started for 4 s.
func TestRestartedProcessesContendFirst(t *testing.T) {
	restarted, next := delayForUptime(3*time.Second), delayForUptime(15*time.Second)
	if next-restarted < 10*time.Millisecond {
		t.Errorf("a process that has run for 15 s contends %v after one that has run for 3 s, want at least 10 ms", next-restarted)
	}
	if d := delayForUptime(30 * 24 * time.Hour); d > maxUptimeDelay || d < delayForUptime(time.Hour) {
		t.Errorf("a process that has run for a month waits %v", d)
	}
}

// A small entry VM that could not read the jobs kept the ownership until its time limit for
// that: a challenge was looked for only once the jobs were read.
func TestOwnerHandsOverWhileItReadsTheJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := New(Options{
			Node: "entry-0", Store: unreadableJobs{storetest.New()}, Log: telemetry.Discard(), Lease: time.Minute, CPUShare: 0.2,
			Manifest: func() *job.Manifest { return &job.Manifest{} },
		})
		ctx := context.Background()
		if err := jobstore.Challenge(ctx, o.options.Store, jobstore.Claim{Node: "entry-1", Process: "p", CPUShare: 0.8}, time.Minute); err != nil {
			t.Fatal(err)
		}
		tm := o.contend(ctx)
		if tm == nil {
			t.Fatal("not acquired")
		}
		started := time.Now()
		if err := tm.run(ctx); !errors.Is(err, errHandedOver) || time.Since(started) > 2*challengeEvery {
			t.Errorf("the term ended after %v: %v", time.Since(started), err)
		}
	})
}

// unreadableJobs is a store that does not answer when a range is read.
type unreadableJobs struct{ *storetest.Store }

func (unreadableJobs) Range(ctx context.Context, _, _ string) (store.Page, error) {
	return store.Page{}, errors.Wrap(store.ErrOutcomeUnknown, "no answer")
}

// After a loss of power an entry VM of 0.192 of a core became the owner, because its process
// started 60 ms before those of 0.8 of a core.
func TestSmallEntryVMWaitsForLargerOnesAfterItsStart(t *testing.T) {
	const startSpread = 300 * time.Millisecond
	small := New(Options{ContendDelay: 61 * time.Millisecond, Scope: tally.NoopScope})
	large := New(Options{Scope: tally.NoopScope})
	if got := small.contendDelay(100 * time.Millisecond); got < startSpread*3/4 || got > startSpread {
		t.Errorf("a small entry VM waits for %v after its start, want most of the spread of %v", got, startSpread)
	}
	if got := small.contendDelay(time.Minute); got > 150*time.Millisecond {
		t.Errorf("a small entry VM waits for %v later on", got)
	}
	if got := large.contendDelay(100 * time.Millisecond); got > 5*time.Millisecond {
		t.Errorf("a large entry VM waits for %v after its start", got)
	}
}
