package execution

import (
	"fmt"
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
