package jobstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/store"
)

// Challenge asks the current owner to hand over to challenger. The record of the
// challenge expires after ttl. Nothing is written while any entry VM's challenge
// exists.
func Challenge(ctx context.Context, s store.Store, challenger Claim, ttl time.Duration) error {
	if _, ok, err := ReadChallenge(ctx, s); err != nil || ok {
		return err
	}
	value, err := json.Marshal(challenger)
	if err != nil {
		return errors.WithStack(err)
	}
	lease, err := s.GrantLease(ctx, ttl)
	if err != nil {
		return err
	}
	_, err = s.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: ChallengeKey}},
		Writes:     []store.Write{{Key: ChallengeKey, Value: value, Lease: lease}},
	})
	if errors.Is(err, store.ErrConflict) {
		return s.EndLease(ctx, lease)
	}
	return err
}

// ReadChallenge returns the claim of the entry VM that challenges the owner; ok
// is false if there is none.
func ReadChallenge(ctx context.Context, s store.Store) (challenger Claim, ok bool, err error) {
	item, err := s.Get(ctx, ChallengeKey)
	if errors.Is(err, store.ErrNotFound) {
		return Claim{}, false, nil
	}
	if err != nil {
		return Claim{}, false, err
	}
	return challenger, true, errors.Wrap(json.Unmarshal(item.Value, &challenger), "decode challenge")
}
