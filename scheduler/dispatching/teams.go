package dispatching

import (
	"time"

	"dotterelhead.example/dotterelhead/scheduler/queueing"
)

// SetQuotas replaces the quotas, the numbers of slots that teams may hold in the
// pool. Teams without a quota are not limited.
func (p *Pool) SetQuotas(now time.Time, quotas map[string]int) []Decision {
	p.teams.Set(quotas)
	for team := range p.parked {
		p.unparkTeam(team)
	}
	return p.dispatch(now)
}

// parkedTeam identifies a group of parked requests. The urgent requests of a
// team are a group of their own, because they have their own limit.
type parkedTeam struct {
	team   string
	urgent bool
}

func parkedTeamOf(r Request) parkedTeam { return parkedTeam{r.Team, r.Urgent} }

// park moves a request out of its queue until its team holds fewer slots than
// its quota, so that it isn't examined again for each free slot.
func (p *Pool) park(w *queuedRequest) {
	team := parkedTeamOf(w.request)
	if p.parked[team] == nil {
		p.parked[team] = queueing.New(byKey)
	}
	w.queue.Remove(w.queueEntry)
	w.queue = p.parked[team]
	w.queue.Restore(w.queueEntry)
}

func (p *Pool) unpark(r Request) { p.unparkTeam(parkedTeamOf(r)) }

// unparkTeam moves as many parked requests of a group back into the queues as
// its team may start now.
func (p *Pool) unparkTeam(team parkedTeam) {
	q := p.parked[team]
	if q == nil {
		return
	}
	for room := p.teams.Room(team.team, team.urgent); room > 0 && q.Len() > 0; room-- {
		w := q.Peek().Value
		q.Remove(w.queueEntry)
		w.queue = p.queueOf(w)
		w.queue.Restore(w.queueEntry)
	}
	if q.Len() == 0 {
		delete(p.parked, team)
	}
}

// expiryReason returns the reason for the refusal of an expired request, which
// depends on whether it waited for the quota of its team or for a slot.
func (p *Pool) expiryReason(w *queuedRequest) Reason {
	if w.queue == p.parked[parkedTeamOf(w.request)] {
		return ReasonQuota
	}
	return ReasonCannotStartInTime
}
