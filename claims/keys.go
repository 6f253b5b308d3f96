// Package claims lets a request that carries an idempotency key run at most
// once, whichever entry VMs receive it. Entry VMs are the VMs to which callers send
// their requests; those of a region share one store.
//
// The keys are divided into shards. The owner of a shard, an entry VM, holds
// the attempts in progress in memory and records every claim in the store
// before the request may be sent. An Owner serves the shards of one entry VM;
// a Client finds the owner of a key.
package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"dotterelhead.example/dotterelhead/rendezvous"
)

// DefaultShards is the number of shards of a region. Every entry VM of a region
// must use the same number.
const DefaultShards = 16

// Sizes of the hashes in a record, in bytes. With 16 bytes, two keys do not collide
// in practice, even if a caller searches for a collision.
const (
	keySize         = 16
	fingerprintSize = 8
)

// KeyHash returns the hash that identifies an idempotency key of a service.
func KeyHash(service, key string) []byte {
	return digest(keySize, []byte(service), []byte(key))
}

// Fingerprint returns the hash of a request. It is used to detect that a key is
// reused for a different request.
func Fingerprint(method, pathAndQuery string, body []byte, authorization string) []byte {
	return digest(fingerprintSize, []byte(method), []byte(pathAndQuery), body, []byte(authorization))
}

// digest hashes each part preceded by its length, so that different lists of parts
// never hash the same byte sequence.
func digest(size int, parts ...[]byte) []byte {
	hash := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return hash.Sum(nil)[:size]
}

// ShardOf returns the shard of a key hash.
func ShardOf(keyHash []byte, shards int) int {
	return int(xxhash.Sum64(keyHash) % uint64(shards))
}

// ShardOwner returns the member that should own a shard, or "" when there are no
// members.
func ShardOwner(shard int, members []string) string {
	return rendezvous.Owner("shard/"+strconv.Itoa(shard), members)
}
