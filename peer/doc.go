// Package peer holds the Twirp protocol between the entry VMs of a region.
//
// The generated files are committed. To regenerate them after a change of
// peer.proto, install protoc, protoc-gen-go and protoc-gen-twirp from the
// versions in go.mod and run go generate.
package peer

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative peer.proto
