package main

import (
	"fmt"
	"time"
)

// The jobs fill the pool: each item takes 2 of the 16 cores of a worker for 9 s.
const (
	wideJobs   = 4
	wideItems  = 20
	wideCPU    = 2000
	wideWorkMs = 9000
	// One of ten workers goes down and up, with the largest figures of srv_flap.
	flapWorkers = 10
	flapPeriod  = 1400 * time.Millisecond
	flapTime    = 6500 * time.Millisecond
	// waitForJobs is how long the requesters ask for the jobs after that.
	waitForJobs = 45 * time.Second
)

// flappingCase lets one worker go down and up while jobs run. Rule LOST: a job is not shown as
// failed unless its work items have ended as failed.
func flappingCase(w *world, trouble bool) (bool, error) {
	workers, err := w.deploy(flapWorkers)
	if err != nil {
		return false, err
	}
	r := &requester{world: w}
	for n := range wideJobs {
		r.submit(fmt.Sprintf("%016x", 0x2000+n), wideWorkMs, step{Count: wideItems, CPU: wideCPU, MemMB: 1800, EstimateMs: wideWorkMs})
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if trouble {
		noJump := func(time.Duration) time.Duration { return 0 }
		if _, err := w.flap(workers[flapWorkers/2], noJump); err != nil {
			return false, err
		}
	}
	failed := map[string]bool{}
	for until := time.Now().Add(waitForJobs); time.Now().Before(until); time.Sleep(time.Second) {
		completed := 0
		for _, id := range r.accepted {
			state := w.state(path, id)
			if state == "completed" {
				completed++
			}
			if state == "failed" && !failed[id] {
				failed[id] = true
				w.note("GET %s%s: %q; the workers: %s", path, id, state, w.history.summary(id))
			}
		}
		if completed+len(failed) == len(r.accepted) {
			break
		}
	}
	broken := false
	for _, id := range r.accepted {
		seen := w.history.seen(id)
		w.note("job %s is shown as %q; the workers: %s", id, w.state(path, id), w.history.summary(id))
		if failed[id] && seen.endsByKind["failed"] == 0 {
			broken = true
			w.note("LOST: job %s is shown as failed, and none of its work items has ended as failed", id)
		}
	}
	for _, line := range w.logLines("event=job_failed") {
		w.note("log: %s", line)
	}
	return broken, nil
}

// flap lets a worker crash and start again under its ID, until flapTime is over. clockAhead
// returns how far the time of day of its machine is ahead at a time since the beginning. It
// returns the last life of the worker.
func (w *world) flap(k *worker, clockAhead func(since time.Duration) time.Duration) (*worker, error) {
	began := time.Now()
	for time.Since(began) < flapTime {
		w.note("%s crashes", k.id)
		k.crash()
		time.Sleep(flapPeriod / 2)
		ahead := clockAhead(time.Since(began))
		next, err := w.startWorker(k.id, k.machine, k.service, k.rack, k.address, ahead)
		if err != nil {
			return nil, err
		}
		k = next
		w.note("%s is up again, born %d; its time of day is ahead by %s", k.id, k.born, ahead)
		time.Sleep(flapPeriod / 2)
	}
	w.note("%s stays up", k.id)
	return k, nil
}
