package dispatching

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// taught returns a pool with two workers of two slots that has learned a run
// time of one second from so many samples, and a time at which all its slots
// were just taken if it is busy.
func taught(samples int, busy bool) (*Pool, time.Time) {
	now := time.Unix(1000, 0)
	p := NewPool(Options{MaxQueue: 10_000})
	p.SetWorkers(now, []Worker{{ID: "w1", Slots: 2}, {ID: "w2", Slots: 2}})
	for i := range samples {
		d := p.Push(now, Request{ID: "taught-" + strconv.Itoa(i), Service: "s", StartBy: now.Add(time.Hour)})
		now = now.Add(time.Second)
		p.Release(now, d[0].Grant, ResultOK, time.Second)
	}
	for i := range 4 {
		if busy {
			p.Push(now, Request{ID: "busy-" + strconv.Itoa(i), Service: "s", StartBy: now.Add(time.Hour)})
		}
	}
	return p, now
}

// Guards against requests that wait for nothing until StartBy, and against
// refusals without enough knowledge, of urgent work, with a slot free, or with
// a hint that says nothing about the queue.
func TestEarlyRefusal(t *testing.T) {
	for name, c := range map[string]struct {
		samples, queued int
		free, urgent    bool
		startIn         time.Duration
		refused         bool
	}{
		"far too late":    {samples: 200, queued: 400, startIn: 10 * time.Second, refused: true},
		"in time":         {samples: 200, queued: 400, startIn: 150 * time.Second},
		"late, not clear": {samples: 200, queued: 400, startIn: 50 * time.Second},
		"few samples":     {samples: 50, queued: 400, startIn: 10 * time.Second},
		"urgent":          {samples: 200, queued: 400, startIn: 10 * time.Second, urgent: true},
		"free slot":       {samples: 200, startIn: time.Millisecond, free: true},
	} {
		t.Run(name, func(t *testing.T) {
			p, now := taught(c.samples, !c.free)
			for i := range c.queued {
				p.Push(now, Request{ID: strconv.Itoa(i), Service: "s", StartBy: now.Add(time.Hour)})
			}
			// Requests of the same second are not surely ahead.
			now = now.Add(2 * time.Second)
			d := p.Push(now, Request{ID: "r", Service: "s", StartBy: now.Add(c.startIn), Urgent: c.urgent})
			refused := len(d) == 1 && d[0].Reason == ReasonCannotStartInTime
			if refused != c.refused {
				t.Fatalf("decisions %+v, want refused %t", d, c.refused)
			}
			if refused && (d[0].RetryAfter < 80*time.Second || d[0].RetryAfter > 100*time.Second) {
				t.Errorf("retry after %s, but 400 s of work on 4 slots lie ahead of 10 s", d[0].RetryAfter)
			}
		})
	}
}

// Guards against backlogs that drift from the queue, which would refuse
// requests of an idle pool, and against early refusals that are wrong although
// every run time is as learned.
func TestEarlyRefusalIsRightWhenEstimatesAre(t *testing.T) {
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		p, now := taught(earlySamples, false)
		ends, due := map[string]time.Time{}, map[string]time.Time{}
		apply := func(decisions []Decision) {
			for _, d := range decisions {
				if d.Reason == ReasonNone {
					ends[d.Grant] = now.Add(time.Second)
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
				// Kept in the queue it shows when it would have started.
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
		checkIdle(t, p)
	})
	if refused == 0 {
		t.Error("nothing was refused early")
	}
}

// checkIdle guards against sums that drift while requests come and go.
func checkIdle(t *rapid.T, p *Pool) {
	if len(p.ahead.short)+len(p.ahead.long)+len(p.ahead.urgent) > 0 {
		t.Fatalf("backlog %+v although nothing waits", p.ahead)
	}
	if p.ahead.shortUse.count+p.ahead.longUse.count != len(p.grants) {
		t.Fatalf("%+v in use with %d grants", p.ahead, len(p.grants))
	}
}
