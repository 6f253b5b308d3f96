package dispatch

import "dotterelhead.example/dotterelhead/rendezvous"

// Owner returns the entry VM that owns a pool and is therefore its dispatcher, or ""
// when there are no members.
func Owner(pool string, members []string) string {
	return rendezvous.Owner("pool/"+pool, members)
}
