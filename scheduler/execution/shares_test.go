package execution

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dotterelhead.example/dotterelhead/job"
)

// setWeights puts a manifest in force with organisations of the given weight.
func (b *testbed) setWeights(weight float64, names ...string) {
	m := *b.core.manifest
	m.Version++
	m.Queues = []job.Queue{{Name: testQueue, Service: testService, Attempts: 2, LatencyFactor: 1.6, TargetLatency: 600 * time.Millisecond}}
	m.Organisations = job.NewOrganisations()
	for _, name := range names {
		m.Organisations.Add(job.Organisation{Name: name, Weight: weight}, nil)
	}
	b.core.SetManifest(&m)
}

// accept adds a job that an organisation hands in now.
func (b *testbed) accept(n int, organisation string, s job.Step) {
	j := oneStep(fmt.Sprintf("%016x", n), s)
	j.Organisation, j.Accepted = organisation, wall.Add(b.now)
	b.core.AddJob(j, job.Progress{}, false, wall.Add(b.now), b.now)
}

// play runs rounds of 10 ms in which each run takes the time that its step declares, and
// calls each before every round with the time since the start.
func (b *testbed) play(worker string, d time.Duration, each func(at time.Duration)) {
	running := map[Run]Time{}
	ends := int64(0)
	for begin := b.now; b.now-begin < d; {
		each(b.now - begin)
		for _, s := range b.roundAfter(10 * time.Millisecond).Starts {
			b.core.StartDone(s, Started, b.now)
			running[s.Run] = b.now
		}
		var ended []EndedItem
		for r, started := range running {
			if j := b.core.jobs[r.Item.Job]; b.now-started >= j.Steps[r.Item.Step].Estimate {
				delete(running, r)
				ends++
				ended = append(ended, EndedItem{Number: ends, Run: r, Kind: EndDone})
			}
		}
		if len(ended) > 0 {
			b.report(worker, Report{Ended: ended, Running: rows(running)})
		}
		b.core.MarkCommitted(b.core.TakeWrites(1000))
	}
}

// One organisation sends seven times its weight while 19 others send their usual, on
// workers that run four fifths of it all. The others wait for nothing; what the one sends beyond its weight
// waits.
func TestOneThatSendsSevenTimesItsWeightDelaysItself(t *testing.T) {
	b := newTestbed(t, 0)
	var names []string
	for n := range 20 {
		names = append(names, fmt.Sprintf("organisation-%02d", n))
	}
	b.setWeights(2, names...)
	// 20 organisations send 1 job a second each, the first one 14 a second: 33 jobs of 500 ms.
	b.worker(testWorker("w1", 13_000), Report{})
	sender := map[string]string{}
	jobs := 0
	send := func(name string) {
		b.accept(jobs, name, job.Step{Estimate: 500 * time.Millisecond})
		sender[fmt.Sprintf("%016x", jobs)] = name
		jobs++
	}
	next := make([]time.Duration, len(names))
	for n := range next {
		next[n] = time.Duration(n) * 50 * time.Millisecond
	}
	b.play("w1", 20*time.Second, func(at time.Duration) {
		for n, name := range names {
			for ; next[n] <= at; next[n] += time.Second {
				send(name)
				if n == 0 {
					for range 13 {
						send(name)
					}
				}
			}
		}
	})
	inTime, sent := map[string]int{}, map[string]int{}
	for id, name := range sender {
		j := b.core.jobs[id]
		if b.now-j.acceptedAt < 2*time.Second {
			continue
		}
		sent[name]++
		if j.phase == job.Completed && j.finishedAt-j.acceptedAt < 1400*time.Millisecond {
			inTime[name]++
		}
	}
	for _, name := range names[1:] {
		if inTime[name] < sent[name] {
			t.Errorf("%s has %d of %d jobs in time", name, inTime[name], sent[name])
		}
	}
	if inTime[names[0]] < 2*15 {
		t.Errorf("the one that sends 14 jobs a second has %d in time, want its weight of 2 a second", inTime[names[0]])
	}
}

// A single organisation with many small jobs takes all room that gets free in a round, as its
// jobs come first by their work. Another one with equal weight has to get half of it.
func TestRoomOfOneRoundIsShared(t *testing.T) {
	b := newTestbed(t, 0)
	b.setWeights(0, "small", "large")
	for n := range 20 {
		b.accept(n, "small", job.Step{Estimate: 100 * time.Millisecond})
	}
	for n := range 10 {
		b.accept(100+n, "large", job.Step{Estimate: time.Second})
	}
	b.worker(testWorker("w1", 8000), Report{})
	placed := map[string]int{}
	for _, s := range b.round().Starts {
		placed[b.core.jobs[s.Item.Job].Organisation]++
	}
	if placed["small"] != 4 || placed["large"] != 4 {
		t.Errorf("placed %v, want 4 of each", placed)
	}
	if b.worker(testWorker("w2", 30_000), Report{}); len(b.round().Starts) != 22 {
		t.Error("room is left although work waits")
	}
}

// A new owner reads the jobs in the order of their IDs, and has to find the same ones beyond
// the rate as the former one.
func TestNewOwnerFindsTheSameJobsBeyondTheRate(t *testing.T) {
	accepted := map[string]time.Time{}
	find := func(add func(add func(n int))) map[string]bool {
		b := newTestbed(t, 0)
		b.setWeights(2, "harbour")
		add(func(n int) {
			j := oneStep(fmt.Sprintf("%016x", n*7919%1000), job.Step{})
			// 3 jobs a second.
			j.Organisation, j.Accepted = "harbour", wall.Add(time.Duration(n)*time.Second/3)
			accepted[j.ID] = j.Accepted
			b.core.AddJob(j, job.Progress{}, true, wall, b.now)
		})
		beyond := map[string]bool{}
		b.core.decideRates(b.now)
		for id, j := range b.core.jobs {
			beyond[id] = j.beyondRate
		}
		return beyond
	}
	former := find(func(add func(int)) {
		for n := range 90 {
			add(n)
		}
	})
	latter := find(func(add func(int)) {
		for n := 89; n >= 0; n-- {
			add(n)
		}
	})
	within := 0
	for id, beyond := range former {
		if latter[id] != beyond {
			t.Errorf("job %s accepted at %v: beyond the rate %v, for the new owner %v", id, accepted[id], beyond, latter[id])
		}
		if !beyond {
			within++
		}
	}
	if within != 60 {
		t.Errorf("%d of 90 jobs in 30 s are within the rate of 2 a second, want 60", within)
	}
}

// Small jobs take each slot that gets free, so that a gang as wide as half of the pool, or of the cap, never
// finds enough at a time. It has to start all the same, and gangs must not keep the small
// jobs from running.
func TestSmallJobsAndWideGangsBothRun(t *testing.T) {
	t.Run("pool", func(t *testing.T) { testSmallJobsAndWideGangs(t, 8000, 0) })
	t.Run("cap", func(t *testing.T) { testSmallJobsAndWideGangs(t, 80_000, 8000) })
}

func testSmallJobsAndWideGangs(t *testing.T, capacity, cap int64) {
	b := newTestbed(t, 0)
	b.setWeights(100, "harbour")
	if cap > 0 {
		b.setCap(cap)
	}
	b.worker(testWorker("w1", capacity), Report{})
	jobs := 0
	submit := func(s job.Step) string {
		jobs++
		b.accept(jobs, "harbour", s)
		return fmt.Sprintf("%016x", jobs)
	}
	var small, gangs []string
	next := time.Duration(0)
	b.play("w1", 12*time.Second, func(at time.Duration) {
		for ; next <= at; next += 60 * time.Millisecond {
			small = append(small, submit(job.Step{Estimate: 500 * time.Millisecond}))
			if len(small)%25 == 5 {
				gangs = append(gangs, submit(job.Step{Estimate: 500 * time.Millisecond, Count: 4, Gang: true}))
			}
		}
	})
	done := func(ids []string) (n int) {
		for _, id := range ids {
			if b.core.jobs[id].phase == job.Completed {
				n++
			}
		}
		return n
	}
	if done(gangs) < len(gangs)/2 {
		t.Errorf("%d of %d gangs have run", done(gangs), len(gangs))
	}
	if done(small) < len(small)/2 {
		t.Errorf("%d of %d small jobs have run", done(small), len(small))
	}
}

// What an organisation sends beyond its weight comes after the jobs of others, also of those
// that are late already.
func TestJobsBeyondTheWeightComeAfterLateJobs(t *testing.T) {
	b := newTestbed(t, 0)
	b.setWeights(1, "hot", "usual")
	b.accept(100, "usual", job.Step{Estimate: 500 * time.Millisecond})
	b.now += 2 * time.Second
	for n := range 12 {
		b.accept(n, "hot", job.Step{Estimate: 500 * time.Millisecond})
	}
	b.worker(testWorker("w1", 6000), Report{})
	usual := 0
	for _, s := range b.wantStarts(6, "room for 6 items") {
		if b.core.jobs[s.Item.Job].Organisation == "usual" {
			usual++
		}
	}
	if usual != 1 {
		t.Error("the late job waits for jobs beyond the weight of another organisation")
	}
}

// Guards deployments without organisations against another order of starts than one pass in
// the order of kind, priority, value class and order.
func TestWithoutOrganisationsTheOrderIsThatOfTheRanks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var jobs []*job.Job
		for n := range rapid.IntRange(1, 12).Draw(rt, "jobs") {
			step := job.Step{
				Count: rapid.IntRange(1, 6).Draw(rt, "items"), Needs: job.Resources{MilliCPU: rapid.Int64Range(500, 3000).Draw(rt, "cpu"), MemoryMB: 10},
				Gang: rapid.Bool().Draw(rt, "gang"), LongRunning: rapid.Bool().Draw(rt, "long-running"), Filler: rapid.Bool().Draw(rt, "filler"),
				Estimate: time.Duration(rapid.IntRange(100, 3000).Draw(rt, "ms")) * time.Millisecond,
			}
			jobs = append(jobs, oneStep(fmt.Sprintf("%016x", n), step))
		}
		newCore := func() *testbed {
			b := newTestbed(t, 0)
			for n, j := range jobs {
				b.core.AddJob(j, job.Progress{}, false, wall, b.now-time.Duration(n)*700*time.Millisecond)
			}
			b.worker(testWorker("w1", 6000), Report{})
			b.worker(testWorker("w2", 6000), Report{})
			return b
		}
		b := newCore()
		starts := b.round().Starts
		b = newCore()
		b.now += time.Millisecond
		b.core.MarkDue(wall.Add(b.now), b.now)
		var candidates []candidate
		for _, s := range b.core.pendingSteps {
			candidates = append(candidates, candidate{step: s, queue: b.core.queueOf(s.job), rank: b.core.rankOf(s, b.core.queueOf(s.job), b.now)})
		}
		slices.SortFunc(candidates, func(a, b candidate) int {
			return cmp.Or(
				cmp.Compare(a.rank.kind, b.rank.kind), cmp.Compare(a.rank.priority, b.rank.priority), cmp.Compare(a.rank.valueClass, b.rank.valueClass),
				cmp.Compare(a.rank.order, b.rank.order), a.step.id().Compare(b.step.id()),
			)
		})
		var want Orders
		eligible := b.core.eligibleByService(b.now)
		for _, cand := range candidates {
			b.core.placeStep(&want, cand, eligible[testService], b.now)
		}
		if !slices.EqualFunc(starts, want.Starts, func(a, b Start) bool { return a.Run == b.Run && a.Worker.ID == b.Worker.ID }) {
			rt.Fatalf("starts %v, want %v", starts, want.Starts)
		}
	})
}
