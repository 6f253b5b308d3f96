package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/jobstore"
)

const (
	// challengeEvery is the pause between checks of the owner's CPU share, and
	// challengeAfter the minimum time before a new owner is challenged.
	challengeEvery = time.Second
	challengeAfter = 2 * time.Second
	// challengeTTL is how long the record of a challenge lasts.
	challengeTTL = 3 * time.Second
	// minSizeRatio is the minimum ratio of a challenger's CPU share to that of
	// the owner. A handover costs about 0.3 s in which nothing starts.
	minSizeRatio = 1.5
)

var errHandedOver = errors.New("handed over to a larger entry VM")

// coresOf returns a CPU share as a fraction of a core; 0 stands for no limit
// and gives 1.
func coresOf(share float64) float64 {
	if share <= 0 {
		return 1
	}
	return share
}

// muchLarger reports whether the entry VM of a is so much larger than that of b
// that a handover is worth its cost.
func muchLarger(a, b jobstore.Claim) bool {
	return coresOf(a.CPUShare) >= minSizeRatio*coresOf(b.CPUShare)
}

// claim returns the claim with which this process contends for the ownership.
func (o *Owner) claim() jobstore.Claim {
	return jobstore.Claim{Node: o.options.Node, Process: o.process, CPUShare: o.options.CPUShare}
}

// seenOwner is the owner that the store names, and when this process first saw
// it there.
type seenOwner struct {
	claim jobstore.Claim
	since time.Duration
}

// noteOwner sets the owner that the store names; nil stands for none.
func (o *Owner) noteOwner(c *jobstore.Claim) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case c == nil:
		o.seen = nil
	case o.seen == nil || o.seen.claim != *c:
		o.seen = &seenOwner{claim: *c, since: boottime.Now()}
	}
}

// shouldChallenge reports whether to ask the owner to hand over: its entry VM is
// another one and much smaller, and this process has seen it as the owner for at
// least challengeAfter. After an outage of the store, a small entry VM may have
// been the first that could reach the store again, and so became the owner.
func (o *Owner) shouldChallenge() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.seen != nil && o.seen.claim.Node != o.options.Node && boottime.Now()-o.seen.since >= challengeAfter &&
		muchLarger(o.claim(), o.seen.claim)
}

// challengeSmallerOwners asks owners on much smaller entry VMs to hand over,
// until ctx ends.
func (o *Owner) challengeSmallerOwners(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, nil, challengeEvery)
		if ctx.Err() != nil || !o.shouldChallenge() || o.options.Manifest() == nil {
			continue
		}
		if err := jobstore.Challenge(ctx, o.options.Store, o.claim(), challengeTTL); err != nil && ctx.Err() == nil {
			o.options.Log.Warn().Str("event", "challenge_failed").Err(err).Msg("")
		}
	}
}

// watchChallenges ends the ownership when a much larger entry VM challenges it.
func (t *term) watchChallenges(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, nil, challengeEvery)
		challenger, ok, err := jobstore.ReadChallenge(ctx, t.options.Store)
		if err != nil || !ok || challenger.Node == t.options.Node || !muchLarger(challenger, t.ownership.Claim) {
			// An error is not logged here, because renew logs outages of the store.
			continue
		}
		t.options.Log.Info().Str("event", "ownership_handed_over").Str("to", challenger.Node).
			Float64("cpu_share", t.ownership.CPUShare).Float64("its_cpu_share", challenger.CPUShare).Msg("")
		t.end(errHandedOver)
		return
	}
}
