package main

import (
	"container/heap"
	"slices"
	"time"
)

// byRemaining is a heap of jobs by remaining run time.
type byRemaining struct {
	items []*remaining
	// most puts the largest remaining time first.
	most bool
}

type remaining struct {
	index int
	left  time.Duration
	// ends is when the job ends if it runs on.
	ends  time.Duration
	place int
}

func (h *byRemaining) Len() int { return len(h.items) }
func (h *byRemaining) Less(i, j int) bool {
	if h.most {
		return h.items[i].ends > h.items[j].ends
	}
	return h.items[i].left < h.items[j].left
}
func (h *byRemaining) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].place, h.items[j].place = i, j
}
func (h *byRemaining) Push(x any) {
	r := x.(*remaining)
	r.place = len(h.items)
	h.items = append(h.items, r)
}
func (h *byRemaining) Pop() any {
	last := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return last
}

// clairvoyant returns the outcomes of the bound: true run times are known, jobs
// are preempted at no cost, the shortest remaining time runs first, and no
// failure costs work. Cancelled jobs and jobs that can never run take no slot.
// No dispatcher without preemption reaches this.
func clairvoyant(w workload) []outcome {
	outcomes := make([]outcome, len(w.jobs))
	for i := range w.jobs {
		outcomes[i] = outcome{job: &w.jobs[i], done: true, cancelled: w.jobs[i].cancel > 0}
	}
	for service := range services {
		clairvoyantPool(w, service, outcomes)
	}
	return outcomes
}

func clairvoyantPool(w workload, service int, outcomes []outcome) {
	slots := poolSizes[service] * slotsPerWorker
	waiting, running := &byRemaining{}, &byRemaining{most: true}
	ends := &events{}
	start := func(now time.Duration, r *remaining) {
		r.ends = now + r.left
		heap.Push(running, r)
		heap.Push(ends, event{at: r.ends, seq: r.index, run: func() {
			if r.place < 0 || running.Len() <= r.place || running.items[r.place] != r || r.ends != now+r.left {
				return
			}
			heap.Remove(running, r.place)
			r.place = -1
			o := &outcomes[r.index]
			o.wait = r.ends - o.job.arrive - o.job.run
		}})
	}
	fill := func(now time.Duration) {
		for waiting.Len() > 0 && running.Len() < slots {
			start(now, heap.Pop(waiting).(*remaining))
		}
		if waiting.Len() == 0 {
			return
		}
		if worst := running.items[0]; waiting.items[0].left < worst.ends-now {
			heap.Pop(running)
			worst.left, worst.place = worst.ends-now, -1
			start(now, heap.Pop(waiting).(*remaining))
			heap.Push(waiting, worst)
		}
	}
	indexes := []int{}
	for i := range w.jobs {
		if w.jobs[i].service == service && !w.jobs[i].never && w.jobs[i].cancel == 0 {
			indexes = append(indexes, i)
		}
	}
	for len(indexes) > 0 || ends.Len() > 0 {
		if len(indexes) > 0 && (ends.Len() == 0 || w.jobs[indexes[0]].arrive <= (*ends)[0].at) {
			j := w.jobs[indexes[0]]
			heap.Push(waiting, &remaining{index: indexes[0], left: j.run})
			indexes = slices.Delete(indexes, 0, 1)
			fill(j.arrive)
			continue
		}
		e := heap.Pop(ends).(event)
		e.run()
		fill(e.at)
	}
}
