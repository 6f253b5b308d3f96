package execution

import (
	"fmt"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

const (
	testOrganisation = "harbour"
	jobC             = "00000000000000cc"
)

// setCap puts a manifest in force in which the organisation of the tests has a CPU cap.
func (b *testbed) setCap(milliCPU int64) {
	m := *b.core.manifest
	m.Version++
	m.Organisations = job.NewOrganisations()
	m.Organisations.Add(job.Organisation{Name: testOrganisation, Weight: 100, Cap: job.Resources{MilliCPU: milliCPU}}, nil)
	b.core.SetManifest(&m)
}

// add adds a job of the organisation of the tests.
func (b *testbed) add(id string, s job.Step, p job.Progress, inherited bool) {
	j := oneStep(id, s)
	j.Organisation = testOrganisation
	b.core.AddJob(j, p, inherited, wall, b.now)
}

func (b *testbed) wantStarts(want int, when string) []Start {
	b.Helper()
	starts := b.round().Starts
	if len(starts) != want {
		b.Fatalf("%s: starts %v, want %d", when, starts, want)
	}
	return starts
}

// Items on all pools and the CPU of fillers count against the cap, and a gang that does not
// fit starts none of its members.
func TestCapCountsGangsAsAWhole(t *testing.T) {
	b := newTestbed(t, 0)
	b.setCap(4000)
	b.worker(testWorker("w1", 8000), Report{})
	b.add(jobA, job.Step{Filler: true}, job.Progress{}, false)
	filler := b.wantStarts(1, "filler")[0]
	b.core.StartDone(filler, Started, b.now)
	b.add(jobB, job.Step{Count: 4, Gang: true}, job.Progress{}, false)
	b.wantStarts(0, "gang of 4 beside a filler")
	b.report("w1", Report{Ended: []EndedItem{{Number: 1, Run: filler.Run, Kind: EndDone}}})
	b.wantStarts(4, "gang alone")
}

// Several workers leave starts and stops unanswered while the cap shrinks. Their runs count
// until it is certain that they don't run, and nothing is stopped for the cap.
func TestShrinkingCapCountsUnansweredOrders(t *testing.T) {
	b := newTestbed(t, 0)
	b.setCap(3000)
	b.worker(testWorker("w1", 4000), Report{})
	b.add(jobA, job.Step{Count: 3}, job.Progress{}, false)
	starts := b.wantStarts(3, "cap of 3 items")
	b.core.StartDone(starts[0], Started, b.now)
	b.core.StartDone(starts[1], Started, b.now)
	b.core.StartDone(starts[2], StartUnknown, b.now)
	b.setCap(2000)
	b.add(jobB, job.Step{Count: 3}, job.Progress{}, false)
	b.now += failedStartPause
	running := []RunningItem{{Run: starts[0].Run, Percent: 1}, {Run: starts[1].Run, Percent: 1}}
	b.report("w1", Report{Running: running})
	orders := b.round()
	if len(orders.Starts) > 0 || len(orders.Stops) != 1 || orders.Stops[0].Run != starts[2].Run {
		t.Fatalf("orders %+v, want only the stop of the start without an answer", orders)
	}
	b.core.StopDone(orders.Stops[0], false, b.now)
	b.report("w1", Report{Running: running[:1], Ended: []EndedItem{{Number: 1, Run: starts[1].Run, Kind: EndDone}}})
	again := b.roundAfter(stopRetryInterval)
	if len(again.Starts) > 0 || len(again.Stops) != 1 {
		t.Fatalf("orders %+v while the start may yet be carried out, want another stop", again)
	}
	b.core.StopDone(again.Stops[0], true, b.now)
	b.now += time.Millisecond
	b.report("w1", Report{Running: running[:1]})
	b.wantStarts(1, "the start was not carried out")
}

// An owner is killed. The new one doesn't know what the workers run that it has not reached:
// runs of a job that goes on, and of one that was cancelled meanwhile.
func TestNewOwnerCountsUnseenRuns(t *testing.T) {
	for _, phase := range []job.Phase{job.Running, job.Cancelled} {
		b := newTestbed(t, 1)
		b.setCap(2000)
		b.core.SetFormerHolders(map[string]time.Duration{"w1": testHold, "w2": testHold}, b.now)
		b.core.WorkerSeen(testWorker("w1", 4000), b.now)
		b.add(jobA, job.Step{Count: 2}, job.Progress{Phase: phase}, true)
		b.worker(testWorker("w2", 4000), Report{})
		b.add(jobC, job.Step{Count: 2}, job.Progress{}, false)
		b.wantStarts(0, "w1 may run two items")
		run := RunningItem{Run: testRun(jobA, 0, 1), Percent: 1}
		b.report("w1", Report{Running: []RunningItem{run}})
		started := b.wantStarts(1, "w1 runs one item")
		if phase == job.Running && started[0].Item.Job != jobA {
			t.Errorf("%v starts, want the item of the older job", started[0].Run)
		}
		b.report("w1", Report{Ended: []EndedItem{{Number: 1, Run: run.Run, Kind: EndDone}}})
		b.wantStarts(1, "the item has ended")
	}
}

// The log line of organisations that wait for their caps is bounded, whatever their number.
func TestCapWaitsAreLoggedWithABound(t *testing.T) {
	b := newTestbed(t, 0)
	m := *b.core.manifest
	m.Organisations = job.NewOrganisations()
	b.worker(testWorker("w1", 4000), Report{})
	for n := range 20 {
		name := fmt.Sprintf("organisation-%d", n)
		m.Organisations.Add(job.Organisation{Name: name, Weight: 1, Cap: job.Resources{MilliCPU: 500}}, nil)
		j := oneStep(fmt.Sprintf("%016x", n), job.Step{LongRunning: n == 0})
		j.Organisation = name
		b.core.AddJob(j, job.Progress{}, false, wall, b.now)
	}
	b.core.SetManifest(&m)
	events := map[string]int{}
	b.core.options.Trace = func(e Event) { events[e.Name+" "+e.Reason]++ }
	b.round()
	b.roundAfter(waitLogInterval)
	if n := events["organisation_waits cap"]; n != maxOrganisationLines {
		t.Errorf("%d lines in one round, want %d", n, maxOrganisationLines)
	}
	if events["item_waits cap"] != 1 {
		t.Errorf("events %v, want the long-running item to wait for the cap", events)
	}
	if usage := b.core.OrganisationUsage(); len(usage) != 20 || usage[0].Waiting != 1 || usage[0].Cap.MilliCPU != 500 {
		t.Errorf("usage %+v", usage)
	}
}

// A gang that fits the cap and that no worker can hold must not keep the rest of the cap.
func TestCapIsNotKeptForAGangWithoutWorkers(t *testing.T) {
	b := newTestbed(t, 0)
	b.setCap(4000)
	b.worker(testWorker("w1", 4000), Report{})
	b.add(jobA, job.Step{}, job.Progress{}, false)
	first := b.wantStarts(1, "small job")[0]
	b.core.StartDone(first, Started, b.now)
	b.add(jobB, job.Step{Count: 4, Gang: true, Label: "absent"}, job.Progress{}, false)
	b.wantStarts(0, "the gang does not fit the cap")
	b.now += minReserveWait
	b.wantStarts(0, "the rest of the cap is kept from now on")
	b.add(jobC, job.Step{}, job.Progress{}, false)
	b.wantStarts(0, "the rest of the cap is kept")
	b.report("w1", Report{Ended: []EndedItem{{Number: 1, Run: first.Run, Kind: EndDone}}})
	b.wantStarts(0, "the gang fits the cap")
	b.wantStarts(1, "the gang has found no workers")
}

// The former owner started a second step, but could not record the end of the first one.
func TestUnseenRunsOfLaterStepsCount(t *testing.T) {
	b := newTestbed(t, 1)
	b.setCap(4000)
	b.core.SetFormerHolders(map[string]time.Duration{"w1": testHold, "w2": testHold}, b.now)
	b.core.WorkerSeen(testWorker("w1", 4000), b.now)
	j := oneStep(jobA, job.Step{})
	j.Organisation = testOrganisation
	j.Steps = append(j.Steps, job.Step{Count: 3, Needs: j.Steps[0].Needs, After: []int{0}})
	b.core.AddJob(j, job.Progress{Phase: job.Running}, true, wall, b.now)
	b.worker(testWorker("w2", 4000), Report{})
	b.add(jobC, job.Step{Count: 3}, job.Progress{}, false)
	b.wantStarts(0, "w1 may run three items of the second step")
}

// Guards against a cap that stays charged for unwanted runs whose worker was taken or replaced:
// the organisation could never use that part of its cap again.
func TestUnwantedRunsOfRemovedWorkersFreeTheCap(t *testing.T) {
	for name, remove := range map[string]func(b *testbed){
		"taken": func(b *testbed) { b.core.Terminated("w2", 1, b.now) },
		"replaced": func(b *testbed) {
			next := testWorker("w3", 1000)
			next.VM, next.StartMillis = "vm-2", 2
			b.core.WorkerSeen(next, b.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 0)
			b.setCap(2000)
			b.worker(testWorker("w1", 8000), Report{})
			b.add(jobA, job.Step{}, job.Progress{}, false)
			start := b.wantStarts(1, "first item")[0]
			b.core.StartDone(start, Started, b.now)
			second := testWorker("w2", 1000)
			second.VM = "vm-2"
			b.worker(second, Report{Running: []RunningItem{{Run: Run{start.Run.Item, start.Run.Number + 1}}}})
			b.add(jobB, job.Step{}, job.Progress{}, false)
			b.wantStarts(0, "beside an unwanted run")
			remove(b)
			b.wantStarts(1, "without the unwanted run")
		})
	}
}

// Guards against a cap whose rest is kept for a gang that cannot fit beside long-running items:
// the smaller items of the organisation waited for 20 s for nothing.
func TestCapIsNotKeptForGangThatCannotFit(t *testing.T) {
	b := newTestbed(t, 0)
	b.setCap(4000)
	b.worker(testWorker("w1", 8000), Report{})
	b.add(jobA, job.Step{LongRunning: true}, job.Progress{}, false)
	b.core.StartDone(b.wantStarts(1, "long-running item")[0], Started, b.now)
	b.add(jobB, job.Step{Count: 4, Gang: true}, job.Progress{}, false)
	b.wantStarts(0, "gang of 4 beside a long-running item")
	b.now += minReserveWait
	b.wantStarts(0, "gang that has waited")
	b.add(jobC, job.Step{Count: 2}, job.Progress{}, false)
	b.wantStarts(2, "smaller items")
}
