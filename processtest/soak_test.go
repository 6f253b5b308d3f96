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
	soakSteps = 14
	// soakSettle is how long all jobs may take after the last fault.
	soakSettle = 40 * time.Second
)

// TestJobSoak runs entry VMs as processes under series of faults that are drawn
// from a seed: processes are killed, paused, stopped and started again; the
// store is down, loses answers, drops its history, or leaves watches silent;
// connections to the store, to workers and of requesters are held up, reset, or
// lose what goes one way; orders are carried out late and workers start again;
// manifests and a wave come meanwhile. It guards against accepted jobs that are lost, and against
// what the workers must not see. Fifty seeds by hand:
//
//	go test ./processtest -run JobSoak -soak.seeds 50 -timeout 30m
func TestJobSoak(t *testing.T) {
	for n := range *soakSeeds {
		seed := *soakFirst + uint64(n)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { soak(t, seed) })
	}
}

func soak(t *testing.T, seed uint64) {
	c := startJobs(t, 3, map[string]int{"artwork": 6, "spare": 2}, "spare")
	random := rand.New(rand.NewPCG(seed, 7))
	machines := append(c.platform.Machines("artwork"), c.platform.Machines("spare")...)
	if err := c.platform.Publish("op/wave/1", map[string]any{"wave": 1, "machines": machines, "durationS": 20, "cap": 2}); err != nil {
		t.Fatal(err)
	}
	var jobs []*job.Job
	version := int64(1)
	for range soakSteps {
		fault := random.IntN(14)
		t.Logf("seed %d: fault %d", seed, fault)
		c.soakFault(random, fault, &version)
		jobs = append(jobs, c.load(2+random.IntN(4), "work=120ms", 10*time.Millisecond)...)
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
	c.platform.SetFaults(jobplatform.Faults{})
	for _, e := range c.entries {
		e.signal(syscall.SIGCONT)
	}
	c.healRelays()
	c.check(jobs, soakSettle)
	for id, n := range c.platform.UpkeepCounts() {
		if n > 1 {
			t.Errorf("VM %s had %d upkeeps in one wave", id, n)
		}
	}
}

// soakFault starts one fault; most last until the next one of their kind.
func (c *jobCluster) soakFault(random *rand.Rand, fault int, version *int64) {
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
		machines := c.platform.Machines("artwork")
		if len(machines) > 0 {
			if err := c.platform.RestartWorker(machines[random.IntN(len(machines))]); err != nil {
				c.Logf("not restarted: %v", err)
			}
		}
	case 8:
		c.platform.CompactStore()
	case 9:
		c.platform.SilenceWatches()
	case 10:
		*version += int64(1 + random.IntN(3))
		c.publish(*version)
		e.signal(syscall.SIGHUP)
	case 11:
		c.disturb(random, e.store)
	case 12:
		c.disturb(random, e.callers)
	case 13:
		c.mu.Lock()
		r := c.workers[random.IntN(len(c.workers))]
		c.mu.Unlock()
		c.disturb(random, r)
	}
}

// disturb holds up a relay's connections, loses what goes one way, or resets
// them. All but the reset last for up to 3 s.
func (c *jobCluster) disturb(random *rand.Rand, r *relay) {
	lasts := time.Duration(200+random.IntN(2800)) * time.Millisecond
	delay := time.Duration(20+random.IntN(400)) * time.Millisecond
	switch random.IntN(4) {
	case 0:
		r.setFault(relayFault{Delay: delay})
	case 1:
		r.setFault(relayFault{LoseRequests: true})
	case 2:
		r.setFault(relayFault{LoseAnswers: true})
	case 3:
		r.reset()
	}
	time.AfterFunc(lasts, func() { r.setFault(relayFault{}) })
}

// healRelays ends the faults of all relays, and the connections that stay
// silent.
func (c *jobCluster) healRelays() {
	c.mu.Lock()
	relays := slices.Clone(c.workers)
	c.mu.Unlock()
	for _, e := range c.entries {
		relays = append(relays, e.callers, e.store)
	}
	for _, r := range relays {
		r.setFault(relayFault{})
		r.reset()
	}
}
