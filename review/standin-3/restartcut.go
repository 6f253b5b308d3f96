package main

import (
	"fmt"
	"time"
)

const (
	restartWorkers = 10
	// A work item takes 6 of 16 cores, so that the job takes all of the pool's room but one place.
	restartItems  = 2*restartWorkers - 1
	restartCPU    = 6000
	restartWorkMs = 9000
	// The worker is down for crashDown, and is cut off for cutTime soon after its first start.
	crashDown = 800 * time.Millisecond
	cutAfter  = 250 * time.Millisecond
	cutTime   = 5500 * time.Millisecond
	// restartWatch is how long the runs are watched after that.
	restartWatch = 12 * time.Second
)

// restartCutCase lets an idle worker crash and start again under its ID. A job comes before its
// next entry, and the worker is cut off soon after it has started a work item. Rule TWICE: no
// work item runs twice at the same time on workers that are up.
func restartCutCase(w *world, trouble bool) (bool, error) {
	workers, err := w.deploy(restartWorkers)
	if err != nil {
		return false, err
	}
	k := workers[restartWorkers/2]
	if trouble {
		w.note("%s crashes", k.id)
		k.crash()
		time.Sleep(crashDown)
		if k, err = w.startUnregistered(k.id, k.machine, k.service, k.rack, k.address); err != nil {
			return false, err
		}
		workers[restartWorkers/2] = k
		w.note("%s is up again, born %d", k.id, k.born)
	}
	r := &requester{world: w}
	r.submit(fmt.Sprintf("%016x", 0x5000), restartWorkMs, step{Count: restartItems, CPU: restartCPU, MemMB: 1000, EstimateMs: restartWorkMs})
	for until := time.Now().Add(time.Second); k.runCount() == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			return false, fmt.Errorf("%s gets no work item", k.id)
		}
	}
	if trouble {
		time.Sleep(cutAfter)
		w.note("%s is cut off for %s; it has %d runs", k.id, cutTime, k.runCount())
		k.cut(cutTime)
	}
	time.Sleep(restartWatch)
	w.history.mu.Lock()
	twice := w.history.twice
	w.history.mu.Unlock()
	w.note("%d work items ran twice at the same time: %v; job: %q", len(twice), twice, w.state(path, r.accepted[0]))
	return len(twice) > 0, nil
}

func (k *worker) runCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.runs)
}
