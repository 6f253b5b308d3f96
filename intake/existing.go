package intake

import (
	"slices"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/store"
)

// visible reports whether a requester of an organisation may see and cancel a job that
// belongs to an organisation. Jobs that belong to none, because their queue is public or their
// record is older than organisations, are visible to all that know their ID.
func visible(belongsTo, organisation string) bool {
	return belongsTo == "" || belongsTo == organisation
}

// existing returns the answer to a submission whose key exists already with the given item.
// answered is false if the submission is to be written in place of the item: an early
// cancellation concerns only the organisations that it names. IDs are chosen by requesters,
// so that without this one organisation could keep another from submitting a job.
func (s *submission) existing(item store.Item) (answered bool, err error) {
	if !jobstore.IsEarlyCancellation(item.Value) {
		return true, s.existingJob(item)
	}
	by, err := jobstore.CancelledBy(item.Value)
	if err == nil && !slices.Contains(by, s.organisation) {
		s.revision = item.Revision
		if s.cancellation {
			s.value = jobstore.EarlyCancellation(append(by, s.organisation)...)
		}
		return false, nil
	}
	// A cancellation that cannot be decoded counts for all organisations: to refuse a job is
	// better than to accept one that was cancelled.
	if s.cancellation {
		return true, nil
	}
	return true, errors.WithStack(ErrCancelled)
}

// existingJob returns the answer to a submission whose job, or another one of its ID, is
// stored already.
func (s *submission) existingJob(item store.Item) error {
	if s.cancellation {
		return errors.WithStack(errAccepted)
	}
	belongsTo, queue, err := jobstore.JobOrganisation(item.Value)
	if err != nil {
		// Only Submit writes jobs, so that this one was accepted by a version of the program
		// with another encoding.
		return nil
	}
	if belongsTo == s.organisation || belongsTo == "" && queue == s.queue {
		return nil
	}
	return errors.WithStack(ErrIDTaken)
}
