// Package chunk holds the format of a chunk document, the unit in which the
// claims of a shard are stored.
//
// The generated file is committed; see package peer for the tools that
// generate it again.
package chunk

//go:generate sh -c "cd ../.. && protoc --go_out=. --go_opt=paths=source_relative claims/chunk/chunk.proto"
