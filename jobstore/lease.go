package jobstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/store"
)

// Claim is the value of the owner's key: who owns the jobs. It also describes a
// candidate.
type Claim struct {
	// Node is the name of the owner's entry VM.
	Node string `json:"node"`
	// Process differs for each process on the entry VM.
	Process string `json:"process"`
	// Term is the number of owners before this one.
	Term int64 `json:"term"`
	// CPUShare is the fraction of a core that the entry VM has; 0 means that it
	// is not limited.
	CPUShare float64 `json:"cpu_share"`
}

// Ownership is a claim that was acquired, and the lease that holds it.
type Ownership struct {
	Claim
	// Fence is the revision of the owner's key. It grows with each owner and
	// serves as the fencing token of the owner's orders.
	Fence int64
	Lease int64
}

// ReadClaim returns the current owner's claim and key; ok is false if there is
// no owner.
func ReadClaim(ctx context.Context, s store.Store) (claim Claim, item store.Item, ok bool, err error) {
	item, err = s.Get(ctx, OwnerKey)
	if errors.Is(err, store.ErrNotFound) {
		return Claim{}, store.Item{}, false, nil
	}
	if err != nil {
		return Claim{}, store.Item{}, false, err
	}
	if err := json.Unmarshal(item.Value, &claim); err != nil {
		return Claim{}, item, true, errors.Wrap(err, "decode owner's key")
	}
	return claim, item, true, nil
}

// Acquire tries to make candidate the owner, with a lease of ttl. It succeeds if
// there is no owner, or if the owner is an earlier process of the same entry VM,
// which has ended. It returns nil without an error if there is another owner.
func Acquire(ctx context.Context, s store.Store, candidate Claim, ttl time.Duration) (*Ownership, error) {
	node, process := candidate.Node, candidate.Process
	current, item, ok, err := ReadClaim(ctx, s)
	if err != nil {
		return nil, err
	}
	if ok && (current.Node != node || current.Process == process) {
		return nil, nil
	}
	term, termRevision, err := readTerm(ctx, s)
	if err != nil {
		return nil, err
	}
	lease, err := s.GrantLease(ctx, ttl)
	if err != nil {
		return nil, err
	}
	candidate.Term = term
	ownership := &Ownership{Claim: candidate, Lease: lease}
	value, err := json.Marshal(ownership.Claim)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	next, err := json.Marshal(term + 1)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	ownership.Fence, err = s.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: OwnerKey, Revision: item.Revision}, {Key: TermKey, Revision: termRevision}},
		Writes:     []store.Write{{Key: OwnerKey, Value: value, Lease: lease}, {Key: TermKey, Value: next}},
	})
	if err == nil {
		return ownership, nil
	}
	// If the write took effect although its answer was lost, ending the lease
	// removes the owner's key.
	endCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ttl)
	defer cancel()
	if endErr := s.EndLease(endCtx, lease); endErr != nil && !errors.Is(err, store.ErrConflict) {
		return nil, errors.Wrapf(err, "acquire (lease not ended: %v)", endErr)
	}
	if errors.Is(err, store.ErrConflict) {
		return nil, nil
	}
	return nil, err
}

func readTerm(ctx context.Context, s store.Store) (term, revision int64, err error) {
	item, err := s.Get(ctx, TermKey)
	if errors.Is(err, store.ErrNotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	if err := json.Unmarshal(item.Value, &term); err != nil {
		return 0, 0, errors.Wrap(err, "decode term")
	}
	return term, item.Revision, nil
}
