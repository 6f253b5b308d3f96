// Package jobstore defines the keys of the job subsystem in the platform's
// store, and reads and writes their records. A wave is an operator's request for
// the upkeep (planned maintenance) of a set of VMs.
//
//	inbox/job/ID      an accepted job, or an early cancellation: the mark that the job was
//	                  cancelled before it was accepted; created once by the entry VM that
//	                  took either
//	inbox/cancel/ID   the requester cancelled the accepted job
//	progress/ID       what the job has done; written by the owner
//	owner/lease       the owner; removed when the owner's own lease ends
//	owner/term        how many owners there have been
//	owner/challenge   a larger entry VM that asks the owner to hand over
//	owner/holders     workers that may hold leases of runs; written by the owner
//	owner/orders      VMs that were recently ordered to move or to have upkeep
//	owner/waiting     number of jobs of each queue of which nothing has started
//	owner/backlog     queues for whose jobs the owner has no more memory
//	owner/runtimes    run times that were learned from finished runs
//	owner/wave/N      VMs of a wave that had their upkeep
package jobstore

import (
	"bytes"
	"strings"
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
	RunTimesKey    = OwnerPrefix + "runtimes"
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

// earlyCancellation has no steps, so that it can be told from every job.
const earlyCancellation = `{"cancelled_early":true}`

// EarlyCancellation returns the value of a job's key that marks the job as cancelled before
// it was accepted.
func EarlyCancellation() []byte { return []byte(earlyCancellation) }

// IsEarlyCancellation reports whether the value of a job's key is an early cancellation.
func IsEarlyCancellation(value []byte) bool { return bytes.Equal(value, []byte(earlyCancellation)) }
