// Package quota limits the slots that teams hold.
package quota

import "math"

// urgentSlots is the least number of slots that urgent work of a team may hold
// beside its quota. One would not do: a long urgent request would block the
// next one for longer than urgent work may wait.
const urgentSlots = 4

// Teams counts the slots in use of each team against its quota.
//
// Invariant: a dispatcher that asks Room before each grant gives a team at most
// its quota for work that is not urgent and at most the larger of its quota and
// urgentSlots for urgent work, except after a quota shrinks. The second limit
// keeps a team that calls everything urgent from taking the pool.
type Teams struct {
	quotas map[string]int
	inUse  map[use]int
}

type use struct {
	team   string
	urgent bool
}

// NewTeams returns a Teams without quotas.
func NewTeams() *Teams { return &Teams{quotas: map[string]int{}, inUse: map[use]int{}} }

// Set replaces the quotas; teams without one, or with zero, are not limited.
func (t *Teams) Set(quotas map[string]int) {
	t.quotas = make(map[string]int, len(quotas))
	for team, slots := range quotas {
		if slots > 0 {
			t.quotas[team] = slots
		}
	}
}

// Room returns how many more slots a team may take.
func (t *Teams) Room(team string, urgent bool) int {
	quota, limited := t.quotas[team]
	if !limited {
		return math.MaxInt
	}
	if urgent {
		quota = max(quota, urgentSlots)
	}
	return max(quota-t.inUse[use{team, urgent}], 0)
}

// Take counts a slot.
func (t *Teams) Take(team string, urgent bool) {
	if team != "" {
		t.inUse[use{team, urgent}]++
	}
}

// Give counts a slot less.
func (t *Teams) Give(team string, urgent bool) {
	u := use{team, urgent}
	if t.inUse[u]--; t.inUse[u] <= 0 {
		delete(t.inUse, u)
	}
}
