package execution

import (
	"cmp"
	"slices"
)

// itemSet holds the items of a step. A step may have thousands of items, most of which wait
// for their first start or are done. These take no memory but a bit; the others are tracked.
type itemSet struct {
	// tracked holds the items of which something is known, in the order of their indexes.
	// Once an item is done or its job has ended, it is dropped with its last copy.
	tracked []*item
	// doneItems are the indexes of the items that are done.
	doneItems bitSet
	// fresh is the number of items that were never tracked. nextFresh is not above the
	// index of the first of them.
	fresh, nextFresh int
	// freshWaitingSince is the waitingSince of the fresh items.
	freshWaitingSince Time
}

func newStep(o *occurrence, j *jobState, index, offset int) *step {
	count := j.Steps[index].Count
	return &step{
		job: j, spec: &j.Steps[index], occurrence: o, index: index, offset: offset,
		itemSet: itemSet{fresh: count}, itemsLeft: count, copies: map[*worker]int{},
	}
}

// item returns the item with the given index, which is tracked from now on unless it is
// done or its job has ended.
func (s *step) item(index int) *item {
	at, known := s.find(index)
	if known {
		return s.tracked[at]
	}
	i := s.newItem(index)
	if !i.done && !s.job.final() {
		s.tracked = slices.Insert(s.tracked, at, i)
		s.fresh--
	}
	return i
}

// peek is item for an item that may stay untracked.
func (s *step) peek(index int) *item {
	if at, known := s.find(index); known {
		return s.tracked[at]
	}
	return s.newItem(index)
}

// firstFresh returns the fresh item with the lowest index without tracking it. There
// must be one.
func (s *step) firstFresh() *item {
	for {
		if _, known := s.find(s.nextFresh); !known && !s.isDone(s.nextFresh) {
			return s.newItem(s.nextFresh)
		}
		s.nextFresh++
	}
}

func (s *step) newItem(index int) *item {
	return &item{step: s, index: index, done: s.isDone(index), waitingSince: s.freshWaitingSince}
}

func (s *step) find(index int) (at int, known bool) {
	return slices.BinarySearchFunc(s.tracked, index, func(i *item, index int) int { return cmp.Compare(i.index, index) })
}

func (s *step) isDone(index int) bool { return s.itemsLeft == 0 || s.doneItems.has(index) }

func (s *step) setDone(i *item) {
	s.doneItems.add(i.index, s.spec.Count)
	i.done = true
	if s.itemsLeft--; s.itemsLeft == 0 {
		s.finished = nil
	}
	s.release(i)
}

// setAllDone marks all items of a step as done of which none is tracked.
func (s *step) setAllDone() { s.itemsLeft, s.fresh = 0, 0 }

// release drops an item of which nothing has to be known any more.
func (s *step) release(i *item) {
	if len(i.copies) > 0 || !i.done && !s.job.final() {
		return
	}
	if at, known := s.find(i.index); known && s.tracked[at] == i {
		s.tracked = slices.Delete(s.tracked, at, at+1)
	}
}

// startableItems returns how many items of the step are startable.
func (s *step) startableItems() int {
	n := s.fresh
	for _, i := range s.tracked {
		if i.startable() {
			n++
		}
	}
	return n
}
