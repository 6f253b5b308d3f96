package execution

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

const testValidity = 20 * time.Second

// advisedPool returns a testbed with a pool whose queue needs advice.
func advisedPool(t *testing.T, workers int) *testbed {
	b := newTestbed(t, 0)
	b.core.SetManifest(&job.Manifest{Version: 2, Queues: []job.Queue{{Name: testQueue, Service: testService, Attempts: 2, Advice: &job.Advice{}}}})
	for n := range workers {
		b.worker(testWorker(fmt.Sprintf("w%02d", n), 1000), Report{})
	}
	return b
}

// startsOn runs rounds for d and returns the workers of the starts. The advice service
// allows only the given workers.
func (b *testbed) startsOn(d time.Duration, allowed ...string) (workers []string, calls int) {
	for until := b.now + d; b.now < until; b.now += 50 * time.Millisecond {
		for _, s := range b.round().Starts {
			b.core.StartDone(s, Started, b.now)
			workers = append(workers, s.Worker.ID)
		}
		for _, q := range b.core.AdviceRequests(b.now) {
			calls++
			tickets := map[string]string{}
			for _, id := range q.Workers {
				for _, a := range allowed {
					if id == a {
						tickets[id] = "t"
					}
				}
			}
			b.core.AdviceReceived(q, tickets, testValidity, b.now)
		}
	}
	return workers, calls
}

// The service was asked about the same 30 workers again and again, so that an item that
// only other workers may run was never started.
func TestAdviceIsAskedAboutAllWorkers(t *testing.T) {
	b := advisedPool(t, 3*workersPerAdviceCall)
	b.core.AddJob(oneStep(jobA, job.Step{LongRunning: true}), job.Progress{}, false, wall, b.now)
	last := fmt.Sprintf("w%02d", 3*workersPerAdviceCall-1)
	if workers, _ := b.startsOn(3*time.Second, last); len(workers) != 1 || workers[0] != last {
		t.Errorf("starts on %v, want one on %s", workers, last)
	}
}

// While the tickets of a step were valid, the service was not asked about other workers,
// so that items waited for those with tickets although others had room.
func TestAdviceIsAskedForWorkersWithRoom(t *testing.T) {
	b := advisedPool(t, 2*workersPerAdviceCall)
	b.core.AddJob(oneStep(jobA, job.Step{LongRunning: true, Count: 2}), job.Progress{}, false, wall, b.now)
	last := fmt.Sprintf("w%02d", 2*workersPerAdviceCall-1)
	if workers, _ := b.startsOn(3*time.Second, "w00", last); len(workers) != 2 {
		t.Errorf("starts on %v, want w00 and %s", workers, last)
	}
}

// A gang waited for ever for more workers with tickets than the first answer named.
func TestAdviceIsAskedForAWholeGang(t *testing.T) {
	b := advisedPool(t, 2*workersPerAdviceCall)
	b.core.AddJob(oneStep(jobA, job.Step{Gang: true, Count: 2}), job.Progress{}, false, wall, b.now)
	last := fmt.Sprintf("w%02d", 2*workersPerAdviceCall-1)
	if workers, _ := b.startsOn(3*time.Second, "w00", last); len(workers) != 2 {
		t.Errorf("starts on %v, want w00 and %s", workers, last)
	}
}

// A step that no worker may run must not be asked about all the time.
func TestAdviceCallsAreSpaced(t *testing.T) {
	b := advisedPool(t, 3)
	b.core.AddJob(oneStep(jobA, job.Step{}), job.Progress{}, false, wall, b.now)
	if _, calls := b.startsOn(5 * time.Second); calls > 11 {
		t.Errorf("%d calls in 5 s, want 11 at most", calls)
	}
}

// serialAdvisor models the advice service: it handles one call at a time, goes on with
// calls that were given up, and allows all workers.
type serialAdvisor struct {
	decide, perItem time.Duration
	// slowness, if set, returns how many times as long a call takes as stated.
	slowness  func(now Time) int
	calls     []adviceCall
	busyUntil Time
}

type adviceCall struct {
	AdviceRequest
	givenUpAt, answeredAt Time
}

func (a *serialAdvisor) take(requests []AdviceRequest, now Time) {
	for _, q := range requests {
		slowness := 1
		if a.slowness != nil {
			slowness = a.slowness(max(a.busyUntil, now))
		}
		a.busyUntil = max(a.busyUntil, now) + time.Duration(slowness)*(a.decide+time.Duration(len(q.Workers))*a.perItem)
		a.calls = append(a.calls, adviceCall{q, now + q.Timeout, a.busyUntil})
	}
}

// deliver passes the answers that are due, and the failures of calls that are given up, to
// the core. It returns how many calls were given up.
func (a *serialAdvisor) deliver(c *Core, validity time.Duration, now Time) (givenUp int) {
	a.calls = slices.DeleteFunc(a.calls, func(call adviceCall) bool {
		switch {
		case now >= call.answeredAt && call.answeredAt <= call.givenUpAt:
			tickets := map[string]string{}
			for _, id := range call.Workers {
				tickets[id] = "t"
			}
			c.AdviceReceived(call.AdviceRequest, tickets, validity, now)
		case now >= call.givenUpAt:
			c.AdviceReceived(call.AdviceRequest, nil, 0, now)
			givenUp++
		default:
			return false
		}
		return true
	})
	return givenUp
}

// Guards against jobs that stay queued on an empty pool: calls for advice that overlap were
// given up before the service could answer them, and made again, for ever.
func TestOverlappingAdviceCallsAreAnswered(t *testing.T) {
	const jobs, callTime = 12, 2 * time.Second
	b := advisedJobs(t, jobs)
	if givenUp, took := b.startAdvised(&serialAdvisor{}, jobs); givenUp > 0 || took > (jobs+1)*callTime {
		t.Errorf("%d calls are given up, and %d jobs have started after %v, want %v at most", givenUp, jobs, took, (jobs+1)*callTime)
	}
}

// Guards against jobs that are not started while the service is slower than stated, or busy
// with calls of a former owner that it goes on with, and never again afterwards.
func TestAdviceOfASlowServiceIsWaitedFor(t *testing.T) {
	const jobs, callTime, slowTime = 12, 2 * time.Second, time.Minute
	tests := []struct {
		name    string
		advisor serialAdvisor
		// lost is the time for which the service gives no useful answer.
		lost time.Duration
	}{
		{"always", serialAdvisor{slowness: func(Time) int { return 6 }}, 5 * jobs * callTime},
		{"for a while", serialAdvisor{slowness: func(now Time) int {
			if now < slowTime {
				return 20
			}
			return 1
		}}, slowTime},
		{"former owner", serialAdvisor{busyUntil: 20 * time.Second}, 20 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := advisedJobs(t, jobs)
			// The calls that are given up meanwhile, two at a time, take as long again.
			if limit, took := 2*test.lost+2*jobs*callTime, b.timeToStartAdvised(&test.advisor, jobs); took > limit {
				t.Errorf("the jobs have started after %v, want %v at most", took, limit)
			}
		})
	}
}

// Guards against a call that is given up because another one of its batch, of a queue whose
// calls take longer, reached the service first.
func TestAdviceCallsOfABatchMayArriveInAnyOrder(t *testing.T) {
	b := advisedPool(t, 1)
	times := map[string]time.Duration{"brief": 100 * time.Millisecond, "long": 10 * time.Second}
	m := &job.Manifest{Version: 3}
	for _, name := range []string{"brief", "long"} {
		m.Queues = append(m.Queues, job.Queue{Name: name, Service: testService, Attempts: 2, Advice: &job.Advice{Decide: times[name]}})
	}
	b.core.SetManifest(m)
	for n, name := range []string{"brief", "long"} {
		j := oneStep(fmt.Sprintf("%016x", n), job.Step{})
		j.Queue = name
		b.core.AddJob(j, job.Progress{}, false, wall, b.now)
		b.round()
	}
	requests := b.core.AdviceRequests(b.now)
	if len(requests) != 2 {
		t.Fatalf("%d calls, want 2", len(requests))
	}
	for _, q := range requests {
		if together := times["brief"] + times["long"]; q.Timeout < together+AnswerTimeout {
			t.Errorf("call about job %s has a timeout of %v, both calls together take %v", q.Step.Job, q.Timeout, together)
		}
	}
}

// advisedJobs returns a pool of 12 workers about which a call for advice takes 2 s, as the
// queue states, and long-running jobs that wait for it.
func advisedJobs(t *testing.T, jobs int) *testbed {
	t.Helper()
	b := advisedPool(t, 12)
	b.core.SetManifest(&job.Manifest{Version: 3, Queues: []job.Queue{{
		Name: testQueue, Service: testService, Attempts: 2, Advice: &job.Advice{Decide: 800 * time.Millisecond, PerItem: 100 * time.Millisecond},
	}}})
	for n := range jobs {
		b.core.AddJob(oneStep(fmt.Sprintf("%016x", n), job.Step{LongRunning: true, Needs: job.Resources{MilliCPU: 100, MemoryMB: 1}}), job.Progress{}, false, wall, b.now)
	}
	return b
}

// startAdvised runs rounds with answers of an advisor until all jobs have started. It
// returns how many calls were given up, and how long it took, at most 10 min.
func (b *testbed) startAdvised(a *serialAdvisor, jobs int) (givenUp int, took time.Duration) {
	a.decide, a.perItem = 800*time.Millisecond, 100*time.Millisecond
	started, began, running := 0, b.now, map[string][]RunningItem{}
	for ; started < jobs && b.now < began+10*time.Minute; b.now += 50 * time.Millisecond {
		givenUp += a.deliver(b.core, 3*time.Second, b.now)
		for _, s := range b.round().Starts {
			b.core.StartDone(s, Started, b.now)
			running[s.Worker.ID] = append(running[s.Worker.ID], RunningItem{Run: s.Run, Percent: 100})
			started++
		}
		for n := range 12 {
			id := fmt.Sprintf("w%02d", n)
			if h, due := b.core.HoldFor(id, b.now); due {
				b.core.HoldDone(h, Report{Clock: b.now, StartMillis: h.Worker.StartMillis, Running: running[id]}, b.now, b.now)
			}
		}
		a.take(b.core.AdviceRequests(b.now), b.now)
	}
	return givenUp, b.now - began
}

func (b *testbed) timeToStartAdvised(a *serialAdvisor, jobs int) time.Duration {
	_, took := b.startAdvised(a, jobs)
	return took
}

// Guards against a step behind others whose advice is not given: it was never asked about.
func TestAdviceIsAskedForInTurn(t *testing.T) {
	b := advisedPool(t, 2)
	ids := []string{"0000000000000001", "0000000000000002", "0000000000000003", "0000000000000004"}
	for _, id := range ids {
		b.core.AddJob(oneStep(id, job.Step{}), job.Progress{}, false, wall, b.now)
	}
	asked := map[string]int{}
	for range 40 {
		b.now += 300 * time.Millisecond
		b.round()
		requests := b.core.AdviceRequests(b.now)
		if len(requests) > maxAdviceCalls {
			t.Fatalf("%d calls at once", len(requests))
		}
		for _, q := range requests {
			asked[q.Step.Job]++
			b.core.AdviceReceived(q, nil, 0, b.now)
		}
	}
	for _, id := range ids {
		if asked[id] < 15 || asked[id] > 25 {
			t.Errorf("%d calls about job %s, want about 20 for each: %v", asked[id], id, asked)
		}
	}
}

// Guards against more calls at once than the service handles in time: a job that ended while
// a call about it was in flight was not counted any more.
func TestCallAboutAnEndedJobStaysInFlight(t *testing.T) {
	b := advisedPool(t, 2)
	for n := range 6 {
		b.core.AddJob(oneStep(fmt.Sprintf("%016x", n), job.Step{}), job.Progress{}, false, wall, b.now)
	}
	b.round()
	first := b.core.AdviceRequests(b.now)
	for _, q := range first {
		b.core.Cancel(q.Step.Job, b.now)
	}
	if more := b.core.AdviceRequests(b.now); len(first) != maxAdviceCalls || len(more) > 0 {
		t.Fatalf("%d and %d calls, want %d and none", len(first), len(more), maxAdviceCalls)
	}
	b.core.AdviceReceived(first[0], nil, 0, b.now)
	if more := b.core.AdviceRequests(b.now); len(more) != 1 {
		t.Errorf("%d calls after one was answered, want 1", len(more))
	}
}
