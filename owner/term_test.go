package owner

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/phuslu/log"

	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/scheduler/execution"
	"dotterelhead.example/dotterelhead/store"
	"dotterelhead.example/dotterelhead/telemetry"
)

// A record that could not be decoded ended the term of each owner in turn, and a job
// with a thousand million occurrences took the memory of each: one record stopped
// all jobs. The others have to run.
func TestUnusableRecordsDoNotStopTheOwner(t *testing.T) {
	tm := testTerm(t, &fakeVMs{})
	good := job.Job{Queue: "q", Service: "a", Steps: []job.Step{{Count: 1}}}
	huge := good
	huge.Occurrences = 1_000_000_000
	var writes []store.Write
	for id, j := range map[string]job.Job{"00000000000000a1": good, "00000000000000a2": good, "00000000000000a3": huge} {
		value, err := json.Marshal(j)
		if err != nil {
			t.Fatal(err)
		}
		writes = append(writes, store.Write{Key: jobstore.JobKey(id), Value: value})
	}
	writes = append(writes, store.Write{Key: jobstore.ProgressKey("00000000000000a2"), Value: []byte(`{"p":`)})
	if _, err := tm.options.Store.Commit(context.Background(), store.Transaction{Writes: writes}); err != nil {
		t.Fatal(err)
	}
	if _, _, err := tm.load(context.Background()); err != nil {
		t.Fatalf("load: %v", err)
	}
	tm.mu.Lock()
	defer tm.mu.Unlock()
	if waiting := tm.core.Waiting()["q"]; waiting != 1 {
		t.Errorf("%d jobs wait to run, want only the usable one", waiting)
	}
}

// Guards against ends of a job whose record cannot be read that are lost without a trace:
// they are acknowledged, because an end that is not would keep its worker from forgetting
// any later one.
func TestDiscardedEndsOfAnUnreadableJobAreLogged(t *testing.T) {
	tm := testTerm(t, &fakeVMs{})
	ctx := context.Background()
	value, err := json.Marshal(job.Job{Queue: "q", Service: "a", Steps: []job.Step{{Count: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tm.options.Store.Commit(ctx, store.Transaction{Writes: []store.Write{
		{Key: jobstore.JobKey(testJob), Value: value}, {Key: jobstore.ProgressKey(testJob), Value: []byte(`{"p":7}`)},
	}}); err != nil {
		t.Fatal(err)
	}
	if _, _, err := tm.load(ctx); err != nil {
		t.Fatal(err)
	}
	tm.testWorker("w1")
	var lines bytes.Buffer
	tm.mu.Lock()
	tm.options.Log = &telemetry.Logger{Writer: log.IOWriter{Writer: &lines}}
	tm.mu.Unlock()
	run := execution.Run{Item: job.ItemID{Job: testJob}, Number: 7}
	tm.reported("w1", execution.Report{Ended: []execution.EndedItem{{Number: 3, Run: run, Kind: execution.EndDone}}})
	tm.mu.Lock()
	defer tm.mu.Unlock()
	for line := range strings.Lines(lines.String()) {
		if strings.Contains(line, `"end_discarded"`) {
			for _, want := range []string{`"warn"`, run.Item.String(), `"run":7`, `"worker":"w1"`, `"reason":"done"`, `"end":3`} {
				if !strings.Contains(line, want) {
					t.Errorf("line %s lacks %s", line, want)
				}
			}
			return
		}
	}
	t.Errorf("the end that is discarded is not logged as such: %s", lines.String())
}
