package dispatching

import (
	"time"

	"dotterelhead.example/dotterelhead/scheduler/queueing"
)

// SetQuotas replaces the quotas, the numbers of slots that teams may hold in the
// pool. Teams without a quota are not limited.
func (p *Pool) SetQuotas(now time.Time, quotas map[string]int) []Decision {
	p.teams.Set(quotas)
	for group := range p.parked {
		p.unparkGroup(group)
	}
	return p.dispatch(now)
}

// parkedGroup identifies a group of parked requests. The urgent requests of a
// team are a group of their own, because they have their own limit.
type parkedGroup struct {
	team   string
	urgent bool
}

func parkedGroupOf(r Request) parkedGroup { return parkedGroup{r.Team, r.Urgent} }

// park moves a request out of its queue until its team may use another slot, so
// that it isn't examined again for each free slot.
func (p *Pool) park(q *queuedRequest) {
	group := parkedGroupOf(q.request)
	if p.parked[group] == nil {
		p.parked[group] = queueing.New(byKey)
	}
	q.queue.Remove(q.queueEntry)
	q.queue = p.parked[group]
	q.queue.Restore(q.queueEntry)
}

// unparkGroupOf unparks requests of the group that a request belongs to.
func (p *Pool) unparkGroupOf(r Request) { p.unparkGroup(parkedGroupOf(r)) }

// unparkGroup moves as many parked requests of a group back into the queues as
// its team may start now.
func (p *Pool) unparkGroup(group parkedGroup) {
	queue := p.parked[group]
	if queue == nil {
		return
	}
	for available := p.teams.AvailableSlots(group.team, group.urgent); available > 0 && queue.Len() > 0; available-- {
		q := queue.Peek().Value
		queue.Remove(q.queueEntry)
		q.queue = p.queueOf(q)
		q.queue.Restore(q.queueEntry)
	}
	if queue.Len() == 0 {
		delete(p.parked, group)
	}
}

// expiryReason returns the reason for the refusal of an expired request, which
// depends on whether it waited for the quota of its team or for a slot.
func (p *Pool) expiryReason(q *queuedRequest) Reason {
	if q.queue == p.parked[parkedGroupOf(q.request)] {
		return ReasonQuota
	}
	return ReasonCannotStartInTime
}
