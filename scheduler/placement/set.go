// Package placement chooses the worker for a request.
package placement

import (
	"slices"

	"dotterelhead.example/dotterelhead/scheduler/queueing"
)

// Set holds the workers with free slots; the first is the one with the most.
//
// Invariant: a worker is offered only while its slots in use are fewer than
// its slots.
type Set struct {
	workers map[string]*worker
	free    *queueing.Heap[*worker]
	slots   int
}

type worker struct {
	id    string
	order int
	slots int
	busy  int
	// avoided workers are offered after all others; withheld ones never.
	avoided, withheld, listed bool
	entry                     *queueing.Entry[*worker]
}

// NewSet returns a set without workers.
func NewSet() *Set {
	return &Set{workers: map[string]*worker{}, free: queueing.New(func(a, b *worker) bool {
		if a.avoided != b.avoided {
			return b.avoided
		}
		if fa, fb := a.slots-a.busy, b.slots-b.busy; fa != fb {
			return fa > fb
		}
		return a.order < b.order
	})}
}

// List replaces the workers that are offered. Slots in use on other workers
// stay counted, so that a worker which returns is not overfilled.
func (s *Set) List(ids []string, slots []int) {
	for id, w := range s.workers {
		w.listed = false
		if w.busy == 0 {
			s.free.Remove(w.entry)
			delete(s.workers, id)
		}
	}
	s.slots = 0
	for i, id := range ids {
		w := s.worker(id)
		w.order, w.slots, w.listed = i, slots[i], true
		s.slots += slots[i]
	}
	for _, w := range s.workers {
		s.update(w)
	}
}

// Slots returns the slots of the listed workers.
func (s *Set) Slots() int { return s.slots }

// Busy returns the slots in use on a worker.
func (s *Set) Busy(id string) int {
	if w := s.workers[id]; w != nil {
		return w.busy
	}
	return 0
}

// Take counts a slot of a worker as used.
func (s *Set) Take(id string) {
	w := s.worker(id)
	w.busy++
	s.update(w)
}

// Give counts a slot of a worker as free again.
func (s *Set) Give(id string) {
	w := s.worker(id)
	w.busy--
	s.update(w)
	if w.busy == 0 && !w.listed {
		delete(s.workers, id)
	}
}

// Mark sets whether a worker is offered last, or not at all.
func (s *Set) Mark(id string, avoided, withheld bool) {
	w := s.workers[id]
	if w == nil || w.avoided == avoided && w.withheld == withheld {
		return
	}
	w.avoided, w.withheld = avoided, withheld
	s.update(w)
}

// Available reports whether any worker is offered.
func (s *Set) Available() bool { return s.free.Len() > 0 }

// HasFree reports whether a listed worker has a free slot, even when it is
// withheld.
func (s *Set) HasFree(id string) bool {
	w := s.workers[id]
	return w != nil && w.listed && w.busy < w.slots
}

// Pick returns the worker with the most free slots that is not in avoid.
func (s *Set) Pick(avoid []string) (string, bool) {
	var skipped []*queueing.Entry[*worker]
	id, ok := "", false
	for e := s.free.Peek(); e != nil && !ok; e = s.free.Peek() {
		if slices.Contains(avoid, e.Value.id) {
			s.free.Remove(e)
			skipped = append(skipped, e)
			continue
		}
		id, ok = e.Value.id, true
	}
	for _, e := range skipped {
		s.free.Restore(e)
	}
	return id, ok
}

func (s *Set) worker(id string) *worker {
	w := s.workers[id]
	if w == nil {
		w = &worker{id: id}
		s.workers[id] = w
	}
	return w
}

func (s *Set) update(w *worker) {
	offered := w.listed && !w.withheld && w.busy < w.slots
	switch {
	case w.entry == nil && offered:
		w.entry = s.free.Push(w)
	case w.entry != nil && !offered:
		s.free.Remove(w.entry)
		w.entry = nil
	case w.entry != nil:
		s.free.Fix(w.entry)
	}
}
