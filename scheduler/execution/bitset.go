package execution

import (
	"iter"
	"math/bits"
)

// bitSet is a set of numbers below a limit, with one bit for each. It is nil while it is
// empty.
type bitSet []uint64

const bitsPerWord = 64

func (b bitSet) has(n int) bool { return b != nil && b[n/bitsPerWord]&(1<<(n%bitsPerWord)) != 0 }

// add adds n to a set of numbers below limit.
func (b *bitSet) add(n, limit int) {
	if *b == nil {
		*b = make(bitSet, (limit+bitsPerWord-1)/bitsPerWord)
	}
	(*b)[n/bitsPerWord] |= 1 << (n % bitsPerWord)
}

// all returns the numbers in ascending order.
func (b bitSet) all() iter.Seq[int] {
	return func(yield func(int) bool) {
		for at, word := range b {
			for ; word != 0; word &= word - 1 {
				if !yield(at*bitsPerWord + bits.TrailingZeros64(word)) {
					return
				}
			}
		}
	}
}
