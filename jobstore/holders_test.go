package jobstore

import "testing"

// An owner of this version takes over from one of an earlier version, whose record of lease
// holders has no items.
func TestLeaseHoldersOfEarlierVersions(t *testing.T) {
	h, err := DecodeLeaseHolders([]byte(`{"w1":3400,"lease":7}`))
	if err != nil || h.LeaseMillis["w1"] != 3400 || h.LeaseMillis["lease"] != 7 || h.MayRun != nil {
		t.Errorf("decoded %+v, %v", h, err)
	}
	h, err = DecodeLeaseHolders([]byte(`{"lease_ms":{"w1":3400,"w2":10},"may_run":{"w2":[]}}`))
	if all, withItems := h.IDs(); err != nil || len(all) != 2 || len(withItems) != 1 || withItems[0] != "w2" {
		t.Errorf("decoded %+v, %v", h, err)
	}
	if _, err := DecodeLeaseHolders([]byte(`[`)); err == nil {
		t.Error("an unreadable record is decoded")
	}
}
