package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
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
