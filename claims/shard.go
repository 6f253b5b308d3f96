package claims

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/claims/chunk"
	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/peer"
)

// limits holds the sizes and times that a shard works with.
type limits struct {
	// chunkRecords is the number of records at which a chunk is sealed.
	chunkRecords int
	// batchRecords is the maximum number of records that one write adds.
	batchRecords int
	// listPage is the number of chunks that one list call reads at a takeover.
	listPage int
	// attemptTimeout is the timeout of an attempt that sets none itself.
	attemptTimeout time.Duration
	// retention is how long a record is kept after its claim.
	retention time.Duration
	// updateDelay is how long state updates of records wait for a claim to share a
	// write with.
	updateDelay time.Duration
	// maxStoreWait bounds how long callers wait for the store.
	maxStoreWait time.Duration
	// maxLostReads is how many responses may be lost to the reads that check whether a
	// write took effect, counted since the write was last sent. When one more is
	// lost, the store counts as down.
	maxLostReads int
	// minBackoff and maxBackoff bound the pause before the store is called again
	// after a failure.
	minBackoff, maxBackoff time.Duration
	// endedRetention is how long an ended attempt is remembered, to recognise its late
	// messages.
	endedRetention time.Duration
	// reacquireDelay is the pause before a lost shard is acquired again. Without it, two
	// entry VMs that both believe that they own a shard would take it from each
	// other continuously.
	reacquireDelay time.Duration
}

func defaultLimits() limits {
	return limits{
		chunkRecords: 100, batchRecords: 500, listPage: 100,
		attemptTimeout: 2 * time.Minute, retention: 24 * time.Hour, updateDelay: time.Second,
		maxStoreWait: time.Second, maxLostReads: 2, minBackoff: 100 * time.Millisecond, maxBackoff: time.Second,
		endedRetention: time.Minute, reacquireDelay: time.Second,
	}
}

// phase is the state of a shard at one entry VM.
type phase int

const (
	// phaseIdle: the shard is not owned by this entry VM.
	phaseIdle phase = iota
	// phaseLoading: the takeover has begun and the chunks are being read.
	phaseLoading
	// phaseFencing: the first write is in progress; it makes every later write of the
	// former owner fail.
	phaseFencing
	// phaseOwner: the shard is served.
	phaseOwner
	// phaseReleasing: the last state updates are being written before the shard is
	// given up.
	phaseReleasing
)

// stage is the progress of a write.
type stage int

const (
	// stagePut: the write has to be sent, or sent again.
	stagePut stage = iota
	// stageRead: the chunk has to be read to learn whether the write took effect.
	stageRead
	// stageVerify: the write created a chunk; a list call has to check that no
	// later chunk exists.
	stageVerify
)

// write is the write in progress of a shard; there is at most one.
type write struct {
	stage   stage
	content chunkContent
	// value is the encoded content.
	value []byte
	// expected is the version of the chunk that the write replaces, 0 if it creates
	// the chunk; version is the new one, once the write is known to have taken effect.
	expected int64
	version  int64
	started  time.Time
	// unsettled is set when a response was lost: the write may take effect at any
	// later time until another write of the same chunk succeeds.
	unsettled bool
	// lostReads counts the reads whose response was lost since the write was last
	// sent.
	lostReads int
	claims    []pendingClaim
	// updates holds the keys whose state update this write makes durable.
	updates []key
	// replacedUpdates holds the keys whose state update is superseded by a claim of
	// this write.
	replacedUpdates []key
}

// pendingClaim is a claim that waits for a write. Its record is set when the write
// is built.
type pendingClaim struct {
	key     key
	attempt string
	record  record
}

type attemptPhase int

const (
	// attemptReserved: the attempt is announced but has not asked for the key.
	attemptReserved attemptPhase = iota
	// attemptClaiming: the claim is not known to be written yet.
	attemptClaiming
	// attemptClaimed: the claim is written and the request may have been sent.
	attemptClaimed
)

// runningAttempt is the attempt in progress on a key.
type runningAttempt struct {
	attempt      string
	fingerprint  uint64
	phase        attemptPhase
	expires      time.Time
	claimReplies []replyID
	awaitReplies []replyID
	// waiters holds the attempts that wait for this one: those that got
	// IN_PROGRESS or called Await.
	waiters map[string]struct{}
}

// sealedChunk describes a sealed chunk that has not been deleted yet.
type sealedChunk struct {
	number             uint32
	version            int64
	newestClaimSeconds uint32
}

// endedAttempt is an ended attempt, which is remembered until forgetAt.
type endedAttempt struct {
	attempt  string
	forgetAt time.Time
}

// shard is the state machine of one shard at one entry VM. It does no I/O,
// reads no clock and starts no goroutines: step takes an input and the time,
// and returns the replies to give and the store call to make.
//
// Invariants:
//
//   - The chunks of a shard are numbered without gaps, all but the last are
//     sealed, and a sealed chunk is never written again. So the next write has
//     exactly one target: the last chunk if it is not sealed, else the next
//     number, which must not exist yet. Every write is a compare-and-swap on that
//     target, so of two owners only one succeeds and the other one notices.
//   - CLAIMED is replied only after a write with the claim is known to have taken
//     effect, based on the latest version of the chunk.
//   - At most one write is in progress. While it is unsettled, no other write is
//     built; it is sent again with the same bytes until it has taken effect or
//     another write has changed the chunk.
//   - A key whose record is in state CLAIMED and has not expired is granted again
//     only to the attempt that the record names, or after that attempt ended without
//     CLAIMED or finished with NOT_RUN.
//   - Each write or deletion needs a permitInput, by which the driver limits their
//     rate.
//   - The last chunk is never deleted. Otherwise an owner that was frozen for
//     longer than records are kept could create the chunk again without noticing
//     that another owner had written it.
type shard struct {
	limits      limits
	prefix      string
	entryID     string
	incarnation uint64
	answers     *answerCache

	phase    phase
	sequence int64
	epoch    int64
	index    map[key]record
	sealed   []sealedChunk
	// openChunk is the chunk for the next write; openVersion is 0 if it does not exist
	// yet.
	openChunk   chunkContent
	openVersion int64

	// deletionTurn is set when the next token goes to a deletion, if one is due.
	deletionTurn bool

	// State of reading the chunks at a takeover: the key after which the next page
	// starts, the highest sealed chunk whose records are in the index, the version
	// of the unsealed chunk held in openChunk (0 for none), and the number of the
	// latest chunk that was found neither sealed nor last and is read again.
	listAfter       string
	lastSealed      uint32
	unsealedVersion int64
	rereadChunk     uint32

	running map[key]*runningAttempt
	// pending holds the claims that are not part of a write yet.
	pending []pendingClaim
	// dirty holds the keys with a pending state update: their state in the index is
	// newer than in the store.
	dirty         []key
	dirtySince    time.Time
	endedAttempts map[string]time.Time
	endedOrder    []endedAttempt

	write *write
	call  *storeCall
	// resets counts the calls of reset, so that the result of a store call from
	// before a reset is ignored.
	resets      int64
	callStarted time.Time

	storeDown        bool
	failures         int
	retryAt          time.Time
	acquireNotBefore time.Time
	nextExpiry       time.Time
	nextSweep        time.Time

	out output
}

func newShard(l limits, prefix, entryID string, incarnation uint64, cache *answerCache) *shard {
	s := &shard{limits: l, prefix: prefix, entryID: entryID, incarnation: incarnation, answers: cache}
	s.reset()
	return s
}

// reset returns to phaseIdle and drops the records, the attempts and the write in
// progress. It keeps, among others, the batch sequence number and the epoch, which must
// not go back, and the store call in progress, whose result is then ignored.
func (s *shard) reset() {
	s.phase = phaseIdle
	s.index, s.running, s.endedAttempts = map[key]record{}, map[key]*runningAttempt{}, map[string]time.Time{}
	s.sealed, s.pending, s.dirty, s.endedOrder = nil, nil, nil, nil
	s.openChunk, s.openVersion = chunkContent{}, 0
	s.listAfter, s.lastSealed, s.unsealedVersion, s.rereadChunk = "", 0, 0, 0
	s.write = nil
	s.resets++
	s.storeDown, s.failures, s.retryAt = false, 0, time.Time{}
}

// step processes one input and returns what has to be done.
func (s *shard) step(now time.Time, in input) output {
	s.out = output{}
	s.expire(now)
	switch in := in.(type) {
	case reserveInput:
		s.reserve(now, in)
	case claimInput:
		s.claim(now, in)
	case finishInput:
		s.finish(now, in)
	case awaitInput:
		s.await(now, in)
	case cancelWaitInput:
		s.cancelWait(in)
	case acquireInput:
		s.acquire(now)
	case releaseInput:
		s.release(now)
	case tokenInput:
		s.useToken(now)
	case resultInput:
		s.handleResult(now, in)
	case tickInput:
	}
	s.advance(now)
	// Attempts in progress are held in a map; the order of replies must not
	// depend on its order.
	slices.SortStableFunc(s.out.replies, func(a, b reply) int { return cmp.Compare(a.id, b.id) })
	return s.out
}

func (s *shard) reply(id replyID, state peer.KeyState, answer *peer.KeptAnswer) {
	s.out.replies = append(s.out.replies, reply{id: id, state: state, answer: answer})
}

func (s *shard) event(name string, err error) {
	s.out.events = append(s.out.events, event{name: name, err: err})
}

// notServingState is the state to reply while the shard is not served.
func (s *shard) notServingState() peer.KeyState {
	if s.phase == phaseLoading || s.phase == phaseFencing {
		return peer.KeyState_STORE_UNAVAILABLE
	}
	return peer.KeyState_NOT_OWNER
}

// lookup returns the recorded state of a key without a running attempt; RESERVED
// means that the key is free.
func (s *shard) lookup(now time.Time, k key, fingerprint uint64) (peer.KeyState, *peer.KeptAnswer) {
	recorded, ok := s.index[k]
	if !ok || s.isExpired(now, recorded) || recorded.hasState(chunk.State_NOT_RUN) {
		return peer.KeyState_RESERVED, nil
	}
	if recorded.fingerprint != fingerprint {
		return peer.KeyState_MISMATCH, nil
	}
	if recorded.hasState(chunk.State_CLAIMED) {
		return peer.KeyState_UNKNOWN, nil
	}
	if answer := s.answers.get(now, k, recorded.attempt); answer != nil {
		return peer.KeyState_ANSWERED, answer
	}
	return peer.KeyState_FINISHED, nil
}

func (s *shard) isExpired(now time.Time, r record) bool {
	return now.Unix() > int64(r.claimedSeconds)+int64(s.limits.retention/time.Second)
}

// replyIfRefused replies to an attempt on a shard that is not served, and to one that
// has already ended. It reports whether it replied.
func (s *shard) replyIfRefused(id replyID, attempt string) bool {
	if s.phase != phaseOwner {
		s.reply(id, s.notServingState(), nil)
		return true
	}
	_, ended := s.endedAttempts[attempt]
	if ended {
		s.reply(id, peer.KeyState_NOT_RUN, nil)
	}
	return ended
}

func (s *shard) reserve(now time.Time, in reserveInput) {
	if s.replyIfRefused(in.replyID, in.attempt) {
		return
	}
	if current := s.running[in.key]; current != nil {
		s.reply(in.replyID, s.attachToRunning(current, in.attemptInput), nil)
		return
	}
	state, answer := s.lookup(now, in.key, in.fingerprint)
	if state == peer.KeyState_RESERVED {
		if s.storeDown {
			state = peer.KeyState_STORE_UNAVAILABLE
		} else {
			s.start(now, in.attemptInput, attemptReserved)
		}
	}
	s.reply(in.replyID, state, answer)
}

// attachToRunning returns the state to reply to an attempt on a key with a running
// attempt; RESERVED when it is the running attempt itself. Any other attempt with
// the same request becomes a waiter.
func (s *shard) attachToRunning(current *runningAttempt, in attemptInput) peer.KeyState {
	switch {
	case current.fingerprint != in.fingerprint:
		return peer.KeyState_MISMATCH
	case current.attempt == in.attempt:
		return peer.KeyState_RESERVED
	}
	current.waiters[in.attempt] = struct{}{}
	return peer.KeyState_IN_PROGRESS
}

func (s *shard) start(now time.Time, in attemptInput, p attemptPhase) *runningAttempt {
	timeout := in.timeout
	if timeout <= 0 {
		timeout = s.limits.attemptTimeout
	}
	timeout = min(timeout, s.limits.retention)
	current := &runningAttempt{
		attempt: in.attempt, fingerprint: in.fingerprint, phase: p,
		expires: now.Add(timeout), waiters: map[string]struct{}{},
	}
	s.running[in.key] = current
	return current
}

func (s *shard) claim(now time.Time, in claimInput) {
	if s.replyIfRefused(in.replyID, in.attempt) {
		return
	}
	current := s.running[in.key]
	if current == nil {
		if current = s.startAtClaim(now, in); current == nil {
			return
		}
	}
	if state := s.attachToRunning(current, in.attemptInput); state != peer.KeyState_RESERVED {
		s.reply(in.replyID, state, nil)
		return
	}
	switch {
	case current.phase == attemptClaimed:
		s.reply(in.replyID, peer.KeyState_CLAIMED, nil)
	case s.storeDown:
		s.reply(in.replyID, peer.KeyState_STORE_UNAVAILABLE, nil)
		s.endNotRun(now, in.key, current)
	default:
		if current.phase == attemptReserved {
			current.phase = attemptClaiming
			s.pending = append(s.pending, pendingClaim{key: in.key, attempt: in.attempt})
		}
		current.claimReplies = append(current.claimReplies, in.replyID)
	}
}

// startAtClaim starts an attempt whose reservation is not known here, for example
// because it was made at the former owner. If the key is not free, it replies with
// the state of the key and returns nil.
func (s *shard) startAtClaim(now time.Time, in claimInput) *runningAttempt {
	recorded, ok := s.index[in.key]
	if ok && !s.isExpired(now, recorded) && recorded.hasState(chunk.State_CLAIMED) && recorded.attempt == attemptHash(in.attempt) && recorded.fingerprint == in.fingerprint {
		// The attempt repeats a claim whose reply it did not get.
		return s.start(now, in.attemptInput, attemptClaimed)
	}
	state, answer := s.lookup(now, in.key, in.fingerprint)
	if state != peer.KeyState_RESERVED {
		s.reply(in.replyID, state, answer)
		return nil
	}
	return s.start(now, in.attemptInput, attemptReserved)
}

func (s *shard) finish(now time.Time, in finishInput) {
	if s.phase != phaseOwner && s.phase != phaseReleasing {
		s.reply(in.replyID, s.notServingState(), nil)
		return
	}
	defer s.reply(in.replyID, in.state, nil)
	current := s.running[in.key]
	switch {
	case current == nil:
		s.finishWithoutRunning(now, in)
	case current.attempt != in.attempt:
		delete(current.waiters, in.attempt)
		s.markEnded(now, in.attempt)
		s.finishWithoutRunning(now, in)
	case in.state == peer.KeyState_NOT_RUN:
		if current.phase == attemptClaimed {
			s.setState(now, in.key, chunk.State_NOT_RUN)
		}
		s.endNotRun(now, in.key, current)
	case current.phase != attemptClaimed:
		s.event("finish_without_claim", errors.Errorf("attempt %s reports an outcome, but its claim is not recorded", in.attempt))
	default:
		state, answer := s.recordOutcome(now, in)
		s.end(in.key, current, state, answer)
	}
}

// finishWithoutRunning handles the end of an attempt that is not running here: it
// was started at another owner, or its timeout has passed.
func (s *shard) finishWithoutRunning(now time.Time, in finishInput) {
	if in.state == peer.KeyState_NOT_RUN {
		s.markEnded(now, in.attempt)
	}
	recorded, ok := s.index[in.key]
	if !ok || recorded.attempt != attemptHash(in.attempt) || !recorded.hasState(chunk.State_CLAIMED) {
		return
	}
	if in.state == peer.KeyState_NOT_RUN {
		s.setState(now, in.key, chunk.State_NOT_RUN)
		return
	}
	s.recordOutcome(now, in)
}

// recordOutcome updates the record of a request that was sent and returns the reply
// for the attempts that wait for it.
func (s *shard) recordOutcome(now time.Time, in finishInput) (peer.KeyState, *peer.KeptAnswer) {
	if in.state != peer.KeyState_ANSWERED && in.state != peer.KeyState_FINISHED {
		return peer.KeyState_UNKNOWN, nil
	}
	s.setState(now, in.key, chunk.State_FINISHED)
	if in.state == peer.KeyState_ANSWERED && s.answers.put(now, in.key, attemptHash(in.attempt), in.answer) {
		return peer.KeyState_ANSWERED, in.answer
	}
	return peer.KeyState_FINISHED, nil
}

// setState changes the state of a record in the index. A later write stores it.
func (s *shard) setState(now time.Time, k key, state chunk.State) {
	recorded, ok := s.index[k]
	if !ok {
		return
	}
	s.index[k] = recorded.withState(state)
	s.setDirty(now, k)
}

func (s *shard) setDirty(now time.Time, k key) {
	if len(s.dirty) == 0 {
		s.dirtySince = now
	}
	s.dirty = append(s.dirty, k)
}

func (s *shard) await(now time.Time, in awaitInput) {
	if s.replyIfRefused(in.replyID, in.attempt) {
		return
	}
	if current := s.running[in.key]; current != nil {
		if current.fingerprint != in.fingerprint {
			s.reply(in.replyID, peer.KeyState_MISMATCH, nil)
			return
		}
		current.waiters[in.attempt] = struct{}{}
		current.awaitReplies = append(current.awaitReplies, in.replyID)
		return
	}
	state, answer := s.lookup(now, in.key, in.fingerprint)
	if state == peer.KeyState_RESERVED {
		// The first attempt ended at a former owner, or has not claimed the key.
		// The waiting attempt was not sent, and as it ends here, it never will be.
		state = peer.KeyState_NOT_RUN
		s.markEnded(now, in.attempt)
	}
	s.reply(in.replyID, state, answer)
}

// cancelWait removes a caller that no longer waits.
func (s *shard) cancelWait(in cancelWaitInput) {
	current := s.running[in.key]
	if current == nil {
		return
	}
	same := func(id replyID) bool { return id == in.replyID }
	current.awaitReplies = slices.DeleteFunc(current.awaitReplies, same)
	current.claimReplies = slices.DeleteFunc(current.claimReplies, same)
}

// end removes the running attempt and replies to the callers that wait for it.
func (s *shard) end(k key, current *runningAttempt, state peer.KeyState, answer *peer.KeptAnswer) {
	delete(s.running, k)
	for _, id := range current.claimReplies {
		s.reply(id, state, nil)
	}
	for _, id := range current.awaitReplies {
		s.reply(id, state, answer)
	}
}

// endNotRun ends an attempt that was not and will not be sent, together with all
// attempts that wait for it.
func (s *shard) endNotRun(now time.Time, k key, current *runningAttempt) {
	s.markEnded(now, current.attempt)
	for attempt := range current.waiters {
		s.markEnded(now, attempt)
	}
	s.end(k, current, peer.KeyState_NOT_RUN, nil)
}

func (s *shard) markEnded(now time.Time, attempt string) {
	until := now.Add(s.limits.endedRetention)
	s.endedAttempts[attempt] = until
	s.endedOrder = append(s.endedOrder, endedAttempt{attempt: attempt, forgetAt: until})
}

// expire ends the attempts that their entry VM did not finish in time, for example
// because its process ended, and drops other expired state. It does nothing if it was
// last run less than a second ago.
func (s *shard) expire(now time.Time) {
	if now.Before(s.nextExpiry) {
		return
	}
	s.nextExpiry = now.Add(time.Second)
	for len(s.endedOrder) > 0 && !now.Before(s.endedOrder[0].forgetAt) {
		if oldest := s.endedOrder[0]; !now.Before(s.endedAttempts[oldest.attempt]) {
			delete(s.endedAttempts, oldest.attempt)
		}
		s.endedOrder = s.endedOrder[1:]
	}
	for k, current := range s.running {
		if now.Before(current.expires) {
			continue
		}
		s.event("attempt_expired", nil)
		if current.phase == attemptClaimed {
			s.end(k, current, peer.KeyState_UNKNOWN, nil)
		} else {
			s.endNotRun(now, k, current)
		}
	}
	s.answers.evict(now)
	s.sweep(now)
}

// sweep removes the expired records from the index, by default once an hour. A periodic
// scan of all records needs less memory than a list of the keys sorted by age.
func (s *shard) sweep(now time.Time) {
	if now.Before(s.nextSweep) {
		return
	}
	s.nextSweep = now.Add(s.limits.retention / 24)
	for k, recorded := range s.index {
		if s.isExpired(now, recorded) {
			delete(s.index, k)
		}
	}
}

// refusePendingClaims replies STORE_UNAVAILABLE to the claims that wait for a write.
// Their attempts end here, so a write that takes effect later grants nothing.
func (s *shard) refusePendingClaims(now time.Time) {
	refuseAll := func(claims []pendingClaim) {
		for _, c := range claims {
			current := s.claimingAttempt(c)
			if current == nil {
				continue
			}
			for _, id := range current.claimReplies {
				s.reply(id, peer.KeyState_STORE_UNAVAILABLE, nil)
			}
			current.claimReplies = nil
			s.endNotRun(now, c.key, current)
		}
	}
	if s.write != nil {
		refuseAll(s.write.claims)
	}
	refuseAll(s.pending)
	s.pending = nil
}

// claimingAttempt returns the running attempt of a pending claim, or nil if it no
// longer waits.
func (s *shard) claimingAttempt(c pendingClaim) *runningAttempt {
	if current := s.running[c.key]; current != nil && current.attempt == c.attempt && current.phase == attemptClaiming {
		return current
	}
	return nil
}

// setStoreDown is called when the store fails or does not respond in time. New keys
// are refused until a store call succeeds.
func (s *shard) setStoreDown(now time.Time, err error) {
	if !s.storeDown {
		s.event("store_unavailable", err)
	}
	s.storeDown = true
	s.refusePendingClaims(now)
}

// storeFailed schedules the next call after a failed one. A shard that is being released
// is given up at once: state updates that are not written are lost, and their keys
// are UNKNOWN to the next owner.
func (s *shard) storeFailed(now time.Time, err error) {
	// The shift is limited so that it does not overflow.
	backoff := min(s.limits.minBackoff<<min(s.failures, 10), s.limits.maxBackoff)
	s.failures++
	s.retryAt = now.Add(backoff)
	s.setStoreDown(now, err)
	if s.phase == phaseReleasing {
		s.reset()
	}
}

func (s *shard) storeSucceeded() {
	if s.storeDown {
		s.event("store_available", nil)
	}
	s.storeDown, s.failures, s.retryAt = false, 0, time.Time{}
}

// lostOwnership gives the shard up after another owner has written to it.
func (s *shard) lostOwnership(now time.Time, err error) {
	s.event("fenced", err)
	s.endWithNotOwner(func(*runningAttempt) bool { return true })
	s.reset()
	s.acquireNotBefore = now.Add(s.limits.reacquireDelay)
}

// endWithNotOwner ends the selected attempts and replies NOT_OWNER to their callers, so
// that they turn to the new owner.
func (s *shard) endWithNotOwner(selected func(*runningAttempt) bool) {
	for k, current := range s.running {
		if selected(current) {
			s.end(k, current, peer.KeyState_NOT_OWNER, nil)
		}
	}
}

// release starts to give the shard up. Attempts whose claim is part of the write in
// progress wait for its result. All other attempts, and the callers that await one, get
// NOT_OWNER, so that they turn to the new owner.
func (s *shard) release(now time.Time) {
	switch s.phase {
	case phaseOwner:
		s.phase = phaseReleasing
		inFlight := map[key]bool{}
		if s.write != nil {
			for _, c := range s.write.claims {
				inFlight[c.key] = true
			}
		}
		s.pending = nil
		for k, current := range s.running {
			if current.phase == attemptClaiming && inFlight[k] {
				for _, id := range current.awaitReplies {
					s.reply(id, peer.KeyState_NOT_OWNER, nil)
				}
				current.awaitReplies = nil
				continue
			}
			s.end(k, current, peer.KeyState_NOT_OWNER, nil)
		}
	case phaseLoading, phaseFencing:
		s.reset()
	}
}

// errFenced is the reason for giving a shard up to another owner.
var errFenced = errors.Wrap(infrastructure.ErrConflict, "another owner has written to the shard")
