package execution

import (
	"cmp"
	"slices"

	"dotterelhead.example/dotterelhead/job"
)

// itemSet holds the items of a step. A step may have thousands of items, most of which wait
// for their first start or are done. These take no memory but a bit; the others are tracked.
type itemSet struct {
	// tracked holds the items of which something is known, in the order of their indexes.
	// Once an item is done or its job has ended, it is dropped with its last copy.
	tracked []*item
	// doneBits has a bit for each item. It is nil while none is done.
	doneBits []uint64
	// fresh is the number of items that were never tracked. nextFresh is not above the
	// index of the first of them.
	fresh, nextFresh int
	// freshWaitingSince is the waitingSince of the fresh items.
	freshWaitingSince Time
}

func newStep(j *jobState, spec *job.Step, occurrence, index, offset int) *step {
	return &step{
		job: j, spec: spec, occurrence: occurrence, index: index, offset: offset,
		itemSet: itemSet{fresh: spec.Count}, itemsLeft: spec.Count, copies: map[*worker]int{},
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

func (s *step) isDone(index int) bool {
	return s.doneBits != nil && s.doneBits[index/64]&(1<<(index%64)) != 0
}

func (s *step) setDone(i *item) {
	if s.doneBits == nil {
		s.doneBits = make([]uint64, (s.spec.Count+63)/64)
	}
	s.doneBits[i.index/64] |= 1 << (i.index % 64)
	i.done = true
	s.itemsLeft--
	s.release(i)
}

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
