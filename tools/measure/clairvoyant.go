package main

import (
	"container/heap"
	"slices"
	"time"
)

// remainingHeap is a heap of jobs ordered by remaining run time.
type remainingHeap struct {
	items []*remainingJob
	// longestFirst orders running jobs with the longest remaining time first.
	longestFirst bool
}

type remainingJob struct {
	index int
	left  time.Duration
	// ends is when the job ends unless it is preempted.
	ends      time.Duration
	heapIndex int
}

func (h *remainingHeap) Len() int { return len(h.items) }
func (h *remainingHeap) Less(i, j int) bool {
	if h.longestFirst {
		return h.items[i].ends > h.items[j].ends
	}
	return h.items[i].left < h.items[j].left
}
func (h *remainingHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heapIndex, h.items[j].heapIndex = i, j
}
func (h *remainingHeap) Push(x any) {
	r := x.(*remainingJob)
	r.heapIndex = len(h.items)
	h.items = append(h.items, r)
}
func (h *remainingHeap) Pop() any {
	last := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return last
}

// clairvoyant returns the outcomes of an ideal scheduler, the bound for the
// dispatchers: true run times are known, jobs are preempted at no cost, the job
// with the shortest remaining time runs first, and workers and racks never fail.
// Cancelled jobs and jobs that always fail take no slot. Dispatchers without
// preemption can't reach this bound.
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
	waiting, running := &remainingHeap{}, &remainingHeap{longestFirst: true}
	ends := &events{}
	start := func(now time.Duration, r *remainingJob) {
		r.ends = now + r.left
		heap.Push(running, r)
		heap.Push(ends, event{at: r.ends, seq: r.index, run: func() {
			if r.heapIndex < 0 || running.Len() <= r.heapIndex || running.items[r.heapIndex] != r || r.ends != now+r.left {
				return
			}
			heap.Remove(running, r.heapIndex)
			r.heapIndex = -1
			o := &outcomes[r.index]
			o.wait = r.ends - o.job.arrive - o.job.run
		}})
	}
	fill := func(now time.Duration) {
		for waiting.Len() > 0 && running.Len() < slots {
			start(now, heap.Pop(waiting).(*remainingJob))
		}
		if waiting.Len() == 0 {
			return
		}
		if longest := running.items[0]; waiting.items[0].left < longest.ends-now {
			heap.Pop(running)
			longest.left, longest.heapIndex = longest.ends-now, -1
			start(now, heap.Pop(waiting).(*remainingJob))
			heap.Push(waiting, longest)
		}
	}
	indexes := []int{}
	for i := range w.jobs {
		if w.jobs[i].service == service && !w.jobs[i].alwaysFails && w.jobs[i].cancel == 0 {
			indexes = append(indexes, i)
		}
	}
	for len(indexes) > 0 || ends.Len() > 0 {
		if len(indexes) > 0 && (ends.Len() == 0 || w.jobs[indexes[0]].arrive <= (*ends)[0].at) {
			j := w.jobs[indexes[0]]
			heap.Push(waiting, &remainingJob{index: indexes[0], left: j.run})
			indexes = slices.Delete(indexes, 0, 1)
			fill(j.arrive)
			continue
		}
		e := heap.Pop(ends).(event)
		e.run()
		fill(e.at)
	}
}
