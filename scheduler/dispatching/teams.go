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
func (p *Pool) park(q *queuedRequest) {
	team := parkedTeamOf(q.request)
	if p.parked[team] == nil {
		p.parked[team] = queueing.New(byKey)
	}
	q.queue.Remove(q.queueEntry)
	q.queue = p.parked[team]
	q.queue.Restore(q.queueEntry)
}

func (p *Pool) unpark(r Request) { p.unparkTeam(parkedTeamOf(r)) }

// unparkTeam moves as many parked requests of a group back into the queues as
// its team may start now.
func (p *Pool) unparkTeam(team parkedTeam) {
	queue := p.parked[team]
	if queue == nil {
		return
	}
	for room := p.teams.Room(team.team, team.urgent); room > 0 && queue.Len() > 0; room-- {
		q := queue.Peek().Value
		queue.Remove(q.queueEntry)
		q.queue = p.queueOf(q)
		q.queue.Restore(q.queueEntry)
	}
	if queue.Len() == 0 {
		delete(p.parked, team)
	}
}

// expiryReason returns the reason for the refusal of an expired request, which
// depends on whether it waited for the quota of its team or for a slot.
func (p *Pool) expiryReason(q *queuedRequest) Reason {
	if q.queue == p.parked[parkedTeamOf(q.request)] {
		return ReasonQuota
	}
	return ReasonCannotStartInTime
}
