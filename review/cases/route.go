package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// droppedRoute: a manifest without the job's route is in force for some seconds. Meanwhile
// the job's only work item fails twice; its queue allows it three attempts, and the third
// run would end done.
func droppedRoute(s *site) (int, error) {
	const (
		path     = "/nest/00000000000000d2"
		attempts = 3
		failures = 2
	)
	nest, cut := route{name: "nest", prefix: "/nest/", attempts: attempts}, route{name: "cut", prefix: "/cut/", attempts: 2}
	var runs, failed atomic.Int64
	behave := func(string, string, int64) (time.Duration, string) {
		if runs.Add(1) <= failures {
			failed.Add(1)
			return 1500 * time.Millisecond, "failed"
		}
		return 1500 * time.Millisecond, "done"
	}
	if err := s.addWorkers(kinds("a", 8), behave); err != nil {
		return notRun, err
	}
	if err := s.publish(1, nest, cut); err != nil {
		return notRun, err
	}
	if err := s.startEntries(); err != nil {
		return notRun, err
	}
	if !s.caller.Submit(path, submission{Spec: "nest", Steps: []step{{Count: 1, CPU: 2000, MemMB: 1000, EstimateMs: 1500}}}, 10*time.Second) {
		return notRun, fmt.Errorf("the job was not accepted")
	}
	if s.trouble {
		if err := s.publish(4, cut); err != nil {
			return notRun, err
		}
	}
	time.Sleep(6 * time.Second)
	if s.trouble {
		if err := s.publish(7, nest, cut); err != nil {
			return notRun, err
		}
		// A new manifest is in force after configApplyMs.
		time.Sleep(2500 * time.Millisecond)
	}
	state := s.finalState(path, 30*time.Second)
	s.record.Printf("the job is shown as %q; %d runs of its work item have ended failed, and its queue has %d attempts", state, failed.Load(), attempts)
	if state == "failed" && failed.Load() < attempts {
		return broken, nil
	}
	if state != "completed" {
		return notRun, fmt.Errorf("the job is shown as %q", state)
	}
	return held, nil
}
