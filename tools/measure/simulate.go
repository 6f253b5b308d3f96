package main

import (
	"container/heap"
	"fmt"
	"slices"
	"strconv"
	"time"

	"dotterelhead.example/dotterelhead/scheduler/dispatching"
	"dotterelhead.example/dotterelhead/scheduler/retry"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// dispatcher has the methods of dispatching.Pool that the daemon uses.
type dispatcher interface {
	SetWorkers(now time.Time, workers []dispatching.Worker) []dispatching.Decision
	Push(now time.Time, r dispatching.Request) []dispatching.Decision
	Cancel(now time.Time, requestID string) bool
	Release(now time.Time, grant string, result dispatching.Result, ran time.Duration) []dispatching.Decision
	Tick(now time.Time) []dispatching.Decision
	Demand(now time.Time) dispatching.Demand
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// vm is a worker of the simulated fleet.
type vm struct {
	worker dispatching.Worker
	home   int
	pool   int
	lost   bool
	// moving is set from the start of a move to its end.
	moving  bool
	movedAt time.Duration
	// movingTo is the pool that a move takes the VM to.
	movingTo int
	// fails reports whether jobs that the VM starts at the given time fail;
	// nil means that they don't.
	fails func(at time.Duration) bool
	// running counts the grants on the VM.
	running int
	starts  []time.Duration
	// firstFailure is when the VM first failed a job because of fails, or 0.
	firstFailure time.Duration
}

// outcome is the result of one job.
type outcome struct {
	job       *job
	wait      time.Duration
	done      bool
	refused   dispatching.Reason
	cancelled bool
	failed    bool
	attempts  int
}

// slowdown is the time in the system relative to the run time.
func (o outcome) slowdown() float64 {
	return (o.wait + o.job.run).Seconds() / o.job.run.Seconds()
}

// attempt is one attempt to run the job with the given index; avoid lists the
// workers on which earlier attempts have failed.
type attempt struct {
	index int
	avoid []string
}

// simulation runs jobs through dispatchers in virtual time.
type simulation struct {
	work     workload
	latency  time.Duration
	pools    [services]dispatcher
	vms      []*vm
	byID     map[string]*vm
	now      time.Duration
	seq      int
	events   events
	outcomes []outcome
	waiting  map[string]attempt
	budget   *retry.Budget
	// onSecond runs each second of virtual time.
	onSecond func()
	// afterEvent runs after each event other than an arrival.
	afterEvent func()
	losesRack  bool
}

func newSimulation(s scenario, w workload, newPool func(service int) dispatcher) *simulation {
	return newSimulationWithSizes(s, w, newPool, poolSizes)
}

// newSimulationWithSizes returns a simulation whose service pools have the
// given sizes.
func newSimulationWithSizes(s scenario, w workload, newPool func(service int) dispatcher, sizes [services]int) *simulation {
	sim := &simulation{
		work: w, latency: s.zoneLatency(), byID: map[string]*vm{}, waiting: map[string]attempt{},
		budget: retry.NewBudget(retry.Options{}), outcomes: make([]outcome, len(w.jobs)), losesRack: true,
	}
	for service := range services {
		sim.pools[service] = newPool(service)
	}
	// Workers are assigned to the pools in turn, so that a rack holds workers
	// of several pools.
	left, total := sizes, 0
	for _, n := range sizes {
		total += n
	}
	for i, service := 0, 0; i < total; service = (service + 1) % services {
		if left[service] == 0 {
			continue
		}
		left[service]--
		sim.addVM(fmt.Sprintf("vm-%02d", i), i, service)
		i++
	}
	return sim
}

func (s *simulation) addVM(id string, index, pool int) {
	v := &vm{home: pool, pool: pool, movedAt: -time.Hour, worker: dispatching.Worker{
		ID: id, Address: id, AvailabilityZone: fmt.Sprintf("zone-%d", index/workersPerRack%3),
		Rack: rackName(index / workersPerRack), Slots: slotsPerWorker, Generation: 1,
	}}
	s.vms = append(s.vms, v)
	s.byID[id] = v
}

func (s *simulation) time() time.Time { return epoch.Add(s.now) }

func (s *simulation) at(at time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: at, seq: s.seq, run: run})
}

// setWorkers tells a pool which VMs serve it now.
func (s *simulation) setWorkers(pool int) {
	if pool == sparePool {
		return
	}
	var workers []dispatching.Worker
	for _, v := range s.vms {
		if v.pool == pool && !v.lost && !v.moving {
			workers = append(workers, v.worker)
		}
	}
	s.apply(pool, s.pools[pool].SetWorkers(s.time(), workers))
}

func (s *simulation) run() []outcome {
	for pool := range services {
		s.setWorkers(pool)
	}
	if s.losesRack {
		s.at(s.work.rackLostAt, s.loseRack)
	}
	s.at(0, s.everySecond)
	next := 0
	for next < len(s.work.jobs) || len(s.events) > 0 {
		if next < len(s.work.jobs) && (len(s.events) == 0 || s.work.jobs[next].arrive <= s.events[0].at) {
			s.now = s.work.jobs[next].arrive
			s.arrive(next)
			next++
			continue
		}
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
		if s.afterEvent != nil {
			s.afterEvent()
		}
	}
	return s.outcomes
}

func (s *simulation) everySecond() {
	for pool := range services {
		s.apply(pool, s.pools[pool].Tick(s.time()))
	}
	if s.onSecond != nil {
		s.onSecond()
	}
	if s.now < s.work.until || len(s.waiting) > 0 {
		s.at(s.now+time.Second, s.everySecond)
	}
}

func (s *simulation) loseRack() {
	for _, v := range s.vms {
		if v.worker.Rack == s.work.lostRack {
			v.lost = true
		}
	}
	for pool := range services {
		s.setWorkers(pool)
	}
}

func (s *simulation) arrive(index int) {
	j := &s.work.jobs[index]
	s.outcomes[index].job = j
	s.budget.Request(s.time())
	if j.cancel > 0 {
		s.at(j.cancel, func() { s.cancel(index) })
	}
	s.push(index, nil)
}

func (s *simulation) push(index int, avoid []string) {
	j := &s.work.jobs[index]
	s.waiting[j.id] = attempt{index: index, avoid: avoid}
	s.apply(j.service, s.pools[j.service].Push(s.time(), dispatching.Request{
		ID: j.id, Service: "service-" + strconv.Itoa(j.service), Operation: j.operation,
		Fingerprint: j.fingerprint, DeclaredRunTime: j.declared, StartBy: epoch.Add(j.arrive + j.startIn), AvoidWorkers: avoid,
	}))
}

func (s *simulation) cancel(index int) {
	j := &s.work.jobs[index]
	if _, ok := s.waiting[j.id]; ok && s.pools[j.service].Cancel(s.time(), j.id) {
		delete(s.waiting, j.id)
		s.outcomes[index].cancelled = true
	}
}

func (s *simulation) apply(pool int, decisions []dispatching.Decision) {
	for _, d := range decisions {
		a, ok := s.waiting[d.RequestID]
		if !ok {
			panic("decision for a request that is not waiting: " + d.RequestID)
		}
		delete(s.waiting, d.RequestID)
		o := &s.outcomes[a.index]
		o.wait = s.now - o.job.arrive
		if d.Reason != dispatching.ReasonNone {
			o.refused = d.Reason
			continue
		}
		s.start(pool, a, d)
	}
}

func (s *simulation) start(pool int, a attempt, d dispatching.Decision) {
	o := &s.outcomes[a.index]
	o.attempts++
	v := s.byID[d.Worker.ID]
	v.running++
	if v.running > slotsPerWorker {
		panic("more grants than slots on " + d.Worker.ID)
	}
	v.starts = append(v.starts, s.now)
	runs, fails := o.job.run, false
	switch {
	case v.fails != nil && v.fails(s.now):
		runs, fails = 5*time.Millisecond, true
		if v.firstFailure == 0 {
			v.firstFailure = s.now + runs
		}
	case o.job.alwaysFails:
		runs, fails = min(o.job.run, 20*time.Millisecond), true
	}
	started := s.now
	s.at(s.now+runs+s.latency, func() { s.finish(pool, a, d, started, fails) })
}

func (s *simulation) finish(pool int, a attempt, d dispatching.Decision, started time.Duration, fails bool) {
	v := s.byID[d.Worker.ID]
	v.running--
	result := dispatching.ResultOK
	if fails || v.lost {
		result = dispatching.ResultFailed
	}
	s.apply(pool, s.pools[pool].Release(s.time(), d.GrantID, result, s.now-started))
	o := &s.outcomes[a.index]
	if result == dispatching.ResultOK {
		o.done = true
		return
	}
	if o.attempts >= 3 || !s.budget.Allow(s.time()) {
		o.failed = true
		return
	}
	s.push(a.index, append(slices.Clone(a.avoid), d.Worker.ID))
}
