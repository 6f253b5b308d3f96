package owner

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/jobstore"
)

// recordOrdersTimeout bounds the wait for the record of orders to be written.
const recordOrdersTimeout = time.Second

// recordOrders records in the store which VMs are about to get orders, so that
// a later owner gives them none within MinOrderInterval. It returns false if
// the store did not confirm the record, or if this process may not be the owner
// any more since; the orders must not be sent then.
func (t *term) recordOrders(ctx context.Context, vms []string) bool {
	now := boottime.Now()
	for _, id := range vms {
		t.orderedAt[id] = now
	}
	var recent []string
	for id, at := range t.orderedAt {
		if now-at > t.options.MinOrderInterval+orderIntervalMargin {
			delete(t.orderedAt, id)
			continue
		}
		recent = append(recent, id)
	}
	// The record replaces that of the former owner, whose orders count for the
	// next owner as well.
	for id := range t.formerOrders {
		if _, own := t.orderedAt[id]; !own && t.formerlyOrdered(id) {
			recent = append(recent, id)
		}
	}
	slices.Sort(recent)
	value, err := json.Marshal(recent)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, recordOrdersTimeout)
	defer cancel()
	return t.writeThrough(ctx, jobstore.Record{Key: jobstore.OrdersKey, Value: value}) && t.authorized()
}

// mayTakeDownLocked reports whether a VM may get an order that ends its worker: this
// process still is the owner, nothing runs on the worker, which is closed to new work, its
// lifetime began at workerStart, and the VM has no newer worker. The record of an order
// takes up to recordOrdersTimeout, so that this is checked again after it.
func (t *term) mayTakeDownLocked(vm, worker string, workerStart int64) bool {
	if !t.authorizedLocked() || t.core.HasOtherWorker(vm, worker) {
		return false
	}
	start, _ := t.core.WorkerStartMillis(worker)
	return worker == "" || t.core.Empty(worker) && !t.core.Usable(worker) && start == workerStart
}

// pendingRecord is a record whose writer waits until the store has it.
type pendingRecord struct {
	value string
	// done is closed once the store has the value.
	done chan struct{}
}

// writeThrough writes a record, and with it that of possible lease holders if
// these have changed, and waits until the store has it. It returns false if ctx
// ends first.
func (t *term) writeThrough(ctx context.Context, r jobstore.Record) bool {
	done := make(chan struct{})
	t.mu.Lock()
	// The orders that follow end workers, which are closed by now. The store has to
	// know that these hold no leases, so that an owner that takes over right after
	// does not wait for them.
	t.recordChangedHoldersLocked()
	t.queuedRecords[r.Key] = r.Value
	t.onWritten[r.Key] = pendingRecord{string(r.Value), done}
	t.mu.Unlock()
	t.wakeWriter()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// loadOrdersRecord reads the VMs to which a former owner gave orders recently.
func (t *term) loadOrdersRecord(value []byte) error {
	var ids []string
	if err := json.Unmarshal(value, &ids); err != nil {
		return errors.Wrapf(err, "decode %s", jobstore.OrdersKey)
	}
	for _, id := range ids {
		t.formerOrders[id] = true
	}
	return nil
}

// formerlyOrdered reports whether a former owner may have given a VM an order
// so recently that this owner must not give it one yet.
func (t *term) formerlyOrdered(vm string) bool {
	return t.formerOrders[vm] && boottime.Now()-t.startedAt < t.options.MinOrderInterval+orderIntervalMargin
}
