package ejection

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var start = time.Unix(1000, 0)

func workerIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("w%d", i)
	}
	return ids
}

// Guards against faults that benchmarks have shown. The comments of each trace
// describe them.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var e *Workers
		var jobs *Jobs
		var out strings.Builder
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out.Reset()
			switch d.Cmd {
			case "workers":
				var n int
				d.ScanArgs(t, "n", &n)
				e, jobs = NewWorkers(Options{}), NewJobs()
				e.SetWorkers(workerIDs(n))
			case "traffic":
				traffic(t, d, e)
			case "job":
				job(t, d, jobs, &out)
			}
			fmt.Fprintf(&out, "ejected: %v\n", e.Ejected())
			return out.String()
		})
	})
}

// traffic starts a request on each worker every 20 ms. The arguments from and to
// bound the time and takes is the run time, in milliseconds; failing names the
// workers whose requests fail.
func traffic(t *testing.T, d *datadriven.TestData, e *Workers) {
	var from, to, takes int
	failing := ""
	d.ScanArgs(t, "from", &from)
	d.ScanArgs(t, "to", &to)
	d.ScanArgs(t, "takes", &takes)
	d.MaybeScanArgs(t, "failing", &failing)
	for at := from; at < to; at += 20 {
		for _, id := range e.ids {
			fails := failing == "all" || strings.Contains(failing+"/", id+"/")
			started := start.Add(time.Duration(at) * time.Millisecond)
			e.Observe(started.Add(time.Duration(takes)*time.Millisecond), id, started, !fails)
		}
	}
}

// job reports one result of a job and prints for how long the job is refused
// then.
func job(t *testing.T, d *datadriven.TestData, jobs *Jobs, out *strings.Builder) {
	var worker string
	var at int
	d.ScanArgs(t, "worker", &worker)
	d.ScanArgs(t, "at", &at)
	now := start.Add(time.Duration(at) * time.Second)
	if d.HasArg("ok") {
		jobs.Succeeded("j")
	} else {
		jobs.Failed(now, "j", worker)
	}
	fmt.Fprintf(out, "refused for %s\n", jobs.RefusalTime(now, "j"))
}

// Guards against more ejected workers than MaxEjectedRatio allows when the pool
// is resized while some of its workers fail all requests: w0 to w3 and, because
// names are compared as strings, w10 to w12.
func TestMaxEjectedRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewWorkers(Options{})
		n := rapid.IntRange(0, 12).Draw(t, "workers")
		e.SetWorkers(workerIDs(n))
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "milliseconds")) * time.Millisecond)
			id := fmt.Sprintf("w%d", rapid.IntRange(0, 12).Draw(t, "worker"))
			e.Observe(now, id, now.Add(-5*time.Millisecond), id > "w3")
			if rapid.IntRange(0, 50).Draw(t, "resize") == 0 {
				n = rapid.IntRange(0, 12).Draw(t, "workers")
				e.SetWorkers(workerIDs(n))
			}
			if got := len(e.Ejected()); got > n*3/10 {
				t.Fatalf("%d of %d workers ejected", got, n)
			}
		}
	})
}
