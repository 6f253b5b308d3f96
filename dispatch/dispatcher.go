package dispatch

import "dotterelhead.example/dotterelhead/rendezvous"

// Owner returns the entry VM that is the dispatcher of a pool, or "" when there
// are no members.
func Owner(pool string, members []string) string {
	return rendezvous.Owner("pool/"+pool, members)
}
