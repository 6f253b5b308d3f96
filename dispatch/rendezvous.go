package dispatch

import "github.com/cespare/xxhash/v2"

// Owner returns the member with the highest hash together with the name
// (rendezvous hashing): the choice changes only for names whose owner left or
// whose new owner joined. It returns "" without members.
func Owner(name string, members []string) string {
	owner, highest := "", uint64(0)
	for _, member := range members {
		hash := xxhash.Sum64String(name + "\x00" + member)
		if owner == "" || hash > highest || hash == highest && member < owner {
			owner, highest = member, hash
		}
	}
	return owner
}
