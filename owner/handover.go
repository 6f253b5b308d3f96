package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/jobstore"
)

const (
	// challengeEvery is the pause between looks at the owner's size, and
	// challengeAfter how long an owner is left alone first.
	challengeEvery = time.Second
	challengeAfter = 2 * time.Second
	// challengeLasts is how long a challenge stands if nobody answers it.
	challengeLasts = 3 * time.Second
	// muchLarger is how many times the owner's part of a core a challenger has.
	// A hand-over costs some 0.3 s in which nothing starts.
	muchLarger = 1.5
)

var errHandedOver = errors.New("handed over to a larger entry VM")

// coresOf returns the part of a core of a claim; one without a limit has all.
func coresOf(share float64) float64 {
	if share <= 0 {
		return 1
	}
	return share
}

// larger reports whether a is so much larger than b that a hand-over pays.
func larger(a, b jobstore.Claim) bool { return coresOf(a.CPUShare) >= muchLarger*coresOf(b.CPUShare) }

// claim is what this process contends with.
func (o *Owner) claim() jobstore.Claim {
	return jobstore.Claim{Node: o.options.Node, Process: o.process, CPUShare: o.options.CPUShare}
}

// seenOwner is the last owner that this process saw, or nil.
type seenOwner struct {
	claim jobstore.Claim
	since time.Duration
}

// noteOwner notes the present owner; nil stands for none.
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

// outgrown reports whether this entry VM is much larger than that of the owner.
// After an outage of the store a small one may have been the first to return.
func (o *Owner) outgrown() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.seen != nil && o.seen.claim.Node != o.options.Node && boottime.Now()-o.seen.since >= challengeAfter &&
		larger(o.claim(), o.seen.claim)
}

// challenge asks owners on much smaller entry VMs to hand over, until ctx ends.
func (o *Owner) challenge(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, nil, challengeEvery)
		if ctx.Err() != nil || !o.outgrown() || o.options.Manifest() == nil {
			continue
		}
		if err := jobstore.Challenge(ctx, o.options.Store, o.claim(), challengeLasts); err != nil && ctx.Err() == nil {
			o.options.Log.Warn().Str("event", "challenge_failed").Err(err).Msg("")
		}
	}
}

// yield ends the ownership when a much larger entry VM asks for it.
func (t *term) yield(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, nil, challengeEvery)
		challenger, ok, err := jobstore.ReadChallenge(ctx, t.options.Store)
		if err != nil || !ok || challenger.Node == t.options.Node || !larger(challenger, t.held.Claim) {
			// A store that does not answer is reported by the renewal.
			continue
		}
		t.options.Log.Info().Str("event", "ownership_handed_over").Str("to", challenger.Node).
			Float64("cpu_share", t.held.CPUShare).Float64("its_cpu_share", challenger.CPUShare).Msg("")
		t.end(errHandedOver)
		return
	}
}
