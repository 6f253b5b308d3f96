// Package rendezvous assigns names to members by rendezvous hashing: when a
// member joins or leaves, only the names that it gains or loses change their
// owner. Members with the same view of the membership choose the same owner
// without exchanging messages.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member that comes first in the order of a name (see Order),
// or "" when there are no members.
func Owner(name string, members []string) string {
	owner, lowest := "", uint64(0)
	for _, member := range members {
		rank := rank(name, member)
		if owner == "" || rank < lowest || rank == lowest && member < owner {
			owner, lowest = member, rank
		}
	}
	return owner
}

// Order returns the members sorted by their hash with a name; every name has its
// own order. Ties are broken by the member's name.
func Order(name string, members []string) []string {
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(name, a), rank(name, b)), cmp.Compare(a, b))
	})
	return order
}

func rank(name, member string) uint64 {
	return xxhash.Sum64String(name + "\x00" + member)
}
