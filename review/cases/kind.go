package main

import (
	"fmt"
	"sync/atomic"
	"time"

	"dotterelhead.example/dotterelhead/review/kit"
)

// otherKind: the workers of kind b crash and start again under their IDs and at their
// addresses as kind a. They write their entries within the interval of heartbeats. A job
// that requires kind b waits meanwhile.
func otherKind(s *site) (int, error) {
	const (
		path     = "/nest/00000000000000e3"
		downTime = time.Second
		checkIn  = 1200 * time.Millisecond
	)
	if err := s.addWorkers([]string{"b", "a", "a", "a", "a", "a", "a", "a"}, func(string, string, int64) (time.Duration, string) { return time.Second, "done" }); err != nil {
		return notRun, err
	}
	var wrong, started atomic.Int64
	for _, w := range s.workers {
		w.OnStart = func(w *kit.Worker, item string, run int64) {
			started.Add(1)
			if kind := w.Kind(); kind != "b" {
				wrong.Add(1)
				s.record.Printf("run %d of %s, whose step requires kind b, is on worker %s of kind %s", run, item, w.ID, kind)
			}
		}
	}
	if err := s.publish(1, route{"nest", "/nest/", 2}); err != nil {
		return notRun, err
	}
	if err := s.startEntries(); err != nil {
		return notRun, err
	}
	b := s.workers[0]
	if s.trouble {
		b.Crash()
		time.Sleep(downTime)
	}
	job := submission{Spec: "nest", Steps: []step{{Count: 3, CPU: 2000, MemMB: 1000, EstimateMs: 1000, Requires: "b"}}}
	if !s.caller.Submit(path, job, 10*time.Second) {
		return notRun, fmt.Errorf("the job was not accepted")
	}
	if s.trouble {
		if err := b.Start("a", checkIn); err != nil {
			return notRun, err
		}
	}
	until(8*time.Second, func() bool { return !s.trouble && s.caller.State(path) == "completed" })
	s.record.Printf("%d runs have begun, %d of them on a worker of another kind", started.Load(), wrong.Load())
	if wrong.Load() > 0 {
		return broken, nil
	}
	if !s.trouble && s.caller.State(path) != "completed" {
		return notRun, fmt.Errorf("the job is not completed")
	}
	return held, nil
}
