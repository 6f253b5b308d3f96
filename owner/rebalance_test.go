package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/job"
)

// Load pattern: a pool suddenly needs many more VMs. The platform refuses orders
// beyond the number that it accepts per second. A fixed number of orders for
// each reading of the list made a pool of 220 VMs wait 3 s for its last VMs.
func TestMovesKeepToThePlatformsRate(t *testing.T) {
	for _, perSecond := range []float64{30, 300} {
		vms := &fakeVMs{}
		tm := testTermAtRate(t, vms, perSecond)
		manifest := &job.Manifest{
			Services: []job.Service{{Name: "a"}, {Name: "spare", Spare: true}},
			Queues:   []job.Queue{{Name: "q", Service: "a", Attempts: 1, LatencyFactor: 1}},
		}
		tm.testWorker("w1")
		tm.mu.Lock()
		tm.core.SetManifest(manifest)
		step := job.Step{Count: 1000, Needs: job.Resources{MilliCPU: 1000, MemoryMB: 1}}
		tm.core.AddJob(&job.Job{ID: "0000000000000001", Queue: "q", Steps: []job.Step{step}}, job.Progress{}, false, time.Now(), boottime.Now())
		tm.core.MarkDue(time.Now(), boottime.Now())
		tm.mu.Unlock()
		list := []VM{{ID: "m1", Pool: "a", Worker: "w1", Up: true}}
		for n := range 500 {
			list = append(list, VM{ID: fmt.Sprintf("s%d", n), Pool: "spare", Up: true})
		}
		tm.rebalance(context.Background(), newRebalancing(0), list, nil)
		if n := len(vms.moves); n < int(perSecond/3) || n > int(perSecond) {
			t.Errorf("%d moves at once where the platform takes %.0f a second, want a third at least", n, perSecond)
		}
	}
}
