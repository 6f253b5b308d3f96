package execution

import (
	"encoding/json"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// queueSettings are the settings of the test queue with which jobs are accepted.
func queueSettings(attempts int) job.Queue {
	return job.Queue{Name: testQueue, Service: testService, Attempts: attempts, LatencyFactor: 1}
}

// acceptedUnder returns a job of one step as the store has it: accepted under a manifest
// with the queue.
func acceptedUnder(t *testing.T, id string, version int64, q job.Queue, s job.Step) *job.Job {
	t.Helper()
	j := oneStep(id, s)
	j.SetQueue(&q, version)
	return stored(t, j)
}

// stored returns the job after it was written to the store and read again.
func stored(t *testing.T, j *job.Job) *job.Job {
	t.Helper()
	data, err := json.Marshal(j)
	if err != nil {
		t.Fatal(err)
	}
	read := &job.Job{ID: j.ID}
	if err := json.Unmarshal(data, read); err != nil {
		t.Fatal(err)
	}
	return read
}

// manifestOf returns a manifest that follows another one.
func manifestOf(after *job.Manifest, version int64, queues ...job.Queue) *job.Manifest {
	m := &job.Manifest{Version: version, Queues: queues, Services: []job.Service{{Name: testService}}}
	m.KeepFormerQueues(after)
	return m
}

// failRuns lets the runs of the only item of a job fail, one after the other, until it is not
// started again. It returns the number of runs.
func (b *testbed) failRuns(id string) int {
	b.Helper()
	runs := 0
	for range 20 {
		for _, s := range b.roundAfter(100 * time.Millisecond).Starts {
			if s.Item.Job != id {
				continue
			}
			runs++
			b.core.StartDone(s, Started, b.now)
			b.now += time.Millisecond
			number := b.core.workers[s.Worker.ID].processedEnd + 1
			b.report(s.Worker.ID, Report{Ended: []EndedItem{{Number: number, Run: s.Run, Kind: EndFailed}}})
			b.core.MarkCommitted(b.core.TakeWrites(10))
		}
	}
	return runs
}

// Guards against a job that is shown as failed before its item has used up the attempts of its
// queue, or gets more of them, because the owner's manifest does not have the queue: it was
// dropped, or the job was accepted under a manifest that the owner does not have yet.
func TestAttemptsOfAQueueThatIsNotInTheManifest(t *testing.T) {
	first := manifestOf(nil, 1, queueSettings(3))
	for name, c := range map[string]struct {
		manifest *job.Manifest
		accepted int64
		attempts int
		want     int
	}{
		"dropped, 3 attempts":                {manifestOf(nil, 4), 1, 3, 3},
		"dropped, 1 attempt":                 {manifestOf(nil, 4), 1, 1, 1},
		"owner has an older manifest":        {manifestOf(nil, 1), 4, 3, 3},
		"owner has an older number":          {first, 4, 5, 5},
		"owner has a newer number":           {first, 0, 5, 3},
		"number changed before the drop":     {manifestOf(first, 4), 0, 5, 3},
		"dropped twice":                      {manifestOf(manifestOf(first, 4), 7), 0, 5, 3},
		"accepted anew before the last drop": {manifestOf(first, 7), 4, 5, 5},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 0)
			b.core.SetManifest(c.manifest)
			b.worker(testWorker("w1", 1000), Report{})
			b.core.AddJob(acceptedUnder(t, jobA, c.accepted, queueSettings(c.attempts), job.Step{}), job.Progress{}, false, wall, b.now)
			if runs := b.failRuns(jobA); runs != c.want || b.core.jobs[jobA].phase != job.Failed {
				t.Errorf("%s after %d runs that failed, want failed after %d", b.core.jobs[jobA].phase, runs, c.want)
			}
		})
	}
}

// Guards against starts on workers that the policy of a queue does not allow, or that reject
// them for want of a ticket, after the queue was removed from the manifest: without a ticket
// a long-running item did not start again beside workers with room.
func TestAdviceOfARemovedQueueIsAsked(t *testing.T) {
	b := newTestbed(t, 0)
	b.core.SetManifest(manifestOf(nil, 4))
	for _, id := range []string{"w1", "w2"} {
		b.worker(testWorker(id, 1000), Report{})
	}
	q := queueSettings(2)
	q.Advice = &job.Advice{Decide: time.Millisecond}
	b.core.AddJob(acceptedUnder(t, jobA, 1, q, job.Step{LongRunning: true}), job.Progress{}, false, wall, b.now)
	workers, calls := b.startsOn(time.Second, "w2")
	if calls == 0 || len(workers) != 1 || workers[0] != "w2" {
		t.Errorf("starts on %v after %d calls for advice, want one on w2, the only worker that is allowed", workers, calls)
	}
}

// Guards against jobs of a removed queue that go before all others: the queue had a low
// priority, and was taken to have the highest.
func TestRemovedQueueKeepsItsPriority(t *testing.T) {
	const urgent = "urgent"
	for name, removed := range map[string]*job.Job{
		"settings in the record":      acceptedUnder(t, jobA, 1, job.Queue{Name: testQueue, Service: testService, Attempts: 2, Priority: 2}, job.Step{}),
		"record without the settings": stored(t, oneStep(jobA, job.Step{})),
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 0)
			b.core.SetManifest(manifestOf(nil, 4, job.Queue{Name: urgent, Service: testService, Attempts: 2, Priority: 1}))
			b.worker(testWorker("w1", 1000), Report{})
			other := oneStep(jobB, job.Step{})
			other.Queue = urgent
			b.core.AddJob(removed, job.Progress{}, false, wall, b.now)
			b.core.AddJob(other, job.Progress{}, false, wall, b.now)
			if starts := b.round().Starts; len(starts) != 1 || starts[0].Item.Job != jobB {
				t.Errorf("starts %v, want the job of the queue with the higher priority", starts)
			}
		})
	}
}

// Guards against a guess about records without the settings of the queue, which earlier
// versions of the program have written: a job whose queue no known manifest has is neither
// ended after some failures nor started once more than its queue allows. It goes on under the
// manifest that has the queue again, also if the owner has changed.
func TestAttemptsThatAreNotKnown(t *testing.T) {
	for name, c := range map[string]struct{ attempts, more int }{
		"attempts left":    {3, 2},
		"attempts used up": {1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			record := stored(t, oneStep(jobA, job.Step{}))
			first := newTestbed(t, 0)
			first.core.SetManifest(manifestOf(nil, 4))
			first.worker(testWorker("w1", 1000), Report{})
			first.core.AddJob(record, job.Progress{}, false, wall, first.now)
			if runs := first.failRuns(jobA); runs != 1 || first.core.jobs[jobA].final() {
				t.Fatalf("%s after %d runs, want not ended after one", first.core.jobs[jobA].phase, runs)
			}
			progress := first.core.jobs[jobA].progress()
			second := newTestbed(t, 1)
			second.core.SetManifest(manifestOf(nil, 4))
			second.worker(testWorker("w2", 1000), Report{})
			second.core.AddJob(record, progress, true, wall, second.now)
			for owner, b := range map[string]*testbed{"same owner": first, "next owner": second} {
				if runs := b.failRuns(jobA); runs != 0 || b.core.jobs[jobA].final() {
					t.Fatalf("%s: %s after %d more runs without the queue, want none", owner, b.core.jobs[jobA].phase, runs)
				}
				b.core.SetManifest(manifestOf(nil, 7, queueSettings(c.attempts)))
				if runs := b.failRuns(jobA); runs != c.more || b.core.jobs[jobA].phase != job.Failed {
					t.Errorf("%s: %s after %d more runs, want failed after %d", owner, b.core.jobs[jobA].phase, runs, c.more)
				}
			}
		})
	}
}
