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

// announceTimeout bounds the wait for the store to learn of orders.
const announceTimeout = time.Second

// announceOrders lets the store know which VMs get orders, before they get
// them, so that a later owner keeps its distance. It reports false if the
// store did not confirm it.
func (t *term) announceOrders(ctx context.Context, vms []string) bool {
	now := boottime.Now()
	for _, id := range vms {
		t.orderedAt[id] = now
	}
	var recent []string
	for id, at := range t.orderedAt {
		if now-at > t.options.HandOver+handOverMargin {
			delete(t.orderedAt, id)
			continue
		}
		recent = append(recent, id)
	}
	slices.Sort(recent)
	value, err := json.Marshal(recent)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return t.writeThrough(ctx, jobstore.Record{Key: jobstore.OrdersKey, Value: value})
}

// writeThrough writes a record and waits until the store has it.
func (t *term) writeThrough(ctx context.Context, r jobstore.Record) bool {
	done := make(chan struct{})
	t.mu.Lock()
	t.records[r.Key] = r.Value
	t.onWritten[r.Key] = done
	t.mu.Unlock()
	t.kickWriter()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// takeOrdersRecord reads which VMs a former owner gave orders to lately.
func (t *term) takeOrdersRecord(value []byte) error {
	var ids []string
	if err := json.Unmarshal(value, &ids); err != nil {
		return errors.Wrapf(err, "decode %s", jobstore.OrdersKey)
	}
	for _, id := range ids {
		t.formerOrders[id] = true
	}
	return nil
}

// formerlyOrdered reports whether a VM may have had an order of a former owner
// within the time in which successive owners must not take turns.
func (t *term) formerlyOrdered(vm string) bool {
	return t.formerOrders[vm] && boottime.Now()-t.startedAt < t.options.HandOver+handOverMargin
}
