package processtest

import (
	"context"
	"syscall"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// checkFailed waits until each of the jobs is shown as failed.
func (c *jobCluster) checkFailed(jobs []*job.Job, timeout time.Duration) {
	c.Helper()
	r := c.requester()
	for _, j := range jobs {
		c.eventually(timeout, "failure of job "+j.ID, func() bool {
			phase, err := c.keyed(r, j).Phase(context.Background(), j.ID)
			if err == nil && phase == job.Completed {
				c.Fatalf("job %s, whose items crash their workers, is shown as completed", j.ID)
			}
			return err == nil && phase == job.Failed
		})
	}
}

// Guards against jobs whose items crash worker after worker, also when the owner is
// killed between the crashes, and against the failure of the jobs beside them.
func TestJobsThatCrashWorkersAreGivenUp(t *testing.T) {
	c := startJobCluster(t, 3, map[string]int{"artwork": 6, "spare": 1}, "spare")
	deadly := c.submitJobs(2, "deadly", 10*time.Millisecond)
	jobs := c.submitJobs(10, "work=200ms", 20*time.Millisecond)
	owner := c.owner()
	owner.signal(syscall.SIGKILL)
	<-owner.exited
	c.start(owner)
	jobs = append(jobs, c.submitJobs(10, "work=100ms", 20*time.Millisecond)...)
	c.checkFailed(deadly, 30*time.Second)
	c.checkCompleted(jobs, 30*time.Second)
}

// Guards against workers that are taken over their capacity after it has shrunk
// while they run something, and against work that doesn't go on once it has grown
// again.
func TestShrinkingCapacity(t *testing.T) {
	c := startJobCluster(t, 2, map[string]int{"artwork": 4, "spare": 0}, "spare")
	const spec = "work=700ms cpu=2000"
	jobs := c.submitJobs(12, spec, 5*time.Millisecond)
	vms := c.platform.Machines("artwork")
	for _, vm := range vms {
		// Room for two items; a worker of the stand-in has room for eight.
		if err := c.platform.SetCapacity(vm, 4500); err != nil {
			t.Fatal(err)
		}
	}
	// More work than the VMs have room for, for longer than the former capacity may
	// still be used.
	jobs = append(jobs, c.submitJobs(35, spec, 200*time.Millisecond)...)
	for _, vm := range vms[1:] {
		if err := c.platform.SetCapacity(vm, 16000); err != nil {
			t.Logf("capacity of %s not changed: %v", vm, err)
		}
	}
	c.checkCompleted(jobs, 60*time.Second)
}
