package dispatching

import (
	"math"
	"time"
)

const (
	// earlyRefusalSamples is the number of run times that must be learned before
	// a request is refused early.
	earlyRefusalSamples = 100
	// backlogBucketWidth is the range of queue keys that one bucket of a backlog
	// covers.
	backlogBucketWidth = time.Second
)

// backlog sums up the mean run times of the requests of a queue in buckets by
// their keys. Adding up buckets instead of single requests makes it cheap to
// compute the work ahead of a request in a long queue.
type backlog map[int64]*bucketTotal

// bucketTotal is the number of requests in a bucket and the sum of their mean
// run times.
type bucketTotal struct {
	count int
	work  time.Duration
}

func bucketOf(key time.Time) int64 { return key.UnixNano() / int64(backlogBucketWidth) }

func (b backlog) add(q *queuedRequest) {
	k := bucketOf(q.key)
	if b[k] == nil {
		b[k] = &bucketTotal{}
	}
	b[k].count++
	b[k].work += q.meanRunTime
}

func (b backlog) remove(q *queuedRequest) {
	k := bucketOf(q.key)
	b[k].work -= q.meanRunTime
	if b[k].count--; b[k].count == 0 {
		delete(b, k)
	}
}

// workBefore returns the work in the buckets before that of a key, as far as it
// matters for a period of length limit from now. A request counts for at most
// limit, because it can't occupy its slot for longer within that period.
func (b backlog) workBefore(key time.Time, limit time.Duration) time.Duration {
	own, sum := bucketOf(key), time.Duration(0)
	for k, total := range b {
		if k < own {
			// The bound keeps the conversion to a duration from overflowing.
			sum += min(total.work, time.Duration(min(float64(total.count)*float64(limit), math.MaxInt64/4)))
		}
	}
	return sum
}

// grantTotals holds the number of grants in use and the sum of their expected
// ends.
type grantTotals struct {
	count int
	// ends is the sum of the expected ends in seconds since the first grant.
	ends float64
}

// remaining returns the expected remaining run time of the grants at a time in
// seconds since the first grant. Grants that are past their expected end reduce
// it, so that the error leads to fewer refusals.
func (t grantTotals) remaining(at float64) time.Duration {
	return seconds(max(t.ends-float64(t.count)*at, 0))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// backlogOf returns the backlog that a request is included in, or nil for a
// request of a team with a quota: it may be parked, so it doesn't necessarily
// delay the requests behind it.
func (p *Pool) backlogOf(q *queuedRequest) backlog {
	switch {
	case !q.inBacklog:
		return nil
	case q.request.Urgent:
		return p.pendingWork.urgent
	case q.long:
		return p.pendingWork.long
	}
	return p.pendingWork.short
}

// pendingWork is the expected work of the queued requests and of the grants in
// use.
type pendingWork struct {
	urgent, short, long backlog
	// shortGrants and longGrants are the totals of the grants in use.
	shortGrants, longGrants grantTotals
	// firstGrantAt is the time of the first grant of the pool.
	firstGrantAt time.Time
}

func newPendingWork() pendingWork {
	return pendingWork{urgent: backlog{}, short: backlog{}, long: backlog{}}
}

func (p *Pool) grantTotalsOf(long bool) *grantTotals {
	if long {
		return &p.pendingWork.longGrants
	}
	return &p.pendingWork.shortGrants
}

// addToTotals adds a grant to the totals of the grants in use (delta 1) or
// removes it (delta -1).
func (p *Pool) addToTotals(g *grant, delta int) {
	totals := p.grantTotalsOf(g.long)
	totals.count += delta
	totals.ends += float64(delta) * g.expectedEnd
	if totals.count == 0 {
		totals.ends = 0
	}
}

// secondsAt converts a time to seconds since the first grant of the pool.
func (p *Pool) secondsAt(now time.Time) float64 {
	if p.pendingWork.firstGrantAt.IsZero() {
		p.pendingWork.firstGrantAt = now
	}
	return now.Sub(p.pendingWork.firstGrantAt).Seconds()
}

// cannotStartInTime reports whether the expected wait of a new request exceeds
// the time left until its StartBy by the factor EarlyRefusal. If so, it also
// returns the time after which a similar request should be able to start in
// time.
//
// Within a time t the pool can complete slots*t of work, of which at most
// longLimit*t is long work. The request starts later than t from now if the
// work ahead of it exceeds that.
func (p *Pool) cannotStartInTime(now time.Time, q *queuedRequest) (time.Duration, bool) {
	left := q.request.StartBy.Sub(now)
	slots := p.placement.Slots()
	if p.options.EarlyRefusal < 0 || p.options.Policy != PolicyLearned || p.runTimeSamples < earlyRefusalSamples || left <= 0 ||
		q.request.Urgent || slots == 0 || len(p.grants) < slots || p.placement.Available() {
		return 0, false
	}
	// The bound keeps sums of a few products of limit and slots from overflowing.
	limit := seconds(min(p.options.EarlyRefusal*left.Seconds(), math.MaxInt64/4e9/float64(slots)))
	longSlots := min(p.longLimit(), slots)
	at := p.secondsAt(now)
	usable := slots
	if q.long {
		usable = longSlots
	}
	// If the whole pending work fits into the time, the part of it that is ahead
	// of the request does too and needn't be computed.
	totalWork := p.queuedWork + p.pendingWork.shortGrants.remaining(at) + p.pendingWork.longGrants.remaining(at)
	if totalWork < time.Duration(usable)*limit {
		return 0, false
	}
	short := p.pendingWork.shortGrants.remaining(at) + p.pendingWork.urgent.workBefore(farFuture, limit) + p.pendingWork.short.workBefore(q.key, limit)
	long := p.pendingWork.longGrants.remaining(at) + p.pendingWork.long.workBefore(q.key, limit)
	wait := max((short+min(long, time.Duration(longSlots)*limit))/time.Duration(slots), 0)
	if q.long {
		wait = max(wait, long/time.Duration(longSlots))
	}
	if wait < limit {
		return 0, false
	}
	return max(wait-left, time.Second), true
}

// farFuture is later than the key of any request.
var farFuture = time.Unix(0, math.MaxInt64)
