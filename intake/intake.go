// Package intake takes jobs from requesters at any entry VM. A job is accepted
// once it is stored; what is said of it is read from the store.
package intake

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/store"
)

// Errors of the intake.
var (
	// ErrNotAccepted reports that a job was not accepted and never runs.
	ErrNotAccepted = errors.New("not accepted")
	// ErrUnknown reports that a job may have been accepted.
	ErrUnknown = errors.New("outcome unknown")
	// ErrDown reports that the store cannot be reached, and nothing was done.
	ErrDown = errors.New("store is down")
	// ErrNoJob reports that no such job exists.
	ErrNoJob = errors.New("no such job")
)

const (
	// resolveTime bounds the repeats of a write whose answer was lost; the
	// requester then asks again, best at another entry VM.
	resolveTime = 1500 * time.Millisecond
	// batchDelay is how long the first job of a batch waits for others.
	batchDelay = 2 * time.Millisecond
	// jobsPerTransaction fills a transaction: each job takes a condition and a
	// write.
	jobsPerTransaction = store.MaxTransactionEntries / 2
	// queuedJobs bounds the jobs that wait for a transaction.
	queuedJobs = 512
	// writersAtOnce is how many transactions are under way together.
	writersAtOnce = 4
	// busyRetry is the pause before the single repeat of a refused write.
	busyRetry = 20 * time.Millisecond
)

// Intake accepts jobs.
type Intake struct {
	store  store.Store
	health *store.Health
	queue  chan *submission
}

// submission is a job on its way into the store.
type submission struct {
	key   string
	value []byte
	// uncertain is set once a write may take effect without an answer.
	uncertain bool
	refusals  int
	done      chan error
}

// New returns an intake; Run has to be called for it to work. While health
// says that the store is down, everything is refused at once.
func New(s store.Store, health *store.Health) *Intake {
	return &Intake{store: s, health: health, queue: make(chan *submission, queuedJobs)}
}

// Run writes batches of jobs until ctx ends.
func (in *Intake) Run(ctx context.Context) {
	slots := make(chan struct{}, writersAtOnce)
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

func (in *Intake) collect(ctx context.Context, first *submission) []*submission {
	batch := []*submission{first}
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for len(batch) < jobsPerTransaction {
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

// Submit stores a job. It returns nil once the job is stored, also if it was
// stored before, ErrNotAccepted only if no write of it can take effect, and
// ErrUnknown otherwise.
func (in *Intake) Submit(j *job.Job) error {
	if in.health.Down() {
		return errors.Wrap(ErrNotAccepted, "store is down")
	}
	value, err := json.Marshal(j)
	if err != nil {
		return errors.Wrap(ErrNotAccepted, err.Error())
	}
	s := &submission{key: jobstore.JobKey(j.ID), value: value, done: make(chan error, 1)}
	select {
	case in.queue <- s:
	default:
		return errors.Wrapf(ErrNotAccepted, "%d jobs wait to be stored", queuedJobs)
	}
	return <-s.done
}

// write stores a batch and answers each of its submissions.
func (in *Intake) write(batch []*submission) {
	deadline := time.Now().Add(resolveTime)
	seen := map[string]bool{}
	for i, s := range batch {
		// A job that came twice at once has a transaction of its own.
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
			tx.Conditions = append(tx.Conditions, store.Condition{Key: s.key})
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
			batch = in.answerStored(batch, conflict.Items)
			continue
		case errors.Is(err, store.ErrUnavailable):
			batch = refuse(batch, err)
		default:
			for _, s := range batch {
				s.uncertain = true
			}
		}
		if !time.Now().Before(deadline) {
			for _, s := range batch {
				s.done <- errors.Wrap(ErrUnknown, "store did not answer")
			}
			return
		}
		time.Sleep(busyRetry)
	}
}

// answerStored answers the submissions whose jobs are stored already and
// returns the others.
func (in *Intake) answerStored(batch []*submission, items []store.Item) []*submission {
	stored := map[string]bool{}
	for _, i := range items {
		stored[i.Key] = true
	}
	return remove(batch, func(s *submission) bool {
		if stored[s.key] {
			s.done <- nil
		}
		return stored[s.key]
	})
}

// refuse answers the submissions that the store refused twice and of which no
// write is under way, and returns the others.
func refuse(batch []*submission, err error) []*submission {
	return remove(batch, func(s *submission) bool {
		s.refusals++
		if s.uncertain || s.refusals < 2 {
			return false
		}
		s.done <- errors.Wrap(ErrNotAccepted, err.Error())
		return true
	})
}

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

// Phase returns the state of a job.
func (in *Intake) Phase(ctx context.Context, id string) (job.Phase, error) {
	if in.health.Down() {
		return "", errors.WithStack(ErrDown)
	}
	item, err := in.store.Get(ctx, jobstore.ProgressKey(id))
	if err == nil {
		var p job.Progress
		if err := json.Unmarshal(item.Value, &p); err != nil {
			return "", errors.Wrapf(err, "decode progress of job %s", id)
		}
		return p.Phase, nil
	}
	if !errors.Is(err, store.ErrNotFound) {
		return "", err
	}
	if _, err = in.store.Get(ctx, jobstore.JobKey(id)); errors.Is(err, store.ErrNotFound) {
		return "", errors.WithStack(ErrNoJob)
	}
	if err != nil {
		return "", err
	}
	return job.Queued, nil
}

// Cancel stores that a job is cancelled.
func (in *Intake) Cancel(ctx context.Context, id string) error {
	if in.health.Down() {
		return errors.WithStack(ErrDown)
	}
	for {
		item, err := in.store.Get(ctx, jobstore.JobKey(id))
		if errors.Is(err, store.ErrNotFound) {
			return errors.WithStack(ErrNoJob)
		}
		if err == nil {
			_, err = in.store.Commit(ctx, store.Transaction{
				Conditions: []store.Condition{{Key: item.Key, Revision: item.Revision}},
				Writes:     []store.Write{{Key: jobstore.CancelKey(id), Value: []byte("{}")}},
			})
		}
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ErrUnknown, err.Error())
		case <-time.After(busyRetry):
		}
	}
}

// Waiting returns how many jobs of a queue wait for their first start, as its
// owner last wrote it.
func (in *Intake) Waiting(ctx context.Context, queue string) (int, error) {
	if in.health.Down() {
		return 0, errors.WithStack(ErrDown)
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
