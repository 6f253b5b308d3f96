package execution

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

const (
	burstItems   = 8
	burstCores   = 320
	burstRunTime = time.Second
)

// overload is a pool of 320 cores with jobs of 8 items of 2 cores and 1 s: it serves 20 a
// second.
type overload struct {
	*pool
	refuse  bool
	refused map[string]bool
	// firstRefusal is when the first job was refused, and refusals counts them by organisation.
	firstRefusal Time
	refusals     map[string]int
	accepted     map[string]Time
	ends         map[string]Time
	startedAt    map[Run]Time
	endNumber    map[string]int64
	ended        map[string][]EndedItem
}

func newOverload(t *testing.T, refuse bool) *overload {
	o := &overload{
		pool: newPool(t, burstCores/16), refuse: refuse, refusals: map[string]int{}, accepted: map[string]Time{}, ends: map[string]Time{},
		startedAt: map[Run]Time{}, endNumber: map[string]int64{}, ended: map[string][]EndedItem{},
	}
	organisations := job.NewOrganisations()
	for _, name := range []string{"large", "b", "c"} {
		organisations.Add(job.Organisation{Name: name, Weight: 1}, nil)
	}
	queue := job.Queue{Name: testQueue, Service: testService, Attempts: 2, LatencyFactor: 1, TargetLatency: 600 * time.Millisecond}
	o.core.SetManifest(&job.Manifest{Version: 2, Queues: []job.Queue{queue}, Services: []job.Service{{Name: testService}}, Organisations: organisations})
	return o
}

// submit submits a job unless it is refused.
func (o *overload) submit(n int, organisation string) {
	if o.refuse && o.refused[organisation] {
		o.refusals[organisation]++
		if o.firstRefusal == 0 {
			o.firstRefusal = o.now
		}
		return
	}
	j := oneStep(fmt.Sprintf("%016x", n), job.Step{Count: burstItems, Needs: job.Resources{MilliCPU: 2000, MemoryMB: 1}, Estimate: burstRunTime})
	j.Organisation = organisation
	o.core.AddJob(j, job.Progress{}, false, wall, o.now)
	o.accepted[j.ID] = o.now
}

// tick lets 100 ms pass: runs end, others start, and it is decided who is refused.
func (o *overload) tick() {
	for _, s := range o.roundAfter(100 * time.Millisecond).Starts {
		o.core.StartDone(s, Started, o.now)
		o.startedAt[s.Run] = o.now
		o.running[s.Worker.ID] = append(o.running[s.Worker.ID], RunningItem{Run: s.Run})
	}
	for _, id := range sortedKeys(o.running) {
		o.running[id] = slices.DeleteFunc(o.running[id], func(r RunningItem) bool {
			if o.now-o.startedAt[r.Run] < burstRunTime {
				return false
			}
			o.endNumber[id]++
			o.ended[id] = append(o.ended[id], EndedItem{Number: o.endNumber[id], Run: r.Run, Kind: EndDone})
			return true
		})
		for n := range o.running[id] {
			o.running[id][n].Percent += 9
		}
		if _, due := o.core.HoldFor(id, o.now); due {
			o.report(id, Report{Running: o.running[id], Ended: o.ended[id], StartMillis: 1})
			o.ended[id] = nil
		}
	}
	o.core.MarkCommitted(o.core.TakeWrites(1000))
	for id := range o.accepted {
		if o.ends[id] == 0 && o.core.jobs[id].final() {
			o.ends[id] = o.now
		}
	}
	before := o.refused
	o.refused = map[string]bool{}
	for _, load := range o.core.QueueLoads(FreeVMs{}, 0, o.now) {
		if r, refuse := Admit(load, before); refuse {
			for _, name := range r.Organisations {
				o.refused[name] = true
			}
		}
	}
}

// burst submits jobsPerSecond for 5 s, of which the organisation "large" sends 8 in 10, and
// waits until all have ended. It returns how many ended before they lost their value, 4.8 s
// after they were accepted, and how many later.
func (o *overload) burst(jobsPerSecond int) (valued, hopeless int) {
	n := 1
	for range 50 {
		for range jobsPerSecond / 10 {
			organisation := "large"
			if n%10 == 3 {
				organisation = "b"
			} else if n%10 == 7 {
				organisation = "c"
			}
			o.submit(n, organisation)
			n++
		}
		o.tick()
	}
	for range 600 {
		o.tick()
	}
	for id, at := range o.accepted {
		switch end := o.ends[id]; {
		case end == 0:
			o.Fatalf("accepted job %s has not ended", id)
		case end-at <= lateFactor*1600*time.Millisecond:
			valued++
		default:
			hopeless++
		}
	}
	return valued, hopeless
}

// Load pattern: bursts of two queues come together into a full pool, 9 times what the pool
// serves, for 5 s; one organisation sends 8 of 10 jobs. Guards against jobs that are
// accepted although they can only end too late, and against organisations within their share
// that are refused for the load of another.
func TestBurstIntoAFullPoolIsRefusedByShares(t *testing.T) {
	without := newOverload(t, false)
	valuedWithout, hopelessWithout := without.burst(180)
	with := newOverload(t, true)
	valued, hopeless := with.burst(180)
	t.Logf("%d with a value, %d without; with no refusals %d, %d; refused %v from %v on", valued, hopeless, valuedWithout, hopelessWithout, with.refusals, with.firstRefusal)
	if with.refusals["large"] == 0 || with.firstRefusal > 4*time.Second {
		t.Errorf("%v refused from %v on, want some of the large organisation within 3 s", with.refusals, with.firstRefusal)
	}
	if with.refusals["b"]+with.refusals["c"] > 0 {
		t.Errorf("%v refused, want none of the organisations within their share", with.refusals)
	}
	if hopeless >= hopelessWithout || valued < valuedWithout {
		t.Errorf("%d jobs ended with a value and %d without, with no refusals %d and %d", valued, hopeless, valuedWithout, hopelessWithout)
	}
}

// Load pattern: bursts of 1.5 times what a pool serves, and of 4.5 times, as a burst of 2.5
// times in a queue's turn, for 5 s. Guards against refusals of jobs that may still be in time,
// because they come before those that are late already.
func TestSmallOverloadRefusesNobody(t *testing.T) {
	for _, jobsPerSecond := range []int{30, 90} {
		o := newOverload(t, true)
		o.burst(jobsPerSecond)
		if len(o.refusals) > 0 {
			t.Errorf("%d jobs a second: %v refused, want none", jobsPerSecond, o.refusals)
		}
	}
}

// Guards against refusals that change with every job: an organisation is accepted again only
// once the work has clearly fallen below what is done in time.
func TestRefusalHasHysteresis(t *testing.T) {
	load := QueueLoad{Queue: "q", Cores: 100, StartWithin: 4 * time.Second, Claims: []WorkClaim{{Organisation: "a", Weight: 1, Work: 440, InTime: 440}}}
	if r, refuse := Admit(load, nil); refuse {
		t.Errorf("refused %v at 1.1 times the work that is done in time", r.Organisations)
	}
	if _, refuse := Admit(load, map[string]bool{"a": true}); !refuse {
		t.Error("accepted again at 1.1 times the work that is done in time")
	}
	load.Claims[0].Work = 4000
	if r, _ := Admit(load, nil); r.Drain != load.StartWithin {
		t.Errorf("return after %v, when all that waits has started or lost its value after %v", r.Drain, load.StartWithin)
	}
	load.Claims[0].Work = 350
	if r, refuse := Admit(load, map[string]bool{"a": true}); refuse {
		t.Errorf("%v is still refused at 0.875 of the work that is done in time", r.Organisations)
	}
	// 400 core-seconds take 4 s; VMs that arrive after 1 s add another 600.
	load.Claims[0].Work, load.GainableCores, load.MoveTime = 900, 200, time.Second
	if r, refuse := Admit(load, nil); refuse {
		t.Errorf("refused %v although the VMs that the pool can get do the work in time", r.Organisations)
	}
}

// Guards against jobs that are refused for the load of others: if only one organisation had
// work in the pool, the others, which had none, were refused with it.
func TestOverloadOfOneRefusesNoOrganisationWithoutWork(t *testing.T) {
	o := newOverload(t, false)
	for n := range 400 {
		o.submit(n+1, "large")
	}
	o.tick()
	loads := o.core.QueueLoads(FreeVMs{}, 0, o.now)
	if r, refuse := Admit(loads[0], nil); !refuse || r.All || !slices.Equal(r.Organisations, []string{"large"}) {
		t.Errorf("refusal %+v, want that of %q alone", r, "large")
	}
	for n, name := range []string{"b", "c"} {
		for k := range 400 {
			o.submit(1000*(n+1)+k, name)
		}
	}
	o.tick()
	if r, _ := Admit(o.core.QueueLoads(FreeVMs{}, 0, o.now)[0], nil); !r.All {
		t.Errorf("refusal %+v, want that of all organisations", r)
	}
}

// Guards against jobs that are refused for the work of an organisation at its cap, which leaves
// most of the pool to the others.
func TestWorkBeyondCapTakesNoShareOfOthers(t *testing.T) {
	load := QueueLoad{
		Cores: 320, StartWithin: 4 * time.Second, StartInTime: time.Second,
		Claims: []WorkClaim{
			{Organisation: "capped", Weight: 1, Work: 10000, InTime: 10000, CapCores: 10},
			{Organisation: "other", Weight: 1, Work: 1500, InTime: 400},
		},
	}
	if r, _ := Admit(load, nil); slices.Contains(r.Organisations, "other") {
		t.Errorf("refusal %+v, although the capped organisation leaves 310 of 320 cores", r)
	}
}
