package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// usualPause is the usual time between two jobs.
const usualPause = 250 * time.Millisecond

// hopelessJob hands jobs in, two of which can never be done: each of their work items fails
// at once. The last job that can be done has three steps.
func hopelessJob(w *world) ([]string, error) {
	if err := w.publish(1, []route{{name: "r-1", prefix: "/nest/", service: "nestmeister", attempts: 3}}); err != nil {
		return nil, err
	}
	for n := range 3 {
		if _, err := w.addWorker("nestmeister", n, 16000); err != nil {
			return nil, err
		}
	}
	if err := w.startEntries(3); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)
	steps := func(count int, spec string, n int) jobRequest {
		job := jobRequest{Spec: spec}
		for k := range n {
			s := step{Count: count, CPU: 1900, MemMB: 3900, EstimateMs: 500}
			if k > 0 {
				s.After = []int{k - 1}
			}
			job.Steps = append(job.Steps, s)
		}
		return job
	}
	var ids []string
	// A twentieth of the jobs can never be done.
	for n := range 40 {
		id := fmt.Sprintf("5c0e7a21d94b36%02x", n)
		job := steps(4, "work=500ms", 2)
		hopeless := n == 37 || n == 38
		switch {
		case hopeless && w.trouble:
			job = steps(18, "work=50ms fails", 1)
		case hopeless:
			job = steps(18, "work=50ms", 1)
		case n == 39:
			job = steps(2, "work=500ms", 3)
		}
		if status, _ := w.call(w.other(0), "POST", "/nest/"+id, job); status != 200 {
			return nil, errors.Errorf("status %d", status)
		}
		if !hopeless || !w.trouble {
			ids = append(ids, id)
		}
		switch n {
		case 36:
			time.Sleep(1500 * time.Millisecond)
		case 38:
		default:
			time.Sleep(usualPause)
		}
	}
	w.rec.add("the traffic ends")
	time.Sleep(finishTime - usualPause)
	var broken []string
	for _, id := range ids {
		_, state := w.call(w.other(0), "GET", "/nest/"+id, nil)
		if strings.Contains(state, "completed") {
			continue
		}
		if idle := w.idleTime(id); idle >= 3*time.Second {
			broken = append(broken, fmt.Sprintf("LOST: %v after the end of the traffic, job %s has had nothing running for %.1f s on an empty pool of 48 cores, while the turn of its next step had come; its state is %s", finishTime, id, idle.Seconds(), state))
		}
	}
	return broken, nil
}

// idleTime returns for how long nothing of a job has run on any worker. All steps of the
// cases that ask for it follow each other, so that the turn of a work item has come.
func (w *world) idleTime(job string) time.Duration {
	if w.running(job) > 0 {
		return 0
	}
	var last time.Time
	for _, k := range w.workers {
		k.mu.Lock()
		for _, e := range k.ended {
			if strings.HasPrefix(e.task, job+".") && e.at.After(last) {
				last = e.at
			}
		}
		k.mu.Unlock()
	}
	if last.IsZero() {
		return 0
	}
	return time.Since(last)
}
