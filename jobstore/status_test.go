package jobstore

import (
	"context"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/store"
	"dotterelhead.example/dotterelhead/store/storetest"
)

// A job without a progress record was accepted and is queued; it must not be
// missing from the counts. A job that was cancelled before it was accepted is none.
func TestReadStatus(t *testing.T) {
	s := storetest.New()
	ctx := context.Background()
	if held, err := Acquire(ctx, s, Claim{Node: "entry-0", Process: "p"}, time.Minute); err != nil || held == nil {
		t.Fatalf("not acquired: %v", err)
	}
	_, err := s.Commit(ctx, store.Transaction{Writes: []store.Write{
		{Key: JobKey("a"), Value: []byte("{}")}, {Key: JobKey("b"), Value: []byte("{}")}, {Key: JobKey("c"), Value: []byte("{}")},
		{Key: CancelKey("c"), Value: []byte("{}")}, {Key: JobKey("d"), Value: EarlyCancellation()},
		{Key: ProgressKey("b"), Value: []byte(`{"p":"` + string(job.Running) + `"}`)},
		{Key: ProgressKey("c"), Value: []byte(`{"p":"` + string(job.Cancelled) + `"}`)},
		{Key: WaitingKey, Value: []byte(`{"previews":1}`)},
		{Key: WavePrefix + "3", Value: []byte(`["m1","m2"]`)},
	}})
	if err != nil {
		t.Fatal(err)
	}
	status, err := ReadStatus(ctx, s)
	if err != nil {
		t.Fatal(err)
	}
	if status.Owner == nil || status.Owner.Node != "entry-0" {
		t.Errorf("owner %+v, want entry-0", status.Owner)
	}
	for _, phase := range []job.Phase{job.Queued, job.Running, job.Cancelled} {
		if status.Phases[phase] != 1 {
			t.Errorf("%d jobs %s, want 1", status.Phases[phase], phase)
		}
	}
	if len(status.Phases) != 3 || status.Waiting["previews"] != 1 || status.WaveVMs[3] != 2 {
		t.Errorf("status %+v", status)
	}
}
