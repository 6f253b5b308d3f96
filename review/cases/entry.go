package main

import (
	"fmt"
	"net"
	"sync"
	"time"

	"dotterelhead.example/dotterelhead/review/kit"
)

// foreignEntry: another writer leaves an entry in the registry that has no zone, version,
// slots, coldLeftMs and seq. It names the machine of a worker that runs a work item.
func foreignEntry(s *site) (int, error) {
	const (
		path = "/nest/00000000000000b1"
		item = "00000000000000b1.0.0.0"
		work = 6 * time.Second
	)
	var mu sync.Mutex
	twice, starts := 0, 0
	if err := s.addWorkers(kinds("a", 8), func(string, string, int64) (time.Duration, string) { return work, "done" }); err != nil {
		return notRun, err
	}
	for _, w := range s.workers {
		w.OnStart = func(w *kit.Worker, started string, run int64) {
			mu.Lock()
			defer mu.Unlock()
			starts++
			for _, other := range s.workers {
				if other != w && other.Running(started) {
					twice++
					s.record.Printf("run %d of %s begins on worker %s while worker %s, which is up, runs it", run, started, w.ID, other.ID)
				}
			}
		}
	}
	if err := s.publish(1, route{name: "nest", prefix: "/nest/", attempts: 2}); err != nil {
		return notRun, err
	}
	if err := s.startEntries(); err != nil {
		return notRun, err
	}
	job := submission{Spec: "nest", Steps: []step{{Count: 1, CPU: 2000, MemMB: 1000, EstimateMs: 6000}}}
	if !s.caller.Submit(path, job, 10*time.Second) {
		return notRun, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	var worker *kit.Worker
	for _, w := range s.workers {
		if w.Running(item) {
			worker = w
		}
	}
	if worker == nil {
		return notRun, fmt.Errorf("the work item does not run")
	}
	if s.trouble {
		// An address at which nothing listens.
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return notRun, err
		}
		address := l.Addr().String()
		_ = l.Close()
		s.record.Printf("another writer: entry inventory-1 with machine %s, addr %s, without zone, version, slots, coldLeftMs and seq", worker.Machine, address)
		err = s.store.Publish(kit.Names.Registry+"inventory-1", map[string]any{
			"service": "artwork", "addr": address, "state": "ready", "machine": worker.Machine, "born": time.Now().UnixMilli(),
			"capacity": map[string]int64{"cpu": 16000, "memMb": 65536, "gpu": 0},
		})
		if err != nil {
			return notRun, err
		}
	}
	state := s.finalState(path, 30*time.Second)
	mu.Lock()
	defer mu.Unlock()
	s.record.Printf("the job is shown as %q; its work item was started %d times, %d times while it ran", state, starts, twice)
	if twice > 0 {
		return broken, nil
	}
	if state != "completed" {
		return notRun, fmt.Errorf("the job is shown as %q", state)
	}
	return held, nil
}
