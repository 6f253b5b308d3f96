package processtest

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/intake"
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/platform"
	"dotterelhead.example/dotterelhead/standin/jobplatform"
)

// jobCluster runs entry VMs of the job service as processes against a stand-in
// of the users' platform.
type jobCluster struct {
	*testing.T
	platform *jobplatform.Platform
	// dir is removed only after the logs in it were printed.
	dir      string
	entries  []*jobEntry
	sequence int

	mu sync.Mutex
	// workers passes the calls to each worker.
	workers []*relay
}

// jobEntry is an entry VM behind relays: callers passes the calls of
// requesters, store its own calls to the platform.
type jobEntry struct {
	node, config   string
	callers, store *relay
	log            *os.File
	process        *exec.Cmd
	exited         chan struct{}
}

const (
	testHost  = "test.example"
	testQueue = testHost + "/previews/"
	// itemsPerJob is what testJob asks for.
	itemsPerJob = 6
)

func startJobs(t *testing.T, entries int, pools map[string]int, spare string) *jobCluster {
	t.Helper()
	t.Parallel()
	c := &jobCluster{T: t, dir: t.TempDir()}
	if *soakLogs != "" {
		dir, err := os.MkdirTemp(*soakLogs, strings.ReplaceAll(t.Name(), "/", "-")+"-")
		if err != nil {
			t.Fatal(err)
		}
		c.dir = dir
	}
	p, err := jobplatform.Start(jobplatform.Options{Pools: pools, SparePool: spare, Advertise: c.relayWorker})
	if err != nil {
		t.Fatal(err)
	}
	c.platform = p
	t.Cleanup(func() {
		for _, e := range c.entries {
			e.kill()
			if t.Failed() {
				c.printLog(e)
			}
		}
		p.Close()
	})
	c.publish(1)
	for i := range entries {
		c.entries = append(c.entries, c.newEntry(fmt.Sprintf("entry-%d", i)))
	}
	for _, e := range c.entries {
		c.start(e)
	}
	c.await(10*time.Second, "an owner with its workers", func() bool { return p.Value("owner/holders") != nil })
	return c
}

// relayWorker returns the address of a relay in front of a worker.
func (c *jobCluster) relayWorker(address string) string {
	r, err := startRelay(c.T, "127.0.0.1:0", address)
	if err != nil {
		c.Errorf("relay of worker %s: %v", address, err)
		return address
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers = append(c.workers, r)
	return r.address()
}

func (c *jobCluster) publish(version int64) {
	c.Helper()
	err := c.platform.Publish("op/config", jobplatform.Manifest(version, []jobplatform.Route{
		{Name: "previews", Host: testHost, Prefix: "/previews/", Service: "artwork"},
	}, []string{"artwork"}, "spare"))
	if err != nil {
		c.Fatal(err)
	}
}

func (c *jobCluster) newEntry(node string) *jobEntry {
	c.Helper()
	listen := freeAddresses(c.T, 2)
	caller, ready := listen[0], listen[1]
	e := &jobEntry{
		node: node, config: filepath.Join(c.dir, node+".toml"),
		callers: newRelay(c.T, caller), store: newRelay(c.T, c.platform.Addr()),
	}
	text := fmt.Sprintf("node = %q\ncaller_listen = %q\nready_listen = %q\nstore_address = %[4]q\nmachines_address = %[4]q\nadvice_address = %[4]q\n[bounds]\ngrace_seconds = 4\nhand_over_ms = 500\nupkeep_seconds = 0.2\nmove_seconds = 0.2\n",
		node, caller, ready, e.store.address())
	if err := os.WriteFile(e.config, []byte(text), 0o600); err != nil {
		c.Fatal(err)
	}
	log, err := os.Create(filepath.Join(c.dir, node+".log"))
	if err != nil {
		c.Fatal(err)
	}
	e.log = log
	return e
}

func (c *jobCluster) start(e *jobEntry) {
	c.Helper()
	e.process = exec.Command(filepath.Join(programs, "dotterelheadd"), "jobs", "--config", e.config)
	e.process.Stdout, e.process.Stderr = e.log, e.log
	if err := e.process.Start(); err != nil {
		c.Fatal(err)
	}
	e.exited = make(chan struct{})
	go func(p *exec.Cmd, exited chan struct{}) {
		// The way a killed process ends is what the tests ask for.
		_ = p.Wait()
		close(exited)
	}(e.process, e.exited)
}

func (e *jobEntry) signal(s syscall.Signal) {
	if e.process != nil {
		_ = e.process.Process.Signal(s)
	}
}

func (e *jobEntry) kill() {
	if e.process == nil {
		return
	}
	e.signal(syscall.SIGKILL)
	<-e.exited
}

func (c *jobCluster) printLog(e *jobEntry) {
	data, err := os.ReadFile(e.log.Name())
	if err != nil {
		c.Logf("log of %s: %v", e.node, err)
		return
	}
	lines := strings.Split(string(data), "\n")
	c.Logf("last lines of %s:\n%s", e.node, strings.Join(lines[max(0, len(lines)-40):], "\n"))
}

func (c *jobCluster) await(atMost time.Duration, what string, done func() bool) {
	c.Helper()
	for deadline := time.Now().Add(atMost); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if done() {
			return
		}
	}
	c.Fatalf("no %s within %v", what, atMost)
}

// owner returns the entry VM that owns the jobs.
func (c *jobCluster) owner() *jobEntry {
	c.Helper()
	var found *jobEntry
	c.await(10*time.Second, "owner", func() bool {
		claim := string(c.platform.Value("owner/lease"))
		for _, e := range c.entries {
			if strings.Contains(claim, strconv.Quote(e.node)) {
				found = e
			}
		}
		return found != nil && claim != ""
	})
	return found
}

func (c *jobCluster) requester() *platform.JobClient {
	c.Helper()
	var callers []string
	for _, e := range c.entries {
		callers = append(callers, e.callers.address())
	}
	r, err := platform.NewJobClient(callers, testQueue)
	if err != nil {
		c.Fatal(err)
	}
	return r
}

// testJob has two steps of three items.
func (c *jobCluster) testJob(spec string) *job.Job {
	c.sequence++
	step := job.Step{Count: 3, Needs: job.Resources{MilliCPU: 2000, MemoryMB: 100}, Estimate: 50 * time.Millisecond}
	second := step
	second.After = []int{0}
	return &job.Job{ID: fmt.Sprintf("%016x", c.sequence), Spec: spec, Steps: []job.Step{step, second}}
}

// submitUntilAccepted hands a job in as requesters do: it asks again after
// every answer that does not settle it.
func submitUntilAccepted(ctx context.Context, r *platform.JobClient, j *job.Job) error {
	for {
		err := r.Submit(ctx, j)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// load submits jobs beside each other and returns them once all are accepted.
func (c *jobCluster) load(n int, spec string, pause time.Duration) []*job.Job {
	c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	r := c.requester()
	var group sync.WaitGroup
	var jobs []*job.Job
	for range n {
		j := c.testJob(spec)
		jobs = append(jobs, j)
		group.Go(func() {
			if err := submitUntilAccepted(ctx, r, j); err != nil {
				c.Errorf("job %s is not accepted: %v", j.ID, err)
			}
		})
		time.Sleep(pause)
	}
	group.Wait()
	return jobs
}

// check waits until all jobs are completed, and checks what the workers saw.
func (c *jobCluster) check(jobs []*job.Job, atMost time.Duration) {
	c.Helper()
	r := c.requester()
	for _, j := range jobs {
		c.await(atMost, "end of job "+j.ID, func() bool {
			phase, err := r.Phase(context.Background(), j.ID)
			if errors.Is(err, intake.ErrJobNotFound) {
				c.Fatalf("accepted job %s is not known", j.ID)
			}
			return err == nil && phase == job.Completed
		})
		if err := c.platform.CheckDone(j.ID, itemsPerJob); err != nil {
			c.Error(err)
		}
	}
	for _, f := range c.platform.Violations() {
		c.Error(f)
	}
}

// Guards against accepted jobs that are lost, and items that run twice, when
// all entry VMs lose power at once.
func TestJobsSurviveTheKillOfAllEntryVMs(t *testing.T) {
	c := startJobs(t, 3, map[string]int{"artwork": 4, "spare": 1}, "spare")
	jobs := c.load(30, "work=200ms", 5*time.Millisecond)
	for _, e := range c.entries {
		e.signal(syscall.SIGKILL)
	}
	for _, e := range c.entries {
		<-e.exited
		c.start(e)
	}
	jobs = append(jobs, c.load(10, "work=100ms", 5*time.Millisecond)...)
	c.check(jobs, 30*time.Second)
}

// Guards against an owner that gives orders after it was frozen across the
// change of owner, with a change of the manifest meeting it on its return.
func TestFrozenOwnerGivesNoOrders(t *testing.T) {
	c := startJobs(t, 3, map[string]int{"artwork": 4, "spare": 1}, "spare")
	jobs := c.load(20, "work=300ms", 5*time.Millisecond)
	frozen := c.owner()
	frozen.signal(syscall.SIGSTOP)
	c.await(10*time.Second, "another owner", func() bool {
		claim := string(c.platform.Value("owner/lease"))
		return claim != "" && !strings.Contains(claim, strconv.Quote(frozen.node))
	})
	c.publish(7)
	frozen.signal(syscall.SIGCONT)
	others := c.entries[:0:0]
	for _, e := range c.entries {
		if e != frozen {
			others = append(others, e)
		}
	}
	all := c.entries
	c.entries = others
	jobs = append(jobs, c.load(20, "work=100ms", 5*time.Millisecond)...)
	c.check(jobs, 30*time.Second)
	c.entries = all
}

// Guards against an item that runs twice, or is lost, when orders are carried
// out late and workers start again under their IDs.
func TestLateOrdersAndRestartedWorkers(t *testing.T) {
	c := startJobs(t, 2, map[string]int{"artwork": 4, "spare": 1}, "spare")
	c.platform.SetFaults(jobplatform.Faults{DelayedOrderShare: 0.05, OrderDelay: 2 * time.Second})
	var jobs []*job.Job
	for _, machine := range c.platform.Machines("artwork") {
		jobs = append(jobs, c.load(8, "work=150ms", 10*time.Millisecond)...)
		if err := c.platform.RestartWorker(machine); err != nil {
			// The VM was lent away meanwhile; the next one is restarted.
			t.Logf("not restarted: %v", err)
		}
	}
	c.platform.SetFaults(jobplatform.Faults{})
	c.check(jobs, 40*time.Second)
}

// Guards against a lost answer of the store that turns into a false "not
// accepted": a job that was refused each time must never run.
func TestRefusedJobsNeverRun(t *testing.T) {
	c := startJobs(t, 2, map[string]int{"artwork": 4, "spare": 1}, "spare")
	c.platform.SetFaults(jobplatform.Faults{LostResponseShare: 0.3, DelayedWriteShare: 0.5})
	r := c.requester()
	var accepted, refused []*job.Job
	for n := range 60 {
		if n == 30 {
			c.platform.SetFaults(jobplatform.Faults{StoreDown: true})
		}
		if n == 40 {
			c.platform.SetFaults(jobplatform.Faults{LostResponseShare: 0.3, DelayedWriteShare: 0.5})
		}
		j := c.testJob("work=20ms")
		err := r.Submit(context.Background(), j)
		switch {
		case err == nil:
			accepted = append(accepted, j)
		case errors.Is(err, intake.ErrNotAccepted):
			refused = append(refused, j)
		}
	}
	c.platform.SetFaults(jobplatform.Faults{})
	if len(refused) < 5 || len(accepted) < 20 {
		t.Fatalf("%d jobs refused and %d accepted; the test needs both", len(refused), len(accepted))
	}
	c.check(accepted, 30*time.Second)
	for _, j := range refused {
		if c.platform.CheckDone(j.ID, 0) != nil {
			t.Errorf("job %s ran although it was refused", j.ID)
		}
		if phase, err := r.Phase(context.Background(), j.ID); !errors.Is(err, intake.ErrJobNotFound) {
			t.Errorf("refused job %s has the state %q, %v", j.ID, phase, err)
		}
	}
}

// Guards against a second upkeep of a VM, or a missing one, when the owner is
// killed in a wave, and against work that an upkeep ends.
func TestWaveWithKilledOwner(t *testing.T) {
	c := startJobs(t, 3, map[string]int{"artwork": 8, "spare": 2}, "spare")
	machines := append(c.platform.Machines("artwork"), c.platform.Machines("spare")...)
	if err := c.platform.Publish("op/wave/1", map[string]any{"wave": 1, "machines": machines, "durationS": 6, "cap": 2}); err != nil {
		t.Fatal(err)
	}
	var jobs []*job.Job
	for range 3 {
		jobs = append(jobs, c.load(6, "work=100ms", 50*time.Millisecond)...)
		owner := c.owner()
		owner.kill()
		c.start(owner)
	}
	c.await(30*time.Second, "end of the wave", func() bool {
		return strings.Contains(string(c.platform.Value("status/wave/1")), "completed")
	})
	for id, n := range c.platform.UpkeepCounts() {
		if n != 1 {
			t.Errorf("VM %s had %d upkeeps", id, n)
		}
	}
	if n := len(c.platform.UpkeepCounts()); n != len(machines) {
		t.Errorf("%d of %d VMs had their upkeep", n, len(machines))
	}
	c.check(jobs, 20*time.Second)
}

// Guards against a process that ends on SIGHUP, and against requests that are
// cut or refused while entry VMs are stopped and started in turn.
func TestSignalsCutNoRequest(t *testing.T) {
	c := startJobs(t, 3, map[string]int{"artwork": 4, "spare": 1}, "spare")
	stop := make(chan struct{})
	var group sync.WaitGroup
	var jobs []*job.Job
	r := c.requester()
	group.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			j := c.testJob("work=30ms")
			if err := r.Submit(context.Background(), j); err != nil {
				t.Errorf("job %s: %v", j.ID, err)
				continue
			}
			jobs = append(jobs, j)
		}
	})
	for _, e := range c.entries {
		e.signal(syscall.SIGHUP)
		time.Sleep(200 * time.Millisecond)
		select {
		case <-e.exited:
			t.Errorf("%s ended on SIGHUP", e.node)
		default:
		}
	}
	for _, e := range c.entries {
		e.signal(syscall.SIGTERM)
		<-e.exited
		c.start(e)
		time.Sleep(300 * time.Millisecond)
	}
	close(stop)
	group.Wait()
	c.check(jobs, 20*time.Second)
}

// Guards against a cancelled job that goes on because the owner's watch is on a
// connection that has gone silent: it has to be noticed within the 3 s after
// which nothing of the job may start (niederalm-cut scale-2 at 11.5 s).
func TestCancelBehindASilentWatch(t *testing.T) {
	c := startJobs(t, 1, map[string]int{"artwork": 2, "spare": 1}, "spare")
	r := c.requester()
	j := c.testJob("work=10s")
	j.Steps = j.Steps[:1]
	if err := submitUntilAccepted(context.Background(), r, j); err != nil {
		t.Fatal(err)
	}
	c.await(5*time.Second, "start", func() bool { return c.platform.RunningCount(j.ID) > 0 })
	c.platform.SilenceWatches()
	if err := r.Cancel(context.Background(), j.ID); err != nil {
		t.Fatal(err)
	}
	c.await(3*time.Second, "end of the cancelled runs", func() bool { return c.platform.RunningCount(j.ID) == 0 })
}

// The state of the jobs has to be readable by the tool while no entry VM runs.
func TestStatusShowsJobs(t *testing.T) {
	c := startJobs(t, 1, map[string]int{"artwork": 2, "spare": 1}, "spare")
	j := c.testJob("work=20ms")
	if err := submitUntilAccepted(context.Background(), c.requester(), j); err != nil {
		t.Fatal(err)
	}
	c.check([]*job.Job{j}, 20*time.Second)
	c.entries[0].kill()
	out, err := exec.Command(filepath.Join(programs, "dotterelhead"), "status", "--store", c.platform.Addr()).CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	if !strings.Contains(string(out), "completed  1\n") {
		t.Errorf("the job is not shown as completed:\n%s", out)
	}
}
