package jobstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/store"
)

// Claim is the content of the owner's key.
type Claim struct {
	// Node is the entry VM of the owner.
	Node string `json:"node"`
	// Process differs for each process on the entry VM.
	Process string `json:"process"`
	Term    int64  `json:"term"`
	// CPUShare is the part of a core that the entry VM has.
	CPUShare float64 `json:"cpu_share"`
}

// Held is an ownership that was acquired.
type Held struct {
	Claim
	// Fence is the revision of the owner's key; it only grows.
	Fence int64
	Lease int64
}

// ReadClaim returns the present owner's key; ok is false if there is none.
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

// Acquire tries to become the owner as candidate, with a lease of ttl. It succeeds if there
// is no owner, or if the owner is a former process of the same entry VM, which
// has ended. Without ownership it returns nil.
func Acquire(ctx context.Context, s store.Store, candidate Claim, ttl time.Duration) (*Held, error) {
	node, process := candidate.Node, candidate.Process
	present, item, ok, err := ReadClaim(ctx, s)
	if err != nil {
		return nil, err
	}
	if ok && (present.Node != node || present.Process == process) {
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
	held := &Held{Claim: candidate, Lease: lease}
	value, err := json.Marshal(held.Claim)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	next, err := json.Marshal(term + 1)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	held.Fence, err = s.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: OwnerKey, Revision: item.Revision}, {Key: TermKey, Revision: termRevision}},
		Writes:     []store.Write{{Key: OwnerKey, Value: value, Lease: lease}, {Key: TermKey, Value: next}},
	})
	if err == nil {
		return held, nil
	}
	// If the write took effect without an answer, ending the lease removes it.
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
