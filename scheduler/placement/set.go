// Package placement chooses the worker that a request is sent to.
package placement

import (
	"slices"

	"dotterelhead.example/dotterelhead/scheduler/queueing"
)

// Set counts the slots in use of workers and offers those with free slots, the
// one with the most free slots first.
//
// Invariant: a worker is offered only while not all of its slots are in use.
type Set struct {
	workers map[string]*worker
	// offered orders the workers that may get a request.
	offered *queueing.Heap[*worker]
	slots   int
}

// worker is the state of one worker. It is kept while the worker is listed or
// has slots in use.
type worker struct {
	id string
	// order is the position in the list. It decides between workers with the
	// same number of free slots.
	order int
	slots int
	busy  int
	// Workers with offeredLast are offered after all others, withheld ones never.
	// listed workers are in the list of the last call of SetWorkers.
	offeredLast, withheld, listed bool
	entry                         *queueing.Entry[*worker]
}

// NewSet returns a set without workers.
func NewSet() *Set {
	return &Set{workers: map[string]*worker{}, offered: queueing.New(func(a, b *worker) bool {
		if a.offeredLast != b.offeredLast {
			return b.offeredLast
		}
		if freeA, freeB := a.slots-a.busy, b.slots-b.busy; freeA != freeB {
			return freeA > freeB
		}
		return a.order < b.order
	})}
}

// SetWorkers sets the workers that may be offered, with their numbers of slots,
// in place of those of the last call. The slots in use on workers that are no
// longer listed stay counted, so that a worker that is listed again later isn't
// offered more requests than it has slots.
func (s *Set) SetWorkers(ids []string, slots []int) {
	for id, w := range s.workers {
		w.listed = false
		if w.busy == 0 {
			s.offered.Remove(w.entry)
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

// Slots returns the total number of slots of the listed workers.
func (s *Set) Slots() int { return s.slots }

// Busy returns the number of slots in use on a worker.
func (s *Set) Busy(id string) int {
	if w := s.workers[id]; w != nil {
		return w.busy
	}
	return 0
}

// AcquireSlot counts one more slot of a worker as in use.
func (s *Set) AcquireSlot(id string) {
	w := s.worker(id)
	w.busy++
	s.update(w)
}

// ReleaseSlot counts one slot of a worker as free again.
func (s *Set) ReleaseSlot(id string) {
	w := s.worker(id)
	w.busy--
	s.update(w)
	if w.busy == 0 && !w.listed {
		delete(s.workers, id)
	}
}

// SetPreference sets whether a worker is offered after all others, whichever
// the request, or not at all.
func (s *Set) SetPreference(id string, offeredLast, withheld bool) {
	w := s.workers[id]
	if w == nil || w.offeredLast == offeredLast && w.withheld == withheld {
		return
	}
	w.offeredLast, w.withheld = offeredLast, withheld
	s.update(w)
}

// Available reports whether any worker is offered.
func (s *Set) Available() bool { return s.offered.Len() > 0 }

// HasFree reports whether a listed worker has a free slot, even when it is
// withheld.
func (s *Set) HasFree(id string) bool {
	w := s.workers[id]
	return w != nil && w.listed && w.busy < w.slots
}

// Pick returns the first of the offered workers that is not in avoid, the workers
// that the request must not be sent to; false if there is none.
func (s *Set) Pick(avoid []string) (string, bool) {
	var skipped []*queueing.Entry[*worker]
	id, ok := "", false
	for e := s.offered.Peek(); e != nil && !ok; e = s.offered.Peek() {
		if slices.Contains(avoid, e.Value.id) {
			s.offered.Remove(e)
			skipped = append(skipped, e)
			continue
		}
		id, ok = e.Value.id, true
	}
	for _, e := range skipped {
		s.offered.Restore(e)
	}
	return id, ok
}

// worker returns the state of a worker and creates it if necessary.
func (s *Set) worker(id string) *worker {
	w := s.workers[id]
	if w == nil {
		w = &worker{id: id}
		s.workers[id] = w
	}
	return w
}

// update adds a worker to the offered ones, removes it or corrects its position
// after a change of its state.
func (s *Set) update(w *worker) {
	offered := w.listed && !w.withheld && w.busy < w.slots
	switch {
	case w.entry == nil && offered:
		w.entry = s.offered.Push(w)
	case w.entry != nil && !offered:
		s.offered.Remove(w.entry)
		w.entry = nil
	case w.entry != nil:
		s.offered.Fix(w.entry)
	}
}
