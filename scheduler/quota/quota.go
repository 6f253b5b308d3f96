// Package quota limits the number of slots that each team may use.
package quota

import "math"

// minimumUrgentSlots is the smallest limit for the urgent work of a team, which
// is counted separately from its other work. A limit of one would be too low,
// because a long urgent request would block the next one for longer than urgent
// work may wait.
const minimumUrgentSlots = 4

// Teams counts the slots in use of each team and limits them by its quota.
//
// Invariant: if AvailableSlots is checked before each grant, a team holds at
// most its quota of slots for work that is not urgent, and at most the larger
// of its quota and minimumUrgentSlots for urgent work, except after its quota
// was reduced. The second limit prevents a team from taking over the pool by
// declaring all its work urgent.
type Teams struct {
	quotas map[string]int
	inUse  map[usageKey]int
}

// usageKey identifies the urgent or the other work of a team.
type usageKey struct {
	team   string
	urgent bool
}

// NewTeams returns a Teams without quotas.
func NewTeams() *Teams { return &Teams{quotas: map[string]int{}, inUse: map[usageKey]int{}} }

// Set replaces the quotas; teams without one, or with zero, are not limited.
func (t *Teams) Set(quotas map[string]int) {
	t.quotas = make(map[string]int, len(quotas))
	for team, slots := range quotas {
		if slots > 0 {
			t.quotas[team] = slots
		}
	}
}

// AvailableSlots returns how many more slots a team may take for urgent or
// other work; math.MaxInt if the team has no quota.
func (t *Teams) AvailableSlots(team string, urgent bool) int {
	quota, limited := t.quotas[team]
	if !limited {
		return math.MaxInt
	}
	if urgent {
		quota = max(quota, minimumUrgentSlots)
	}
	return max(quota-t.inUse[usageKey{team, urgent}], 0)
}

// AcquireSlot counts one more slot as in use. Requests without a team are not
// counted.
func (t *Teams) AcquireSlot(team string, urgent bool) {
	if team != "" {
		t.inUse[usageKey{team, urgent}]++
	}
}

// ReleaseSlot counts one slot less as in use.
func (t *Teams) ReleaseSlot(team string, urgent bool) {
	u := usageKey{team, urgent}
	if t.inUse[u]--; t.inUse[u] <= 0 {
		delete(t.inUse, u)
	}
}
