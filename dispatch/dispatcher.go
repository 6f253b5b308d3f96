package dispatch

import "dotterelhead.example/dotterelhead/rendezvous"

// DispatcherOf returns the entry VM that owns a pool and is therefore its
// dispatcher, or "" when there are no members.
func DispatcherOf(pool string, members []string) string {
	return rendezvous.Owner("pool/"+pool, members)
}
