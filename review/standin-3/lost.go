package main

import "time"

// watchLost asks for the accepted jobs that are not completed and watches them until all are
// done, but not longer than limit. One breaks the rule LOST if nothing of it runs for idleTime on
// end although an item's turn has come, while the pool is less than half in use. Less than half
// in use also means that there is room for an item twice over: no item takes more than an eighth
// of a worker.
func (w *world) watchLost(r *requester, workers []*worker, milliCPU func(item string) int, limit time.Duration) bool {
	idleSince := map[string]time.Time{}
	for _, id := range r.accepted {
		state := w.state(path, id)
		if state == "" || state == "gone" {
			w.note("LOST: job %s has no state", id)
			return true
		}
		if state != "completed" {
			idleSince[id] = time.Now()
		}
	}
	w.note("%d jobs are shown as completed, %d are not", len(r.accepted)-len(idleSince), len(idleSince))
	broken := map[string]time.Duration{}
	for until := time.Now().Add(limit); time.Now().Before(until) && len(idleSince) > 0; time.Sleep(10 * time.Millisecond) {
		busy := busyShare(workers, milliCPU)
		for id, since := range idleSince {
			switch idle := time.Since(since); {
			case !r.turnHasCome(id):
				delete(idleSince, id)
			case w.history.seen(id).running > 0 || busy >= 0.5:
				idleSince[id] = time.Now()
			case idle >= idleTime:
				if broken[id] == 0 {
					w.note("LOST: job %s: an item's turn has come, and nothing of it ran for %s; %.0f%% of the pool is in use; the workers: %s",
						id, idleTime, 100*busy, w.history.summary(id))
				}
				broken[id] = idle
			}
		}
	}
	longest := time.Duration(0)
	for _, idle := range broken {
		longest = max(longest, idle)
	}
	w.note("%d jobs waited for %s or longer after the time at which jobs are asked for, the longest for %.1f s", len(broken), idleTime, longest.Seconds())
	return len(broken) > 0
}
