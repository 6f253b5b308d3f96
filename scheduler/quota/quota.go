// Package quota limits the slots that teams hold.
package quota

import "math"

// Teams counts the slots in use of each team against its quota.
//
// Invariant: Allowed is false while a team holds its quota, so a dispatcher
// that asks before each grant never exceeds it, except after a quota shrinks.
type Teams struct {
	quotas map[string]int
	inUse  map[string]int
}

// NewTeams returns a Teams without quotas.
func NewTeams() *Teams { return &Teams{quotas: map[string]int{}, inUse: map[string]int{}} }

// Set replaces the quotas; teams without one, or with zero, are not limited.
func (t *Teams) Set(quotas map[string]int) {
	t.quotas = make(map[string]int, len(quotas))
	for team, slots := range quotas {
		if slots > 0 {
			t.quotas[team] = slots
		}
	}
}

// Allowed reports whether a team may take one more slot.
func (t *Teams) Allowed(team string) bool {
	return t.Room(team) > 0
}

// Room returns how many more slots a team may take.
func (t *Teams) Room(team string) int {
	if quota, limited := t.quotas[team]; limited {
		return max(quota-t.inUse[team], 0)
	}
	return math.MaxInt
}

// Take counts a slot.
func (t *Teams) Take(team string) {
	if team != "" {
		t.inUse[team]++
	}
}

// Give counts a slot less.
func (t *Teams) Give(team string) {
	if t.inUse[team]--; t.inUse[team] <= 0 {
		delete(t.inUse, team)
	}
}
