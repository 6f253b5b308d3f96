// Package operator implements the operator API of an entry VM. Operators publish
// notes, which change the configuration, and read the configuration in force,
// the history of notes and the status.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/findings"
	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/note"
	"dotterelhead.example/dotterelhead/replica"
)

// historyPrefix is the prefix of the store keys of accepted notes.
const historyPrefix = "notes/history/"

// historyKey orders the notes by revision.
func historyKey(revision int64) string { return fmt.Sprintf(historyPrefix+"%010d", revision) }

// HistoryRecord is one accepted note, as the history holds it.
type HistoryRecord struct {
	note.PublishRecord
	// Text is the note.
	Text string `json:"text,omitempty"`
}

// PublishResult is the answer to a publish.
type PublishResult struct {
	// Revision is the revision of the accepted note; 0 when it was refused.
	Revision int64
	// Repeated reports that the note had been accepted before.
	Repeated bool
	// Findings are the reasons why the note was refused.
	Findings findings.List
	// Conflict reports that the note conflicts with notes that were accepted
	// after its base revision.
	Conflict bool
}

// PublisherOptions configures a Publisher.
type PublisherOptions struct {
	Store   infrastructure.Store
	Replica *replica.Replica
	// Now is the clock for the time in the history; time.Now by default.
	Now func() time.Time
	// Timeout limits a publish when the context has no earlier deadline; 5 s by
	// default, so that an operator's tool has time to try another entry VM.
	Timeout time.Duration
	// CallTimeout limits one call to the store, so that a silent connection
	// leaves time for another attempt; 1 s by default. The store usually
	// answers within milliseconds.
	CallTimeout time.Duration
	// RetryInterval is the first pause before a call to the store is repeated;
	// 20 ms by default. It grows with each retry.
	RetryInterval time.Duration
}

// Publisher publishes notes by compare-and-swap on the configuration in force.
//
// Invariants: the revision in the store grows by one with each accepted note;
// the same note text gets the same revision as long as it is among the last
// note.MaxRecentNotes; revision N+1 is written only after the history holds
// note N.
type Publisher struct {
	opts PublisherOptions

	mu sync.Mutex
	// recorded is the highest revision known to be in the history.
	recorded int64
}

// NewPublisher returns a publisher.
func NewPublisher(opts PublisherOptions) *Publisher {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Timeout == 0 {
		opts.Timeout = 5 * time.Second
	}
	if opts.CallTimeout == 0 {
		opts.CallTimeout = time.Second
	}
	if opts.RetryInterval == 0 {
		opts.RetryInterval = 20 * time.Millisecond
	}
	return &Publisher{opts: opts}
}

// Publish applies a note to the configuration in force. For a note that has
// already been accepted, it returns the revision of that note. The error is
// infrastructure.ErrUnavailable when the note was definitely not written and
// infrastructure.ErrOutcomeUnknown when it may have been written. Repeating the
// publish on any entry VM is safe in both cases.
func (p *Publisher) Publish(ctx context.Context, text []byte) (PublishResult, error) {
	n, found := note.Parse("note.toml", text)
	if n == nil {
		return PublishResult{Findings: found}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
	defer cancel()
	pause := p.newBackOff()
	lost := lostWrite{}
	for {
		outcome, err := p.attempt(ctx, n, &lost)
		if err == nil {
			return outcome, nil
		}
		if !errors.Is(err, infrastructure.ErrConflict) && !wait(ctx, pause) || ctx.Err() != nil {
			if lost.pending {
				return PublishResult{}, errors.Wrapf(infrastructure.ErrOutcomeUnknown, "publishing the note: %v", err)
			}
			return PublishResult{}, errors.Wrapf(infrastructure.ErrUnavailable, "publishing the note: %v", err)
		}
	}
}

// lostWrite describes a write whose answer was lost. It is pending until a later
// read shows whether the write took effect.
type lostWrite struct {
	pending bool
	// expected is the version that the write replaces.
	expected int64
}

// attempt reads the configuration, applies the note and writes the result. An
// error means that another attempt may succeed.
//
// The next read resolves a lost answer, because the write was conditional on the
// version that was read before it. Either the read shows the note, so the write
// took effect; or the document has another version, so the write can no longer
// take effect; or the document is unchanged, and the next write on the same
// version excludes the lost one.
func (p *Publisher) attempt(ctx context.Context, n *note.Note, lost *lostWrite) (PublishResult, error) {
	config, doc, err := p.read(ctx)
	if err != nil {
		return PublishResult{}, err
	}
	if published, ok := config.Published(n.ID); ok {
		p.opts.Replica.Apply(doc)
		if published.Revision == config.Revision {
			p.record(ctx, config)
		}
		return PublishResult{Revision: published.Revision, Repeated: !lost.pending}, nil
	}
	if lost.pending && lost.expected != doc.Version {
		lost.pending = false
	}
	next, found := note.Apply(config, n)
	if len(found) == 0 {
		found = next.CheckSize(n)
	}
	if len(found) > 0 {
		return PublishResult{Findings: found, Conflict: found.Conflict()}, nil
	}
	if err := p.record(ctx, config); err != nil {
		return PublishResult{}, err
	}
	next.RecentNotes[len(next.RecentNotes)-1].PublishedAtUnixMillis = p.opts.Now().UnixMilli()
	value := next.Encode()
	version, err := p.put(ctx, note.ConfigKey, value, doc.Version)
	switch {
	case errors.Is(err, infrastructure.ErrConflict), errors.Is(err, infrastructure.ErrUnavailable):
		return PublishResult{}, err
	case err != nil:
		*lost = lostWrite{pending: true, expected: doc.Version}
		return PublishResult{}, err
	}
	p.opts.Replica.Apply(replica.Document{Key: note.ConfigKey, Version: version, Value: value})
	// The note is in force. If its history record cannot be written now, it is
	// repaired later.
	p.record(ctx, next)
	return PublishResult{Revision: next.Revision}, nil
}

// Current reads the configuration in force from the store and applies it to
// the replica.
func (p *Publisher) Current(ctx context.Context) (note.Config, error) {
	config, doc, err := p.read(ctx)
	if err == nil && doc.Version > 0 {
		p.opts.Replica.Apply(doc)
	}
	return config, err
}

func (p *Publisher) get(ctx context.Context, key string) (infrastructure.KeyValue, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.CallTimeout)
	defer cancel()
	return p.opts.Store.Get(ctx, key)
}

func (p *Publisher) put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.CallTimeout)
	defer cancel()
	return p.opts.Store.Put(ctx, key, value, expected, "")
}

// read returns the configuration in the store; before the first note it is
// empty, with version 0.
func (p *Publisher) read(ctx context.Context) (note.Config, replica.Document, error) {
	kv, err := p.get(ctx, note.ConfigKey)
	if errors.Is(err, infrastructure.ErrNotFound) {
		return note.Config{}, replica.Document{Key: note.ConfigKey}, nil
	}
	if err != nil {
		return note.Config{}, replica.Document{}, errors.Wrap(err, "reading the configuration")
	}
	config, err := note.DecodeConfig(kv.Value)
	if err != nil {
		return note.Config{}, replica.Document{}, errors.Wrapf(err, "decoding version %d of the configuration", kv.Version)
	}
	return config, replica.Document{Key: kv.Key, Version: kv.Version, Value: kv.Value}, nil
}

// RepairHistory writes the history record of the note in force if it is missing,
// which happens when a publisher stops between its two writes. The holder of the
// control role calls it when the configuration changes.
func (p *Publisher) RepairHistory(ctx context.Context) error {
	config, _, err := p.read(ctx)
	if err != nil {
		return err
	}
	return p.record(ctx, config)
}

// record writes the history record of the last note of config. The record is
// derived from config alone, so an existing record has the same contents.
func (p *Publisher) record(ctx context.Context, config note.Config) error {
	if config.Revision == 0 || len(config.RecentNotes) == 0 || p.isRecorded(config.Revision) {
		return nil
	}
	record := HistoryRecord{PublishRecord: config.RecentNotes[len(config.RecentNotes)-1], Text: config.LastNote}
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encoding the history record")
	}
	_, err = p.put(ctx, historyKey(config.Revision), value, 0)
	if err != nil && !errors.Is(err, infrastructure.ErrConflict) {
		return errors.Wrapf(err, "writing the history record of revision %d", config.Revision)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recorded = max(p.recorded, config.Revision)
	return nil
}

func (p *Publisher) isRecorded(revision int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return revision <= p.recorded
}

// History returns up to limit accepted notes with revisions below before, the
// newest first. before 0 starts at the newest.
func (p *Publisher) History(ctx context.Context, before int64, limit int) ([]HistoryRecord, error) {
	if before <= 0 {
		config, err := p.Current(ctx)
		if err != nil {
			return nil, err
		}
		before = config.Revision + 1
	}
	var list []HistoryRecord
	// Records are read one by one, because a list of notes of up to a megabyte
	// each would be too large for one answer of the store.
	for revision := before - 1; revision > 0 && revision >= before-int64(limit); revision-- {
		kv, err := p.get(ctx, historyKey(revision))
		if errors.Is(err, infrastructure.ErrNotFound) {
			// The record of the note in force may not be written yet.
			continue
		}
		if err != nil {
			return nil, errors.Wrapf(err, "reading revision %d of the history", revision)
		}
		var record HistoryRecord
		if err := json.Unmarshal(kv.Value, &record); err != nil {
			return nil, errors.Wrapf(err, "decoding revision %d of the history", revision)
		}
		list = append(list, record)
	}
	return list, nil
}

func (p *Publisher) newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = p.opts.RetryInterval
	b.MaxInterval = 16 * p.opts.RetryInterval
	return b
}

// wait sleeps for the next interval of the backoff. It reports false if the
// context ends first.
func wait(ctx context.Context, pause *backoff.ExponentialBackOff) bool {
	timer := time.NewTimer(pause.NextBackOff())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
