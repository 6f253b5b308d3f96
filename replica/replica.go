// Package replica keeps copies of store documents on an entry VM.
package replica

import (
	"maps"
	"slices"
	"sync"
)

// Document is a copy of the value of one store key.
type Document struct {
	Key     string
	Version int64
	Value   []byte
}

// Replica holds the newest known version of each document.
//
// Invariant: the version of a key never decreases, whatever the order in which
// documents arrive from the store and from peers.
type Replica struct {
	mu          sync.Mutex
	documents   map[string]Document
	subscribers []func(Document)
}

// New returns an empty replica.
func New() *Replica {
	return &Replica{documents: map[string]Document{}}
}

// Subscribe registers a function that is called for every document that is
// applied, in the order of application and with the replica's lock held. The
// function must neither block nor call the replica. Before Subscribe returns, it
// is called for each document that the replica already holds.
func (r *Replica) Subscribe(fn func(Document)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(r.documents)) {
		fn(r.documents[key])
	}
	r.subscribers = append(r.subscribers, fn)
}

// Apply stores the document if it is newer than the held one and reports
// whether it was.
func (r *Replica) Apply(doc Document) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if held, ok := r.documents[doc.Key]; ok && held.Version >= doc.Version {
		return false
	}
	r.documents[doc.Key] = doc
	for _, fn := range r.subscribers {
		fn(doc)
	}
	return true
}

// Get returns the newest known version of a document.
func (r *Replica) Get(key string) (Document, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	doc, ok := r.documents[key]
	return doc, ok
}

// Digest returns the version of every document in the replica, by key.
func (r *Replica) Digest() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	digest := make(map[string]int64, len(r.documents))
	for key, doc := range r.documents {
		digest[key] = doc.Version
	}
	return digest
}

// Newer returns the documents that are newer than in the digest or missing from
// it.
func (r *Replica) Newer(digest map[string]int64) []Document {
	r.mu.Lock()
	defer r.mu.Unlock()
	var newer []Document
	for _, key := range slices.Sorted(maps.Keys(r.documents)) {
		if doc := r.documents[key]; doc.Version > digest[key] {
			newer = append(newer, doc)
		}
	}
	return newer
}
