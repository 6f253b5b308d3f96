package store

import (
	"testing"
	"time"
)

func TestHealth(t *testing.T) {
	now := time.Unix(0, 0)
	h := NewHealth()
	h.now = func() time.Time { return now }
	h.Observe(ErrOutcomeUnknown)
	now = now.Add(time.Second)
	if h.Down() {
		t.Error("a single lost answer counts as an outage")
	}
	h.Observe(ErrUnavailable)
	if !h.Down() {
		t.Error("failures over a second do not count as an outage")
	}
	h.Observe(ErrConflict)
	if h.Down() {
		t.Error("an answer does not end the outage")
	}
	h.Observe(ErrUnavailable)
	h.Observe(ErrUnavailable)
	if h.Down() {
		t.Error("two failures at once count as an outage")
	}
}
