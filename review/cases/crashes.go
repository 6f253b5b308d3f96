package main

import (
	"fmt"
	"sync/atomic"
	"time"

	"dotterelhead.example/dotterelhead/review/kit"
)

// crashes: workers crash one after the other, 3 s after each other, and each time the one
// that runs the job's only work item is hit. None of its runs ends failed.
func crashes(s *site) (int, error) {
	const (
		item     = "00000000000000c1.0.0.0"
		path     = "/nest/00000000000000c1"
		crashAge = 3 * time.Second
		downTime = 1500 * time.Millisecond
		most     = 3
	)
	done := make(chan struct{})
	defer close(done)
	if err := s.addWorkers(kinds("a", 8), func(string, string, int64) (time.Duration, string) { return 8 * time.Second, "done" }); err != nil {
		return notRun, err
	}
	var count atomic.Int64
	for _, w := range s.workers {
		w.OnStart = func(w *kit.Worker, started string, _ int64) {
			if !s.trouble || started != item || count.Add(1) > most {
				return
			}
			time.Sleep(crashAge)
			w.Crash()
			time.Sleep(downTime)
			select {
			case <-done:
			default:
				if err := w.Start("a", 0); err != nil {
					s.record.Printf("worker %s: %v", w.ID, err)
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
	if !s.caller.Submit(path, submission{Spec: "nest", Steps: []step{{Count: 1, CPU: 2000, MemMB: 1000, EstimateMs: 8000}}}, 10*time.Second) {
		return notRun, fmt.Errorf("the job was not accepted")
	}
	state := s.finalState(path, 60*time.Second)
	s.record.Printf("the job is shown as %q; no run of its work item has ended failed", state)
	if state == "failed" {
		return broken, nil
	}
	if state != "completed" {
		return notRun, fmt.Errorf("the job has no final state after 60 s")
	}
	return held, nil
}
