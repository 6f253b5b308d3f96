package main

import (
	"fmt"
	"time"
)

// clock: the time of day on one worker's machine jumps 2.4 s ahead and back again. The
// worker crashes twice and starts again under its ID: once while the clock is ahead, and
// once after it has jumped back. It is the only one of kind b. Then comes a job with two
// steps: the first requires kind b, the second may run anywhere.
func clock(s *site) (int, error) {
	const (
		path       = "/nest/00000000000000f1"
		firstItem  = "00000000000000f1.0.0.0"
		secondItem = "00000000000000f1.0.1.0"
		ahead      = 2400 * time.Millisecond
		downTime   = 800 * time.Millisecond
		uptime     = 800 * time.Millisecond
		finish     = 14 * time.Second
		patience   = 3 * time.Second
	)
	if err := s.addWorkers([]string{"b", "a", "a", "a", "a", "a", "a", "a"}, func(string, string, int64) (time.Duration, string) { return time.Second, "done" }); err != nil {
		return notRun, err
	}
	if err := s.publish(1, route{name: "nest", prefix: "/nest/", attempts: 2}); err != nil {
		return notRun, err
	}
	if err := s.startEntries(); err != nil {
		return notRun, err
	}
	b := s.workers[0]
	for n := range 2 {
		b.Crash()
		time.Sleep(downTime)
		b.ClockAhead = 0
		if s.trouble && n == 0 {
			b.ClockAhead = ahead
			s.record.Printf("the time of day on machine %s is %v ahead", b.Machine, ahead)
		}
		if err := b.Start("b", 0); err != nil {
			return notRun, err
		}
		time.Sleep(uptime)
	}
	s.record.Printf("the time of day on machine %s is right again since the second crash", b.Machine)
	time.Sleep(4 * time.Second)
	job := submission{Spec: "nest", Steps: []step{{Count: 1, CPU: 2000, MemMB: 1000, EstimateMs: 1000, Requires: "b"}, {Count: 1, CPU: 2000, MemMB: 1000, EstimateMs: 1000, After: []int{0}}}}
	if !s.caller.Submit(path, job, 10*time.Second) {
		return notRun, fmt.Errorf("the job was not accepted")
	}
	s.record.Printf("end of the traffic")
	holds := b.Holds()
	state := s.finalState(path, finish+patience)
	s.record.Printf("the job is shown as %q; worker %s answered %d holds meanwhile", state, b.ID, b.Holds()-holds)
	firstDone, begun := b.Ended(firstItem) == "done", false
	for _, w := range s.workers {
		begun = begun || w.Running(secondItem) || w.Ended(secondItem) != ""
	}
	if state != "completed" && firstDone && !begun {
		s.record.Printf("the only work item of the first step has ended done, that of the second has not begun")
		return broken, nil
	}
	if state != "completed" {
		return notRun, fmt.Errorf("the job is shown as %q", state)
	}
	return held, nil
}
