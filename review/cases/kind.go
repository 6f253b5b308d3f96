package main

import (
	"fmt"
	"sync/atomic"
	"time"

	"dotterelhead.example/dotterelhead/review/kit"
)

// otherKind: the only worker of kind b runs a job that requires this kind. It crashes, and
// starts again under its ID and at its address as kind a. It writes its entry within the
// interval of heartbeats, after it has told the owner its new start in answer to a hold.
func otherKind(s *site) (int, error) {
	const (
		path     = "/nest/00000000000000e3"
		item     = "00000000000000e3.0.0.0"
		work     = 4 * time.Second
		downTime = time.Second
		checkIn  = 1200 * time.Millisecond
	)
	if err := s.addWorkers([]string{"b", "a", "a", "a", "a", "a", "a", "a"}, func(string, string, int64) (time.Duration, string) { return work, "done" }); err != nil {
		return notRun, err
	}
	var wrong, started atomic.Int64
	for _, w := range s.workers {
		w.OnStart = func(w *kit.Worker, item string, run int64) {
			started.Add(1)
			// A start that is sent before the worker has told its new start cannot count.
			if kind := w.Kind(); kind != "b" && w.Held() {
				wrong.Add(1)
				s.record.Printf("run %d of %s, whose step requires kind b, is on worker %s of kind %s", run, item, w.ID, kind)
			}
		}
	}
	if err := s.publish(1, route{name: "nest", prefix: "/nest/", attempts: 2}); err != nil {
		return notRun, err
	}
	if err := s.startEntries(); err != nil {
		return notRun, err
	}
	job := submission{Spec: "nest", Steps: []step{{Count: 1, CPU: 2000, MemMB: 1000, EstimateMs: 4000, Requires: "b"}}}
	if !s.caller.Submit(path, job, 10*time.Second) {
		return notRun, fmt.Errorf("the job was not accepted")
	}
	b := s.workers[0]
	if !until(5*time.Second, func() bool { return b.Running(item) }) {
		return notRun, fmt.Errorf("the work item does not start")
	}
	time.Sleep(time.Second)
	if s.trouble {
		b.Crash()
		time.Sleep(downTime)
		if err := b.Start("a", checkIn); err != nil {
			return notRun, err
		}
		time.Sleep(6 * time.Second)
	} else if state := s.finalState(path, 20*time.Second); state != "completed" {
		return notRun, fmt.Errorf("the job is shown as %q", state)
	}
	s.record.Printf("%d runs have begun, %d of them on a worker of another kind", started.Load(), wrong.Load())
	if wrong.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
