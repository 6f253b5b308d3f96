package processtest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/standin/jobplatform"
)

var (
	soakSeeds = flag.Int("soak.seeds", 1, "number of seeds of TestJobSoak")
	soakFirst = flag.Uint64("soak.first", 1, "first seed of TestJobSoak")
	soakLogs  = flag.String("soak.logs", "", "directory that keeps the logs of entry VMs; by default they are removed")
)

const (
	// soakFaultCount is the number of faults injected per seed.
	soakFaultCount = 14
	// soakCompletionTimeout is how long checkCompleted waits for each job after the
	// last fault.
	soakCompletionTimeout = 40 * time.Second
)

// TestJobSoak runs entry VMs as processes under sequences of faults chosen by a
// seeded random generator: processes are killed, paused, stopped and restarted; the
// store is down, loses answers, compacts its history, or leaves its pending watches
// (long polls) without an answer;
// connections to the store, to workers and from requesters are delayed, reset, or
// lose the data of one direction; orders are carried out late, workers restart, and
// their capacity shrinks and grows. Some jobs are speculative, and some crash the
// workers that start them.
// Meanwhile, new manifests and a maintenance wave are published. Jobs are submitted by
// several organisations, one of which has keys that are withdrawn. The test guards
// against accepted jobs that are lost, jobs that crash workers without an end, withdrawn
// keys that are served later than a manifest may take, and violations recorded by the
// workers. A seed fixes the choice of the faults, but not the timing of the processes
// nor the calls that the platform lets fail. To run fifty seeds by hand:
//
//	go test ./processtest -run JobSoak -soak.seeds 50 -timeout 30m
func TestJobSoak(t *testing.T) {
	for n := range *soakSeeds {
		seed := *soakFirst + uint64(n)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { soak(t, seed) })
	}
}

func soak(t *testing.T, seed uint64) {
	c := startJobCluster(t, 3, map[string]int{"artwork": 6, "spare": 2}, "spare")
	random := rand.New(rand.NewPCG(seed, 7))
	vms := append(c.platform.Machines("artwork"), c.platform.Machines("spare")...)
	if err := c.platform.Publish("op/wave/1", map[string]any{"wave": 1, "machines": vms, "durationS": 20, "cap": 2}); err != nil {
		t.Fatal(err)
	}
	var jobs, deadly []*job.Job
	version := int64(2)
	c.publishOrganisations(version)
	checker := c.startKeyChecker(seed)
	// The choice of the withdrawals leaves that of the faults as it was in earlier versions of
	// this test.
	withdrawals := rand.New(rand.NewPCG(seed, 8))
	for range soakFaultCount {
		// injectFault has the cases 0 to 14; 15 stands for a job that crashes workers.
		fault := random.IntN(16)
		t.Logf("seed %d: fault %d", seed, fault)
		if withdrawals.IntN(2) == 0 {
			version++
			checker.rotate(version)
		}
		if fault == 15 {
			deadly = append(deadly, c.submitJobs(1, "deadly", 0)...)
		} else {
			c.injectFault(random, fault, &version)
		}
		jobs = append(jobs, c.submitJobs(2+random.IntN(4), "work=120ms cpu=2000", 10*time.Millisecond)...)
		jobs = append(jobs, c.submitJobs(1, "work=600ms cpu=2000 speculative", 0)...)
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
	c.platform.SetFaults(jobplatform.Faults{})
	for _, e := range c.entries {
		e.signal(syscall.SIGCONT)
	}
	c.clearRelayFaults()
	checker.finish()
	c.checkFailed(deadly, soakCompletionTimeout)
	c.checkCompleted(jobs, soakCompletionTimeout)
	for id, n := range c.platform.UpkeepCounts() {
		if n > 1 {
			t.Errorf("VM %s had its upkeep %d times in one wave, want at most once", id, n)
		}
	}
}

// injectFault injects one fault. Processes that were stopped or killed are restarted
// at once; a pause lasts less than 3 s, a store outage less than 3 s, a relay fault up
// to 3 s. Lost answers, delayed writes and late orders last until the faults of the
// platform are set again, which the end of a store outage also does.
func (c *jobCluster) injectFault(random *rand.Rand, fault int, version *int64) {
	e := c.entries[random.IntN(len(c.entries))]
	switch fault {
	case 0:
		e.kill()
		c.start(e)
	case 1:
		for _, e := range c.entries {
			e.signal(syscall.SIGKILL)
		}
		for _, e := range c.entries {
			<-e.exited
			c.start(e)
		}
	case 2:
		e.signal(syscall.SIGSTOP)
		time.AfterFunc(time.Duration(300+random.IntN(2500))*time.Millisecond, func() { e.signal(syscall.SIGCONT) })
	case 3:
		e.signal(syscall.SIGTERM)
		<-e.exited
		c.start(e)
	case 4:
		c.platform.SetFaults(jobplatform.Faults{StoreDown: true})
		time.Sleep(time.Duration(200+random.IntN(2500)) * time.Millisecond)
		c.platform.SetFaults(jobplatform.Faults{})
	case 5:
		c.platform.SetFaults(jobplatform.Faults{LostResponseShare: 0.3, DelayedWriteShare: 0.4})
	case 6:
		c.platform.SetFaults(jobplatform.Faults{DelayedOrderShare: 0.06, OrderDelay: time.Duration(1+random.IntN(5)) * time.Second})
	case 7:
		vms := c.platform.Machines("artwork")
		if len(vms) > 0 {
			if err := c.platform.RestartWorker(vms[random.IntN(len(vms))]); err != nil {
				c.Logf("worker not restarted: %v", err)
			}
		}
	case 8:
		c.platform.CompactStore()
	case 9:
		c.platform.SilenceWatches()
	case 10:
		*version += int64(1 + random.IntN(3))
		c.publishManifest(*version)
		e.signal(syscall.SIGHUP)
	case 11:
		c.injectRelayFault(random, e.storeRelay)
	case 12:
		c.injectRelayFault(random, e.callerRelay)
	case 13:
		c.mu.Lock()
		r := c.workerRelays[random.IntN(len(c.workerRelays))]
		c.mu.Unlock()
		c.injectRelayFault(random, r)
	case 14:
		for _, vm := range c.platform.Machines("artwork") {
			if err := c.platform.SetCapacity(vm, int64(2000+random.IntN(14000))); err != nil {
				c.Logf("capacity not changed: %v", err)
			}
		}
	}
}

// injectRelayFault delays the connections of a relay, drops their data in one
// direction, or resets them. All but the reset last for up to 3 s, but a connection
// that lost data forwards nothing more in that direction.
func (c *jobCluster) injectRelayFault(random *rand.Rand, r *relay) {
	duration := time.Duration(200+random.IntN(2800)) * time.Millisecond
	delay := time.Duration(20+random.IntN(400)) * time.Millisecond
	switch random.IntN(4) {
	case 0:
		r.setFault(relayFault{delay: delay})
	case 1:
		r.setFault(relayFault{loseRequests: true})
	case 2:
		r.setFault(relayFault{loseAnswers: true})
	case 3:
		r.reset()
	}
	time.AfterFunc(duration, func() { r.setFault(relayFault{}) })
}

// clearRelayFaults ends the faults of all relays and resets their connections, as
// some may no longer forward data in one direction.
func (c *jobCluster) clearRelayFaults() {
	c.mu.Lock()
	relays := slices.Clone(c.workerRelays)
	c.mu.Unlock()
	for _, e := range c.entries {
		relays = append(relays, e.callerRelay, e.storeRelay)
	}
	for _, r := range relays {
		r.setFault(relayFault{})
		r.reset()
	}
}
