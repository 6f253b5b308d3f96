package claims

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dotterelhead.example/dotterelhead/claims/chunk"
	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/peer"
)

// simulation runs the state machines of one shard at several entry VMs over one
// store, without goroutines: the test decides when each store call takes effect and
// which response its caller gets.
type simulation struct {
	now    time.Time
	limits limits
	store  *memoryStore
	nodes  []*node
	// lateWrites holds writes whose caller no longer waits, but which may still reach
	// the store.
	lateWrites  []*storeCall
	incarnation uint64
	nextReply   replyID
	onReply     func(reply)
	trace       func(format string, args ...any)
}

type node struct {
	*shard
	name        string
	outstanding *storeCall
	wantsToken  bool
}

func newSimulation(l limits, names ...string) *simulation {
	sim := &simulation{
		now: time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC), limits: l, store: newMemoryStore(1),
		onReply: func(reply) {}, trace: func(string, ...any) {},
	}
	for _, name := range names {
		sim.nodes = append(sim.nodes, &node{name: name})
		sim.restart(sim.nodes[len(sim.nodes)-1])
	}
	return sim
}

// restart replaces the process of an entry VM. A write in progress may still reach
// the store.
func (sim *simulation) restart(n *node) {
	if n.outstanding != nil && n.outstanding.kind == callPut {
		sim.lateWrites = append(sim.lateWrites, n.outstanding)
	}
	sim.incarnation++
	n.shard = newShard(sim.limits, "claims/north/00/", n.name, sim.incarnation, newAnswerCache(64<<10, 1<<20, 10*time.Minute))
	n.outstanding, n.wantsToken = nil, false
}

func (sim *simulation) step(n *node, in input) {
	out := n.step(sim.now, in)
	for _, e := range out.events {
		sim.trace("%s: event %s", n.name, e.name)
	}
	if out.call != nil {
		n.outstanding = out.call
		sim.trace("%s -> store: %s", n.name, describe(out.call))
	}
	if out.wantsToken && !n.wantsToken {
		sim.trace("%s wants to write", n.name)
	}
	n.wantsToken = out.wantsToken
	for _, r := range out.replies {
		sim.onReply(r)
	}
}

// Outcomes of a store call.
const (
	outcomeOK          = "ok"
	outcomeLost        = "lost"        // no effect, response lost
	outcomeLostEffect  = "lost-effect" // took effect, response lost
	outcomeLostLate    = "lost-late"   // takes effect later, response lost
	outcomeUnavailable = "unavailable"
)

// completeCall ends the outstanding store call of a node.
func (sim *simulation) completeCall(n *node, outcome string) {
	call := n.outstanding
	n.outstanding = nil
	if outcome == outcomeOK {
		sim.step(n, sim.perform(call))
		return
	}
	result := resultInput{err: infrastructure.ErrOutcomeUnknown}
	switch {
	case outcome == outcomeUnavailable:
		result.err = infrastructure.ErrUnavailable
	case outcome == outcomeLostEffect:
		sim.perform(call)
	case outcome == outcomeLostLate && call.kind == callPut:
		sim.lateWrites = append(sim.lateWrites, call)
	}
	sim.trace("store -> %s: %v", n.name, result.err)
	sim.step(n, result)
}

func (sim *simulation) perform(call *storeCall) (result resultInput) {
	switch call.kind {
	case callPut:
		result.version, result.err = sim.store.put(call.key, call.value, call.expected)
	case callGet:
		result.value, result.err = sim.store.get(call.key)
	case callList:
		result.list = sim.store.list("claims/north/00/", call.after, call.limit)
	case callDelete:
		result.err = sim.store.remove(call.key, call.expected)
	}
	if result.err != nil {
		sim.trace("store: %v", result.err)
	}
	return result
}

// run makes all store calls that a node can make now.
func (sim *simulation) run(n *node) {
	for n.outstanding != nil || n.wantsToken {
		if n.outstanding != nil {
			sim.completeCall(n, outcomeOK)
		} else {
			sim.step(n, tokenInput{})
		}
	}
}

func (sim *simulation) newReplyID() replyID {
	sim.nextReply++
	return sim.nextReply
}

func describe(call *storeCall) string {
	name := strings.TrimPrefix(call.key, "claims/north/00/")
	switch call.kind {
	case callPut:
		return fmt.Sprintf("put %s at version %d: %s", name, call.expected, describeChunk(call.key, call.value))
	case callGet:
		return "get " + name
	case callList:
		return fmt.Sprintf("list after %q", strings.TrimPrefix(call.after, "claims/north/00/"))
	default:
		return fmt.Sprintf("delete %s at version %d", name, call.expected)
	}
}

func describeChunk(documentKey string, value []byte) string {
	content, err := decodeChunk("claims/north/00/", documentKey, value)
	if err != nil {
		return err.Error()
	}
	parts := []string{fmt.Sprintf("owner %s, epoch %d, batch %d.%d", content.owner, content.epoch, content.incarnation, content.sequence)}
	for _, r := range content.records {
		parts = append(parts, strings.TrimRight(string(r.key[:]), "\x00")+" "+strings.ToLower(chunk.State_name[int32(r.state())]))
	}
	if content.sealed {
		parts = append(parts, "sealed")
	}
	return strings.Join(parts, "; ")
}

func testKey(name string) (k key) {
	copy(k[:], name)
	return k
}

// model checks the replies that callers get, whatever faults occur at the owners and
// the store.
//
// An attempt is granted the key when it gets CLAIMED while it still waits. No other
// attempt on the key may be granted until this one finishes with NOT_RUN or its
// record may have expired.
type model struct {
	*simulation
	attempts []*modelAttempt
	// byReply maps reply ids to the attempts that the messages belong to; sentTo
	// maps those without a reply so far to the node that got the message.
	byReply map[replyID]*modelAttempt
	sentTo  map[replyID]*node
	fail    func(format string, args ...any)
}

type modelAttempt struct {
	attemptInput
	// state is "waiting" while messages may be sent, "granted" after CLAIMED, and
	// "over" once the caller has its answer or the attempt has been abandoned.
	state   string
	granted time.Time
	ran     bool
	// outcome is the last reply.
	outcome peer.KeyState
}

func newModel(l limits, fail func(string, ...any), names ...string) *model {
	m := &model{simulation: newSimulation(l, names...), byReply: map[replyID]*modelAttempt{}, sentTo: map[replyID]*node{}, fail: fail}
	m.onReply = m.observe
	return m
}

func (m *model) begin(k string, fingerprint uint64) *modelAttempt {
	a := &modelAttempt{state: "waiting", attemptInput: attemptInput{
		key: testKey(k), fingerprint: fingerprint, attempt: fmt.Sprint("t", len(m.attempts)),
	}}
	m.attempts = append(m.attempts, a)
	return a
}

// message returns the input of an attempt with a new reply id.
func (m *model) message(n *node, a *modelAttempt) attemptInput {
	in := a.attemptInput
	in.replyID = m.newReplyID()
	m.byReply[in.replyID], m.sentTo[in.replyID] = a, n
	return in
}

// crash restarts a node. The callers that wait there get an error instead of a
// reply.
func (m *model) crash(n *node) {
	m.restart(n)
	maps.DeleteFunc(m.sentTo, func(_ replyID, at *node) bool { return at == n })
}

// checkReplies lets 130 s pass without faults, longer than the timeout of an attempt,
// and checks that no caller still waits.
func (m *model) checkReplies() {
	for range 130 {
		m.now = m.now.Add(time.Second)
		for _, n := range m.nodes {
			m.step(n, tickInput{})
			m.run(n)
		}
	}
	for id, n := range m.sentTo {
		m.fail("%s got no reply from %s", m.byReply[id].attempt, n.name)
	}
}

func (m *model) observe(r reply) {
	a := m.byReply[r.id]
	delete(m.sentTo, r.id)
	if a == nil || a.state != "waiting" {
		return
	}
	a.outcome = r.state
	switch r.state {
	case peer.KeyState_CLAIMED:
		m.checkGrant(a)
		a.state, a.granted = "granted", m.now
	case peer.KeyState_ANSWERED:
		a.state = "over"
		m.checkRan(a, string(r.answer.GetBody()))
	case peer.KeyState_FINISHED:
		a.state = "over"
		m.checkRan(a, "")
	case peer.KeyState_UNKNOWN, peer.KeyState_MISMATCH, peer.KeyState_NOT_RUN, peer.KeyState_STORE_UNAVAILABLE:
		a.state = "over"
	}
}

// checkRan checks that an attempt with the same key and request as a has run. If
// name is not empty, it must be the attempt of that name.
func (m *model) checkRan(a *modelAttempt, name string) {
	if !slices.ContainsFunc(m.attempts, func(b *modelAttempt) bool {
		return b.ran && (name == "" || b.attempt == name) && b.key == a.key && b.fingerprint == a.fingerprint
	}) {
		m.fail("%s got the outcome of %q, which did not run", a.attempt, name)
	}
}

// checkGrant checks that no other attempt holds the key of a. The retention of a record
// counts from when its write was built, which is before the grant; a minute covers the
// difference.
func (m *model) checkGrant(a *modelAttempt) {
	for _, b := range m.attempts {
		if b != a && b.key == a.key && !b.granted.IsZero() && m.now.Sub(b.granted) < m.limits.retention-time.Minute {
			m.fail("%s is granted key %s while %s holds it", a.attempt, a.key[:2], b.attempt)
		}
	}
}

// finish ends an attempt. With NOT_RUN, the attempt was not sent.
func (m *model) finish(n *node, a *modelAttempt, state peer.KeyState) {
	in := finishInput{replyID: m.newReplyID(), key: a.key, attempt: a.attempt, state: state}
	if state == peer.KeyState_NOT_RUN {
		a.granted = time.Time{}
	} else {
		a.ran = a.ran || !a.granted.IsZero()
		in.answer = &peer.KeptAnswer{Body: []byte(a.attempt)}
	}
	a.state = "over"
	m.step(n, in)
}
