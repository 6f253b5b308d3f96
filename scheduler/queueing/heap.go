// Package queueing implements the priority queues of the dispatcher.
package queueing

import "container/heap"

// Entry holds a value of a Heap and is the handle for removing it.
type Entry[T any] struct {
	Value T
	// index is -1 while the entry is in no heap.
	index int
}

// Heap is a priority queue with removal of any entry in O(log n).
type Heap[T any] struct{ inner inner[T] }

// New returns an empty heap that is ordered by less, smallest value first.
func New[T any](less func(a, b T) bool) *Heap[T] {
	return &Heap[T]{inner[T]{less: less}}
}

// Len returns the number of values.
func (h *Heap[T]) Len() int { return len(h.inner.entries) }

// Push adds a value.
func (h *Heap[T]) Push(v T) *Entry[T] {
	e := &Entry[T]{Value: v}
	heap.Push(&h.inner, e)
	return e
}

// Peek returns the first entry, or nil when the heap is empty.
func (h *Heap[T]) Peek() *Entry[T] {
	if h.Len() == 0 {
		return nil
	}
	return h.inner.entries[0]
}

// Remove removes an entry; an entry that is in no heap is ignored.
func (h *Heap[T]) Remove(e *Entry[T]) {
	if e != nil && e.index >= 0 {
		heap.Remove(&h.inner, e.index)
	}
}

// Restore adds an entry that was removed from this or another heap.
func (h *Heap[T]) Restore(e *Entry[T]) { heap.Push(&h.inner, e) }

// Fix restores the order after the value of an entry changed; an entry that is
// in no heap is ignored.
func (h *Heap[T]) Fix(e *Entry[T]) {
	if e.index >= 0 {
		heap.Fix(&h.inner, e.index)
	}
}

// inner implements heap.Interface.
type inner[T any] struct {
	entries []*Entry[T]
	less    func(a, b T) bool
}

func (h *inner[T]) Len() int           { return len(h.entries) }
func (h *inner[T]) Less(i, j int) bool { return h.less(h.entries[i].Value, h.entries[j].Value) }
func (h *inner[T]) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].index, h.entries[j].index = i, j
}

func (h *inner[T]) Push(x any) {
	e := x.(*Entry[T])
	e.index = len(h.entries)
	h.entries = append(h.entries, e)
}

func (h *inner[T]) Pop() any {
	n := len(h.entries) - 1
	e := h.entries[n]
	h.entries[n] = nil
	h.entries = h.entries[:n]
	e.index = -1
	return e
}
