// Package jobstore defines the keys of the job subsystem in the platform's
// store, and reads and writes their records. A wave is an operator's request for
// the upkeep (planned maintenance) of a set of VMs.
//
//	inbox/job/ID      an accepted job, or an early cancellation: the mark that the job was
//	                  cancelled before it was accepted; created by the entry VM that took
//	                  either. A job never changes; an early cancellation may be replaced
//	                  by one that names a further organisation, or by the job of an
//	                  organisation that it does not name
//	inbox/cancel/ID   the requester cancelled the accepted job
//	progress/ID       what the job has done; written by the owner
//	owner/lease       the owner; removed when the owner's own lease ends
//	owner/term        how many owners there have been
//	owner/challenge   a larger entry VM that asks the owner to hand over
//	owner/holders     workers that may hold leases of runs; written by the owner
//	owner/horizon     up to which revision the owner may have started jobs of the inbox
//	owner/orders      VMs that were recently ordered to move or to have upkeep
//	owner/waiting     number of jobs of each queue of which nothing has started
//	owner/backlog     queues for whose jobs the owner has no more memory
//	owner/runtimes    run times that were learned from finished runs
//	owner/wave/N      VMs of a wave that had their upkeep
package jobstore

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

// Keys and prefixes.
const (
	InboxPrefix    = "inbox/"
	jobPrefix      = InboxPrefix + "job/"
	cancelPrefix   = InboxPrefix + "cancel/"
	ProgressPrefix = "progress/"
	OwnerPrefix    = "owner/"
	OwnerKey       = OwnerPrefix + "lease"
	TermKey        = OwnerPrefix + "term"
	ChallengeKey   = OwnerPrefix + "challenge"
	HoldersKey     = OwnerPrefix + "holders"
	WaitingKey     = OwnerPrefix + "waiting"
	BacklogKey     = OwnerPrefix + "backlog"
	OrdersKey      = OwnerPrefix + "orders"
	HorizonKey     = OwnerPrefix + "horizon"
	RunTimesKey    = OwnerPrefix + "runtimes"
	BurstsKey      = OwnerPrefix + "bursts"
	WavePrefix     = OwnerPrefix + "wave/"
)

// JobKey returns the key of an accepted job.
func JobKey(id string) string { return jobPrefix + id }

// CancelKey returns the key of a job's cancellation.
func CancelKey(id string) string { return cancelPrefix + id }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id string) string { return ProgressPrefix + id }

// ParseInboxKey returns the ID of the job that a key under InboxPrefix is about,
// and whether the key is that of its cancellation.
func ParseInboxKey(key string) (id string, cancel, ok bool) {
	if id, ok = strings.CutPrefix(key, jobPrefix); ok {
		return id, false, true
	}
	id, ok = strings.CutPrefix(key, cancelPrefix)
	return id, true, ok
}

// earlyCancellationStart begins the value of every early cancellation and of no job.
const earlyCancellationStart = `{"cancelled_early":true`

// earlyCancellation is the value of the key of a job that was cancelled before it was
// accepted.
type earlyCancellation struct {
	CancelledEarly bool `json:"cancelled_early"`
	// Organisations are those that cancelled the job. It is empty if only requesters without
	// an organisation did.
	Organisations []string `json:"by,omitempty"`
}

// EarlyCancellation returns the value of a job's key that marks the job as cancelled before
// it was accepted, by the given organisations. An empty name stands for requesters without
// an organisation, and so does an empty list.
func EarlyCancellation(organisations ...string) []byte {
	if len(organisations) == 1 && organisations[0] == "" {
		organisations = nil
	}
	value, err := json.Marshal(earlyCancellation{true, organisations})
	if err != nil {
		// A struct of a bool and strings can always be encoded.
		panic(err)
	}
	return value
}

// IsEarlyCancellation reports whether the value of a job's key is an early cancellation.
func IsEarlyCancellation(value []byte) bool {
	return bytes.HasPrefix(value, []byte(earlyCancellationStart))
}

// CancelledBy returns the organisations of an early cancellation, with an empty name for
// requesters without one.
func CancelledBy(value []byte) ([]string, error) {
	var c earlyCancellation
	if err := json.Unmarshal(value, &c); err != nil {
		return nil, errors.Wrap(err, "decode early cancellation")
	}
	if len(c.Organisations) == 0 {
		return []string{""}, nil
	}
	return c.Organisations, nil
}

// JobOrganisation returns the organisation and the queue of an accepted job from the value of
// its key.
func JobOrganisation(value []byte) (organisation, queue string, err error) {
	var j struct {
		Organisation string `json:"o"`
		Queue        string `json:"q"`
	}
	err = json.Unmarshal(value, &j)
	return j.Organisation, j.Queue, errors.Wrap(err, "decode organisation of a job")
}
