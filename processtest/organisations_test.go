package processtest

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	"dotterelhead.example/dotterelhead/jobserver"
	"dotterelhead.example/dotterelhead/platform"
	"dotterelhead.example/dotterelhead/standin/jobplatform"
)

// keyed returns r with the key of the organisation that a job belongs to, which follows from
// the job's ID.
func (c *jobCluster) keyed(r *platform.JobClient, j *job.Job) *platform.JobClient {
	if len(c.organisations) == 0 {
		return r
	}
	n, err := strconv.ParseUint(j.ID, 16, 64)
	if err != nil {
		c.Fatal(err)
	}
	return withKey(r, c.organisations[n%uint64(len(c.organisations))].Keys[0])
}

func withKey(r *platform.JobClient, key string) *platform.JobClient {
	keyed := *r
	keyed.Key = key
	return &keyed
}

// publishOrganisations publishes a manifest with three organisations, whose first keys are
// never withdrawn, and waits until all entry VMs ask for keys.
func (c *jobCluster) publishOrganisations(version int64) {
	c.Helper()
	for n, name := range []string{"portals", "nesting", "plotters"} {
		c.organisations = append(c.organisations, jobplatform.Organisation{Name: name, Keys: []string{"key-" + name}, Weight: float64(n + 1)})
	}
	c.publishManifest(version)
	for _, e := range c.entries {
		r := c.requesterAt(e, "")
		c.eventually(10*time.Second, "request without a key that is refused by "+e.node, func() bool {
			_, err := r.Waiting(context.Background())
			return errors.Is(err, platform.ErrUnknownKey)
		})
	}
}

// requesterAt returns a requester that calls a single entry VM.
func (c *jobCluster) requesterAt(e *jobEntryVM, key string) *platform.JobClient {
	c.Helper()
	r, err := platform.NewJobClient([]string{e.callerRelay.address()}, testQueue)
	if err != nil {
		c.Fatal(err)
	}
	return withKey(r, key)
}

// manifestBound is the time within which a new manifest takes effect on all entry VMs.
func manifestBound() time.Duration {
	return time.Duration(jobserver.DefaultSettings().Bounds.ConfigApplyMs) * time.Millisecond
}

// keyChecker sends requests with withdrawn keys and reports those that are served.
type keyChecker struct {
	c    *jobCluster
	stop chan struct{}
	done sync.WaitGroup

	mu sync.Mutex
	// overdue are the keys that must not be served any more.
	overdue []string
	issued  int
	// refused counts the requests that were refused for their key.
	refused int
}

// startKeyChecker starts a keyChecker, which ends with finish. It sends as many requests as a
// few callers with old keys would.
func (c *jobCluster) startKeyChecker(seed uint64) *keyChecker {
	k := &keyChecker{c: c, stop: make(chan struct{})}
	random := rand.New(rand.NewPCG(seed, 9))
	var requesters []*platform.JobClient
	for _, e := range c.entries {
		requesters = append(requesters, c.requesterAt(e, ""))
	}
	k.done.Go(func() {
		for n := 1; ; n++ {
			select {
			case <-k.stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			if key := k.randomKey(random); key != "" {
				k.check(n, withKey(requesters[n%len(requesters)], key))
			}
		}
	})
	return k
}

func (k *keyChecker) randomKey(random *rand.Rand) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.overdue) == 0 {
		return ""
	}
	return k.overdue[random.IntN(len(k.overdue))]
}

func (k *keyChecker) check(n int, r *platform.JobClient) {
	ctx, id := context.Background(), fmt.Sprintf("%016x", 1<<40+n)
	calls := []func() error{
		func() error { _, err := r.Waiting(ctx); return err },
		func() error { _, err := r.Phase(ctx, fmt.Sprintf("%016x", 1)); return err },
		func() error { return r.Cancel(ctx, id) },
		func() error { return r.Submit(ctx, &job.Job{ID: id, Steps: []job.Step{{Count: 1}}}) },
	}
	err := calls[n/len(k.c.entries)%len(calls)]()
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err == nil:
		k.c.Errorf("withdrawn key %s was served later than %v after its withdrawal", r.Key, manifestBound())
	case errors.Is(err, platform.ErrUnknownKey):
		k.refused++
	}
}

// rotate publishes a manifest in which a new second key of the first organisation takes the
// place of the former one.
func (k *keyChecker) rotate(version int64) {
	first := &k.c.organisations[0]
	former := first.Keys[1:]
	k.mu.Lock()
	k.issued++
	first.Keys = []string{first.Keys[0], fmt.Sprintf("temporary-%d", k.issued)}
	k.mu.Unlock()
	k.c.publishManifest(version)
	time.AfterFunc(manifestBound(), func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.overdue = append(k.overdue, former...)
	})
}

// finish ends the requests, and fails the test if no withdrawn key was refused.
func (k *keyChecker) finish() {
	k.c.Helper()
	close(k.stop)
	k.done.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.overdue) > 0 && k.refused == 0 {
		k.c.Errorf("none of the requests with %d withdrawn keys was refused", len(k.overdue))
	}
}

// Guards against an entry VM that is cut off from the store while keys are withdrawn, or that
// is restarted meanwhile, and that serves them later than a manifest may take; and against
// running jobs that other organisations see.
func TestWithdrawnKeys(t *testing.T) {
	c := startJobCluster(t, 3, map[string]int{"artwork": 2, "spare": 1}, "spare")
	c.publishOrganisations(2)
	jobs := c.submitJobs(6, "work=2s", 0)
	checker := c.startKeyChecker(1)
	checker.rotate(3)
	cut, restarted, calm := c.entries[0], c.entries[1], c.entries[2]
	temporary := c.organisations[0].Keys[1]
	for _, e := range c.entries {
		c.eventually(5*time.Second, "use of a new key at "+e.node, func() bool {
			_, err := c.requesterAt(e, temporary).Waiting(context.Background())
			return err == nil
		})
	}
	for n, j := range jobs[:3] {
		c.eventually(5*time.Second, "record of the progress of job "+j.ID, func() bool { return c.platform.Value("progress/"+j.ID) != nil })
		if phase, err := c.keyed(c.requester(), jobs[n+1]).Phase(context.Background(), j.ID); !errors.Is(err, intake.ErrJobNotFound) {
			t.Errorf("another organisation is told that job %s is %s: %v", j.ID, phase, err)
		}
	}
	out, err := c.jobTool("DOTTERELHEAD_KEY="+c.keyed(c.requester(), jobs[0]).Key, calm, "show", jobs[0].ID)
	if err != nil {
		t.Errorf("dotterelhead job show with a key: %v: %s", err, out)
	}
	for _, e := range []*jobEntryVM{cut, restarted} {
		e.storeRelay.setCut(cutAll)
	}
	restarted.kill()
	c.start(restarted)
	checker.rotate(4)
	time.Sleep(manifestBound())
	// withdrawn returns the first answer to a request with the withdrawn key. A connection that
	// this process could not open in time is no answer.
	withdrawn := func(e *jobEntryVM) (err error) {
		for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
			if _, err = c.requesterAt(e, temporary).Waiting(context.Background()); err == nil || !strings.Contains(err.Error(), "dial tcp") {
				break
			}
		}
		return err
	}
	if err := withdrawn(calm); !errors.Is(err, platform.ErrUnknownKey) {
		t.Errorf("entry VM that reaches the store: %v, want ErrUnknownKey", err)
	}
	for _, e := range []*jobEntryVM{cut, restarted} {
		if err := withdrawn(e); err == nil {
			t.Errorf("%s serves a withdrawn key without the store", e.node)
		}
	}
	if out, err := c.jobTool("DOTTERELHEAD_KEY="+temporary, calm, "waiting"); err == nil || !strings.Contains(out, "key") {
		t.Errorf("dotterelhead job waiting with a withdrawn key: %v: %s", err, out)
	}
	for _, e := range []*jobEntryVM{cut, restarted} {
		e.storeRelay.setCut(cutNone)
		e.storeRelay.reset()
		c.eventually(10*time.Second, "refusal of a withdrawn key by "+e.node, func() bool {
			return errors.Is(withdrawn(e), platform.ErrUnknownKey)
		})
	}
	checker.finish()
	c.checkCompleted(jobs, 30*time.Second)
	for _, e := range c.entries {
		e.signal(syscall.SIGTERM)
		<-e.exited
		text, err := os.ReadFile(e.log.Name())
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range c.organisations {
			if strings.Contains(string(text), o.Keys[0]) {
				t.Errorf("the log of %s has a key", e.node)
			}
		}
	}
}

// jobTool runs a subcommand of `dotterelhead job` at an entry VM, with a variable in its
// environment.
func (c *jobCluster) jobTool(variable string, e *jobEntryVM, arguments ...string) (string, error) {
	arguments = append(append([]string{"job"}, arguments...), "--entry", e.callerRelay.address(), "--queue", testQueue)
	tool := exec.Command(filepath.Join(binDir, "dotterelhead"), arguments...)
	tool.Env = append(os.Environ(), variable)
	out, err := tool.CombinedOutput()
	return string(out), err
}
