// Package note defines release notes and the configuration that they change. A
// published note is accepted once the configuration that results from it is in
// the store.
package note

import (
	"encoding/json"
)

// ConfigKey is the store key of the configuration in force.
const ConfigKey = "notes/current"

// Config is the configuration in force: the result of all accepted notes. The
// LastChangedRevision of a pool, service, wave or team is the revision of the
// last accepted note that added or changed it.
type Config struct {
	// Revision grows by one with every accepted note.
	Revision int64     `json:"revision"`
	Pools    []Pool    `json:"pools"`
	Services []Service `json:"services"`
	Waves    []Wave    `json:"waves"`
	Teams    []Team    `json:"teams,omitempty"`
	// RecentNotes holds the revisions of the last MaxRecentNotes notes by publish
	// identifier.
	RecentNotes []PublishRecord `json:"recent,omitempty"`
	// LastNote is the text of the last accepted note.
	LastNote string `json:"last_note,omitempty"`
}

// PublishRecord records the revision that an accepted note created.
type PublishRecord struct {
	ID       string `json:"id"`
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	// PublishedAtUnixMillis is the time of acceptance by the clock of the
	// entry VM that accepted the note.
	PublishedAtUnixMillis int64 `json:"published_at_unix_millis,omitempty"`
}

// Pool is a group of VMs that serve requests or are spare.
type Pool struct {
	Name string `json:"name" toml:"name"`
	// VMs are the identifiers of the VMs whose home pool this is; the fleet
	// document records the pool that each one is in at the moment.
	VMs []string `json:"vms" toml:"vms"`
	// Spare pools serve no service; they lend VMs to other pools.
	Spare bool `json:"spare" toml:"spare"`
	// MinimumVMs is the number of VMs below which moves never take the pool.
	MinimumVMs int `json:"minimum_vms" toml:"minimum_vms"`
	// SlotsPerWorker is the number of requests that one VM of the pool, a
	// worker, runs at the same time.
	SlotsPerWorker       int   `json:"slots_per_worker" toml:"slots_per_worker"`
	ConnectionsPerWorker int   `json:"connections_per_worker" toml:"connections_per_worker"`
	LastChangedRevision  int64 `json:"touched_revision" toml:"touched_revision"`
}

// Service names what callers send requests to. The requests run on the VMs of one
// pool.
type Service struct {
	Name string `json:"name" toml:"name"`
	Pool string `json:"pool" toml:"pool"`
	// MaxUnavailable is the availability budget: the number of VMs of the
	// pool that may be out of service at the same time.
	MaxUnavailable      int     `json:"max_unavailable" toml:"max_unavailable"`
	DeadlineSeconds     float64 `json:"deadline_seconds" toml:"deadline_seconds"`
	MaxQueue            int     `json:"max_queue" toml:"max_queue"`
	MaxBodyBytes        int64   `json:"max_body_bytes" toml:"max_body_bytes"`
	LastChangedRevision int64   `json:"touched_revision" toml:"touched_revision"`
}

// Wave reboots every VM of its pools once.
type Wave struct {
	Name  string   `json:"name" toml:"name"`
	Pools []string `json:"pools" toml:"pools"`
	// MaxConcurrent limits the number of VMs under maintenance at the same
	// time, in addition to the availability budgets of the services.
	MaxConcurrent       int   `json:"max_concurrent" toml:"max_concurrent"`
	LastChangedRevision int64 `json:"touched_revision" toml:"touched_revision"`
}

// Team is a group of callers with a quota of slots.
type Team struct {
	Name                string `json:"name" toml:"name"`
	SlotQuota           int    `json:"slot_quota" toml:"slot_quota"`
	LastChangedRevision int64  `json:"touched_revision" toml:"touched_revision"`
}

// DecodeConfig decodes the value of ConfigKey.
func DecodeConfig(value []byte) (Config, error) {
	var c Config
	err := json.Unmarshal(value, &c)
	return c, err
}

// Encode returns the value of ConfigKey.
func (c Config) Encode() []byte {
	value, err := json.Marshal(c)
	if err != nil {
		// The types of Config hold nothing that JSON cannot represent.
		panic(err)
	}
	return value
}

// Pool returns the pool with the given name.
func (c Config) Pool(name string) (Pool, bool) {
	for _, p := range c.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// Service returns the service with the given name.
func (c Config) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}
