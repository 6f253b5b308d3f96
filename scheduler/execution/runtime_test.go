package execution

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
)

// poolLoad is a load on one worker that runs four items at a time.
type poolLoad struct {
	// jobs arrive at equal intervals; the run time of each is that of its image.
	images   []string
	interval time.Duration
}

// poolRunTimes are the true run times. All jobs declare one second.
var poolRunTimes = map[string]time.Duration{"compile": 4 * time.Second, "lint": 400 * time.Millisecond}

// jobTimes plays a load and returns how long each job took from its arrival to its end.
// prepare, if set, is called first.
func (l poolLoad) jobTimes(t *testing.T, options Options, prepare func(*Core)) []time.Duration {
	t.Helper()
	b := newTestbed(t, 0)
	options.LeaseDuration, options.StopTimeout = testHold, 400*time.Millisecond
	b.core = New(options, 0)
	b.core.SetManifest(&job.Manifest{Version: 1, Queues: []job.Queue{{
		Name: testQueue, Service: testService, Attempts: 2, LatencyFactor: 3, TargetLatency: 30 * time.Second,
	}}})
	if prepare != nil {
		prepare(b.core)
	}
	b.worker(testWorker("w1", 4000), Report{})
	running, ended, arrived := map[Run]Time{}, int64(0), map[string]Time{}
	var times []time.Duration
	started := b.now
	for len(times) < len(l.images) {
		if b.now > started+10*time.Minute {
			t.Fatalf("%d of %d jobs done after 10 minutes", len(times), len(l.images))
		}
		for len(arrived) < len(l.images) && b.now-started >= time.Duration(len(arrived))*l.interval {
			id := fmt.Sprintf("%016x", len(arrived))
			image := l.images[len(arrived)]
			arrived[id] = b.now
			b.core.AddJob(oneStep(id, job.Step{Estimate: time.Second, Image: image}), job.Progress{}, false, wall, b.now)
		}
		var r Report
		for run, since := range running {
			took := b.now - since
			total := poolRunTimes[b.core.jobs[run.Item.Job].Steps[0].Image]
			if took < total {
				r.Running = append(r.Running, RunningItem{Run: run, Percent: int(100 * took / total)})
				continue
			}
			delete(running, run)
			ended++
			r.Ended = append(r.Ended, EndedItem{Number: ended, Run: run, Kind: EndDone})
			times = append(times, b.now-arrived[run.Item.Job])
		}
		if _, due := b.core.HoldFor("w1", b.now); due {
			b.report("w1", r)
		}
		b.core.MarkCommitted(b.core.TakeWrites(100))
		for _, s := range b.roundAfter(20 * time.Millisecond).Starts {
			b.core.StartDone(s, Started, b.now)
			running[s.Run] = b.now
		}
	}
	return times
}

func mixedLoad() poolLoad {
	r := rand.New(rand.NewPCG(7, 1))
	l := poolLoad{interval: 250 * time.Millisecond}
	for range 300 {
		image := "lint"
		if r.Float64() < 0.3 {
			image = "compile"
		}
		l.images = append(l.images, image)
	}
	return l
}

func mean(times []time.Duration) time.Duration {
	var sum time.Duration
	for _, d := range times {
		sum += d
	}
	return sum / time.Duration(len(times))
}

// Answers a pool that is asked for more than it can run by short and long work that
// declares the same run time: guards against short work that waits behind long work.
func TestShortWorkIsNotBehindLongWork(t *testing.T) {
	declared := mixedLoad().jobTimes(t, Options{TrustDeclared: true}, nil)
	learned := mixedLoad().jobTimes(t, Options{}, nil)
	t.Logf("mean time of a job: declared %s, learned %s; longest: %s, %s", mean(declared), mean(learned), slices.Max(declared), slices.Max(learned))
	if mean(learned) > mean(declared)*3/4 {
		t.Errorf("mean time %s with learned run times, want at most three quarters of %s", mean(learned), mean(declared))
	}
	if slices.Max(learned) > slices.Max(declared)*5/4 {
		t.Errorf("longest time %s with learned run times, %s with declared ones", slices.Max(learned), slices.Max(declared))
	}
}

// Guards against a learner that is wrong, such as after a change of all images, and makes
// callers wait longer than declared run times would by more than a tenth.
func TestWrongRunTimesCostLittle(t *testing.T) {
	declared := mixedLoad().jobTimes(t, Options{TrustDeclared: true}, nil)
	wrong := mixedLoad().jobTimes(t, Options{}, func(c *Core) {
		for range 400 {
			for image, other := range map[string]string{"compile": "lint", "lint": "compile"} {
				s := newStep(nil, &jobState{Job: &job.Job{Queue: testQueue, Steps: []job.Step{{Count: 1, Image: image}}}}, 0, 0)
				c.learner.Observe(s.operation(), time.Second, poolRunTimes[other])
			}
		}
	})
	t.Logf("mean time of a job: declared %s, wrong %s", mean(declared), mean(wrong))
	if mean(wrong) > mean(declared)*11/10 {
		t.Errorf("mean time %s with wrong run times, %s with declared ones", mean(wrong), mean(declared))
	}
}

// Guards against a run of a former owner, whose start this owner does not know, that is
// learned as a short one.
func TestAdoptedRunIsNotLearned(t *testing.T) {
	b := newTestbed(t, 1)
	b.core.AddJob(oneStep(jobA, job.Step{Estimate: time.Second}), job.Progress{Phase: job.Running}, true, wall, b.now)
	run := testRun(jobA, 0, 1)
	b.worker(testWorker("w1", 1500), Report{Running: []RunningItem{{Run: run, Percent: 90}}})
	b.report("w1", Report{Ended: []EndedItem{{Number: 1, Run: run, Kind: EndDone}}})
	if n := b.core.KnownImages(); n > 0 {
		t.Errorf("%d images known after a run of unknown length", n)
	}
}

// Guards against a new owner that starts with declared run times although the former one
// knew better, and against a record with bad indexes.
func TestRunTimesSurviveAChangeOfOwner(t *testing.T) {
	former := newTestbed(t, 0)
	for n := range 40 {
		id := fmt.Sprintf("%016x", n)
		former.core.AddJob(oneStep(id, job.Step{Estimate: 10 * time.Second, Image: "lint"}), job.Progress{}, false, wall, former.now)
		s := former.core.jobs[id].occurrence(0).steps[0]
		former.core.learner.Observe(s.operation(), s.spec.Estimate, 400*time.Millisecond)
	}
	next := newTestbed(t, 1)
	if invalid := next.core.RestoreRunTimes(former.core.LearnedRunTimes()); invalid > 0 {
		t.Fatalf("%d summaries are invalid", invalid)
	}
	next.core.AddJob(oneStep(jobA, job.Step{Estimate: 10 * time.Second, Image: "lint"}), job.Progress{}, false, wall, next.now)
	if d := next.core.runTime(next.core.jobs[jobA].occurrence(0).steps[0], next.now); d > 600*time.Millisecond {
		t.Errorf("item is expected to take %s, want about 400 ms", d)
	}
}
