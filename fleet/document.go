// Package fleet holds the fleet document and the state machine that moves VMs
// between pools and carries them through maintenance.
package fleet

import (
	"encoding/json"
	"slices"
)

// Key returns the store key of the fleet document of a region.
func Key(region string) string { return "fleet/" + region }

// Phase is what a VM does at the moment.
type Phase string

// Phases of a VM.
const (
	// Serving VMs take requests of their pool.
	Serving Phase = "serving"
	// Releasing VMs take no new request; entry VMs confirm that they are done.
	Releasing Phase = "releasing"
	// Rebooting VMs are released and the platform reboots them.
	Rebooting Phase = "rebooting"
	// Down VMs are not in the platform's list, or leaving it.
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
// Invariant: Pool changes only together with a higher Generation, and only in
// a step that left Releasing or Rebooting.
type VM struct {
	ID               string `json:"id"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	Rack             string `json:"rack"`
	Pool             string `json:"pool"`
	HomePool         string `json:"home_pool"`
	Phase            Phase  `json:"phase"`
	Generation       int64  `json:"generation"`
	// Purpose, TargetPool, Operation and ExpectedBoot describe the transition.
	Purpose      Purpose `json:"purpose,omitempty"`
	TargetPool   string  `json:"target_pool,omitempty"`
	Wave         string  `json:"wave,omitempty"`
	Operation    string  `json:"operation,omitempty"`
	ExpectedBoot int64   `json:"expected_boot,omitempty"`
	// BootCount is the last boot count seen.
	BootCount int64 `json:"boot_count"`
	// MovedAtUnixMillis is the time of the last change of pool, for hold times.
	MovedAtUnixMillis int64 `json:"moved_at_unix_millis,omitempty"`
	// Lent is true while the capacity plan has the VM work for another pool
	// than its home pool.
	Lent bool `json:"lent,omitempty"`
	// DownSinceUnixMillis is the time at which the VM was seen to be gone.
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

// Document is the fleet of one region.
type Document struct {
	// Term is the term of the control holder that wrote the document.
	Term int64 `json:"term"`
	// ConfigRevision is the highest revision that a step has applied. Older
	// configurations are not applied any more.
	ConfigRevision int64 `json:"config_revision"`
	// LastGeneration is the highest generation of a VM that was removed from
	// the document. New records start above it, so that an old confirmation
	// never matches.
	LastGeneration int64          `json:"last_generation"`
	VMs            []VM           `json:"vms"`
	Waves          []WaveProgress `json:"waves"`
}

// Decode reads a fleet document.
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

// Equal reports whether both documents say the same, whoever wrote them.
func (d Document) Equal(o Document) bool {
	return d.ConfigRevision == o.ConfigRevision && d.LastGeneration == o.LastGeneration &&
		slices.Equal(d.VMs, o.VMs) && slices.EqualFunc(d.Waves, o.Waves, WaveProgress.equal)
}

func (w WaveProgress) equal(o WaveProgress) bool {
	return w.Name == o.Name && w.Revision == o.Revision && slices.Equal(w.Done, o.Done) &&
		w.Paused == o.Paused && w.Reason == o.Reason && w.Finished == o.Finished
}
