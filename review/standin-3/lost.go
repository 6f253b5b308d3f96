package main

import (
	"time"
)

// checkLost asks for all accepted jobs, and watches those that are not completed for idleTime:
// one breaks the rule LOST if it has no answer, or nothing of it runs although an item's turn has
// come, while the pool is less than half in use. Less than half in use also means that there is
// room for an item twice over: no item takes more than an eighth of a worker.
func (w *world) checkLost(r *requester, workers []*worker, milliCPU func(item string) int) bool {
	left := map[string]string{}
	for _, id := range r.accepted {
		if state := w.state(path, id); state != "completed" {
			left[id] = state
			w.note("GET %s%s: %q; the workers: %s", path, id, state, w.history.summary(id))
		}
	}
	w.note("%d jobs are shown as completed, %d are not", len(r.accepted)-len(left), len(left))
	idle := map[string]bool{}
	for id := range left {
		idle[id] = true
	}
	for until := time.Now().Add(idleTime); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		busy := busyShare(workers, milliCPU)
		for id := range idle {
			if w.history.seen(id).running > 0 || busy >= 0.5 {
				delete(idle, id)
			}
		}
	}
	broken := 0
	for id := range idle {
		state := w.state(path, id)
		if state == "completed" || !r.turnHasCome(id) {
			continue
		}
		broken++
		w.note("LOST: job %s is shown as %q, an item's turn has come, and nothing of it ran for %s beside an idle pool; the workers: %s",
			id, state, idleTime, w.history.summary(id))
	}
	for id, state := range left {
		if state == "" || state == "gone" {
			broken++
			w.note("LOST: job %s has no state", id)
		}
	}
	return broken > 0
}
