package capacity

import (
	"encoding/json"
	"testing"
	"time"
)

// Load pattern: the turn of a pool begins after a change of owner in the turn of another.
// Guards against an owner that takes the size of a pool in its turn for its usual one: the
// next pool was expected to need 30 VMs like before, asked for what waited only, and had 900
// to 2,200 cores waiting for 4 s beside 130 VMs that were switched off.
func TestBurstIsExpectedToGrowLikeThoseBeforeAChangeOfOwner(t *testing.T) {
	spare := CoreDemand{Pool: "spare", Spare: true}
	vms := append(idleVMs("a", 10), idleVMs("b", 10)...)
	vms = append(vms, idleVMs("spare", 100)...)
	former := NewRebalancer(RebalancingOptions{})
	former.Plan(time.Minute, []CoreDemand{spare, pool("a", 0, 0), pool("b", 0, 0)}, vms)
	for at := time.Duration(0); at < 4*time.Second; at += 200 * time.Millisecond {
		former.Plan(time.Minute+time.Second+at, []CoreDemand{spare, pool("a", 50*testCores, 0), pool("b", 0, 0)}, vms)
	}
	wall := time.Unix(1700000000, 0)
	value, err := json.Marshal(former.Learned([]string{"spare", "a", "b"}, time.Minute+5*time.Second, wall))
	if err != nil {
		t.Fatal(err)
	}
	var learned []LearnedPool
	if err := json.Unmarshal(value, &learned); err != nil {
		t.Fatal(err)
	}
	next := NewRebalancer(RebalancingOptions{})
	if n := next.Restore(learned, 2*time.Second, wall.Add(time.Second)); n != 1 {
		t.Fatalf("%d pools restored of %s, want 1", n, value)
	}
	vms = append(idleVMs("a", 50), idleVMs("b", 10)...)
	vms = append(vms, idleVMs("spare", 60)...)
	next.Plan(2*time.Second, []CoreDemand{spare, pool("a", 50*testCores, 0), pool("b", 0, 0)}, vms)
	moves, _ := next.Plan(3*time.Second, []CoreDemand{spare, pool("a", 40*testCores, 0), pool("b", 10*testCores, 0)}, vms)
	if n := countMoves(moves, "spare", "b"); n < 30 {
		t.Errorf("%d VMs for a pool of 10 whose turn begins after another pool took five times its VMs, want at least 30", n)
	}
}

// Guards against a damaged record that makes a pool expect a burst.
func TestUnsoundLearnedBurstsAreLeftOut(t *testing.T) {
	wall := time.Unix(1700000000, 0)
	ago := func(d time.Duration) int64 { return wall.Add(-d).UnixMilli() }
	r := NewRebalancer(RebalancingOptions{})
	n := r.Restore([]LearnedPool{
		{Pool: "size", Peak: 5, Starts: []int64{ago(time.Second)}},
		{Pool: "peak", InitialSize: 5, Peak: -1, Starts: []int64{ago(time.Second)}},
		{Pool: "none", InitialSize: 5, Peak: 5},
		{Pool: "future", InitialSize: 5, Peak: 5, Starts: []int64{ago(-time.Minute)}},
		{Pool: "old", InitialSize: 5, Peak: 5, Starts: []int64{ago(time.Hour)}},
		{Pool: "order", InitialSize: 5, Peak: 5, Starts: []int64{ago(time.Second), ago(2 * time.Second)}},
		{Pool: "many", InitialSize: 5, Peak: 5, Starts: []int64{ago(4), ago(3), ago(2), ago(1)}},
	}, time.Hour, wall)
	if n != 0 {
		t.Errorf("%d entries were taken over, want none", n)
	}
}
