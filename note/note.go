package note

import (
	"crypto/sha256"
	"encoding/hex"

	"dotterelhead.example/dotterelhead/findings"
	"dotterelhead.example/dotterelhead/tomlfile"
)

// Defaults of the optional fields of a note.
const (
	// DefaultMinimumVMs applies to pools that are not spare. The default of
	// spare pools and of pools without VMs is 0.
	DefaultMinimumVMs           = 1
	DefaultSlotsPerWorker       = 8
	DefaultConnectionsPerWorker = 64
	DefaultMaxUnavailable       = 1
	DefaultDeadlineSeconds      = 30.0
	DefaultMaxQueue             = 1000
	DefaultMaxBodyBytes         = 1 << 20
	// DefaultMaxConcurrent is the number of VMs in a rack, because a wave
	// takes one rack at a time.
	DefaultMaxConcurrent = 4
	DefaultSlotQuota     = 8
)

// Size limits. The store holds values of up to 1 MiB; 64 KiB of it are reserved
// for the envelope of a stored document.
const (
	MaxDocumentBytes = 1<<20 - 64<<10
	MaxNoteBytes     = MaxDocumentBytes
)

// Note is a release note: a set of changes to the configuration, written against
// a base revision.
type Note struct {
	Name string
	// Base is the revision that the note was written against.
	Base int64
	// ID is the publish identifier: the SHA-256 hash of the text.
	ID   string
	Text string

	doc   document
	index *tomlfile.Index
}

// document is the TOML form of a note. Optional fields are pointers, so that a
// change sets only the fields that it contains.
type document struct {
	Note struct {
		Name string `toml:"name"`
		Base *int64 `toml:"base"`
	} `toml:"note"`
	Pool    poolSection    `toml:"pool"`
	Service serviceSection `toml:"service"`
	Wave    waveSection    `toml:"wave"`
	Team    teamSection    `toml:"team"`
}

type poolSection struct {
	Add      []poolEntry     `toml:"add"`
	Change   []poolEntry     `toml:"change"`
	Withdraw []withdrawEntry `toml:"withdraw"`
}

type serviceSection struct {
	Add      []serviceEntry  `toml:"add"`
	Change   []serviceEntry  `toml:"change"`
	Withdraw []withdrawEntry `toml:"withdraw"`
}

type waveSection struct {
	Add      []waveEntry     `toml:"add"`
	Change   []waveEntry     `toml:"change"`
	Withdraw []withdrawEntry `toml:"withdraw"`
}

type teamSection struct {
	Add      []teamEntry     `toml:"add"`
	Change   []teamEntry     `toml:"change"`
	Withdraw []withdrawEntry `toml:"withdraw"`
}

type withdrawEntry struct {
	Name string `toml:"name"`
}

type poolEntry struct {
	Name string `toml:"name"`
	// VMs replaces the list of VMs; AddVMs and RemoveVMs change it.
	VMs                  *[]string `toml:"vms"`
	AddVMs               []string  `toml:"add_vms"`
	RemoveVMs            []string  `toml:"remove_vms"`
	Spare                *bool     `toml:"spare"`
	MinimumVMs           *int      `toml:"minimum_vms"`
	SlotsPerWorker       *int      `toml:"slots_per_worker"`
	ConnectionsPerWorker *int      `toml:"connections_per_worker"`
}

type serviceEntry struct {
	Name            string   `toml:"name"`
	Pool            *string  `toml:"pool"`
	MaxUnavailable  *int     `toml:"max_unavailable"`
	DeadlineSeconds *float64 `toml:"deadline_seconds"`
	MaxQueue        *int     `toml:"max_queue"`
	MaxBodyBytes    *int64   `toml:"max_body_bytes"`
}

type waveEntry struct {
	Name          string    `toml:"name"`
	Pools         *[]string `toml:"pools"`
	MaxConcurrent *int      `toml:"max_concurrent"`
}

type teamEntry struct {
	Name      string `toml:"name"`
	SlotQuota *int   `toml:"slot_quota"`
}

// PublishID returns the publish identifier of a note's text.
func PublishID(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Parse parses a note and checks everything that can be checked without the
// configuration that it changes. The note is nil when there are findings. file
// is the file name in the positions of the findings.
func Parse(file string, text []byte) (*Note, findings.List) {
	if len(text) > MaxNoteBytes {
		var found findings.List
		found.Add(findings.Position{File: file}, "the note has %d bytes, more than %d", len(text), MaxNoteBytes)
		return nil, found
	}
	n := &Note{ID: PublishID(text), Text: string(text)}
	index, found, ok := tomlfile.Decode(file, []byte(n.Text), &n.doc)
	n.index = index
	if ok {
		n.Name = n.doc.Note.Name
		c := checker{index: index, found: found, poolOfVM: map[string]string{}}
		c.checkNote(&n.doc)
		if n.doc.Note.Base != nil {
			n.Base = *n.doc.Note.Base
		}
		found = c.found
	}
	if len(found) > 0 {
		return nil, found.Limited()
	}
	return n, nil
}
