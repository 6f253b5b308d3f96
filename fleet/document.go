// Package fleet defines the fleet document of a region and the state machine
// that moves VMs between pools and takes them through maintenance.
package fleet

import (
	"encoding/json"
	"slices"
)

// Key returns the store key of the fleet document of a region.
func Key(region string) string { return "fleet/" + region }

// Phase is the current phase of a VM.
type Phase string

// Phases of a VM.
const (
	// Serving VMs accept requests of their pool.
	Serving Phase = "serving"
	// Releasing VMs get no new requests; each entry VM confirms once it has
	// no request in flight and no connection to the VM.
	Releasing Phase = "releasing"
	// Rebooting VMs are released or may be fenced, and the platform reboots
	// them.
	Rebooting Phase = "rebooting"
	// Down VMs are absent from the platform's list of VMs, or have been
	// released in order to leave it.
	Down Phase = "down"
)

// Purpose says why a VM is released.
type Purpose string

// Purposes of a release.
const (
	PurposeNone        Purpose = ""
	PurposeMove        Purpose = "move"
	PurposeMaintenance Purpose = "maintenance"
	PurposeLeaving     Purpose = "leaving"
)

// VM is the record of one VM.
//
// Invariant: Pool changes only together with a higher Generation, and only in a
// step in which the VM leaves the phase Releasing or Rebooting.
type VM struct {
	ID               string `json:"id"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	Rack             string `json:"rack"`
	Pool             string `json:"pool"`
	HomePool         string `json:"home_pool"`
	Phase            Phase  `json:"phase"`
	Generation       int64  `json:"generation"`
	// Purpose, TargetPool, Wave, Operation and ExpectedBoot describe the
	// transition in progress.
	Purpose      Purpose `json:"purpose,omitempty"`
	TargetPool   string  `json:"target_pool,omitempty"`
	Wave         string  `json:"wave,omitempty"`
	Operation    string  `json:"operation,omitempty"`
	ExpectedBoot int64   `json:"expected_boot,omitempty"`
	// BootCount is the highest boot count seen.
	BootCount int64 `json:"boot_count"`
	// MovedAtUnixMillis is the time of the last change of pool. The capacity
	// plan uses it to keep VMs in a pool for a minimum time.
	MovedAtUnixMillis int64 `json:"moved_at_unix_millis,omitempty"`
	// Lent is true while the capacity plan assigns the VM to a pool other
	// than its home pool.
	Lent bool `json:"lent,omitempty"`
	// DownSinceUnixMillis is the time at which the phase became Down.
	DownSinceUnixMillis int64 `json:"down_since_unix_millis,omitempty"`
}

// WaveProgress is the state of one maintenance wave.
type WaveProgress struct {
	Name string `json:"name"`
	// Revision is the revision of the configuration that added the wave.
	Revision int64    `json:"revision"`
	Done     []string `json:"done"`
	Paused   bool     `json:"paused"`
	Reason   string   `json:"reason,omitempty"`
	Finished bool     `json:"finished"`
}

// Document describes the fleet of one region.
type Document struct {
	// Term is the term of the holder of the control role that wrote the
	// document.
	Term int64 `json:"term"`
	// ConfigRevision is the highest configuration revision that a step has
	// applied. Older configurations are no longer applied.
	ConfigRevision int64 `json:"config_revision"`
	// LastGeneration is the highest generation of any VM that was removed
	// from the document. New records start above it, so that they never match
	// an old confirmation.
	LastGeneration int64          `json:"last_generation"`
	VMs            []VM           `json:"vms"`
	Waves          []WaveProgress `json:"waves"`
}

// Decode decodes a fleet document.
func Decode(value []byte) (Document, error) {
	var d Document
	err := json.Unmarshal(value, &d)
	return d, err
}

// Encode returns the value of the fleet document.
func (d Document) Encode() []byte {
	value, err := json.Marshal(d)
	if err != nil {
		// The types of Document hold nothing that JSON cannot represent.
		panic(err)
	}
	return value
}

// Equal reports whether both documents are equal apart from their terms.
func (d Document) Equal(other Document) bool {
	return d.ConfigRevision == other.ConfigRevision && d.LastGeneration == other.LastGeneration &&
		slices.Equal(d.VMs, other.VMs) && slices.EqualFunc(d.Waves, other.Waves, WaveProgress.equal)
}

func (w WaveProgress) equal(other WaveProgress) bool {
	return w.Name == other.Name && w.Revision == other.Revision && slices.Equal(w.Done, other.Done) &&
		w.Paused == other.Paused && w.Reason == other.Reason && w.Finished == other.Finished
}
