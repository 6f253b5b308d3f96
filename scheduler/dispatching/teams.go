package dispatching

import (
	"time"

	"dotterelhead.example/dotterelhead/scheduler/queueing"
)

// SetQuotas replaces the numbers of slots that teams may hold in the pool;
// teams without a quota are not limited.
func (p *Pool) SetQuotas(now time.Time, quotas map[string]int) []Decision {
	p.teams.Set(quotas)
	for team := range p.parked {
		p.unparkTeam(team)
	}
	return p.dispatch(now)
}

// parkedTeam names the parked requests of a team; urgent ones have their own
// limit.
type parkedTeam struct {
	team   string
	urgent bool
}

func parkedTeamOf(r Request) parkedTeam { return parkedTeam{r.Team, r.Urgent} }

// park sets a request aside until its team holds less than its quota, so that
// it is not looked at again for each free slot.
func (p *Pool) park(w *waiting) {
	team := parkedTeamOf(w.request)
	if p.parked[team] == nil {
		p.parked[team] = queueing.New(byKey)
	}
	w.queue.Remove(w.order)
	w.queue = p.parked[team]
	w.queue.Restore(w.order)
}

func (p *Pool) unpark(r Request) { p.unparkTeam(parkedTeamOf(r)) }

// unparkTeam puts parked requests of a team back into the queues: as many as
// the team may start now.
func (p *Pool) unparkTeam(team parkedTeam) {
	q := p.parked[team]
	if q == nil {
		return
	}
	for room := p.teams.Room(team.team, team.urgent); room > 0 && q.Len() > 0; room-- {
		w := q.Peek().Value
		q.Remove(w.order)
		w.queue = p.queueOf(w)
		w.queue.Restore(w.order)
	}
	if q.Len() == 0 {
		delete(p.parked, team)
	}
}

// expiryReason tells a request that waited for its team's quota from one that
// waited for a slot.
func (p *Pool) expiryReason(w *waiting) Reason {
	if w.queue == p.parked[parkedTeamOf(w.request)] {
		return ReasonQuota
	}
	return ReasonCannotStartInTime
}
