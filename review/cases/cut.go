package main

import (
	"fmt"
	"sync"
	"time"

	"dotterelhead.example/dotterelhead/review/kit"
)

// restartCut: an idle worker crashes and starts again under its ID. Before it has written its
// next entry, it is told to start a work item, and right after that it is cut off for 5.5 s and
// runs on.
func restartCut(s *site) (int, error) {
	const (
		path     = "/nest/00000000000000b7"
		work     = 12 * time.Second
		downTime = 800 * time.Millisecond
		checkIn  = 1200 * time.Millisecond
		cutTime  = 5500 * time.Millisecond
	)
	if err := s.addWorkers(kinds("a", 8), func(string, string, int64) (time.Duration, string) { return work, "done" }); err != nil {
		return notRun, err
	}
	var mu sync.Mutex
	var restarted *kit.Worker
	twice := 0
	for _, w := range s.workers {
		w.OnStart = func(w *kit.Worker, item string, run int64) {
			mu.Lock()
			defer mu.Unlock()
			for _, other := range s.workers {
				if other != w && other.Running(item) {
					twice++
					s.record.Printf("run %d of %s begins on worker %s while worker %s, which is up, runs it", run, item, w.ID, other.ID)
				}
			}
			if w == restarted && run == 1 && s.trouble {
				w.Cut(cutTime)
			}
		}
	}
	if err := s.publish(1, route{name: "nest", prefix: "/nest/", attempts: 2}); err != nil {
		return notRun, err
	}
	if err := s.startEntries(); err != nil {
		return notRun, err
	}
	// The first worker in the order of the IDs gets the first work item of an idle service.
	// Its clock has run for a while.
	time.Sleep(4 * time.Second)
	mu.Lock()
	restarted = s.workers[0]
	mu.Unlock()
	if s.trouble {
		restarted.Crash()
		time.Sleep(downTime)
		if err := restarted.Start("a", checkIn); err != nil {
			return notRun, err
		}
	}
	job := submission{Spec: "nest", Steps: []step{{Count: 1, CPU: 2000, MemMB: 1000, EstimateMs: 12000}}}
	if !s.caller.Submit(path, job, 10*time.Second) {
		return notRun, fmt.Errorf("the job was not accepted")
	}
	state := s.finalState(path, 60*time.Second)
	mu.Lock()
	defer mu.Unlock()
	s.record.Printf("the job is shown as %q; its work item was started %d times while it ran", state, twice)
	if twice > 0 {
		return broken, nil
	}
	if state != "completed" {
		return notRun, fmt.Errorf("the job is shown as %q", state)
	}
	return held, nil
}
