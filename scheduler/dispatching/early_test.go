package dispatching

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newTrainedPool returns a pool of two workers with two slots each that has
// learned a run time of one second from the given number of samples, and the
// current time. If busy is set, all slots were taken at that time.
func newTrainedPool(samples int, busy bool) (*Pool, time.Time) {
	now := time.Unix(1000, 0)
	p := NewPool(Options{MaxQueue: 10_000})
	p.SetWorkers(now, []Worker{{ID: "w1", Slots: 2}, {ID: "w2", Slots: 2}})
	for i := range samples {
		d := p.Push(now, Request{ID: "taught-" + strconv.Itoa(i), Service: "s", StartBy: now.Add(time.Hour)})
		now = now.Add(time.Second)
		p.Release(now, d[0].GrantID, ResultOK, time.Second)
	}
	for i := range 4 {
		if busy {
			p.Push(now, Request{ID: "busy-" + strconv.Itoa(i), Service: "s", StartBy: now.Add(time.Hour)})
		}
	}
	return p, now
}

// Guards against requests that wait until StartBy although they clearly cannot
// start in time. Guards also against early refusals that are based on too few
// samples, that hit urgent requests or a pool with a free slot, or whose
// RetryAfter doesn't reflect the length of the queue.
func TestEarlyRefusal(t *testing.T) {
	for name, c := range map[string]struct {
		samples, queued int
		free, urgent    bool
		startIn         time.Duration
		refused         bool
	}{
		"far too late":          {samples: 200, queued: 400, startIn: 10 * time.Second, refused: true},
		"in time":               {samples: 200, queued: 400, startIn: 150 * time.Second},
		"late, but not clearly": {samples: 200, queued: 400, startIn: 50 * time.Second},
		"few samples":           {samples: 50, queued: 400, startIn: 10 * time.Second},
		"urgent":                {samples: 200, queued: 400, startIn: 10 * time.Second, urgent: true},
		"free slot":             {samples: 200, startIn: time.Millisecond, free: true},
	} {
		t.Run(name, func(t *testing.T) {
			p, now := newTrainedPool(c.samples, !c.free)
			for i := range c.queued {
				p.Push(now, Request{ID: strconv.Itoa(i), Service: "s", StartBy: now.Add(time.Hour)})
			}
			// Requests in the same backlog bucket of one second don't count as
			// ahead of the new one.
			now = now.Add(2 * time.Second)
			d := p.Push(now, Request{ID: "r", Service: "s", StartBy: now.Add(c.startIn), Urgent: c.urgent})
			refused := len(d) == 1 && d[0].Reason == ReasonCannotStartInTime
			if refused != c.refused {
				t.Fatalf("decisions %+v, want refused %t", d, c.refused)
			}
			if refused && (d[0].RetryAfter < 80*time.Second || d[0].RetryAfter > 100*time.Second) {
				t.Errorf("RetryAfter is %s, want about 90 s: 400 s of work for 4 slots, and StartBy is in 10 s", d[0].RetryAfter)
			}
		})
	}
}

// Guards against backlog sums that diverge from the queue, so that an idle pool
// would refuse requests, and against early refusals of requests that would have
// started in time although every run time is as learned.
func TestEarlyRefusalIsRightWhenEstimatesAre(t *testing.T) {
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		p, now := newTrainedPool(earlyRefusalSamples, false)
		ends, due := map[string]time.Time{}, map[string]time.Time{}
		apply := func(decisions []Decision) {
			for _, d := range decisions {
				if d.Reason == ReasonNone {
					ends[d.GrantID] = now.Add(time.Second)
				}
				if startBy, ok := due[d.RequestID]; ok && d.Reason == ReasonNone && startBy.After(now) {
					t.Fatalf("%s was refused early and starts in time", d.RequestID)
				}
			}
		}
		release := func() {
			now = now.Add(500 * time.Millisecond)
			for _, id := range sortedKeys(ends) {
				if !ends[id].After(now) {
					delete(ends, id)
					apply(p.Release(now, id, ResultOK, time.Second))
				}
			}
		}
		push := func(id string, startIn time.Duration) {
			r := Request{ID: id, Service: "s", StartBy: now.Add(startIn)}
			decisions := p.Push(now, r)
			last := len(decisions) - 1
			if startIn > 0 && last >= 0 && decisions[last].Reason == ReasonCannotStartInTime && decisions[last].RequestID == id {
				if len(p.grants) < 4 {
					t.Fatalf("%s refused with %d of 4 slots in use", id, len(p.grants))
				}
				// Pushed again with a late StartBy, the request shows when it
				// would have started.
				refused++
				due[id] = r.StartBy
				r.StartBy = now.Add(time.Hour)
				decisions = append(decisions[:last], p.Push(now, r)...)
			}
			apply(decisions)
		}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			for i := range rapid.IntRange(0, 30).Draw(t, "pushes") {
				push(strconv.Itoa(step)+"-"+strconv.Itoa(i), time.Duration(rapid.IntRange(0, 30).Draw(t, "startIn"))*time.Second)
			}
			release()
			apply(p.Tick(now))
		}
		for len(ends) > 0 {
			release()
		}
		checkPendingWork(t, p)
	})
	if refused == 0 {
		t.Error("nothing was refused early")
	}
}

// checkPendingWork checks that the sums of the pending work match an empty queue
// and the grants in use.
func checkPendingWork(t *rapid.T, p *Pool) {
	if len(p.pendingWork.short)+len(p.pendingWork.long)+len(p.pendingWork.urgent) > 0 {
		t.Fatalf("backlog %+v although nothing waits", p.pendingWork)
	}
	if p.pendingWork.shortGrants.count+p.pendingWork.longGrants.count != len(p.grants) {
		t.Fatalf("the totals of %+v do not match the %d grants in use", p.pendingWork, len(p.grants))
	}
}
