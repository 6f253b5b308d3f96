package dispatching

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// model checks the decisions of a pool against the requests pushed to it and
// the workers set.
type model struct {
	t       *rapid.T
	pool    *Pool
	now     time.Time
	next    int
	workers []Worker
	waiting map[string]Request
	// grants maps the ID of each grant in use to its worker, requests to its request
	// and started to its start time.
	grants   map[string]string
	requests map[string]Request
	started  map[string]time.Time
}

func (m *model) check(decisions []Decision) {
	for _, d := range decisions {
		r, ok := m.waiting[d.RequestID]
		if !ok {
			m.t.Fatalf("decision for %q, which is not waiting: it already has a decision or was cancelled", d.RequestID)
		}
		delete(m.waiting, d.RequestID)
		if d.Reason != ReasonNone {
			continue
		}
		avoidsAll := !slices.ContainsFunc(m.workers, func(w Worker) bool { return !slices.Contains(r.AvoidWorkers, w.ID) })
		if slices.Contains(r.AvoidWorkers, d.Worker.ID) && !avoidsAll {
			m.t.Fatalf("%s granted on %s, which it avoids", r.ID, d.Worker.ID)
		}
		if !slices.ContainsFunc(m.workers, func(w Worker) bool { return w.ID == d.Worker.ID }) {
			m.t.Fatalf("%s granted on %s, which does not serve the pool", r.ID, d.Worker.ID)
		}
		m.grants[d.GrantID] = d.Worker.ID
		m.requests[d.GrantID] = r
		if n := m.inUse(r); r.Team == "a" && n > quotaOfA && (!r.Urgent || n > 4) {
			m.t.Fatalf("team a holds %d slots, quota %d, urgent %t", n, quotaOfA, r.Urgent)
		}
		m.started[d.GrantID] = m.now
		if n := m.busy(d.Worker.ID); n > d.Worker.Slots {
			m.t.Fatalf("%d grants on %d slots of %s", n, d.Worker.Slots, d.Worker.ID)
		}
	}
}

// quotaOfA is the quota of team a; the other teams have none. Urgent work of
// the team may hold four slots in addition to it.
const quotaOfA = 2

func (m *model) inUse(r Request) int {
	n := 0
	for grant := range m.grants {
		if m.requests[grant].Team == r.Team && m.requests[grant].Urgent == r.Urgent {
			n++
		}
	}
	return n
}

func (m *model) busy(worker string) int {
	n := 0
	for _, w := range m.grants {
		if w == worker {
			n++
		}
	}
	return n
}

func (m *model) setWorkers() {
	m.workers = nil
	for i := range rapid.IntRange(0, 8).Draw(m.t, "workers") {
		if rapid.IntRange(0, 9).Draw(m.t, "listed") > 0 {
			m.workers = append(m.workers, Worker{ID: fmt.Sprintf("w%d", i), Slots: 2})
		}
	}
	m.check(m.pool.SetWorkers(m.now, m.workers))
}

func (m *model) push() {
	m.next++
	r := Request{
		ID: fmt.Sprintf("r%d", m.next), Service: "s",
		Operation:       rapid.SampledFrom([]string{"get", "report"}).Draw(m.t, "operation"),
		Team:            rapid.SampledFrom([]string{"", "a", "b"}).Draw(m.t, "team"),
		DeclaredRunTime: time.Duration(rapid.IntRange(0, 5000).Draw(m.t, "declared")) * time.Millisecond,
		StartBy:         m.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(m.t, "deadline")) * time.Second),
		Urgent:          rapid.IntRange(0, 9).Draw(m.t, "urgent") == 0,
	}
	if rapid.Bool().Draw(m.t, "retry") {
		r.AvoidWorkers = []string{rapid.SampledFrom([]string{"w0", "w1"}).Draw(m.t, "avoid")}
	}
	m.waiting[r.ID] = r
	m.check(m.pool.Push(m.now, r))
}

func (m *model) release() {
	ids := sortedKeys(m.grants)
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(m.t, "grant")
	bad := m.grants[id] == "w0"
	result := ResultOK
	if bad || rapid.IntRange(0, 19).Draw(m.t, "result") == 0 {
		result = ResultFailed
	}
	delete(m.grants, id)
	m.check(m.pool.Release(m.now, id, result, m.now.Sub(m.started[id])))
	m.check(m.pool.Release(m.now, id, result, 0))
}

func (m *model) cancel() {
	ids := sortedKeys(m.waiting)
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(m.t, "request")
	delete(m.waiting, id)
	if !m.pool.Cancel(m.now, id) {
		m.t.Fatalf("cancelling the waiting request %s had no effect", id)
	}
	if m.pool.Cancel(m.now, id) {
		m.t.Fatalf("the second cancellation of %s removed a request", id)
	}
}

// releaseAll releases grants until nothing more starts, and checks that no
// request is left waiting while a slot is free for it.
func (m *model) releaseAll() {
	if len(m.workers) == 0 {
		return
	}
	for len(m.grants) > 0 {
		id := sortedKeys(m.grants)[0]
		delete(m.grants, id)
		m.check(m.pool.Release(m.now, id, ResultOK, 0))
	}
	for id, r := range m.waiting {
		if len(r.AvoidWorkers) == 0 && r.StartBy.After(m.now) && len(m.pool.Ejected()) == 0 {
			m.t.Fatalf("%s waits although all slots are free", id)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Guards against slots granted twice, requests that get no decision or two,
// cancellations that have no effect, and more ejected workers than the limit
// allows.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]Policy{PolicyLearned, PolicyFirstComeFirstServed}).Draw(t, "policy")
		m := &model{
			t: t, now: time.Unix(1000, 0), pool: NewPool(Options{MaxQueue: 20, Policy: policy}),
			waiting: map[string]Request{}, grants: map[string]string{}, requests: map[string]Request{}, started: map[string]time.Time{},
		}
		m.check(m.pool.SetQuotas(m.now, map[string]int{"a": quotaOfA}))
		m.setWorkers()
		actions := []func(){m.push, m.push, m.push, m.release, m.release, m.cancel, func() { m.check(m.pool.Tick(m.now)) }}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "milliseconds")) * time.Millisecond)
			if rapid.IntRange(0, 30).Draw(t, "change") == 0 {
				m.setWorkers()
			}
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]()
			if n := len(m.pool.Ejected()); n > len(m.workers)*3/10 {
				t.Fatalf("%d of %d workers ejected", n, len(m.workers))
			}
			if d := m.pool.Demand(m.now); d.Queued != len(m.waiting) || d.Busy != len(m.grants) {
				t.Fatalf("demand %+v, want %d queued and %d busy", d, len(m.waiting), len(m.grants))
			}
		}
		m.releaseAll()
		// After the latest StartBy no request may be waiting.
		m.now = m.now.Add(time.Minute)
		m.check(m.pool.Tick(m.now))
		if len(m.waiting) > 0 {
			t.Fatalf("no decision for %v", sortedKeys(m.waiting))
		}
		checkPendingWork(t, m.pool)
	})
}

// Guards against a retry that waits until its StartBy because it has failed on
// every worker of a small pool.
func TestRequestThatAvoidsAllWorkersGetsAny(t *testing.T) {
	now := time.Unix(0, 0)
	p := NewPool(Options{MaxQueue: 10})
	p.SetWorkers(now, []Worker{{ID: "w1", Slots: 1}, {ID: "w2", Slots: 1}})
	decisions := p.Push(now, Request{ID: "r", StartBy: now.Add(time.Second), AvoidWorkers: []string{"w1", "w2"}})
	if len(decisions) != 1 || decisions[0].Reason != ReasonNone {
		t.Fatalf("decisions %+v, want one grant", decisions)
	}
}
