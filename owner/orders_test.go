package owner

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/jobstore"
	"dotterelhead.example/dotterelhead/scheduler/execution"
	"dotterelhead.example/dotterelhead/store"
	"dotterelhead.example/dotterelhead/store/storetest"
	"dotterelhead.example/dotterelhead/telemetry"
)

// A first record of orders was still being written when its wait had timed out
// and a second one was queued. The commit of the first confirmed the second, and
// orders went out that the store did not name.
func TestOlderRecordDoesNotConfirmANewerOne(t *testing.T) {
	tm := &term{Owner: New(Options{Log: telemetry.Discard()}), core: execution.New(execution.Options{}, 0),
		queuedRecords: map[string][]byte{}, written: map[string]string{}, onWritten: map[string]pendingRecord{}}
	tm.writer = jobstore.NewWriter(storetest.New(), 1, nil)
	first := jobstore.Record{Key: jobstore.OrdersKey, Value: []byte(`["m1"]`)}
	second := jobstore.Record{Key: jobstore.OrdersKey, Value: []byte(`["m1","m2"]`)}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if tm.writeThrough(ctx, first) {
		t.Fatal("confirmed without a write")
	}
	inFlight := tm.nextBatch()
	confirmed := make(chan bool, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		confirmed <- tm.writeThrough(ctx, second)
	}()
	for {
		tm.mu.Lock()
		queued := len(tm.queuedRecords[jobstore.OrdersKey]) > 0
		tm.mu.Unlock()
		if queued {
			break
		}
		time.Sleep(time.Millisecond)
	}
	tm.committed(inFlight)
	if <-confirmed {
		t.Error("the commit of the first record confirmed the second")
	}
}

// The record of orders waits for the store for up to a second. An owner whose
// lease lapsed meanwhile must not send the orders.
func TestOrdersNeedAuthorityAfterTheirRecord(t *testing.T) {
	tm := testTerm(t, &fakeVMs{})
	s := tm.options.Store.(*storetest.Store)
	s.OutcomeOf = func(store.Transaction) storetest.Outcome {
		tm.revoke()
		return storetest.Applied
	}
	if tm.recordOrders(context.Background(), []string{"m1"}) {
		t.Error("orders may be sent although the authority lapsed while they were recorded")
	}
}

// The first record of a new owner replaced that of the former one. With two
// takeovers within the time that orders of successive owners have to be apart,
// the third owner did not know of the first one's orders.
func TestRecordOfOrdersKeepsThoseOfFormerOwners(t *testing.T) {
	tm := testTerm(t, &fakeVMs{})
	tm.options.MinOrderInterval = time.Minute
	tm.formerOrders["former"] = true
	if !tm.recordOrders(context.Background(), []string{"m1"}) {
		t.Fatal("not recorded")
	}
	item, err := tm.options.Store.Get(context.Background(), jobstore.OrdersKey)
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	if err := json.Unmarshal(item.Value, &ids); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(ids, []string{"former", "m1"}) {
		t.Errorf("record %v, want the order of the former owner too", ids)
	}
}

// stopRecorder counts the orders to stop runs.
type stopRecorder struct {
	Workers
	stops int
}

func (w *stopRecorder) Stop(context.Context, execution.Stop) error {
	w.stops++
	return nil
}

func (w *stopRecorder) Pace(context.Context, execution.Pace) error {
	w.stops++
	return nil
}

// A process that was paused between its decision and its orders must not stop or
// slow down runs once its lease may have lapsed.
func TestStopsAndPacesNeedAuthority(t *testing.T) {
	tm := testTerm(t, &fakeVMs{})
	w := &stopRecorder{}
	tm.options.Workers = w
	tm.testWorker("w1")
	tm.mu.Lock()
	tm.authorityUntil = boottime.Now()
	tm.mu.Unlock()
	run := execution.Run{Item: job.ItemID{Job: "0000000000000001"}, Number: 1}
	tm.sendStop(context.Background(), execution.Stop{Run: run, Worker: execution.Worker{ID: "w1"}})
	tm.sendPace(context.Background(), execution.Pace{Run: run, Worker: execution.Worker{ID: "w1"}, Percent: 50})
	if w.stops != 0 {
		t.Errorf("%d orders sent without authority", w.stops)
	}
}
