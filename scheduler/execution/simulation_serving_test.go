package execution

import (
	"fmt"

	"pgregory.net/rapid"

	"dotterelhead.example/dotterelhead/job"
)

// addLongRunningJob adds a job whose items run until it is cancelled. All such items
// together take at most half of the workers' capacity.
func (s *simulation) addLongRunningJob() {
	count := rapid.IntRange(1, s.maxLongRunningItems).Draw(s.t, "items")
	if s.longRunningItems+count > len(s.workers)*simMilliCPU/2/simLongRunningMilliCPU {
		return
	}
	s.longRunningItems += count
	step := job.Step{
		Count: count, Needs: job.Resources{MilliCPU: simLongRunningMilliCPU, MemoryMB: 10},
		LongRunning: true, MaxUnavailable: 1,
	}
	j := s.acceptJob(fmt.Sprintf("%016x", len(s.jobs)), step)
	s.jobs[j.ID] = j
	s.core.AddJob(j, job.Progress{}, false, wall, s.now)
}

func (s *simulation) longRunning(id job.ItemID) bool {
	return s.jobs[id.Job].Steps[id.Step].LongRunning
}

// serves reports whether a run of a long-running item serves its users.
func (s *simulation) serves(w *simWorker, r Run) bool {
	startedAt, runs := w.running[r]
	return runs && s.longRunning(r.Item) && s.now-startedAt >= s.startup
}

// noteServing records which long-running items serve their users.
func (s *simulation) noteServing() {
	for _, w := range s.workers {
		for r := range w.running {
			if s.serves(w, r) {
				i := s.item(r.Item)
				i.servedAt, i.stopped = s.now, false
			}
		}
	}
}

// checkStop fails if an order to stop a run that serves takes more items of its step
// from their users than the step allows.
func (s *simulation) checkStop(w *simWorker, r Run) {
	if !s.serves(w, r) || s.cancelled[r.Item.Job] || s.failed[r.Item.Job] {
		return
	}
	step, unavailable := s.jobs[r.Item.Job].Steps[r.Item.Step], 0
	for n := range step.Count {
		id := r.Item
		id.Index = n
		if i := s.item(id); id != r.Item && (i.stopped || s.now-i.servedAt > simNotice) {
			unavailable++
		}
	}
	if unavailable >= step.MaxUnavailable {
		s.t.Fatalf("%v is stopped while it serves and %d others of its step are unavailable", r, unavailable)
	}
	s.item(r.Item).stopped = true
}
