package owner

import (
	"context"
	"encoding/json"
	"testing"

	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/store"
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
