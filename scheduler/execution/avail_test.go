package execution

import (
	"fmt"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// startWithoutAnswer adds a step of two long-running items, of which one may be
// unavailable. The first serves on w1. The start of the second on w2 got no answer, w2
// does not list it, and the order to stop it, so that it cannot begin late, got none
// either.
func startWithoutAnswer(b *testbed) (first, second Run) {
	b.Helper()
	b.worker(testWorker("w1", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{Count: 2, LongRunning: true, MaxUnavailable: 1}), job.Progress{}, false, wall, b.now)
	first, second = testRun(jobA, 0, 1), testRun(jobA, 1, 1)
	b.core.StartDone(b.round().Starts[0], Started, b.now)
	b.report("w1", Report{Running: []RunningItem{{Run: first, Percent: 100}}})
	b.worker(testWorker("w2", 1000), Report{})
	b.core.StartDone(b.round().Starts[0], StartUnknown, b.now)
	b.now += time.Millisecond
	b.report("w2", Report{})
	b.failStops(b.round(), second)
	return first, second
}

// failStops fails unless the orders stop exactly the given runs, and answers none of
// these orders.
func (b *testbed) failStops(o Orders, runs ...Run) {
	b.Helper()
	if len(o.Stops) != len(runs) {
		b.Fatalf("stops %v, want %v", o.Stops, runs)
	}
	for n, s := range o.Stops {
		if s.Run != runs[n] {
			b.Fatalf("stops %v, want %v", o.Stops, runs)
		}
		b.core.StopDone(s, false, b.now)
	}
}

// The start of a long-running item got no answer and was carried out late. The orders
// to stop it got lost until it served its users. The next one ended it while another
// item of its step was unavailable.
func TestRunOfALateStartIsNotStoppedWhileOthersAreUnavailable(t *testing.T) {
	b := newTestbed(t, 0)
	first, second := startWithoutAnswer(b)
	serving := Report{Running: []RunningItem{{Run: second, Percent: 100}}}
	b.report("w1", Report{Ended: []EndedItem{{Number: 1, Run: first, Kind: EndFailed}}})
	b.core.SetClosed("w1", true)
	for range 10 {
		b.now += stopRetryInterval
		b.report("w2", serving)
		b.failStops(b.round())
	}
	// An order to stop the run may still be on its way, so that the run is replaced as
	// soon as its step allows it.
	b.core.SetClosed("w1", false)
	start := b.round().Starts[0]
	b.core.StartDone(start, Started, b.now)
	b.report("w1", Report{Running: []RunningItem{{Run: start.Run, Percent: 100}}})
	b.report("w2", serving)
	b.failStops(b.round(), second)
}

// As TestRunOfALateStartIsNotStoppedWhileOthersAreUnavailable, but the worker does not
// answer any more: the run may have begun to serve since the last report.
func TestRunOfALateStartIsNotStoppedOnASilentWorker(t *testing.T) {
	b := newTestbed(t, 0)
	first, second := startWithoutAnswer(b)
	b.report("w1", Report{Ended: []EndedItem{{Number: 1, Run: first, Kind: EndFailed}}})
	b.core.SetClosed("w1", true)
	b.core.HoldFailed("w2", "no_answer", b.now)
	b.failStops(b.roundAfter(time.Second))
	b.report("w2", Report{})
	b.failStops(b.round(), second)
}

// A planned stop of a long-running item was allowed as the other items of its step
// served, and got no answer. By the time at which it was repeated, another item had
// become unavailable.
func TestRepeatedStopIsCheckedAgain(t *testing.T) {
	b := newTestbed(t, 0)
	startLongRunningPair(b)
	first, second := testRun(jobA, 0, 1), testRun(jobA, 1, 1)
	b.core.SetClosed("w2", true)
	b.core.Evacuate("w2", false, b.now)
	b.failStops(b.round(), second)
	b.report("w1", Report{Ended: []EndedItem{{Number: 1, Run: first, Kind: EndFailed}}})
	b.report("w2", Report{Running: []RunningItem{{Run: second, Percent: 100}}})
	b.failStops(b.roundAfter(2 * stopRetryInterval))
}

// Items of a step whose starts were all carried out late must not keep each other, and
// the workers that they are on, from planned maintenance for ever.
func TestRunsOfLateStartsAreKeptInTheEnd(t *testing.T) {
	b := newTestbed(t, 0)
	b.core.AddJob(oneStep(jobA, job.Step{Count: 2, LongRunning: true, MaxUnavailable: 1}), job.Progress{}, false, wall, b.now)
	runs := []Run{testRun(jobA, 0, 1), testRun(jobA, 1, 1)}
	workers := []string{"w1", "w2"}
	for n, id := range workers {
		b.worker(testWorker(id, 1000), Report{})
		b.core.StartDone(b.round().Starts[0], StartUnknown, b.now)
		b.now += time.Millisecond
		b.report(id, Report{})
		b.failStops(b.round(), runs[n])
	}
	report := func() {
		for n, id := range workers {
			b.report(id, Report{Running: []RunningItem{{Run: runs[n], Percent: 100}}})
		}
	}
	report()
	for range 20 {
		b.failStops(b.roundAfter(time.Second))
		report()
	}
	b.core.SetClosed("w1", true)
	b.core.Evacuate("w1", false, b.now)
	b.failStops(b.round(), runs[0])
}

// A start got no answer and was carried out 2 s late. The speed at which the run
// advanced counted from the order, so that the run did not seem to be about to serve.
func TestSpeedOfALateStartCountsFromItsFirstReport(t *testing.T) {
	b := newTestbed(t, 0)
	first, second := startWithoutAnswer(b)
	b.report("w1", Report{Ended: []EndedItem{{Number: 1, Run: first, Kind: EndFailed}}})
	b.core.SetClosed("w1", true)
	b.now += 2 * time.Second
	b.report("w2", Report{})
	b.now += 100 * time.Millisecond
	b.report("w2", Report{Running: []RunningItem{{Run: second, Percent: 30}}})
	b.failStops(b.roundAfter(200 * time.Millisecond))
}

// A run that its worker listed for the first time, at 0 %, did not seem to advance at all. It
// served by the time at which it was stopped, 0.3 s later, while another item of its step
// was unavailable. Seen in TestNoItemRunsTwice with -rapid.seed=9155372.
func TestSpeedOfARunIsNotKnownAtItsFirstReport(t *testing.T) {
	b := newTestbed(t, 0)
	first, second := startWithoutAnswer(b)
	b.report("w1", Report{Ended: []EndedItem{{Number: 1, Run: first, Kind: EndFailed}}})
	b.core.SetClosed("w1", true)
	b.now += 2 * time.Second
	b.report("w2", Report{Running: []RunningItem{{Run: second}}})
	b.failStops(b.roundAfter(298 * time.Millisecond))
	b.report("w2", Report{Running: []RunningItem{{Run: second, Percent: 5}}})
	b.failStops(b.round(), second)
}

// Two items of a step that both stalled when almost ready must not wait for each other.
func TestStalledRunsAreStoppedWhileOthersAreUnavailable(t *testing.T) {
	b := newTestbed(t, 0)
	b.worker(testWorker("w1", 1000), Report{})
	b.worker(testWorker("w2", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{Count: 2, LongRunning: true, MaxUnavailable: 1}), job.Progress{}, false, wall, b.now)
	starts := b.round().Starts
	for _, s := range starts {
		b.core.StartDone(s, Started, b.now)
	}
	for range 30 {
		b.now += 100 * time.Millisecond
		for _, s := range starts {
			b.report(s.Worker.ID, Report{Running: []RunningItem{{Run: s.Run, Percent: 60}}})
		}
	}
	b.failStops(b.round(), starts[0].Run, starts[1].Run)
}

// A stall was recorded in every round while the limit of the step did not allow the stop:
// the item had to wait longer after its next failure, and the log got a line each time.
func TestStallIsRecordedOnce(t *testing.T) {
	b := newTestbed(t, 0)
	stalls := 0
	b.core.options.Trace = func(e Event) {
		if e.Name == "run_stalled" {
			stalls++
		}
	}
	b.worker(testWorker("w1", 1000), Report{})
	b.worker(testWorker("w2", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{Count: 2, LongRunning: true, MaxUnavailable: 1}), job.Progress{}, false, wall, b.now)
	for _, s := range b.round().Starts {
		b.core.StartDone(s, Started, b.now)
	}
	first, second := testRun(jobA, 0, 1), testRun(jobA, 1, 1)
	b.core.SetClosed("w1", true)
	b.report("w1", Report{Ended: []EndedItem{{Number: 1, Run: first, Kind: EndFailed}}})
	// The second item stays at 60 %. Its worker answers holds for 2.4 s, and then no
	// more.
	for range 6 {
		b.now += 400 * time.Millisecond
		b.report("w2", Report{Running: []RunningItem{{Run: second, Percent: 60}}})
	}
	for range 20 {
		b.failStops(b.roundAfter(50 * time.Millisecond))
	}
	if stalls > 1 {
		t.Errorf("one stall is recorded %d times; the item's failures count %d", stalls, b.core.jobs[jobA].item(second.Item).troubles)
	}
}

// A stalled run whose worker answers holds every 400 ms has to be stopped once its limit
// allows it, and its stall recorded once.
func TestStallIsRecordedOnceBetweenReports(t *testing.T) {
	b := newTestbed(t, 0)
	stalls := 0
	b.core.options.Trace = func(e Event) {
		if e.Name == "run_stalled" {
			stalls++
		}
	}
	b.worker(testWorker("w1", 1000), Report{})
	b.worker(testWorker("w2", 1000), Report{})
	b.core.AddJob(oneStep(jobA, job.Step{Count: 2, LongRunning: true, MaxUnavailable: 1}), job.Progress{}, false, wall, b.now)
	for _, s := range b.round().Starts {
		b.core.StartDone(s, Started, b.now)
	}
	b.core.SetClosed("w1", true)
	b.report("w1", Report{Ended: []EndedItem{{Number: 1, Run: testRun(jobA, 0, 1), Kind: EndFailed}}})
	for range 9 {
		for range 8 {
			if o := b.roundAfter(50 * time.Millisecond); len(o.Stops) > 0 {
				if stalls != 1 {
					t.Errorf("one stall is recorded %d times before the run is stopped", stalls)
				}
				return
			}
		}
		b.report("w2", Report{Running: []RunningItem{{Run: testRun(jobA, 1, 1), Percent: 60}}})
	}
	t.Error("the stalled run is not stopped")
}

// An owner that was paused before it processed an answer took the answer for a new report.
// It stopped a run that had begun to serve since, while another item of its step was
// unavailable.
func TestAnswerThatWaitedIsNotANewReport(t *testing.T) {
	const pause = 2 * time.Second
	b := newTestbed(t, 0)
	first, second := startWithoutAnswer(b)
	b.report("w1", Report{Ended: []EndedItem{{Number: 1, Run: first, Kind: EndFailed}}})
	b.core.SetClosed("w1", true)
	b.report("w2", Report{Running: []RunningItem{{Run: second, Percent: 10}}})
	h, _ := b.core.HoldFor("w2", b.now)
	sent, clock := b.now, b.now+time.Millisecond
	b.now += pause
	b.core.HoldDone(h, Report{Clock: clock, StartMillis: h.Worker.StartMillis, Running: []RunningItem{{Run: second, Percent: 10}}}, sent, b.now)
	b.core.SetClosed("w2", true)
	b.core.Evacuate("w2", true, b.now)
	b.failStops(b.round())
	if b.core.StopAllowed(Stop{Run: second, Worker: h.Worker}, b.now) {
		t.Error("the run may be stopped although its last report is 2 s old")
	}
	b.report("w2", Report{Running: []RunningItem{{Run: second, Percent: 10}}})
	b.core.Evacuate("w2", true, b.now)
	b.failStops(b.round(), second)
}

// Stops of two items that their step allowed together were not sent, as a third item had
// become unavailable. They then kept each other from being stopped for 15 s, though one of
// them was allowed at once.
func TestStopsThatAreNotSentDoNotBlockEachOther(t *testing.T) {
	b := newTestbed(t, 0)
	runs := map[string]Run{}
	for n := range 3 {
		b.worker(testWorker(fmt.Sprintf("w%d", n), 1000), Report{})
	}
	b.core.AddJob(oneStep(jobA, job.Step{Count: 3, LongRunning: true, MaxUnavailable: 2}), job.Progress{}, false, wall, b.now)
	for _, s := range b.round().Starts {
		b.core.StartDone(s, Started, b.now)
		runs[s.Worker.ID] = s.Run
	}
	evacuate := func() Orders {
		for _, id := range []string{"w0", "w1"} {
			b.report(id, Report{Running: []RunningItem{{Run: runs[id], Percent: 100}}})
			b.core.SetClosed(id, true)
			b.core.Evacuate(id, false, b.now)
		}
		return b.round()
	}
	b.report("w2", Report{Running: []RunningItem{{Run: runs["w2"], Percent: 100}}})
	o := evacuate()
	if len(o.Stops) != 2 {
		t.Fatalf("stops %v, want both", o.Stops)
	}
	b.core.SetClosed("w2", true)
	b.report("w2", Report{Ended: []EndedItem{{Number: 1, Run: runs["w2"], Kind: EndFailed}}})
	for _, s := range o.Stops {
		if b.core.StopAllowed(s, b.now) {
			t.Fatalf("the stop of %v is allowed while two others are unavailable", s.Run)
		}
		b.core.StopPostponed(s)
	}
	for range 3 {
		b.now += stopRetryInterval
		if o = evacuate(); len(o.Stops) > 0 {
			break
		}
	}
	if len(o.Stops) != 1 {
		t.Errorf("stops %v after a second, want one", o.Stops)
	}
}

// Guards against a stop of a run that serves: the owner read a report late that the worker
// had made at once, and took the report to be as new as if the worker had waited.
func TestReportThatIsReadLateDespiteAnAnswerAtOnceIsOld(t *testing.T) {
	b := newTestbed(t, 0)
	startLongRunningPair(b)
	b.roundAfter(1500 * time.Millisecond)
	b.report("w1", Report{Running: []RunningItem{{Run: testRun(jobA, 0, 1), Percent: 20}}})
	h, _ := b.core.HoldFor("w2", b.now)
	sent := b.now
	b.now += holdWait + AnswerTimeout - 100*time.Millisecond
	b.core.HoldDone(h, Report{Clock: sent, StartMillis: 1, Running: []RunningItem{{Run: testRun(jobA, 1, 1), Percent: 10}}}, sent, b.now)
	b.core.SetClosed("w2", true)
	b.core.Evacuate("w2", true, b.now)
	if o := b.round(); len(o.Stops) > 0 {
		t.Errorf("stopped %v, which may serve since a report that is %v old", o.Stops[0].Run, b.now-sent)
	}
}
