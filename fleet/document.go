// Package fleet defines the fleet document of a region and the state machine
// that moves VMs between pools and takes them through maintenance.
package fleet

import (
	"encoding/json"
	"slices"
)

// DocumentKey returns the store key of the fleet document of a region.
func DocumentKey(region string) string { return "fleet/" + region }

// Phase says whether a VM serves requests and, if not, how far its transition
// has come.
type Phase string

// Phases of a VM.
const (
	// Serving VMs accept requests of their pool.
	Serving Phase = "serving"
	// Releasing VMs get no new requests. An entry VM has released the VM, and
	// confirms this, once it has no request in flight and no connection to it.
	Releasing Phase = "releasing"
	// Rebooting VMs have been released by every entry VM or may be fenced, and
	// the platform reboots them.
	Rebooting Phase = "rebooting"
	// Down VMs are absent from the platform's list of VMs, do not exist on the
	// platform, or have been released by every entry VM with PurposeLeaving.
	Down Phase = "down"
)

// Purpose says why a VM is taken out of service.
type Purpose string

// Purposes of a release.
const (
	PurposeNone        Purpose = ""
	PurposeMove        Purpose = "move"
	PurposeMaintenance Purpose = "maintenance"
	// PurposeLeaving applies when the platform lists the VM as leaving or the
	// configuration no longer names it.
	PurposeLeaving Purpose = "leaving"
)

// VM records the pool, the phase and the transition in progress of one VM.
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
	// Generation grows by one when a move or reboot is complete and when a VM
	// that was down returns. Confirmations of a release name the generation, so
	// that those of an earlier release are not taken for the current one.
	Generation int64 `json:"generation"`
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
	// Revision is the LastChangedRevision of the wave. When it differs from that in
	// the configuration, the wave starts anew.
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
