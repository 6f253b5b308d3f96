package execution

import (
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// testMaxLease is the longest lease that workers accept in the tests of later lifetimes.
const testMaxLease = testHold + 2*time.Second

func newUnseenTestbed(t *testing.T, term int64) *testbed {
	b := newTestbed(t, term)
	b.core.options.MaxLease = testMaxLease
	return b
}

// startOnW1 starts an item of a new job on w1, which had been idle for a while.
func (b *testbed) startOnW1(id string) Start {
	b.Helper()
	b.core.AddJob(oneStep(id, job.Step{}), job.Progress{}, false, wall, b.now)
	o := b.round()
	if len(o.Starts) != 1 || o.Starts[0].Worker.ID != "w1" {
		b.Fatalf("starts %v, want one on w1", o.Starts)
	}
	b.core.StartSent(o.Starts[0], b.now)
	return o.Starts[0]
}

// expectNextStart fails if the next start comes before the time from, or much later.
func (b *testbed) expectNextStart(from Time) {
	b.Helper()
	for b.now < from+time.Second {
		o := b.roundAfter(20 * time.Millisecond)
		if len(o.Starts) == 0 {
			continue
		}
		if b.now <= from {
			b.Fatalf("started %v on %s %v before the end of the lease that w1 may have", o.Starts[0].Run, o.Starts[0].Worker.ID, from-b.now)
		}
		return
	}
	b.Fatalf("nothing has started %v after the end of the lease that w1 may have", b.now-from)
}

// Guards against two runs of an item at the same time: a worker had started again unknown to
// the owner when it got a start, by the clock of its former lifetime. Its lease was the longest
// one, and the owner took it to have lapsed before.
func TestRunThatALaterLifetimeMayHaveWaitsForTheLongestLease(t *testing.T) {
	for name, calls := range map[string]func(b *testbed){
		"start answered": func(b *testbed) {
			s := b.startOnW1(jobA)
			b.now += 50 * time.Millisecond
			b.core.StartDone(s, Started, b.now)
		},
		"start without an answer": func(b *testbed) {
			s := b.startOnW1(jobA)
			b.now += AnswerTimeout
			b.core.StartDone(s, StartUnknown, b.now)
		},
		"start without a result": func(b *testbed) { b.startOnW1(jobA) },
		"second start rejected": func(b *testbed) {
			b.core.StartDone(b.startOnW1(jobA), Started, b.now)
			s := b.startOnW1(jobB)
			b.now += AnswerTimeout
			b.core.StartDone(s, RejectedCapacity, b.now)
			b.core.Cancel(jobB, b.now)
		},
		"lease extended by a hold": func(b *testbed) {
			b.core.StartDone(b.startOnW1(jobA), Started, b.now)
			b.now += 100 * time.Millisecond
			if h, due := b.core.HoldFor("w1", b.now); !due || h.Deadline == 0 {
				b.Fatalf("hold %+v, due %t, want one that extends the lease", h, due)
			}
			b.now += holdWait + AnswerTimeout
		},
		"registered again only": func(b *testbed) {
			b.core.StartDone(b.startOnW1(jobA), Started, b.now)
			b.core.WorkerSeen(testWorker("w1", 2000), b.now)
		},
		"entry lost": func(b *testbed) {
			b.core.StartDone(b.startOnW1(jobA), Started, b.now)
			b.core.WorkerGone("w1")
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newUnseenTestbed(t, 0)
			b.worker(testWorker("w1", 2000), Report{Clock: time.Hour})
			b.now += time.Second
			calls(b)
			from := b.now + testMaxLease
			b.core.HoldFailed("w1", "no_answer", b.now)
			b.worker(testWorker("w2", 2000), Report{})
			if b.holdsWithoutAnswer("w1") {
				from = b.now + testMaxLease
			}
			b.expectNextStart(from)
		})
	}
}

// holdsWithoutAnswer lets the worker answer no hold for as long as holds to a silent worker may
// extend its lease, and reports whether the last one did.
func (b *testbed) holdsWithoutAnswer(id string) (extended bool) {
	for until := b.now + maxReportAge; b.now < until && !extended; {
		h, _ := b.core.HoldFor(id, b.now)
		b.roundAfter(100 * time.Millisecond)
		b.core.HoldFailed(id, "no_answer", b.now)
		extended = h.Deadline > 0
	}
	return extended
}

// Guards against a long-running item that is unavailable for longer than needed: holds to a
// worker that did not answer went on to extend the lease that a later lifetime may have.
func TestLongRunningItemOfASilentWorkerWaitsForOneLease(t *testing.T) {
	b := newUnseenTestbed(t, 0)
	b.worker(testWorker("w1", 2000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{LongRunning: true}), job.Progress{}, false, wall, b.now)
	b.core.StartDone(b.round().Starts[0], Started, b.now)
	from := b.now + testMaxLease
	b.core.HoldFailed("w1", "no_answer", b.now)
	b.worker(testWorker("w2", 2000), Report{})
	if b.holdsWithoutAnswer("w1") {
		t.Error("a hold to the silent worker extends its lease")
	}
	b.expectNextStart(from)
}

// Guards against a longer wait than needed: a run that the worker has listed ends with the
// lifetime that listed it, whose clock the owner has read.
func TestListedRunWaitsForTheLeaseOfItsLifetime(t *testing.T) {
	b := newUnseenTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{})
	start := b.startOnW1(jobA)
	b.core.StartDone(start, Started, b.now)
	b.report("w1", Report{Running: []RunningItem{{Run: start.Run}}})
	h, _ := b.core.HoldFor("w1", b.now)
	if h.Deadline == 0 {
		t.Fatal("the hold does not extend the lease")
	}
	from := b.now + testHold
	b.core.HoldFailed("w1", "no_answer", b.now)
	b.worker(testWorker("w2", 1000), Report{})
	b.expectNextStart(from)
}

// Guards against upkeep of a VM, and new work on a worker of it, while a later lifetime may
// run an item there.
func TestWorkerIsNotEmptyWhileALaterLifetimeMayRunAnItem(t *testing.T) {
	b := newUnseenTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{Clock: time.Hour})
	b.core.StartDone(b.startOnW1(jobA), Started, b.now)
	from := b.now + testMaxLease
	b.core.HoldFailed("w1", "no_answer", b.now)
	b.core.WorkerGone("w1")
	b.core.SetClosed("w1", true)
	for b.now+100*time.Millisecond < from {
		b.roundAfter(100 * time.Millisecond)
		if b.core.Empty("w1") || b.core.RunCount("w1") != 1 {
			t.Fatalf("w1 is empty %v before the end of the lease that it may have", from-b.now)
		}
		if ids, _ := b.core.HoldersToRecord(); len(ids) != 1 {
			t.Fatalf("holders %v %v before the end of the lease that w1 may have", ids, from-b.now)
		}
	}
	if b.roundAfter(time.Second); b.core.HasWorker("w1") {
		t.Error("w1 is not dropped after the longest lease")
	}
}

// Guards against two runs of an item around a change of owner: the last start of the former
// owner reached a lifetime of which it did not know, and the record of lease holders named
// less than the lease of that one.
func TestNextOwnerWaitsForTheLongestLeaseOfAnUnseenLifetime(t *testing.T) {
	b := newUnseenTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{Clock: time.Hour})
	left := map[string]time.Duration{"w1": b.core.RecordedLeaseTime("w1", b.now)}
	b.startOnW1(jobA)
	from := b.now + testMaxLease
	next := newUnseenTestbed(t, 1)
	next.now = b.now
	next.core.SetFormerHolders(left, next.now)
	next.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, true, wall, next.now)
	next.worker(testWorker("w2", 1000), Report{})
	next.expectNextStart(from)
}

// Guards against the same at a planned change of owner, which passes on what is left of each
// lease.
func TestPlannedOwnerChangePassesOnTheLongestLeaseOfAnUnseenLifetime(t *testing.T) {
	for name, silent := range map[string]bool{"worker answers": false, "worker is silent": true} {
		t.Run(name, func(t *testing.T) {
			b := newUnseenTestbed(t, 0)
			b.worker(testWorker("w1", 1000), Report{Clock: time.Hour})
			b.core.StartDone(b.startOnW1(jobA), Started, b.now)
			from := b.now + testMaxLease
			if silent {
				b.core.HoldFailed("w1", "no_answer", b.now)
				b.now += testHold + time.Second
			}
			left := b.core.LeaseHolders(b.now)["w1"]
			if b.now+left < from || b.now+left > from+time.Second {
				t.Errorf("%v left of the lease, want %v", left, from-b.now)
			}
		})
	}
}

// Guards against a run that starts again beside one that a former owner started on a later
// lifetime of its worker: its lease may be the longest one, also if no owner knows of another
// lifetime.
func TestAdoptedRunMayHaveTheLongestLease(t *testing.T) {
	for name, phase := range map[string]job.Phase{"adopted": job.Running, "unwanted": job.Cancelled} {
		t.Run(name, func(t *testing.T) {
			b := newUnseenTestbed(t, 1)
			b.core.SetFormerHolders(map[string]time.Duration{"w1": time.Second}, b.now)
			b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{Phase: phase}, true, wall, b.now)
			b.worker(testWorker("w1", 1000), Report{Clock: time.Second, Running: []RunningItem{{Run: testRun(jobA, 0, 1)}}})
			from := b.now + testMaxLease
			b.core.HoldFailed("w1", "no_answer", b.now)
			for b.now+100*time.Millisecond < from {
				if b.roundAfter(100 * time.Millisecond); b.core.RunCount("w1") != 1 {
					t.Fatalf("the run is given up %v before the end of the lease that w1 may have", from-b.now)
				}
			}
			if b.roundAfter(time.Second); b.core.RunCount("w1") != 0 {
				t.Error("the run is kept after the longest lease")
			}
		})
	}
}

// Guards against inherited work that waits anew with each change of owner for the lease of a
// worker that no owner can call: it has left, or it is silent and its runs are known.
func TestTimeLeftOfAFormerLeaseIsPassedOn(t *testing.T) {
	b := newUnseenTestbed(t, 1)
	b.core.SetFormerHolders(map[string]time.Duration{"left": testMaxLease, "silent": testMaxLease}, b.now)
	b.core.SetFormerRuns(map[string][]job.ItemID{"silent": {{Job: jobA}}})
	b.core.WorkerSeen(testWorker("silent", 1000), b.now)
	b.roundAfter(time.Second)
	for _, id := range []string{"left", "silent"} {
		if got := b.core.RecordedLeaseTime(id, b.now); got < testMaxLease-1100*time.Millisecond || got > testMaxLease-time.Second {
			t.Errorf("%s is recorded with %v after 1 s of %v", id, got, testMaxLease)
		}
	}
}

// Guards against two runs of an item at the same time: a start that got no answer is carried out
// seconds later, by a lifetime that the owner does not know of and cannot call. See
// docs/incidents/leases-of-unseen-lifetimes.md for why it fails.
func TestLateStartOfAnUnseenLifetimeIsWaitedFor(t *testing.T) {
	const lateBy = 2 * time.Second
	b := newUnseenTestbed(t, 0)
	b.worker(testWorker("w1", 2000), Report{Clock: time.Hour})
	b.now += maxReportAge
	s := b.startOnW1(jobA)
	b.now += AnswerTimeout
	b.core.StartDone(s, StartUnknown, b.now)
	from := b.now + lateBy + testMaxLease
	b.core.HoldFailed("w1", "no_answer", b.now)
	b.worker(testWorker("w2", 2000), Report{})
	b.expectNextStart(from)
}
