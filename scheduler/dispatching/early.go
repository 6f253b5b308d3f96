package dispatching

import (
	"math"
	"time"
)

const (
	// earlySamples is the number of run times that must be learned before a
	// request is refused early.
	earlySamples = 100
	// backlogBucket is the width of the buckets of a backlog.
	backlogBucket = time.Second
)

// backlog is the expected run time of the requests of a queue, by buckets of
// their keys. Reading a bucket instead of a request keeps the sum over what is
// ahead of a request cheap in long queues.
type backlog map[int64]*amount

type amount struct {
	count int
	work  time.Duration
}

func bucketOf(key time.Time) int64 { return key.UnixNano() / int64(backlogBucket) }

func (b backlog) add(w *waiting) {
	k := bucketOf(w.key)
	if b[k] == nil {
		b[k] = &amount{}
	}
	b[k].count++
	b[k].work += w.mean
}

func (b backlog) remove(w *waiting) {
	k := bucketOf(w.key)
	b[k].work -= w.mean
	if b[k].count--; b[k].count == 0 {
		delete(b, k)
	}
}

// ahead returns the work in the buckets before that of a key. A request counts
// for at most limit: it holds one slot for no longer until then.
func (b backlog) ahead(key time.Time, limit time.Duration) time.Duration {
	own, sum := bucketOf(key), time.Duration(0)
	for k, a := range b {
		if k < own {
			sum += min(a.work, time.Duration(min(float64(a.count)*float64(limit), math.MaxInt64/4)))
		}
	}
	return sum
}

// inUse sums up the expected ends of grants.
type inUse struct {
	count int
	// ends is the sum of the expected ends in seconds since the first grant.
	ends float64
}

// remaining is the work that the grants still need; overdue ones lower it,
// which errs towards keeping requests.
func (u inUse) remaining(at float64) time.Duration {
	return seconds(max(u.ends-float64(u.count)*at, 0))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// backlogOf is the backlog of the queue of a request, nil when it holds up
// nobody for sure: work of a team with a quota may be parked.
func (p *Pool) backlogOf(w *waiting) backlog {
	switch {
	case !w.counted:
		return nil
	case w.request.Urgent:
		return p.ahead.urgent
	case w.long:
		return p.ahead.long
	}
	return p.ahead.short
}

// work is what the pool expects to do.
type work struct {
	urgent, short, long backlog
	// shortUse and longUse are the grants in use.
	shortUse, longUse inUse
	since             time.Time
}

func newWork() work { return work{urgent: backlog{}, short: backlog{}, long: backlog{}} }

func (p *Pool) use(long bool) *inUse {
	if long {
		return &p.ahead.longUse
	}
	return &p.ahead.shortUse
}

// hold counts a grant that is expected to end at g.end.
func (p *Pool) hold(g *grant, by int) {
	u := p.use(g.long)
	u.count += by
	u.ends += float64(by) * g.end
	if u.count == 0 {
		u.ends = 0
	}
}

func (p *Pool) secondsAt(now time.Time) float64 {
	if p.ahead.since.IsZero() {
		p.ahead.since = now
	}
	return now.Sub(p.ahead.since).Seconds()
}

// cannotStart reports whether a new request starts after its time by a clear
// factor, and when the queue should have room for another one like it.
//
// Until a time t from now the slots can do slots*t of work, and long work at
// most longLimit*t of it. The request starts later than t when the work ahead
// of it exceeds that.
func (p *Pool) cannotStart(now time.Time, w *waiting) (time.Duration, bool) {
	left := w.request.StartBy.Sub(now)
	slots := p.slots.Slots()
	if p.options.EarlyRefusal < 0 || p.options.Policy != PolicyLearned || p.learned < earlySamples || left <= 0 ||
		w.request.Urgent || slots == 0 || len(p.grants) < slots || p.slots.Available() {
		return 0, false
	}
	limit := seconds(min(p.options.EarlyRefusal*left.Seconds(), math.MaxInt64/4e9/float64(slots)))
	longSlots := min(p.longLimit(), slots)
	at := p.secondsAt(now)
	usable := slots
	if w.long {
		usable = longSlots
	}
	everything := p.queuedWork + p.ahead.shortUse.remaining(at) + p.ahead.longUse.remaining(at)
	if everything < time.Duration(usable)*limit {
		return 0, false
	}
	short := p.ahead.shortUse.remaining(at) + p.ahead.urgent.ahead(farFuture, limit) + p.ahead.short.ahead(w.key, limit)
	long := p.ahead.longUse.remaining(at) + p.ahead.long.ahead(w.key, limit)
	wait := max((short+min(long, time.Duration(longSlots)*limit))/time.Duration(slots), 0)
	if w.long {
		wait = max(wait, long/time.Duration(longSlots))
	}
	if wait < limit {
		return 0, false
	}
	return max(wait-left, time.Second), true
}

// farFuture is after the key of each request.
var farFuture = time.Unix(0, math.MaxInt64)
