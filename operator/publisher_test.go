package operator

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/note"
	"dotterelhead.example/dotterelhead/replica"
)

// teams is the number of teams that the notes in the test histories change.
const teams = 3

func firstNote() []byte {
	text := "[note]\nname = \"first\"\nbase = 0\n"
	for i := range teams {
		text += fmt.Sprintf("[[team.add]]\nname = \"t%d\"\n", i)
	}
	return []byte(text)
}

// call is one call in a history of calls: a publish of a note that changes a team,
// or a read of the configuration.
type call struct {
	read bool
	id   string
	text []byte
	team int
	base int64
}

type answer struct {
	revision int64
	// last is the note in force, for reads.
	last     string
	conflict bool
	err      error
}

// state is the state of the sequential specification of the configuration.
type state struct {
	revision  int64
	last      string
	changedAt [teams]int64
	accepted  map[string]int64
}

func (s state) accept(c call) state {
	s.accepted = maps.Clone(s.accepted)
	s.revision++
	s.changedAt[c.team] = s.revision
	s.accepted[c.id] = s.revision
	s.last = c.id
	return s
}

// step returns the states that may follow the call with the answer.
func (s state) step(c call, a answer) []state {
	unchanged := []state{s}
	revision, repeated := s.accepted[c.id]
	conflicts := s.changedAt[c.team] > c.base
	switch {
	case c.read && (a.err != nil || a.revision == s.revision && a.last == s.last):
		return unchanged
	case c.read:
		return nil
	case errors.Is(a.err, infrastructure.ErrOutcomeUnknown) && !repeated && !conflicts:
		return []state{s, s.accept(c)}
	case a.err != nil:
		return unchanged
	case a.conflict && conflicts && !repeated:
		return unchanged
	case a.conflict:
		return nil
	case repeated && a.revision == revision:
		return unchanged
	case !repeated && !conflicts && a.revision == s.revision+1:
		return []state{s.accept(c)}
	}
	return nil
}

var model = (&porcupine.NondeterministicModel{
	Init: func() []any {
		return []any{state{revision: 1, changedAt: [teams]int64{1, 1, 1}, accepted: map[string]int64{}}}
	},
	Step: func(s, input, output any) []any {
		var next []any
		for _, n := range s.(state).step(input.(call), output.(answer)) {
			next = append(next, n)
		}
		return next
	},
	Equal: func(a, b any) bool {
		x, y := a.(state), b.(state)
		return x.revision == y.revision && x.last == y.last && x.changedAt == y.changedAt && maps.Equal(x.accepted, y.accepted)
	},
}).ToModel()

// Guards against lost updates, a note that takes effect twice or after it was
// reported as not written, revisions that go back or skip, and gaps in the
// history, when operators race on several entry VMs and the store refuses
// calls, loses answers and has outages.
func TestPublishHistoryIsLinearizable(t *testing.T) {
	counts := map[string]int{}
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			history := runHistory(t, seed, counts)
			if result := porcupine.CheckOperationsTimeout(model, history, 20*time.Second); result != porcupine.Ok {
				t.Fatalf("seed %d: history is %s: %+v", seed, result, history)
			}
		})
	}
	t.Logf("outcomes: %v", counts)
	for _, outcome := range []string{"accepted", "conflict", "unknown", "unavailable", "read"} {
		if counts[outcome] == 0 {
			t.Errorf("no call ended as %s", outcome)
		}
	}
}

// runHistory lets three operators publish and read through an entry VM each.
func runHistory(t *testing.T, seed uint64, counts map[string]int) []porcupine.Operation {
	store := newFakeStore(nil)
	if outcome, err := newPublisher(store).Publish(t.Context(), firstNote()); err != nil || outcome.Revision != 1 {
		t.Fatalf("first note: %+v, %v", outcome, err)
	}
	// The specification starts after the first note and does not model it.
	store.faults = rand.New(rand.NewPCG(seed, 1))
	var (
		mu      sync.Mutex
		history []porcupine.Operation
		clock   atomic.Int64
		group   sync.WaitGroup
	)
	for client := range 3 {
		random := rand.New(rand.NewPCG(seed, uint64(client)+2))
		publisher := newPublisher(store)
		group.Go(func() {
			c, known := call{}, int64(1)
			for i := range 8 {
				c = nextCall(random, c, known, fmt.Sprintf("note %d of %d", i, client))
				operation := porcupine.Operation{Input: c, Call: clock.Add(1)}
				a := perform(t.Context(), publisher, c)
				operation.Output, operation.Return = a, clock.Add(1)
				known = max(known, a.revision)
				mu.Lock()
				counts[outcomeName(c, a)]++
				history = append(history, operation)
				mu.Unlock()
				time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	store.endFaults()
	checkHistoryRecords(t, newPublisher(store))
	for i := range history {
		history[i].ClientId = i
		if a := history[i].Output.(answer); errors.Is(a.err, infrastructure.ErrOutcomeUnknown) {
			// The write may take effect at any time after the call.
			history[i].Return = clock.Load() + 1
		}
	}
	return history
}

func newPublisher(store infrastructure.Store) *Publisher {
	return NewPublisher(PublisherOptions{Store: store, Replica: replica.New()})
}

// nextCall reads, repeats the last note or writes a new one.
func nextCall(random *rand.Rand, last call, known int64, name string) call {
	switch n := random.IntN(10); {
	case n < 3:
		return call{read: true}
	case n < 5 && last.id != "":
		return last
	}
	c := call{team: random.IntN(teams), base: known}
	c.text = fmt.Appendf(nil, "[note]\nname = %q\nbase = %d\n[[team.change]]\nname = \"t%d\"\nslot_quota = 5\n", name, known, c.team)
	c.id = note.PublishID(c.text)
	return c
}

func perform(ctx context.Context, p *Publisher, c call) answer {
	if c.read {
		config, err := p.Current(ctx)
		a := answer{revision: config.Revision, err: err}
		if config.Revision > 1 {
			a.last = config.RecentNotes[len(config.RecentNotes)-1].ID
		}
		return a
	}
	outcome, err := p.Publish(ctx, c.text)
	if stored, ok := p.opts.Replica.Get(note.ConfigKey); err == nil && outcome.Revision > 0 && ok {
		if config, _ := note.DecodeConfig(stored.Value); config.Revision < outcome.Revision {
			err = errors.Errorf("the replica holds revision %d after revision %d was accepted", config.Revision, outcome.Revision)
		}
	}
	return answer{revision: outcome.Revision, conflict: outcome.Conflict, err: err}
}

func outcomeName(c call, a answer) string {
	switch {
	case errors.Is(a.err, infrastructure.ErrOutcomeUnknown):
		return "unknown"
	case a.err != nil:
		return "unavailable"
	case c.read:
		return "read"
	case a.conflict:
		return "conflict"
	}
	return "accepted"
}

// checkHistoryRecords repairs the history and compares it with the revisions.
func checkHistoryRecords(t *testing.T, p *Publisher) {
	if err := p.RepairHistory(t.Context()); err != nil {
		t.Fatal(err)
	}
	config, err := p.Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	records, err := p.History(t.Context(), 0, 100)
	if err != nil || int64(len(records)) != config.Revision {
		t.Fatalf("revision %d has %d history records, %v", config.Revision, len(records), err)
	}
	for i, record := range slices.Backward(records) {
		if record.Revision != config.Revision-int64(i) || note.PublishID([]byte(record.Text)) != record.ID {
			t.Fatalf("record %d is %+v", i, record)
		}
	}
}

// Guards against a repeat that gets another revision after other notes were
// published, and against a list of note identifiers that grows without limit.
func TestRepeatReturnsItsRevision(t *testing.T) {
	p := newPublisher(newFakeStore(nil))
	for i := range int64(note.MaxRecentNotes) {
		text := firstNote()
		if i > 0 {
			text = fmt.Appendf(nil, "[note]\nname = \"n\"\nbase = %d\n[[team.change]]\nname = \"t0\"\nslot_quota = 5\n", i)
		}
		if outcome, err := p.Publish(t.Context(), text); err != nil || outcome.Revision != i+1 || outcome.Repeated {
			t.Fatalf("note %d: %+v, %v", i, outcome, err)
		}
	}
	if outcome, err := p.Publish(t.Context(), firstNote()); err != nil || outcome.Revision != 1 || !outcome.Repeated {
		t.Fatalf("repeat: %+v, %v", outcome, err)
	}
	config, err := p.Current(t.Context())
	if err != nil || len(config.RecentNotes) != note.MaxRecentNotes {
		t.Fatalf("%d identifiers are kept, %v", len(config.RecentNotes), err)
	}
}

// Guards against a configuration that exceeds the maximum size of a store value.
func TestConfigurationTooLargeIsRefused(t *testing.T) {
	store := newFakeStore(nil)
	p := newPublisher(store)
	text := firstNote()
	for len(text) < note.MaxNoteBytes-200 {
		text = append(text, "# <<<<<<<<<<<<<<<<<<<<<<<<<<<<<<<\n"...)
	}
	outcome, err := p.Publish(t.Context(), text)
	if err != nil || len(outcome.Findings) != 1 || outcome.Conflict || store.puts != 0 {
		t.Fatalf("%+v, %v, %d writes", outcome, err, store.puts)
	}
}
