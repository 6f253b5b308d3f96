// Package membership maintains the membership of the entry VMs of a region:
// their registry in the store, the exchange of documents between them, and the
// permit to send requests to backend servers. An entry VM accepts the requests of
// callers and forwards them to backend servers, which run on the other VMs.
package membership

import (
	"encoding/json"
	"slices"
	"strings"
)

const keyPrefix = "members/"

// RegistryKey returns the store key of the registry of a region.
func RegistryKey(region string) string { return keyPrefix + region }

// Member identifies one process on one entry VM. Each process has its own
// incarnation.
type Member struct {
	ID          string
	Incarnation string
}

// Record is the registration of one entry VM.
type Record struct {
	ID               string `json:"id"`
	Incarnation      string `json:"incarnation"`
	PeerAddress      string `json:"peer_address"`
	AvailabilityZone string `json:"availability_zone"`
	// QuorumFloor is the smallest size of any registry that the entry VM may
	// still hold and count a majority in.
	QuorumFloor int `json:"quorum_floor"`
	// Listed is set once the platform's list of VMs has contained the entry
	// VM. Only then does its absence from the list prove that it is gone: a
	// platform that never lists an entry VM says nothing about whether it
	// still runs.
	Listed bool `json:"listed,omitempty"`
}

// Member returns the process that the record registers.
func (r Record) Member() Member { return Member{ID: r.ID, Incarnation: r.Incarnation} }

// Registry is the document that lists the registered entry VMs of a region.
//
// Invariant: Members is sorted by ID without duplicates, and no quorum floor
// exceeds the size of any registry that its entry VM may still hold.
type Registry struct {
	Members []Record `json:"members"`
}

// DecodeRegistry decodes a registry document. An empty value is an empty
// registry.
func DecodeRegistry(value []byte) (Registry, error) {
	var r Registry
	if len(value) == 0 {
		return r, nil
	}
	err := json.Unmarshal(value, &r)
	return r, err
}

// Encode returns the value of the registry document.
func (r Registry) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		// The types of Registry hold nothing that JSON cannot represent.
		panic(err)
	}
	return value
}

// Size returns the number of registered entry VMs.
func (r Registry) Size() int { return len(r.Members) }

// Find returns the record of an entry VM.
func (r Registry) Find(id string) (Record, bool) {
	i, ok := r.index(id)
	if !ok {
		return Record{}, false
	}
	return r.Members[i], true
}

// Contains reports whether exactly this incarnation is registered.
func (r Registry) Contains(m Member) bool {
	rec, ok := r.Find(m.ID)
	return ok && rec.Incarnation == m.Incarnation
}

// Add registers an entry VM and replaces any former incarnation of it. The
// quorum floor of the record is the new size, because the process applies the
// registry that it wrote before it counts a majority.
func (r Registry) Add(rec Record) Registry {
	out := Registry{Members: slices.Clone(r.Members)}
	i, ok := out.index(rec.ID)
	if ok {
		out.Members[i] = rec
	} else {
		out.Members = slices.Insert(out.Members, i, rec)
	}
	out.Members[i].QuorumFloor = out.Size()
	return out
}

// Remove unregisters one incarnation and lowers the quorum floors of the others
// to at most the new size.
func (r Registry) Remove(m Member) Registry {
	if !r.Contains(m) {
		return r
	}
	i, _ := r.index(m.ID)
	out := Registry{Members: slices.Delete(slices.Clone(r.Members), i, i+1)}
	for j := range out.Members {
		out.Members[j].QuorumFloor = min(out.Members[j].QuorumFloor, out.Size())
	}
	return out
}

// RaiseFloors raises the quorum floors of the members that hold this version of
// the registry, as reported by holds, and reports whether any floor changed.
func (r Registry) RaiseFloors(holds func(Member) bool) (Registry, bool) {
	out := Registry{Members: slices.Clone(r.Members)}
	changed := false
	for i, rec := range out.Members {
		if rec.QuorumFloor < out.Size() && holds(rec.Member()) {
			out.Members[i].QuorumFloor = out.Size()
			changed = true
		}
	}
	return out, changed
}

// index returns the position of an entry VM in Members, or where it would be
// inserted.
func (r Registry) index(id string) (int, bool) {
	return slices.BinarySearchFunc(r.Members, id, func(rec Record, id string) int {
		return strings.Compare(rec.ID, id)
	})
}

// MarkListed sets Listed for the entry VMs in the platform's list of VMs and
// reports whether any record changed.
func (r Registry) MarkListed(listed func(id string) bool) (Registry, bool) {
	next := Registry{Members: slices.Clone(r.Members)}
	changed := false
	for i, rec := range next.Members {
		if !rec.Listed && listed(rec.ID) {
			next.Members[i].Listed = true
			changed = true
		}
	}
	return next, changed
}
