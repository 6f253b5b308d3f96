package main

import (
	"fmt"
	"time"
)

// A scheduled job of as many times as the system accepts. Each item takes little: 2 ms of a
// tenth of a core. All other jobs are small.
const (
	largeJob      = "00000000000000ff"
	largeTimes    = 10_000
	largeItems    = 20
	largeCPU      = 100
	largeInterval = 2
	smallCPU      = 1000
	smallItems    = 4
	smallWorkMs   = 200
)

const (
	trafficTime = 85 * time.Second
	// stopAfter is how long the traffic goes on after the store has refused a value.
	stopAfter = 10 * time.Second
)

// progressCase hands in a large scheduled job beside small ones. Rule LOST: jobs that were
// accepted are done, and no job waits beside an idle pool at the end.
func progressCase(w *world, trouble bool) (bool, error) {
	w.history.quiet[largeJob] = true
	workers, err := w.deploy(poolWorkers)
	if err != nil {
		return false, err
	}
	r := &requester{world: w}
	if trouble {
		body := jobBody{
			Spec: "2", Steps: []step{{Count: largeItems, CPU: largeCPU, MemMB: 16, EstimateMs: 2}}, Times: largeTimes,
			StartAtMs: time.Now().UnixMilli(), IntervalMs: largeInterval,
		}
		if !w.submit(path, largeJob, body) {
			return false, fmt.Errorf("the large job was not accepted")
		}
	}
	end := time.Now().Add(trafficTime)
	for n, noted := 0, false; time.Now().Before(end); n++ {
		r.submit(fmt.Sprintf("%016x", 0x1000+n), smallWorkMs, step{Count: smallItems, CPU: smallCPU, MemMB: 256, EstimateMs: smallWorkMs})
		if n%10 == 9 {
			w.noteProgress(r)
		}
		refused, _, _ := w.store.sizes()
		if refused > 0 && !noted {
			noted = true
			w.note("the store has refused a value of more than %d bytes", maxValueBytes)
			if early := time.Now().Add(stopAfter); early.Before(end) {
				end = early
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	w.note("the traffic ends; %d small jobs were accepted", len(r.accepted))
	w.noteProgress(r)
	time.Sleep(finishTime)
	milliCPU := func(item string) int {
		if jobOf(item) == largeJob {
			return largeCPU
		}
		return smallCPU
	}
	return w.checkLost(r, workers, milliCPU), nil
}

// sizes returns how many values the store refused for their size, and the longest and its key.
func (s *store) sizes() (refused, largest int, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tooLarge, s.largest, s.largestKey
}

func (w *world) noteProgress(r *requester) {
	refused, largest, key := w.store.sizes()
	w.note("large job: %s", w.history.summary(largeJob))
	w.note("longest value: %d bytes, of %s; %d transactions with a longer value than %d bytes were refused", largest, key, refused, maxValueBytes)
	if n := len(r.accepted); n > 0 {
		w.note("owners so far: %d", len(w.logLines("event=ownership_acquired")))
	}
}
