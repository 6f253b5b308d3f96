package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// scenario holds the options of the subcommand decisions.
type scenario struct {
	Deployment string
	Seed       uint64
	Quick      bool
	Plots      string
	Only       []string
}

func (s scenario) validate() error {
	if s.Deployment != "etikettwerk" && s.Deployment != "mas-trunk" {
		return errors.Errorf("unknown deployment %q: use etikettwerk or mas-trunk", s.Deployment)
	}
	for _, part := range s.Only {
		if !slices.Contains(partNames(), part) {
			return errors.Errorf("unknown part %q", part)
		}
	}
	return nil
}

func (s scenario) selected(part string) bool {
	return len(s.Only) == 0 || slices.Contains(s.Only, part)
}

// duration is the virtual time that is simulated.
func (s scenario) duration() time.Duration {
	if s.Quick {
		return 300 * time.Second
	}
	return 1200 * time.Second
}

// zoneLatency is the time that a grant and a release between availability zones
// add to each job.
func (s scenario) zoneLatency() time.Duration {
	if s.Deployment == "mas-trunk" {
		return 1500 * time.Microsecond
	}
	return 500 * time.Microsecond
}

// Sizes of the fleets of both deployments (docs/design.md, 1.3).
const (
	services       = 5
	slotsPerWorker = 8
	workersPerRack = 4
	spareWorkers   = 8

	// burstLoad is the load offered in a burst relative to the capacity of the
	// pool. It has to exceed 1. As a burst has five times the mean load, the
	// mean load is 0.28.
	burstLoad  = 1.4
	burstRatio = 5.0
	// idleRatio is the demand between bursts relative to the mean.
	idleRatio        = 0.05
	meanBurst        = 30 * time.Second
	longShare        = 0.03
	alwaysFailsShare = 0.01
	// hiddenShare is the share of the long jobs that arrive under an operation
	// whose jobs are otherwise short, so that an estimate by operation can't
	// identify them.
	hiddenShare  = 0.3
	startTimeout = 60 * time.Second
)

// poolSizes are the workers of the five service pools, 42 in all.
var poolSizes = [services]int{9, 9, 8, 8, 8}

// operation is one operation of a service.
type operation struct {
	name   string
	median time.Duration
	weight float64
}

// operations are the operations of each service, with the median run time of
// their short jobs.
var operations = []operation{
	{"get", 15 * time.Millisecond, 0.4},
	{"list", 30 * time.Millisecond, 0.3},
	{"update", 45 * time.Millisecond, 0.2},
	{"render", 80 * time.Millisecond, 0.1},
}

// reportOperation is the operation whose jobs are all long.
const reportOperation = "report"

// job is one request of the workload with its true run time. It is unrelated to
// the jobs of package job, which the subcommand jobs simulates.
type job struct {
	id        string
	service   int
	operation string
	arrive    time.Duration
	run       time.Duration
	declared  time.Duration
	long      bool
	// alwaysFails marks a job that fails on every worker.
	alwaysFails bool
	// fingerprint is the same for all repeats of a job.
	fingerprint string
	// cancel is when the caller gives up if the job still waits; 0 for never.
	cancel time.Duration
	// startIn is the time from the arrival in which the job has to start.
	startIn time.Duration
}

// burst is a time in which one service has five times its mean demand.
type burst struct{ start, end time.Duration }

// bursts returns the bursts of all services, which burst in turn.
func bursts(random *rand.Rand, until time.Duration) [services][]burst {
	var all [services][]burst
	at := time.Duration(0)
	for i := 0; at < until; i++ {
		length := time.Duration(float64(meanBurst) * (0.6 + 0.8*random.Float64()))
		all[i%services] = append(all[i%services], burst{at, min(at+length, until)})
		at += length
	}
	return all
}

// workload is the input of a simulation: the jobs, bursts and failures.
type workload struct {
	until  time.Duration
	jobs   []job
	bursts [services][]burst
	// rackLostAt is when one rack is lost for the rest of the run.
	rackLostAt time.Duration
	lostRack   string
}

func newWorkload(s scenario) workload { return newWorkloadOf(s, s.duration()) }

func newWorkloadOf(s scenario, until time.Duration) workload {
	random := rand.New(rand.NewPCG(s.Seed, 0x646f74746572656c))
	w := workload{until: until}
	w.bursts = bursts(random, w.until)
	for service := range services {
		w.jobs = append(w.jobs, serviceJobs(random, service, w.until, w.bursts[service])...)
	}
	slices.SortStableFunc(w.jobs, func(a, b job) int { return int(a.arrive - b.arrive) })
	w.addCancellations(random)
	w.rackLostAt = w.until / 2
	// 42 is the sum of poolSizes.
	w.lostRack = rackName(random.IntN(42 / workersPerRack))
	return w
}

// meanRun returns the mean run time of a job in seconds; it is the same for all
// services.
func meanRun() float64 {
	short := 0.0
	for _, o := range operations {
		// The mean of a log-normal distribution with sigma 0.5.
		short += o.weight * o.median.Seconds() * math.Exp(0.125)
	}
	// Long jobs run 50 to 200 times as long as short ones, 125 times on average.
	return short * (1 - longShare + longShare*125)
}

func serviceJobs(random *rand.Rand, service int, until time.Duration, bursts []burst) []job {
	slots := float64(poolSizes[service] * slotsPerWorker)
	burstRate := burstLoad * slots / meanRun()
	idleRate := burstRate / burstRatio * idleRatio
	var jobs []job
	// Arrivals are a Poisson process at the rate of a burst, thinned between
	// bursts.
	next := 0
	for at := 0.0; ; {
		at += random.ExpFloat64() / burstRate
		arrive := time.Duration(at * float64(time.Second))
		if arrive >= until {
			return jobs
		}
		for next < len(bursts) && bursts[next].end <= arrive {
			next++
		}
		inBurst := next < len(bursts) && bursts[next].start <= arrive
		if !inBurst && random.Float64() > idleRate/burstRate {
			continue
		}
		jobs = append(jobs, newJob(random, service, len(jobs), arrive))
	}
}

func newJob(random *rand.Rand, service, n int, arrive time.Duration) job {
	o := pickOperation(random)
	j := job{
		id: fmt.Sprintf("s%d-%d", service, n), service: service, operation: o.name, arrive: arrive, startIn: startTimeout,
		alwaysFails: random.Float64() < alwaysFailsShare,
	}
	j.fingerprint = j.id
	run := float64(o.median) * math.Exp(0.5*random.NormFloat64())
	if random.Float64() < longShare {
		j.long = true
		run *= 50 + 150*random.Float64()
		if random.Float64() >= hiddenShare {
			j.operation = reportOperation
		}
	}
	j.run = time.Duration(run)
	// Declared run times are wrong by a factor of up to ten either way.
	j.declared = time.Duration(run * math.Pow(10, 2*random.Float64()-1))
	return j
}

func pickOperation(random *rand.Rand) operation {
	x := random.Float64()
	for _, o := range operations {
		if x -= o.weight; x < 0 {
			return o
		}
	}
	return operations[len(operations)-1]
}

// addCancellations makes a fifth of the callers whose jobs arrived within the
// last 10 s give up at the same time, once a minute.
func (w *workload) addCancellations(random *rand.Rand) {
	for at := time.Minute; at < w.until; at += time.Minute {
		for i := range w.jobs {
			if a := w.jobs[i].arrive; a <= at && a > at-10*time.Second && random.Float64() < 0.2 {
				w.jobs[i].cancel = at
			}
		}
	}
}

func rackName(rack int) string { return fmt.Sprintf("rack-%02d", rack) }
