package main

import (
	"fmt"
	"time"
)

const (
	// The time of day of one machine jumps ahead, and back again before the last life of its
	// worker: the largest figures of clock_step are 2,400 ms and 6 s.
	clockJump = 2400 * time.Millisecond
	clockTime = 5500 * time.Millisecond
	// The jobs come after that. Together they take all of the pool's room twice.
	clockJobs   = 10
	clockCPU    = 2000
	clockWorkMs = 500
)

// clockCase lets one worker of an idle pool go down and up while the time of day of its machine
// is ahead for a while, and hands in jobs of two steps after that. Rule LOST: no job waits
// beside an idle pool at the end.
func clockCase(w *world, trouble bool) (bool, error) {
	workers, err := w.deploy(flapWorkers)
	if err != nil {
		return false, err
	}
	if trouble {
		ahead := func(since time.Duration) time.Duration {
			if since < clockTime {
				return clockJump
			}
			return 0
		}
		at := flapWorkers / 2
		if workers[at], err = w.flap(workers[at], ahead); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	r := &requester{world: w}
	for n := range clockJobs {
		first := step{Count: 16, CPU: clockCPU, MemMB: 1800, EstimateMs: clockWorkMs}
		second := step{Count: 8, CPU: clockCPU, MemMB: 1800, EstimateMs: clockWorkMs, After: []int{0}}
		r.submit(fmt.Sprintf("%016x", 0x3000+n), clockWorkMs, first, second)
	}
	w.note("the traffic ends")
	time.Sleep(finishTime)
	broken := w.checkLost(r, workers, func(string) int { return clockCPU })
	for _, k := range workers {
		k.mu.Lock()
		w.note("%s has %d runs, and %d ends that were not taken note of", k.id, len(k.runs), len(k.ends))
		k.mu.Unlock()
	}
	return broken, nil
}
