package execution

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// Guards against a limit of the backlog that does not keep the owner within its memory,
// because jobs take more than is reckoned with, and against one that refuses jobs for which
// there is room.
func TestHeldBytesCoverTheMemoryOfJobs(t *testing.T) {
	usual := oneStep("", job.Step{Count: 8})
	usual.Steps = append(usual.Steps, job.Step{Count: 8, After: []int{0}, Needs: usual.Steps[0].Needs})
	large := largestJob("", job.Step{Label: strings.Repeat("l", 40), Image: strings.Repeat("i", 40)})
	large.Spec = strings.Repeat("s", job.MaxSpecBytes)
	for n := range large.Steps {
		for before := range n {
			large.Steps[n].After = append(large.Steps[n].After, before)
		}
	}
	timed := *usual
	timed.Occurrences, timed.FirstDue, timed.Interval = job.MaxOccurrences, wall.Add(-time.Hour), time.Millisecond
	for _, test := range []struct {
		name  string
		spec  *job.Job
		count int
	}{{"usual", usual, 20_000}, {"large", large, 1000}, {"timed", &timed, 200}} {
		t.Run(test.name, func(t *testing.T) {
			record, err := json.Marshal(test.spec)
			if err != nil {
				t.Fatal(err)
			}
			b := newTestbed(t, 0)
			b.worker(testWorker("w", 0), Report{})
			before := heapBytes()
			for n := range test.count {
				j := &job.Job{ID: fmt.Sprintf("%016x", n)}
				if err := json.Unmarshal(record, j); err != nil {
					t.Fatal(err)
				}
				b.core.AddJob(j, job.Progress{}, false, wall.Add(b.now), b.now)
			}
			b.round()
			taken, held := heapBytes()-before, b.core.HeldBytes()[testQueue]
			t.Logf("%d bytes a job, %d reckoned with", taken/int64(test.count), held/int64(test.count))
			if taken > held || 3*taken < held {
				t.Errorf("jobs take %d bytes, %d are reckoned with", taken, held)
			}
			for n := range test.count {
				b.core.Cancel(fmt.Sprintf("%016x", n), b.now)
			}
			b.core.MarkCommitted(b.core.TakeWrites(test.count))
			if removed := b.core.RemoveFinished(0, test.count, b.now+time.Second); len(removed) != test.count || len(b.core.HeldBytes()) > 0 {
				t.Errorf("%v bytes are held after %d of %d jobs were removed", b.core.HeldBytes(), len(removed), test.count)
			}
			runtime.KeepAlive(b)
		})
	}
}
