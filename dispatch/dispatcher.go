package dispatch

import "dotterelhead.example/dotterelhead/rendezvous"

// Owner returns the member that dispatches a pool, or "" without members.
func Owner(pool string, members []string) string {
	return rendezvous.Owner("pool/"+pool, members)
}
