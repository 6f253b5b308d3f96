// Package jobstore is the layout of the job subsystem in the platform's store:
// which keys there are, who writes them, and under which conditions.
//
//	inbox/job/ID      an accepted job; created once by the entry VM that took it
//	inbox/cancel/ID   the requester cancelled the job
//	progress/ID       what the job has done; written by the owner
//	owner/lease       the owner; attached to the owner's lease
//	owner/term        how many owners there have been
//	owner/challenge   an entry VM that is larger than the owner's asks to be it
//	owner/holders     workers that may hold leases; written by the owner
//	owner/orders      VMs that were ordered to move or to upkeep lately
//	owner/waiting     jobs of each queue of which nothing has started
//	owner/wave/N      machines of a wave that had their upkeep
package jobstore

import "strings"

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
	OrdersKey      = OwnerPrefix + "orders"
	WavePrefix     = OwnerPrefix + "wave/"
)

// JobKey is where an accepted job is stored.
func JobKey(id string) string { return jobPrefix + id }

// CancelKey is where the cancelling of a job is stored.
func CancelKey(id string) string { return cancelPrefix + id }

// ProgressKey is where the progress of a job is stored.
func ProgressKey(id string) string { return ProgressPrefix + id }

// ParseInboxKey returns the job of a key under InboxPrefix and whether the key
// cancels it.
func ParseInboxKey(key string) (id string, cancel, ok bool) {
	if id, ok = strings.CutPrefix(key, jobPrefix); ok {
		return id, false, true
	}
	id, ok = strings.CutPrefix(key, cancelPrefix)
	return id, true, ok
}
