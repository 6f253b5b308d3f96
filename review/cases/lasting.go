package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"dotterelhead.example/dotterelhead/review/kit"
)

// lasting: a job has five work items that last; one of them may be unavailable by the
// system's actions. The worker of one work item crashes, and so do, one at a time, the next
// three workers that start it, before it is at work. Nobody cancels the job.
func lasting(s *site) (int, error) {
	const (
		path     = "/nest/00000000000000a1"
		item     = "00000000000000a1.0.0.0"
		count    = 5
		allowed  = 1
		crashAge = 500 * time.Millisecond
		downTime = 1500 * time.Millisecond
		most     = 4
	)
	done := make(chan struct{})
	defer close(done)
	if err := s.addWorkers(kinds("a", 8), func(string, string, int64) (time.Duration, string) { return 0, "" }); err != nil {
		return notRun, err
	}
	var crashed atomic.Int64
	var mu sync.Mutex
	stopped := map[string]bool{}
	crash := func(w *kit.Worker) {
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
	for _, w := range s.workers {
		w.OnStart = func(w *kit.Worker, started string, _ int64) {
			if started != item || crashed.Load() == 0 || crashed.Load() >= most {
				return
			}
			crashed.Add(1)
			time.Sleep(crashAge)
			crash(w)
		}
		w.OnStop = func(_ *kit.Worker, item string) {
			mu.Lock()
			defer mu.Unlock()
			stopped[item] = true
		}
	}
	if err := s.publish(1, route{name: "nest", prefix: "/nest/", attempts: 2}); err != nil {
		return notRun, err
	}
	if err := s.startEntries(); err != nil {
		return notRun, err
	}
	job := submission{Spec: "nest", Steps: []step{{Count: count, CPU: 2000, MemMB: 1000, EstimateMs: 900, LongRunning: true, MaxUnavailable: allowed}}}
	if !s.caller.Submit(path, job, 10*time.Second) {
		return notRun, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		for _, w := range s.workers {
			if w.Running(item) {
				crashed.Add(1)
				crash(w)
				break
			}
		}
	}
	state := ""
	until(20*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		state = s.caller.State(path)
		return state == "failed"
	})
	mu.Lock()
	defer mu.Unlock()
	s.record.Printf("the job is shown as %q; %d of its %d work items were stopped at work, %d may be unavailable", state, len(stopped), count, allowed)
	// The first stop may be within the limit, if the other work items are at work.
	if len(stopped) > allowed {
		return broken, nil
	}
	if state != "running" {
		return notRun, fmt.Errorf("the job is shown as %q", state)
	}
	return held, nil
}
