package claims

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dotterelhead.example/dotterelhead/peer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes CI give the same result on each run; flags override it.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// smallLimits returns limits with which chunks and list pages are full after a few
// records.
func smallLimits() limits {
	l := defaultLimits()
	l.chunkRecords, l.batchRecords, l.listPage = 3, 4, 2
	return l
}

// Guards against granting a key twice, against answers that belong to another
// request, and against callers that never get a reply, under random sequences of
// messages, lost and late responses of the store, crashes, takeovers and pauses of
// several owners of one shard.
func TestNoKeyIsGrantedTwice(t *testing.T) {
	reached := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(smallLimits(), t.Fatalf, "a", "b", "c")
		m.trace = t.Logf
		for range rapid.IntRange(200, 1000).Draw(t, "steps") {
			randomStep(t, m)
		}
		m.checkReplies()
		for _, a := range m.attempts {
			reached[a.outcome.String()]++
		}
	})
	for _, state := range []string{"CLAIMED", "ANSWERED", "FINISHED", "UNKNOWN", "MISMATCH", "NOT_RUN", "STORE_UNAVAILABLE"} {
		if reached[state] < 5 {
			t.Errorf("only %d attempts reached %s, want at least 5", reached[state], state)
		}
	}
}

// randomStep makes one random step. The weights are such that owners stay long
// enough to grant keys, while each fault still occurs.
func randomStep(t *rapid.T, m *model) {
	n := rapid.SampledFrom(m.nodes).Draw(t, "node")
	switch weight := rapid.IntRange(0, 199).Draw(t, "action"); {
	case weight < 25:
		k := rapid.SampledFrom([]string{"k1", "k2", "k3", "k4", "k5", "k6"}).Draw(t, "key")
		a := m.begin(k, rapid.SampledFrom([]uint64{1, 1, 1, 2}).Draw(t, "fingerprint"))
		m.step(n, reserveInput{m.message(n, a)})
	case weight < 60:
		m.forAttempt(t, func(a *modelAttempt) { m.step(n, claimInput{m.message(n, a)}) }, "waiting")
	case weight < 63:
		m.forAttempt(t, func(a *modelAttempt) { m.step(n, claimInput{m.message(n, a)}) }, "over", "granted")
	case weight < 68:
		m.forAttempt(t, func(a *modelAttempt) { m.step(n, awaitInput{m.message(n, a)}) }, "waiting")
	case weight < 80:
		m.forAttempt(t, func(a *modelAttempt) { m.finish(n, a, peer.KeyState_ANSWERED) }, "granted")
	case weight < 82:
		m.forAttempt(t, func(a *modelAttempt) { m.finish(n, a, peer.KeyState_UNKNOWN) }, "granted")
	case weight < 89:
		m.forAttempt(t, func(a *modelAttempt) { m.finish(n, a, peer.KeyState_NOT_RUN) }, "granted", "waiting")
	case weight < 130:
		m.run(n)
	case weight < 170:
		faultyCall(t, m, n)
	case weight < 182:
		m.step(n, acquireInput{})
	case weight < 184:
		m.step(n, releaseInput{})
	case weight < 186:
		m.crash(n)
	case weight < 188:
		if len(m.lateWrites) > 0 {
			m.perform(m.lateWrites[rapid.IntRange(0, len(m.lateWrites)-1).Draw(t, "late write")])
		}
	default:
		m.now = m.now.Add(rapid.SampledFrom([]time.Duration{
			10 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second,
			2 * time.Second, 2 * time.Second, 2 * time.Second, 3 * time.Minute, 25 * time.Hour,
		}).Draw(t, "time"))
		m.step(n, tickInput{})
	}
}

func faultyCall(t *rapid.T, m *model, n *node) {
	switch {
	case n.outstanding != nil:
		m.completeCall(n, rapid.SampledFrom([]string{
			outcomeOK, outcomeOK, outcomeOK, outcomeLost, outcomeLostEffect, outcomeLostLate, outcomeUnavailable,
		}).Draw(t, "answer"))
	case n.wantsToken:
		m.step(n, tokenInput{})
	}
}

// forAttempt calls do with a random one of the latest 12 attempts that is in one of
// the states, if there is any.
func (m *model) forAttempt(t *rapid.T, do func(*modelAttempt), states ...string) {
	var found []*modelAttempt
	for _, a := range m.attempts[max(0, len(m.attempts)-12):] {
		if slices.Contains(states, a.state) {
			found = append(found, a)
		}
	}
	if len(found) > 0 {
		do(rapid.SampledFrom(found).Draw(t, "attempt"))
	}
}
