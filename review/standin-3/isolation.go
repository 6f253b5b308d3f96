package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	isolationWorkers = 12
	isolationJobs    = 64
	isolationCPU     = 1000
	isolationWorkMs  = 5000
	// Two racks crash, each once: rackDown is how long its workers are down, and rackAge how old
	// the runs on them are then.
	rackDown = 5 * time.Second
	rackAge  = 2 * time.Second
	// isolationWatch is how long the jobs are watched at the end.
	isolationWatch = 60 * time.Second
)

// isolationCase lets the rack with the most work crash, and after the work has started again
// the one that has the most then. Rule LOST: no job waits beside an idle pool at the end.
func isolationCase(w *world, trouble bool) (bool, error) {
	workers, err := w.deploy(isolationWorkers)
	if err != nil {
		return false, err
	}
	r := &requester{world: w}
	for n := range isolationJobs {
		r.submit(fmt.Sprintf("%016x", 0x4000+n), isolationWorkMs, step{Count: 1, CPU: isolationCPU, MemMB: 1000, EstimateMs: isolationWorkMs})
	}
	w.note("the traffic ends; %d jobs were accepted", len(r.accepted))
	ended := time.Now()
	time.Sleep(rackAge)
	if trouble {
		if err := w.crashFullestRack(workers); err != nil {
			return false, err
		}
		// The work items on the other racks have ended by the time that those of this one run again.
		time.Sleep(isolationWorkMs*time.Millisecond - rackAge)
		for until := time.Now().Add(10 * time.Second); w.runningIn(workers, "") < isolationJobs/2; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(until) {
				return false, fmt.Errorf("the work items do not start again")
			}
		}
		time.Sleep(rackAge)
		if err := w.crashFullestRack(workers); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(ended.Add(finishTime)))
	return w.watchLost(r, workers, func(string) int { return isolationCPU }, isolationWatch), nil
}

// runningIn returns how many work items run in a rack, or in all if rack is "".
func (w *world) runningIn(workers []*worker, rack string) int {
	n := 0
	for _, k := range workers {
		if rack == "" || k.rack == rack {
			k.mu.Lock()
			n += len(k.runs)
			k.mu.Unlock()
		}
	}
	return n
}

// crashFullestRack lets the workers of the rack crash on which the most work items run. They
// start again under their IDs after rackDown.
func (w *world) crashFullestRack(workers []*worker) error {
	var racks []string
	for _, k := range workers {
		if !slices.Contains(racks, k.rack) {
			racks = append(racks, k.rack)
		}
	}
	fullest := slices.MaxFunc(racks, func(a, b string) int { return w.runningIn(workers, a) - w.runningIn(workers, b) })
	w.note("the workers of rack %s crash; %d work items run there, %d in all", fullest, w.runningIn(workers, fullest), w.runningIn(workers, ""))
	began := time.Now()
	for _, k := range workers {
		if k.rack == fullest {
			k.crash()
		}
	}
	go func() {
		time.Sleep(time.Until(began.Add(rackDown)))
		for n, k := range workers {
			if k.rack != fullest {
				continue
			}
			next, err := w.startWorker(k.id, k.machine, k.service, k.rack, k.address)
			if err != nil {
				w.note("worker %s: %v", k.id, err)
				continue
			}
			workers[n] = next
		}
		w.note("the workers of rack %s are up again", fullest)
	}()
	return nil
}
