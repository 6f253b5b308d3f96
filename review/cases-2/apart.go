package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// apartFromOrphan runs a job whose work items may not share a worker, and of which copies
// may run. A worker is cut off for a while, so that a copy starts, and then the owner is
// killed.
func apartFromOrphan(w *world) ([]string, error) {
	if err := w.publish(1, []route{{name: "r-1", prefix: "/cut/", service: "desk-cut", attempts: 2}}); err != nil {
		return nil, err
	}
	for n := range 4 {
		if _, err := w.addWorker("desk-cut", n, 16000); err != nil {
			return nil, err
		}
	}
	if err := w.startEntries(3); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)
	const id = "5c0e7a21d94b36f8"
	if status, _ := w.call(w.other(0), "POST", "/cut/"+id, jobRequest{Spec: "work=9s 3:2s", Steps: []step{
		{Count: 6, CPU: 880, MemMB: 1800, EstimateMs: 540, AntiAffinity: 1, Speculative: true},
	}}); status != 200 {
		return nil, errors.Errorf("status %d", status)
	}
	var cut *worker
	for since := time.Now(); cut == nil; time.Sleep(20 * time.Millisecond) {
		if time.Since(since) > 2*time.Second {
			return nil, errors.New("the first work item has not started")
		}
		cut = w.workerOf(id + ".0.0.0")
	}
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		cut.setUnheard(true)
		time.Sleep(1800 * time.Millisecond)
		cut.setUnheard(false)
		time.Sleep(time.Second)
		if err := w.signal(w.owner(), syscall.SIGKILL); err != nil {
			return nil, err
		}
	}
	time.Sleep(22 * time.Second)
	var broken []string
	for _, k := range w.workers {
		k.mu.Lock()
		for _, s := range k.started {
			if s.beside != "" {
				broken = append(broken, fmt.Sprintf("ROUTE: %s started %s run %d%s, where antiAffinity is 1", k.id, s.task, s.run, s.beside))
			}
		}
		k.mu.Unlock()
	}
	return broken, nil
}

// workerOf returns the worker on which a work item runs, or nil.
func (w *world) workerOf(task string) *worker {
	for _, k := range w.workers {
		k.mu.Lock()
		for _, r := range k.runs {
			if r.task == task {
				k.mu.Unlock()
				return k
			}
		}
		k.mu.Unlock()
	}
	return nil
}

func (k *worker) setUnheard(unheard bool) {
	k.world.rec.add("%s is cut off: %t", k.id, unheard)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unheard = unheard
}

// shortWork returns the time that a work item works, if the words of its spec name its
// index, like 3:2s.
func shortWork(task string, words []string) (time.Duration, bool) {
	index := task[strings.LastIndexByte(task, '.')+1:]
	for _, word := range words {
		if name, text, ok := strings.Cut(word, ":"); ok && name == index {
			if d, err := time.ParseDuration(text); err == nil {
				return d, true
			}
		}
	}
	return 0, false
}
