package claims

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"dotterelhead.example/dotterelhead/peer"
)

// TestShardTraces runs the protocol scripts in testdata/shard. The comment at the
// top of each script says what it guards against.
//
//	init [chunk=N] [page=N]                      starts entry VMs a and b, both idle
//	acquire|release|permit|run|crash at=X        permit: passes one tokenInput;
//	                                             run: makes all store calls that are due;
//	                                             crash: replaces the process
//	reserve|claim|await at=X key=K attempt=T [request=N]
//	finish at=X key=K attempt=T state=S
//	store at=X answer=ok|lost|lost-effect|lost-late|unavailable
//	late                                         writes still in transit reach the store
//	time by=D                                    advances the clock and steps every entry VM
//	chunks                                       prints the content of the store
func TestShardTraces(t *testing.T) {
	datadriven.Walk(t, "testdata/shard", func(t *testing.T, path string) {
		var s *script
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "init" {
				s = newScript(t, d)
				return ""
			}
			return s.run(t, d)
		})
	})
}

type script struct {
	*simulation
	attempts map[replyID]string
	lines    []string
}

func newScript(t *testing.T, d *datadriven.TestData) *script {
	l := defaultLimits()
	l.chunkRecords, l.listPage = 4, 2
	d.MaybeScanArgs(t, "chunk", &l.chunkRecords)
	d.MaybeScanArgs(t, "page", &l.listPage)
	s := &script{simulation: newSimulation(l, "a", "b"), attempts: map[replyID]string{}}
	s.trace = func(format string, args ...any) { s.lines = append(s.lines, fmt.Sprintf(format, args...)) }
	s.onReply = func(r reply) {
		line := fmt.Sprintf("%s: %s", s.attempts[r.id], r.state)
		if r.answer != nil {
			line += fmt.Sprintf(" %q", r.answer.GetBody())
		}
		s.lines = append(s.lines, line)
	}
	return s
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	s.lines = nil
	var at string
	n := s.nodes[0]
	if d.MaybeScanArgs(t, "at", &at); at == "b" {
		n = s.nodes[1]
	}
	switch d.Cmd {
	case "acquire":
		s.step(n, acquireInput{})
	case "release":
		s.step(n, releaseInput{})
	case "permit":
		s.step(n, tokenInput{})
	case "run":
		s.simulation.run(n)
	case "crash":
		s.restart(n)
	case "reserve":
		s.step(n, reserveInput{s.attempt(t, d)})
	case "claim":
		s.step(n, claimInput{s.attempt(t, d)})
	case "await":
		s.step(n, awaitInput{s.attempt(t, d)})
	case "finish":
		s.finish(t, d, n)
	case "store":
		var outcome string
		d.ScanArgs(t, "answer", &outcome)
		s.completeCall(n, outcome)
	case "late":
		for _, call := range s.lateWrites {
			s.perform(call)
		}
		s.lateWrites = nil
	case "time":
		var by string
		d.ScanArgs(t, "by", &by)
		duration, err := time.ParseDuration(by)
		if err != nil {
			t.Fatal(err)
		}
		s.now = s.now.Add(duration)
		for _, n := range s.nodes {
			s.step(n, tickInput{})
		}
	case "chunks":
		for _, k := range slices.Sorted(maps.Keys(s.store.values)) {
			s.trace("%s: %s", strings.TrimPrefix(k, "claims/north/00/"), describeChunk(k, s.store.values[k].Value))
		}
	default:
		t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	}
	if len(s.lines) == 0 {
		return ""
	}
	return strings.Join(s.lines, "\n") + "\n"
}

func (s *script) attempt(t *testing.T, d *datadriven.TestData) attemptInput {
	in := attemptInput{replyID: s.newReplyID(), fingerprint: 1}
	var k string
	d.ScanArgs(t, "key", &k)
	d.ScanArgs(t, "attempt", &in.attempt)
	d.MaybeScanArgs(t, "request", &in.fingerprint)
	in.key = testKey(k)
	s.attempts[in.replyID] = in.attempt
	return in
}

func (s *script) finish(t *testing.T, d *datadriven.TestData, n *node) {
	var state string
	d.ScanArgs(t, "state", &state)
	in := s.attempt(t, d)
	s.attempts[in.replyID] += " finishes"
	s.step(n, finishInput{
		replyID: in.replyID, key: in.key, attempt: in.attempt, state: peer.KeyState(peer.KeyState_value[state]),
		answer: &peer.KeptAnswer{Body: []byte("answer of " + in.attempt)},
	})
}
