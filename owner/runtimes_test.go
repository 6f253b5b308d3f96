package owner

import (
	"context"
	"strings"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/scheduler/runtimes"
	"dotterelhead.example/dotterelhead/store"
)

// learnedRecord is a record of the run times of some images.
func learnedRecord(t *testing.T, images int) []byte {
	t.Helper()
	l := runtimes.NewLearner()
	for n := range images {
		for ms := range 400 {
			l.Observe(runtimes.Operation{Service: "builds", Name: strings.Repeat("n", n+1)}, 0, time.Duration(ms*ms)*time.Millisecond)
		}
	}
	value, err := jobstore.EncodeRunTimes(l.Summaries(1000))
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// Guards against a new owner that learns all run times anew, one that ends because of a
// record that it cannot read, and one whose record grows with the number of images.
func TestRunTimesAreReadByTheNextOwner(t *testing.T) {
	for name, c := range map[string]struct {
		value []byte
		known int
	}{
		"written by an owner": {learnedRecord(t, 3), 3},
		"no JSON":             {[]byte("{"), 0},
		"wrong types":         {[]byte(`{"o":[{"s":1}]}`), 0},
		"bad indexes":         {[]byte(`{"o":[{"s":"a","f":-5,"b":[1]},{"s":"b","f":89,"b":[1,2,3]}]}`), 0},
		"too large":           {[]byte(`{"o":[{"s":"` + strings.Repeat("a", 20_000) + `","f":1,"b":[1]}]}`), 0},
	} {
		tm := testTerm(t, &fakeVMs{})
		ctx := context.Background()
		if _, err := tm.options.Store.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: jobstore.RunTimesKey, Value: c.value}}}); err != nil {
			t.Fatal(err)
		}
		if _, _, err := tm.load(ctx); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		tm.mu.Lock()
		if n := tm.core.KnownImages(); n != c.known {
			t.Errorf("%s: %d images known, want %d", name, n, c.known)
		}
		tm.mu.Unlock()
	}
	if value := learnedRecord(t, 200); len(value) > 16<<10 {
		t.Errorf("record of 200 images has %d bytes", len(value))
	}
}

// Guards against a record that is written with every round, and one that is never written.
func TestRunTimesAreRecordedEveryFewSeconds(t *testing.T) {
	tm := testTerm(t, &fakeVMs{})
	tm.mu.Lock()
	defer tm.mu.Unlock()
	tm.recordRunTimesLocked(boottime.Now())
	if tm.queuedRecords[jobstore.RunTimesKey] != nil {
		t.Error("a record without run times is queued")
	}
	record, err := jobstore.DecodeRunTimes(learnedRecord(t, 2))
	if err != nil {
		t.Fatal(err)
	}
	tm.core.RestoreRunTimes(record.Operations)
	now := boottime.Now()
	tm.recordRunTimesLocked(now + time.Second)
	if tm.queuedRecords[jobstore.RunTimesKey] != nil {
		t.Error("a record is queued again within a second")
	}
	tm.recordRunTimesLocked(now + 2*runTimesEvery)
	if tm.queuedRecords[jobstore.RunTimesKey] == nil {
		t.Error("no record is queued after some seconds")
	}
}
