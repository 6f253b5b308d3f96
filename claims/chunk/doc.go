// Package chunk defines the encoding of chunk documents, in which the claims of a
// shard are stored.
//
// The generated file is committed; see package peer for the tools that are needed
// to generate it.
package chunk

//go:generate sh -c "cd ../.. && protoc --go_out=. --go_opt=paths=source_relative claims/chunk/chunk.proto"
