package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	work "dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/scheduler/capacity"
	"dotterelhead.example/dotterelhead/scheduler/execution"
)

const (
	jobTick     = 10 * time.Millisecond
	jobDuration = 48 * time.Second
	// The queues burst in turn, for jobBurstTime each. jobBurstRatio and
	// jobIdleRatio are the demand in and between bursts relative to the mean.
	jobBurstTime  = 4 * time.Second
	jobBurstRatio = 3.85
	jobIdleRatio  = 0.05
	// jobTailShare is the share of steps whose items run jobTailFactor times as
	// long.
	jobTailShare  = 0.03
	jobTailFactor = 7
	// The objective of a job is the time in which it should finish: jobLatencyFactor
	// times the run time of its chain of steps, plus jobTargetLatency. Both are
	// also the LatencyFactor and TargetLatency of the queues.
	jobLatencyFactor     = 1.6
	jobTargetLatency     = 600 * time.Millisecond
	jobMoveTime          = 1500 * time.Millisecond
	jobRebalanceInterval = 150 * time.Millisecond
	jobSparePool         = "spare"
)

// jobQueue is one queue of a deployment as its operators describe it.
type jobQueue struct {
	vms           int
	jobsPerSecond float64
	// steps is the mean number of steps of a job, width that of items in a step.
	steps, width float64
	runTime      time.Duration
	milliCPU     float64
	// estimateSpread is the standard deviation of the logarithm of a declared
	// run time.
	estimateSpread float64
}

type jobDeployment struct {
	cores  int64
	spare  int
	queues []jobQueue
}

var jobDeployments = map[string]jobDeployment{
	"etikettwerk": {cores: 16, spare: 8, queues: []jobQueue{
		{9, 9.8, 1.6, 6, 540 * time.Millisecond, 880, 0.5}, {9, 1.15, 2, 8, 1400 * time.Millisecond, 1900, 0.9},
		{11, 12.2, 1.6, 6, 540 * time.Millisecond, 880, 0.5}, {12, 1.4, 2, 8, 1400 * time.Millisecond, 1900, 0.9},
	}},
	"mas-trunk": {cores: 32, spare: 8, queues: []jobQueue{
		{9, 4.8, 1.6, 6, 850 * time.Millisecond, 2300, 0.2}, {9, 0.88, 2, 8, 1400 * time.Millisecond, 5000, 0.5},
		{11, 6, 1.6, 6, 850 * time.Millisecond, 2300, 0.2}, {12, 1.07, 2, 8, 1400 * time.Millisecond, 5000, 0.5},
	}},
}

// jobPolicy selects how a run of the model schedules jobs. With rebalance, VMs move
// between the pools of the services and the spare pool according to demand.
type jobPolicy struct {
	firstComeFirstServed, rebalance bool
	// clairvoyant runs know the true run times and keep all VMs in one pool.
	clairvoyant bool
}

// modelJob is a job with its true run times and its objective, which the
// scheduler doesn't know.
type modelJob struct {
	*work.Job
	arrives   time.Duration
	runTimes  [][]time.Duration
	objective time.Duration
}

func logNormal(r *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*r.NormFloat64()-spread*spread/2)
}

// jobWorkload generates the random jobs of a run.
func jobWorkload(d jobDeployment, seed uint64, load float64) []modelJob {
	r := rand.New(rand.NewPCG(seed, 1))
	var jobs []modelJob
	for at := time.Duration(0); at < jobDuration; at += jobTick {
		turn := int(at/jobBurstTime) % len(d.queues)
		for n, q := range d.queues {
			rate := q.jobsPerSecond * load * jobIdleRatio
			if n == turn {
				rate = q.jobsPerSecond * load * jobBurstRatio
			}
			if r.Float64() < rate*jobTick.Seconds() {
				jobs = append(jobs, drawJob(r, q, n, at, len(jobs)))
			}
		}
	}
	return jobs
}

func drawJob(r *rand.Rand, q jobQueue, queue int, at time.Duration, number int) modelJob {
	m := modelJob{Job: &work.Job{ID: fmt.Sprintf("%016x", number), Queue: queueName(queue), Service: queueName(queue)}, arrives: at}
	var chain time.Duration
	for n := range max(1, int(math.Round(logNormal(r, q.steps, 0.4)))) {
		step := work.Step{
			Count: max(1, int(math.Round(logNormal(r, q.width, 0.6)))),
			Needs: work.Resources{MilliCPU: int64(logNormal(r, q.milliCPU, 0.45)), MemoryMB: 100},
		}
		mean := logNormal(r, float64(q.runTime), 0.5)
		if r.Float64() < jobTailShare {
			mean *= jobTailFactor
		}
		step.Estimate = time.Duration(logNormal(r, mean, q.estimateSpread))
		if n > 0 {
			step.After = []int{n - 1}
		}
		var times []time.Duration
		for range step.Count {
			times = append(times, time.Duration(logNormal(r, mean, 0.15)))
		}
		chain += slices.Max(times)
		m.runTimes = append(m.runTimes, times)
		m.Steps = append(m.Steps, step)
	}
	m.objective = time.Duration(jobLatencyFactor*float64(chain)) + jobTargetLatency
	return m
}

func queueName(n int) string { return fmt.Sprintf("queue-%d", n) }

// jobResult holds the results of a run. withinObjective and
// withinTripleObjective are shares of the jobs.
type jobResult struct {
	withinObjective, withinTripleObjective, vmSeconds float64
	moves                                             int
	objectiveRatios                                   []float64
}

type modelVM struct {
	capacity.ManagedVM
	arrivesAt   time.Duration
	incarnation int64
}

// jobModel simulates workers in virtual time and runs the daemon's scheduling
// code.
type jobModel struct {
	d          jobDeployment
	policy     jobPolicy
	core       *execution.Core
	rebalancer *capacity.Rebalancer
	now        time.Duration
	vms        []*modelVM
	jobs       map[string]modelJob
	runEnds    map[string]map[execution.Run]time.Duration
	endedRuns  map[string]int64
}

// runJobs runs the jobs under a policy. The clock of the model starts at 1 s;
// jobs arrive relative to that.
func runJobs(d jobDeployment, jobs []modelJob, policy jobPolicy) jobResult {
	m := &jobModel{d: d, policy: policy, now: time.Second, jobs: map[string]modelJob{}, runEnds: map[string]map[execution.Run]time.Duration{}, endedRuns: map[string]int64{}}
	m.core = execution.New(execution.Options{
		LeaseDuration: time.Hour, StopTimeout: time.Second, FirstComeFirstServed: policy.firstComeFirstServed, TrustDeclared: policy.clairvoyant,
	}, 0)
	m.rebalancer = capacity.NewRebalancer(capacity.RebalancingOptions{MoveTime: jobMoveTime})
	m.setUp()
	var result jobResult
	finished := map[string]time.Duration{}
	next := 0
	for m.now = time.Second; m.now < time.Second+2*jobDuration && len(finished) < len(jobs); m.now += jobTick {
		for next < len(jobs) && jobs[next].arrives+time.Second <= m.now {
			m.addJob(jobs[next])
			next++
		}
		m.finishMoves()
		m.endRuns()
		for _, w := range m.core.TakeWrites(len(jobs)) {
			if w.Progress.Phase.Final() {
				finished[w.JobID] = m.now
			}
			m.core.MarkCommitted([]execution.ProgressWrite{w})
		}
		if policy.rebalance && m.now%jobRebalanceInterval == 0 {
			result.moves += m.rebalance()
		}
		for _, s := range m.core.Round(time.Unix(0, int64(m.now)), m.now).Starts {
			m.core.StartDone(s, execution.Started, m.now)
			m.runEnds[s.Worker.ID][s.Run] = m.now + m.runTime(s.Item)
		}
		for _, vm := range m.vms {
			if vm.Pool != jobSparePool && !vm.MovingIn {
				result.vmSeconds += jobTick.Seconds()
			}
		}
	}
	result.score(jobs, finished)
	return result
}

func (r *jobResult) score(jobs []modelJob, finished map[string]time.Duration) {
	for _, j := range jobs {
		at, ok := finished[j.ID]
		took := at - j.arrives - time.Second
		if !ok {
			r.objectiveRatios = append(r.objectiveRatios, math.Inf(1))
			continue
		}
		r.objectiveRatios = append(r.objectiveRatios, took.Seconds()/j.objective.Seconds())
		if took <= j.objective {
			r.withinObjective++
		}
		if took <= 3*j.objective {
			r.withinTripleObjective++
		}
	}
	r.withinObjective /= float64(len(jobs))
	r.withinTripleObjective /= float64(len(jobs))
}

func (m *jobModel) setUp() {
	manifest := &work.Manifest{Version: 1, Services: []work.Service{{Name: jobSparePool, Spare: true}}}
	for n, q := range m.d.queues {
		service := queueName(n)
		if m.policy.clairvoyant {
			service = queueName(0)
		}
		manifest.Queues = append(manifest.Queues, work.Queue{
			Name: queueName(n), Service: service, Attempts: 2, LatencyFactor: jobLatencyFactor, TargetLatency: jobTargetLatency,
		})
		manifest.Services = append(manifest.Services, work.Service{Name: queueName(n)})
		for range q.vms {
			m.addVM(service)
		}
	}
	pool := jobSparePool
	if m.policy.clairvoyant {
		pool = queueName(0)
	}
	for range m.d.spare {
		m.addVM(pool)
	}
	m.core.SetManifest(manifest)
	m.finishMoves()
}

func (m *jobModel) addVM(pool string) {
	m.vms = append(m.vms, &modelVM{ManagedVM: capacity.ManagedVM{ID: fmt.Sprintf("vm-%03d", len(m.vms)), Pool: pool, MovingIn: true}})
}

// finishMoves completes due moves and starts workers on the VMs that have
// arrived in a service's pool.
func (m *jobModel) finishMoves() {
	for _, vm := range m.vms {
		if !vm.MovingIn || m.now < vm.arrivesAt {
			continue
		}
		vm.MovingIn = false
		if vm.Pool == jobSparePool {
			continue
		}
		vm.incarnation++
		m.runEnds[vm.ID] = map[execution.Run]time.Duration{}
		m.endedRuns[vm.ID] = 0
		m.core.WorkerSeen(execution.Worker{
			ID: vm.ID, Service: vm.Pool, StartMillis: vm.incarnation, Capacity: work.Resources{MilliCPU: m.d.cores * 1000, MemoryMB: 64 << 10},
		}, m.now)
		if ids, changed := m.core.HoldersToRecord(); changed {
			m.core.HoldersRecorded(ids)
		}
		m.report(vm, nil)
	}
}

func (m *jobModel) addJob(j modelJob) {
	m.jobs[j.ID] = j
	if m.policy.clairvoyant {
		for n := range j.Steps {
			j.Steps[n].Estimate = slices.Max(j.runTimes[n])
		}
	}
	m.core.AddJob(j.Job, work.Progress{}, false, time.Unix(0, int64(m.now)), m.now)
}

func (m *jobModel) runTime(i work.ItemID) time.Duration {
	return m.jobs[i.Job].runTimes[i.Step][i.Index]
}

// endRuns reports the runs that have ended, and once a second those still
// running.
func (m *jobModel) endRuns() {
	for _, vm := range m.vms {
		var ended []execution.EndedItem
		for r, at := range m.runEnds[vm.ID] {
			if at <= m.now {
				ended = append(ended, execution.EndedItem{Run: r, Kind: execution.EndDone})
			}
		}
		slices.SortFunc(ended, func(a, b execution.EndedItem) int { return a.Item.Compare(b.Item) })
		for n := range ended {
			m.endedRuns[vm.ID]++
			ended[n].Number = m.endedRuns[vm.ID]
			delete(m.runEnds[vm.ID], ended[n].Run)
		}
		if len(ended) > 0 || len(m.runEnds[vm.ID]) > 0 && m.now%time.Second == 0 {
			m.report(vm, ended)
		}
	}
}

func (m *jobModel) report(vm *modelVM, ended []execution.EndedItem) {
	h, ok := m.core.HoldFor(vm.ID, m.now)
	if !ok {
		return
	}
	report := execution.Report{Clock: m.now, StartMillis: vm.incarnation, Ended: ended}
	for r, at := range m.runEnds[vm.ID] {
		// The progress is the share of the time from the start of the clock, not
		// of the run, to the end of the run.
		report.Running = append(report.Running, execution.RunningItem{Run: r, Percent: int(100 * m.now / max(at, 1))})
	}
	m.core.HoldDone(h, report, m.now, m.now)
}

// rebalance drains and moves VMs as the rebalancer plans, and returns the
// number of moves.
func (m *jobModel) rebalance() int {
	vms := make([]capacity.ManagedVM, 0, len(m.vms))
	byID := map[string]*modelVM{}
	for _, vm := range m.vms {
		vm.WorkItems = m.core.RunCount(vm.ID)
		vms = append(vms, vm.ManagedVM)
		byID[vm.ID] = vm
	}
	moves, drain := m.rebalancer.Plan(m.now, m.core.Demands(m.now), vms)
	for _, vm := range m.vms {
		vm.Draining = slices.Contains(drain, vm.ID)
		m.core.SetClosed(vm.ID, vm.Draining)
	}
	for _, mv := range moves {
		vm := byID[mv.VM]
		m.core.Terminated(vm.ID, vm.incarnation, m.now)
		vm.Pool, vm.MovingIn, vm.arrivesAt = mv.To, true, m.now+jobMoveTime
	}
	return len(moves)
}

// measureJobs compares the daemon's policy with first come first served and
// with a clairvoyant policy, averaged over several seeds.
func measureJobs(deployment string, seed uint64, seeds int, load float64) ([]Row, error) {
	d, ok := jobDeployments[deployment]
	if !ok {
		return nil, errors.Errorf("unknown deployment %q", deployment)
	}
	var withRebalancing, withoutRebalancing, fcfs, best jobResult
	for n := range seeds {
		for policy, into := range map[jobPolicy]*jobResult{
			{rebalance: true}: &withRebalancing, {}: &withoutRebalancing, {firstComeFirstServed: true}: &fcfs, {clairvoyant: true}: &best,
		} {
			into.merge(runJobs(d, jobWorkload(d, seed+uint64(n), load), policy), seeds)
		}
	}
	for _, r := range []*jobResult{&withRebalancing, &withoutRebalancing, &fcfs, &best} {
		slices.Sort(r.objectiveRatios)
	}
	rows := []Row{
		row("jobs within their objective", "share", withRebalancing.withinObjective).baseline(fcfs.withinObjective).bound(best.withinObjective),
		row("jobs within three times their objective", "share", withRebalancing.withinTripleObjective).baseline(fcfs.withinTripleObjective).bound(best.withinTripleObjective),
		row("p50 of time to objective", "ratio", quantile(withRebalancing.objectiveRatios, 0.5)).baseline(quantile(fcfs.objectiveRatios, 0.5)).bound(quantile(best.objectiveRatios, 0.5)),
		row("p99 of time to objective", "ratio", quantile(withRebalancing.objectiveRatios, 0.99)).baseline(quantile(fcfs.objectiveRatios, 0.99)).bound(quantile(best.objectiveRatios, 0.99)),
		row("ranking without lending, within their objective", "share", withoutRebalancing.withinObjective).baseline(fcfs.withinObjective).bound(best.withinObjective),
		row("VM seconds in pools", "VM s", withRebalancing.vmSeconds).baseline(fcfs.vmSeconds),
		row("moves", "moves", float64(withRebalancing.moves)/float64(seeds)),
	}
	return append(rows, measureRounds()...), nil
}

func (r *jobResult) merge(o jobResult, seeds int) {
	r.withinObjective += o.withinObjective / float64(seeds)
	r.withinTripleObjective += o.withinTripleObjective / float64(seeds)
	r.vmSeconds += o.vmSeconds / float64(seeds)
	r.moves += o.moves
	r.objectiveRatios = append(r.objectiveRatios, o.objectiveRatios...)
}

const (
	roundRepeats    = 15
	queuedPerWorker = 20 // items
	itemsPerJob     = 10
)

// measureRounds measures the real time of a scheduling round when all workers
// are full and items wait. The rows call a round a decision.
func measureRounds() []Row {
	var rows []Row
	sizes := []int{50, 200, 500, 1000, 2000}
	var first, last float64
	for _, n := range sizes {
		ms := roundTime(n)
		rows = append(rows, row(fmt.Sprintf("decision, %d workers and %d items waiting", n, n*queuedPerWorker), "ms", ms))
		if n == sizes[0] {
			first = ms
		}
		last = ms
	}
	growth := func(n int) float64 { return float64(n) * math.Log(float64(n)) }
	allowed := growth(sizes[len(sizes)-1]) / growth(sizes[0])
	return append(rows, row("growth of a decision over that of n log n", "ratio", last/first/allowed).atMost(1))
}

// roundTime returns the median time of a scheduling round in milliseconds.
func roundTime(workers int) float64 {
	core := execution.New(execution.Options{LeaseDuration: time.Hour, StopTimeout: time.Second}, 0)
	manifest := &work.Manifest{Version: 1}
	const pools = 17
	for n := range pools {
		manifest.Queues = append(manifest.Queues, work.Queue{Name: queueName(n), Service: queueName(n), Attempts: 2, LatencyFactor: jobLatencyFactor})
		manifest.Services = append(manifest.Services, work.Service{Name: queueName(n)})
	}
	core.SetManifest(manifest)
	now := time.Second
	for n := range workers {
		id := fmt.Sprintf("w%04d", n)
		core.WorkerSeen(execution.Worker{ID: id, Service: queueName(n % pools), StartMillis: 1, Capacity: work.Resources{MilliCPU: 8000, MemoryMB: 64 << 10}}, now)
		ids, _ := core.HoldersToRecord()
		core.HoldersRecorded(ids)
		h, _ := core.HoldFor(id, now)
		core.HoldDone(h, execution.Report{Clock: now, StartMillis: 1}, now, now)
	}
	// 8 items run on each worker, which has 8 cores; the others wait.
	jobs := workers * (queuedPerWorker + 8) / itemsPerJob
	for n := range jobs {
		core.AddJob(&work.Job{
			ID: fmt.Sprintf("%016x", n), Queue: queueName(n % pools), Service: queueName(n % pools),
			Steps: []work.Step{{Count: itemsPerJob, Needs: work.Resources{MilliCPU: 1000, MemoryMB: 10}, Estimate: time.Second}},
		}, work.Progress{}, false, time.Unix(0, 0), now)
	}
	var times []float64
	for range roundRepeats {
		now += jobTick
		started := time.Now()
		core.Round(time.Unix(0, int64(now)), now)
		times = append(times, float64(time.Since(started).Microseconds())/1000)
	}
	slices.Sort(times)
	return quantile(times, 0.5)
}

func jobsCommand() *cobra.Command {
	var deployment, output string
	var seed uint64
	seeds, load := 5, 1.5
	c := &cobra.Command{
		Use:   "jobs",
		Short: "Run the decisions about jobs in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			rows, err := measureJobs(deployment, seed, seeds, load)
			if err != nil {
				return err
			}
			if output == "json" {
				return writeJSON(c.OutOrStdout(), rows)
			}
			return writeText(c.OutOrStdout(), rows)
		},
	}
	c.Flags().StringVar(&deployment, "deployment", "etikettwerk", "deployment: etikettwerk or mas-trunk")
	c.Flags().Uint64Var(&seed, "seed", 1, "first seed of the workload")
	c.Flags().IntVar(&seeds, "seeds", seeds, "number of seeds")
	c.Flags().Float64Var(&load, "load", load, "demand in multiples of the deployment's mean")
	c.Flags().StringVar(&output, "output", "text", "text or json")
	return c
}
