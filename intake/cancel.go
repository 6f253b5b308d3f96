package intake

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/store"
)

// Cancel stores that a job is cancelled, for a requester of the given organisation, or of
// none if it is empty. It returns ErrJobNotFound for an unknown job, and for one of another
// organisation, once no submission of the same organisation that is still on its way can be
// accepted any more.
func (in *Intake) Cancel(ctx context.Context, id, organisation string) error {
	if in.health.Down() {
		return errors.WithStack(ErrStoreDown)
	}
	admitted := false
	for {
		item, err := in.store.Get(ctx, jobstore.JobKey(id))
		early := err == nil && jobstore.IsEarlyCancellation(item.Value)
		switch {
		case errors.Is(err, store.ErrNotFound), early:
			s := &submission{
				key: jobstore.JobKey(id), value: jobstore.EarlyCancellation(organisation), organisation: organisation, cancellation: true,
				done: make(chan error, 1),
			}
			if early {
				if answered, err := s.existing(item); answered {
					return notFoundIfNil(err)
				}
			}
			if admitted = admitted || in.unknownCancels.Allow(); !admitted {
				return errors.WithStack(ErrBusy)
			}
			err = in.cancelUnknown(ctx, s)
		case err == nil:
			err = in.cancelAccepted(ctx, id, organisation, item)
		}
		if err == nil || errors.Is(err, ErrJobNotFound) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ErrOutcomeUnknown, err.Error())
		case <-time.After(retryPause):
		}
	}
}

// cancelAccepted stores the cancellation of a job whose record is item.
func (in *Intake) cancelAccepted(ctx context.Context, id, organisation string, item store.Item) error {
	belongsTo, _, err := jobstore.JobOrganisation(item.Value)
	if err != nil {
		return err
	}
	if !visible(belongsTo, organisation) {
		return errors.WithStack(ErrJobNotFound)
	}
	_, err = in.store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: item.Key, Revision: item.Revision}},
		Writes:     []store.Write{{Key: jobstore.CancelKey(id), Value: []byte("{}")}},
	})
	return err
}

// cancelUnknown stores the cancellation of a job that is not stored, and returns
// ErrJobNotFound. Any other error means that this is not certain, or that the job was
// accepted meanwhile.
func (in *Intake) cancelUnknown(ctx context.Context, s *submission) error {
	if err := in.enqueue(s); err != nil {
		return err
	}
	select {
	case err := <-s.done:
		return notFoundIfNil(err)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// notFoundIfNil returns the answer to a cancellation of an unknown job that was stored.
func notFoundIfNil(err error) error {
	if err == nil {
		return errors.WithStack(ErrJobNotFound)
	}
	return err
}
