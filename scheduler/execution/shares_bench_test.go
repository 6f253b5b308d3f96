package execution

import (
	"fmt"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// benchCore returns an owner of 5 pools of 70 workers that are full, with waiting steps of 8
// items, by turns of each pool and organisation.
func benchCore(organisations, steps int) (*Core, Time) {
	b := &testbed{T: &testing.T{}, now: time.Second}
	b.core = New(Options{LeaseDuration: testHold, StopTimeout: 400 * time.Millisecond}, 0)
	m := &job.Manifest{Version: 1, Organisations: job.NewOrganisations()}
	for n := range organisations {
		m.Organisations.Add(job.Organisation{Name: fmt.Sprintf("organisation-%d", n), Weight: 1e6, Cap: job.Resources{MilliCPU: 1e9}}, nil)
	}
	for n := range 5 {
		pool := fmt.Sprintf("pool-%d", n)
		m.Queues = append(m.Queues, job.Queue{Name: pool, Service: pool, Attempts: 2, LatencyFactor: 1.6, TargetLatency: 600 * time.Millisecond})
	}
	b.core.SetManifest(m)
	for n := range 350 {
		w := testWorker(fmt.Sprintf("w%d", n), 64_000)
		w.Service, w.Capacity.MemoryMB = fmt.Sprintf("pool-%d", n%5), 262_144
		b.core.WorkerSeen(w, b.now)
		b.report(w.ID, Report{})
	}
	b.recordHolders()
	add := func(n int) {
		pool := fmt.Sprintf("pool-%d", n%5)
		j := &job.Job{ID: fmt.Sprintf("%016x", n), Queue: pool, Service: pool, Accepted: wall.Add(b.now), Steps: []job.Step{{
			Count: 8, Needs: job.Resources{MilliCPU: 6200, MemoryMB: 1000}, Estimate: time.Duration(n%17+3) * 100 * time.Millisecond,
		}}}
		if organisations > 0 {
			j.Organisation = fmt.Sprintf("organisation-%d", n*7919%organisations)
		}
		b.core.AddJob(j, job.Progress{}, false, wall, b.now)
	}
	const full = 450
	for n := range full {
		add(n)
	}
	b.round()
	for n := range steps {
		add(full + n)
	}
	return b.core, b.now
}

// BenchmarkRound measures a round of full pools with 100,000 waiting items, and with those
// of some 5 s of 60 jobs a second.
func BenchmarkRound(b *testing.B) {
	for _, c := range []struct{ organisations, steps int }{{0, 300}, {20, 300}, {0, 12_500}, {20, 12_500}, {200, 12_500}, {2000, 12_500}} {
		b.Run(fmt.Sprintf("organisations=%d/items=%d", c.organisations, 8*c.steps), func(b *testing.B) {
			core, now := benchCore(c.organisations, c.steps)
			for b.Loop() {
				now += time.Microsecond
				core.Round(wall.Add(now), now)
			}
		})
	}
}
