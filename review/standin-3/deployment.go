package main

import (
	"fmt"
	"time"
)

const (
	service = "previews"
	path    = "/" + service + "/"
	// Sizes of the deployment, as those of niederalm-cut and of one of its services.
	entryVMs       = 6
	workersPerRack = 4
	poolWorkers    = 9
	// Bounds of the rule LOST.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// deploy starts the workers and the entry VMs, and publishes a manifest.
func (w *world) deploy(pool int) ([]*worker, error) {
	var workers []*worker
	for n := range pool {
		k, err := w.startWorker(fmt.Sprintf("i-%d", n), fmt.Sprintf("m-%d", n), service, fmt.Sprintf("r-%d", n/workersPerRack), "")
		if err != nil {
			return nil, err
		}
		w.addMachine(k)
		workers = append(workers, k)
	}
	w.publishManifest(service)
	for n := range entryVMs {
		if err := w.startEntry(fmt.Sprintf("entry-%d", n)); err != nil {
			return nil, err
		}
	}
	if err := w.waitReady(); err != nil {
		return nil, err
	}
	// Traffic starts 10 s after the machines do; the entry VMs are ready earlier here.
	time.Sleep(2 * time.Second)
	return workers, nil
}

// requester sends jobs and keeps those that were accepted.
type requester struct {
	world    *world
	accepted []string
	steps    map[string][]step
}

// submit hands in a job whose items each take the given time, and keeps it if it was accepted.
func (r *requester) submit(id string, workMs int, steps ...step) {
	if r.world.submit(path, id, jobBody{Spec: fmt.Sprint(workMs), Steps: steps}) {
		r.accepted = append(r.accepted, id)
		if r.steps == nil {
			r.steps = map[string][]step{}
		}
		r.steps[id] = steps
	}
}

// turnHasCome reports whether an item of a job that runs once has not ended as done, and all
// items of the steps before it have, as the workers have seen it.
func (r *requester) turnHasCome(id string) bool {
	seen := r.world.history.doneItems(id)
	done := func(n int) bool {
		for index := range r.steps[id][n].Count {
			if !seen[fmt.Sprintf("%s.0.%d.%d", id, n, index)] {
				return false
			}
		}
		return true
	}
	for n, s := range r.steps[id] {
		ready := !done(n)
		for _, before := range s.After {
			ready = ready && done(before)
		}
		if ready {
			return true
		}
	}
	return false
}

// busyShare returns the share of the pool's processors that runs take, each of which takes the
// given number of thousandths of a core.
func busyShare(workers []*worker, milliCPU func(item string) int) float64 {
	used := 0
	for _, k := range workers {
		k.mu.Lock()
		for id := range k.runs {
			used += milliCPU(id.item)
		}
		k.mu.Unlock()
	}
	return float64(used) / float64(len(workers)*workerCPU)
}
