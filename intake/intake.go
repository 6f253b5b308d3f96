// Package intake accepts jobs from requesters, on every entry VM. A job is
// accepted once it is in the store, and its state is always read from the store.
package intake

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/store"
)

// Errors of the intake.
var (
	// ErrNotAccepted reports that a job was not accepted and will never run.
	ErrNotAccepted = errors.New("not accepted")
	// ErrOutcomeUnknown reports that a job may have been accepted, or that a
	// cancellation may have been stored.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrStoreDown reports that the store cannot be reached, and nothing was done.
	// For a new job Submit returns ErrNotAccepted instead.
	ErrStoreDown = errors.New("store is down")
	// ErrJobNotFound reports that no such job exists.
	ErrJobNotFound = errors.New("no such job")
	// ErrCancelled reports that a job was not accepted because it had been cancelled
	// before. It is an ErrNotAccepted.
	ErrCancelled = errors.WithMessage(ErrNotAccepted, "job was cancelled")
	// ErrBacklogFull reports that a job was not accepted because the jobs of its queue take
	// as much memory as they may. It is an ErrNotAccepted.
	ErrBacklogFull = errors.WithMessage(ErrNotAccepted, "too many jobs of the queue wait")
	// ErrIDTaken reports that a job was not accepted because another organisation has a job
	// of the same ID. It is an ErrNotAccepted.
	ErrIDTaken = errors.WithMessage(ErrNotAccepted, "the ID belongs to a job of another organisation")
	// ErrOverloaded reports that a job was not accepted because it would end after it has
	// lost its value. It is an ErrNotAccepted.
	ErrOverloaded = errors.WithMessage(ErrNotAccepted, "the accepted jobs take too long")
	// ErrBusy reports that too many unknown jobs were cancelled lately, and nothing was
	// done.
	ErrBusy = errors.New("too many cancellations of unknown jobs")
	// errAccepted reports that a job was accepted before its cancellation was stored.
	errAccepted = errors.New("job was accepted")
)

const (
	// resolveTimeout bounds the time for repeating a write whose answer was lost.
	// After it the requester is told that the outcome is unknown, and should
	// repeat the request, preferably at another entry VM.
	resolveTimeout = 1500 * time.Millisecond
	// batchDelay is how long the first job of a batch waits for others.
	batchDelay = 2 * time.Millisecond
	// maxJobsPerTransaction is how many jobs fit into a transaction: each takes a
	// condition and a write.
	maxJobsPerTransaction = store.MaxTransactionEntries / 2
	// maxQueuedJobs bounds the jobs that wait for a transaction.
	maxQueuedJobs = 512
	// maxConcurrentWrites bounds the transactions that are in progress at once.
	maxConcurrentWrites = 4
	// retryPause is the pause before a failed call is repeated. A refused write is
	// repeated only once.
	retryPause = 20 * time.Millisecond
	// unknownCancelRate, in cancellations a second, and unknownCancelBurst bound those of
	// unknown jobs, each of which takes a record that is kept for as long as a finished job.
	// In the largest burst of the sites an entry VM gets 8 jobs a second. The rate allows
	// twice as many to be cancelled before they are accepted, and the burst 5 s of it.
	unknownCancelRate  = 20
	unknownCancelBurst = 100
	// refusalReadTimeout bounds the read that tells whether a job that is refused for the load
	// was accepted before. Most requesters wait for 3 s, and a job whose record cannot be read
	// is submitted instead.
	refusalReadTimeout = 500 * time.Millisecond
	// backlogWait is how long one watch call on the backlog waits for changes. A connection
	// that went silent is noticed only when the wait is over.
	backlogWait = 5 * time.Second
)

// Intake stores new jobs and cancellations, and answers questions about jobs.
type Intake struct {
	store          store.Store
	health         *store.Health
	queue          chan *submission
	unknownCancels *rate.Limiter
	// backlog is nil while the owner has named no queues.
	backlog atomic.Pointer[knownBacklog]
}

// knownBacklog is the owner's record as it was received. A record that was read and not
// seen to change may be of a lost owner; it has no changedAt and refuses no jobs for the load.
type knownBacklog struct {
	jobstore.Backlog
	changedAt time.Duration
}

// refusal returns the refusal for the load that holds for a job now, or nil.
func (b *knownBacklog) refusal(j *job.Job, now time.Duration) *jobstore.LoadRefusal {
	if b.changedAt == 0 || now-b.changedAt > jobstore.RefusalValidity || !j.RefusableForLoad() {
		return nil
	}
	return b.Refusal(j.Queue, j.Organisation)
}

// OverloadError is an ErrOverloaded. The requester may come back after RetryAfter.
// BeyondShare is set if the organisation is beyond its share and others are accepted.
type OverloadError struct {
	RetryAfter  time.Duration
	BeyondShare bool
}

func (e *OverloadError) Error() string { return ErrOverloaded.Error() }

// Unwrap returns ErrOverloaded.
func (e *OverloadError) Unwrap() error { return ErrOverloaded }

// submission is a job that is waiting to be stored, or the cancellation of an unknown job,
// which takes the place of the job's record.
type submission struct {
	key   string
	value []byte
	// organisation and queue are those of the job, or organisation that of the requester who
	// cancels.
	organisation, queue string
	cancellation        bool
	// revision is that of the early cancellation which the write replaces, or 0.
	revision int64
	// uncertain is set once a write got no answer: it may still take effect.
	uncertain bool
	// refusals counts the writes that the store refused.
	refusals int
	// done receives the result of the submission.
	done chan error
}

// New returns an intake; Run has to be called for it to work. While health
// reports that the store is down, every call fails at once: Submit with
// ErrNotAccepted, the others with ErrStoreDown.
func New(s store.Store, health *store.Health) *Intake {
	return &Intake{
		store: s, health: health, queue: make(chan *submission, maxQueuedJobs),
		unknownCancels: rate.NewLimiter(unknownCancelRate, unknownCancelBurst),
	}
}

// Run writes batches of jobs until ctx ends.
func (in *Intake) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { in.followBacklog(ctx) })
	slots := make(chan struct{}, maxConcurrentWrites)
	for {
		var first *submission
		select {
		case <-ctx.Done():
			return
		case first = <-in.queue:
		}
		batch := in.collect(ctx, first)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			in.write(batch)
		}()
	}
}

// followBacklog keeps up with the full queues that the owner names, until ctx ends. Calls
// that fail are counted with all calls to the store.
func (in *Intake) followBacklog(ctx context.Context) {
	note := func(i store.Item, changedAt time.Duration) {
		// A record that cannot be decoded refuses no jobs; the next owner logs it.
		if backlog, err := jobstore.DecodeBacklog(i.Value); err == nil {
			in.backlog.Store(&knownBacklog{backlog, changedAt})
		} else {
			in.backlog.Store(nil)
		}
	}
	store.Follow(ctx, in.store, jobstore.BacklogKey, backlogWait, store.FollowHandler{
		Reset: func(items []store.Item, _ int64) {
			in.backlog.Store(nil)
			for _, i := range items {
				note(i, 0)
			}
		},
		Changed: func(events []store.Event) { note(events[len(events)-1].Item, boottime.Now()) },
	})
}

// collect waits up to batchDelay for more jobs to write together with first.
func (in *Intake) collect(ctx context.Context, first *submission) []*submission {
	batch := []*submission{first}
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for len(batch) < maxJobsPerTransaction {
		select {
		case s := <-in.queue:
			batch = append(batch, s)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// Submit stores a job. It returns nil once the job is stored, including when it
// was stored before, ErrNotAccepted only if no write of the job can take effect
// any more, and ErrOutcomeUnknown otherwise. A job that was cancelled first is not
// accepted.
func (in *Intake) Submit(j *job.Job) error {
	if in.health.Down() {
		return errors.Wrap(ErrNotAccepted, "store is down")
	}
	value, err := json.Marshal(j)
	if err != nil {
		return errors.Wrap(ErrNotAccepted, err.Error())
	}
	s := &submission{key: jobstore.JobKey(j.ID), value: value, organisation: j.Organisation, queue: j.Queue, done: make(chan error, 1)}
	if b := in.backlog.Load(); b != nil {
		if slices.Contains(b.FullQueues, j.Queue) {
			return in.acceptedBefore(s, resolveTimeout, errors.WithStack(ErrBacklogFull))
		}
		if r := b.refusal(j, boottime.Now()); r != nil {
			refused := &OverloadError{RetryAfter: r.ReturnAfter(j.ID), BeyondShare: len(r.Organisations) > 0}
			// The load is no reason to leave the answer open.
			if err := in.acceptedBefore(s, refusalReadTimeout, refused); !errors.Is(err, ErrOutcomeUnknown) {
				return err
			}
		}
	}
	if err := in.enqueue(s); err != nil {
		return err
	}
	return <-s.done
}

// acceptedBefore returns the answer to a submission that is refused: only a job that is
// stored already was accepted.
func (in *Intake) acceptedBefore(s *submission, timeout time.Duration, refused error) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	item, err := in.store.Get(ctx, s.key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return refused
	case err != nil:
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	if answered, err := s.existing(item); answered {
		return err
	}
	return refused
}

func (in *Intake) enqueue(s *submission) error {
	select {
	case in.queue <- s:
		return nil
	default:
		return errors.Wrapf(ErrNotAccepted, "%d jobs wait to be stored", maxQueuedJobs)
	}
}

// write stores a batch and answers each of its submissions.
func (in *Intake) write(batch []*submission) {
	deadline := time.Now().Add(resolveTimeout)
	seen := map[string]bool{}
	for i, s := range batch {
		// A second submission of a job in the batch gets a transaction of its own,
		// because a transaction can create a key only once.
		if seen[s.key] {
			go in.write([]*submission{s})
			batch[i] = nil
		}
		seen[s.key] = true
	}
	batch = remove(batch, func(s *submission) bool { return s == nil })
	for len(batch) > 0 {
		tx := store.Transaction{}
		for _, s := range batch {
			tx.Conditions = append(tx.Conditions, store.Condition{Key: s.key, Revision: s.revision})
			tx.Writes = append(tx.Writes, store.Write{Key: s.key, Value: s.value})
		}
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		_, err := in.store.Commit(ctx, tx)
		cancel()
		var conflict *store.ConflictError
		switch {
		case err == nil:
			answer(batch, nil)
			return
		case errors.As(err, &conflict):
			batch = answerExisting(batch, conflict.Items)
			continue
		case errors.Is(err, store.ErrUnavailable):
			batch = answerRefused(batch, err)
		default:
			for _, s := range batch {
				s.uncertain = true
			}
		}
		if !time.Now().Before(deadline) {
			for _, s := range batch {
				// A write got no answer, or the only write was refused too late to be
				// repeated.
				s.done <- errors.Wrap(ErrOutcomeUnknown, "store did not answer")
			}
			return
		}
		time.Sleep(retryPause)
	}
}

// answerExisting answers the submissions whose keys exist already, and returns those that
// are still to be written.
func answerExisting(batch []*submission, items []store.Item) []*submission {
	existing := map[string]store.Item{}
	for _, i := range items {
		existing[i.Key] = i
	}
	return remove(batch, func(s *submission) bool {
		item, exists := existing[s.key]
		if !exists {
			// An early cancellation that was to be replaced may be gone meanwhile.
			s.revision = 0
			return false
		}
		answered, err := s.existing(item)
		if answered {
			s.done <- err
		}
		return answered
	})
}

// answerRefused answers the submissions that the store refused twice and that
// have no earlier write that may still take effect, and returns the others.
func answerRefused(batch []*submission, err error) []*submission {
	return remove(batch, func(s *submission) bool {
		s.refusals++
		if s.uncertain || s.refusals < 2 {
			return false
		}
		s.done <- errors.Wrap(ErrNotAccepted, err.Error())
		return true
	})
}

// remove returns the submissions for which gone is false.
func remove(batch []*submission, gone func(*submission) bool) []*submission {
	var left []*submission
	for _, s := range batch {
		if !gone(s) {
			left = append(left, s)
		}
	}
	return left
}

func answer(batch []*submission, err error) {
	for _, s := range batch {
		s.done <- err
	}
}

// Phase returns the phase of a job for a requester of the given organisation, or of none if it
// is empty. A job of another organisation is not found.
func (in *Intake) Phase(ctx context.Context, id, organisation string) (job.Phase, error) {
	if in.health.Down() {
		return "", errors.WithStack(ErrStoreDown)
	}
	item, err := in.store.Get(ctx, jobstore.ProgressKey(id))
	if err == nil {
		var p job.Progress
		if err := json.Unmarshal(item.Value, &p); err != nil {
			return "", errors.Wrapf(err, "decode progress of job %s", id)
		}
		if !visible(p.Organisation, organisation) {
			return "", errors.WithStack(ErrJobNotFound)
		}
		return p.Phase, nil
	}
	if !errors.Is(err, store.ErrNotFound) {
		return "", err
	}
	item, err = in.store.Get(ctx, jobstore.JobKey(id))
	if errors.Is(err, store.ErrNotFound) || err == nil && jobstore.IsEarlyCancellation(item.Value) {
		return "", errors.WithStack(ErrJobNotFound)
	}
	if err != nil {
		return "", err
	}
	belongsTo, _, err := jobstore.JobOrganisation(item.Value)
	if err != nil {
		return "", err
	}
	if !visible(belongsTo, organisation) {
		return "", errors.WithStack(ErrJobNotFound)
	}
	return job.Queued, nil
}

// WaitingJobs returns how many jobs of a queue wait for their first start,
// according to the counts that the owner of the jobs wrote last.
func (in *Intake) WaitingJobs(ctx context.Context, queue string) (int, error) {
	if in.health.Down() {
		return 0, errors.WithStack(ErrStoreDown)
	}
	item, err := in.store.Get(ctx, jobstore.WaitingKey)
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var counts map[string]int
	if err := json.Unmarshal(item.Value, &counts); err != nil {
		return 0, errors.Wrap(err, "decode counts of waiting jobs")
	}
	return counts[queue], nil
}
