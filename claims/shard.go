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

// limits are the bounds of a shard's behaviour.
type limits struct {
	// chunkRecords seals a chunk once it holds as many records.
	chunkRecords int
	// batchRecords bounds the records that one write adds.
	batchRecords int
	// listPage is the number of chunks read by one call at a takeover.
	listPage int
	// hold ends an attempt that named no bound itself.
	hold time.Duration
	// keep is how long a record is remembered after its claim.
	keep time.Duration
	// markDelay is how long finish marks wait for a claim to share a write with.
	markDelay time.Duration
	// settleWithin bounds how long callers wait for the store.
	settleWithin time.Duration
	// lostReads is how many reads in a row may be lost before the store counts
	// as down.
	lostReads int
	// refuseMin and refuseMax bound the pause between probes of the store.
	refuseMin, refuseMax time.Duration
	// endedFor is how long a late message of an ended attempt is recognised.
	endedFor time.Duration
	// retakeAfter keeps two entry VMs that both believe to own a shard from
	// taking it from each other without pause.
	retakeAfter time.Duration
}

func defaultLimits() limits {
	return limits{
		chunkRecords: 100, batchRecords: 500, listPage: 100,
		hold: 2 * time.Minute, keep: 24 * time.Hour, markDelay: time.Second,
		settleWithin: time.Second, lostReads: 2, refuseMin: 100 * time.Millisecond, refuseMax: time.Second,
		endedFor: time.Minute, retakeAfter: time.Second,
	}
}

// phase is what an entry VM is to a shard.
type phase int

const (
	// phaseIdle: the shard belongs to another entry VM.
	phaseIdle phase = iota
	// phaseLoading: the chunks are being read.
	phaseLoading
	// phaseTaking: the first write, which fences the former owner, is on its way.
	phaseTaking
	// phaseOwner: the shard is served.
	phaseOwner
	// phaseReleasing: the last marks are being written.
	phaseReleasing
)

// stage is the progress of a write.
type stage int

const (
	// stagePut: the write has to be sent, or sent again.
	stagePut stage = iota
	// stageRead: the chunk has to be read to learn whether the write took effect.
	stageRead
	// stageVerify: the write created a chunk, and it has to be checked that no
	// later chunk exists.
	stageVerify
)

// write is the one write in flight of a shard.
type write struct {
	stage    stage
	image    image
	value    []byte
	expected int64
	version  int64
	begun    time.Time
	// unsettled is set when an answer was lost: the write may take effect at
	// any later time, until another write of the same chunk succeeds.
	unsettled bool
	// lostReads counts the reads in a row whose answer was lost.
	lostReads int
	claims    []claimant
	// marks are the keys whose mark this write makes durable.
	marks []key
	// replaced are the keys whose mark is replaced by a claim of this write.
	replaced []key
}

type claimant struct {
	key     key
	attempt string
	record  record
}

type attemptPhase int

const (
	attemptReserved attemptPhase = iota
	attemptClaiming
	attemptClaimed
)

// running is the attempt in progress on a key.
type running struct {
	attempt     string
	fingerprint uint64
	phase       attemptPhase
	expires     time.Time
	claims      []replyID
	awaits      []replyID
	// waiters are the attempts that were told IN_PROGRESS.
	waiters map[string]struct{}
}

// sealedChunk is what an owner remembers of a chunk until it deletes it.
type sealedChunk struct {
	number  uint32
	version int64
	newest  uint32
}

type endedAttempt struct {
	attempt string
	until   time.Time
}

// shard is the state machine of one shard at one entry VM. It does no I/O,
// reads no clock and starts no goroutines: step takes an input and the time,
// and returns the replies to give and the store call to make.
//
// Invariants:
//
//   - The chunks of a shard are numbered without gaps, all but the last are
//     sealed, and a sealed chunk is never written. So there is one place for
//     the next write: the last chunk if it is not sealed, else its successor,
//     which must not exist yet. Every write is a compare-and-swap on that place,
//     so of two owners only one can succeed and the other one learns of it.
//   - CLAIMED is replied only after a write with the claim took effect for
//     certain, while this shard's image of the chunk was the latest one.
//   - At most one write is in flight. While it is unsettled, no other write is
//     formed; it is sent again with the same bytes until it took effect or the
//     chunk has moved on.
//   - A key with a record in state CLAIMED is granted again only to the attempt
//     that the record names, or after that attempt was not granted, or gave the
//     key back.
//   - Writes and deletions are made only with a permit, so that the driver bounds
//     their rate.
//   - The last chunk is never deleted. Otherwise an owner that slept for longer
//     than records are kept could create a chunk again and not notice.
type shard struct {
	limits      limits
	prefix      string
	entry       string
	incarnation uint64
	answers     *answers

	phase    phase
	sequence int64
	epoch    int64
	index    map[key]record
	sealed   []sealedChunk
	// open is the chunk for the next write; version 0 when it does not exist yet.
	open        image
	openVersion int64

	// deletionTurn gives the next permit to a deletion that is due.
	deletionTurn bool

	// While the chunks are read: the key after which the reading goes on, the
	// highest sealed chunk in the index, the version of the unsealed chunk held
	// in open, and the number of a chunk that was found neither sealed nor last.
	after       string
	applied     uint32
	tailVersion int64
	reread      uint32

	running map[key]*running
	pending []claimant
	// dirty holds the keys whose state in the index is newer than in the store.
	dirty      []key
	dirtySince time.Time
	ended      map[string]time.Time
	endedOrder []endedAttempt

	write *write
	call  *storeCall
	// life grows with every reset, so that the result of a call from before it
	// is ignored.
	life      int64
	callBegun time.Time

	down       bool
	failures   int
	retryAt    time.Time
	notBefore  time.Time
	nextExpiry time.Time
	nextSweep  time.Time

	out output
}

func newShard(l limits, prefix, entry string, incarnation uint64, kept *answers) *shard {
	s := &shard{limits: l, prefix: prefix, entry: entry, incarnation: incarnation, answers: kept}
	s.reset()
	return s
}

// reset forgets everything about the shard but the numbers of its batches.
func (s *shard) reset() {
	s.phase = phaseIdle
	s.index, s.running, s.ended = map[key]record{}, map[key]*running{}, map[string]time.Time{}
	s.sealed, s.pending, s.dirty, s.endedOrder = nil, nil, nil, nil
	s.open, s.openVersion = image{}, 0
	s.after, s.applied, s.tailVersion, s.reread = "", 0, 0, 0
	s.write = nil
	s.life++
	s.down, s.failures, s.retryAt = false, 0, time.Time{}
}

// step applies one input.
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
	case forgetInput:
		s.forget(in)
	case acquireInput:
		s.acquire(now)
	case releaseInput:
		s.release(now)
	case permitInput:
		s.permit(now)
	case resultInput:
		s.result(now, in)
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

// absent is the state to reply while the shard is not served.
func (s *shard) absent() peer.KeyState {
	if s.phase == phaseLoading || s.phase == phaseTaking {
		return peer.KeyState_STORE_UNAVAILABLE
	}
	return peer.KeyState_NOT_OWNER
}

// lookup returns what is recorded of a key that no attempt is running on;
// RESERVED when the key is free.
func (s *shard) lookup(now time.Time, k key, fingerprint uint64) (peer.KeyState, *peer.KeptAnswer) {
	known, ok := s.index[k]
	if !ok || s.isExpired(now, known) || known.is(chunk.State_NOT_RUN) {
		return peer.KeyState_RESERVED, nil
	}
	if known.fingerprint != fingerprint {
		return peer.KeyState_MISMATCH, nil
	}
	if known.is(chunk.State_CLAIMED) {
		return peer.KeyState_UNKNOWN, nil
	}
	if answer := s.answers.get(now, k, known.attempt); answer != nil {
		return peer.KeyState_ANSWERED, answer
	}
	return peer.KeyState_FINISHED, nil
}

func (s *shard) isExpired(now time.Time, r record) bool {
	return now.Unix() > int64(r.claimed)+int64(s.limits.keep/time.Second)
}

// refused answers an attempt that this shard does not serve, or that has ended
// already, and reports whether it did.
func (s *shard) refused(id replyID, attempt string) bool {
	if s.phase != phaseOwner {
		s.reply(id, s.absent(), nil)
		return true
	}
	_, ended := s.ended[attempt]
	if ended {
		s.reply(id, peer.KeyState_NOT_RUN, nil)
	}
	return ended
}

func (s *shard) reserve(now time.Time, in reserveInput) {
	if s.refused(in.reply, in.attempt) {
		return
	}
	if first := s.running[in.key]; first != nil {
		s.reply(in.reply, s.join(first, in.attemptInput), nil)
		return
	}
	state, answer := s.lookup(now, in.key, in.fingerprint)
	if state == peer.KeyState_RESERVED {
		if s.down {
			state = peer.KeyState_STORE_UNAVAILABLE
		} else {
			s.start(now, in.attemptInput, attemptReserved)
		}
	}
	s.reply(in.reply, state, answer)
}

// join tells an attempt about the one in progress.
func (s *shard) join(first *running, in attemptInput) peer.KeyState {
	switch {
	case first.fingerprint != in.fingerprint:
		return peer.KeyState_MISMATCH
	case first.attempt == in.attempt:
		return peer.KeyState_RESERVED
	}
	first.waiters[in.attempt] = struct{}{}
	return peer.KeyState_IN_PROGRESS
}

func (s *shard) start(now time.Time, in attemptInput, p attemptPhase) *running {
	hold := in.hold
	if hold <= 0 {
		hold = s.limits.hold
	}
	hold = min(hold, s.limits.keep)
	first := &running{
		attempt: in.attempt, fingerprint: in.fingerprint, phase: p,
		expires: now.Add(hold), waiters: map[string]struct{}{},
	}
	s.running[in.key] = first
	return first
}

func (s *shard) claim(now time.Time, in claimInput) {
	if s.refused(in.reply, in.attempt) {
		return
	}
	first := s.running[in.key]
	if first == nil {
		if first = s.startAtClaim(now, in); first == nil {
			return
		}
	}
	if state := s.join(first, in.attemptInput); state != peer.KeyState_RESERVED {
		s.reply(in.reply, state, nil)
		return
	}
	switch {
	case first.phase == attemptClaimed:
		s.reply(in.reply, peer.KeyState_CLAIMED, nil)
	case s.down:
		s.reply(in.reply, peer.KeyState_STORE_UNAVAILABLE, nil)
		s.endNotRun(now, in.key, first)
	default:
		if first.phase == attemptReserved {
			first.phase = attemptClaiming
			s.pending = append(s.pending, claimant{key: in.key, attempt: in.attempt})
		}
		first.claims = append(first.claims, in.reply)
	}
}

// startAtClaim starts an attempt whose reservation is not known here, for
// example because it was made at the former owner. It returns nil when the key
// is not free, after replying so.
func (s *shard) startAtClaim(now time.Time, in claimInput) *running {
	known, ok := s.index[in.key]
	if ok && !s.isExpired(now, known) && known.is(chunk.State_CLAIMED) && known.attempt == attemptHash(in.attempt) && known.fingerprint == in.fingerprint {
		// The attempt repeats a claim whose reply it did not get.
		return s.start(now, in.attemptInput, attemptClaimed)
	}
	state, answer := s.lookup(now, in.key, in.fingerprint)
	if state != peer.KeyState_RESERVED {
		s.reply(in.reply, state, answer)
		return nil
	}
	return s.start(now, in.attemptInput, attemptReserved)
}

func (s *shard) finish(now time.Time, in finishInput) {
	if s.phase != phaseOwner && s.phase != phaseReleasing {
		s.reply(in.reply, s.absent(), nil)
		return
	}
	defer s.reply(in.reply, in.state, nil)
	first := s.running[in.key]
	switch {
	case first == nil:
		s.finishRecorded(now, in)
	case first.attempt != in.attempt:
		delete(first.waiters, in.attempt)
		s.markEnded(now, in.attempt)
		s.finishRecorded(now, in)
	case in.state == peer.KeyState_NOT_RUN:
		if first.phase == attemptClaimed {
			s.mark(now, in.key, chunk.State_NOT_RUN)
		}
		s.endNotRun(now, in.key, first)
	case first.phase != attemptClaimed:
		s.event("finish_without_claim", errors.Errorf("attempt %s", in.attempt))
	default:
		state, answer := s.recordOutcome(now, in)
		s.end(in.key, first, state, answer)
	}
}

// finishRecorded handles the end of an attempt that is not known to be running:
// it began at another owner, or its bound has passed.
func (s *shard) finishRecorded(now time.Time, in finishInput) {
	if in.state == peer.KeyState_NOT_RUN {
		s.markEnded(now, in.attempt)
	}
	known, ok := s.index[in.key]
	if !ok || known.attempt != attemptHash(in.attempt) || !known.is(chunk.State_CLAIMED) {
		return
	}
	if in.state == peer.KeyState_NOT_RUN {
		s.mark(now, in.key, chunk.State_NOT_RUN)
		return
	}
	s.recordOutcome(now, in)
}

// recordOutcome marks the record of a request that was sent and returns what
// waiters get.
func (s *shard) recordOutcome(now time.Time, in finishInput) (peer.KeyState, *peer.KeptAnswer) {
	if in.state != peer.KeyState_ANSWERED && in.state != peer.KeyState_FINISHED {
		return peer.KeyState_UNKNOWN, nil
	}
	s.mark(now, in.key, chunk.State_FINISHED)
	if in.state == peer.KeyState_ANSWERED && s.answers.put(now, in.key, attemptHash(in.attempt), in.answer) {
		return peer.KeyState_ANSWERED, in.answer
	}
	return peer.KeyState_FINISHED, nil
}

// mark changes the state of a record; the store follows with a later write.
func (s *shard) mark(now time.Time, k key, state chunk.State) {
	known, ok := s.index[k]
	if !ok {
		return
	}
	s.index[k] = known.with(state)
	s.setDirty(now, k)
}

func (s *shard) setDirty(now time.Time, k key) {
	if len(s.dirty) == 0 {
		s.dirtySince = now
	}
	s.dirty = append(s.dirty, k)
}

func (s *shard) await(now time.Time, in awaitInput) {
	if s.refused(in.reply, in.attempt) {
		return
	}
	if first := s.running[in.key]; first != nil {
		if first.fingerprint != in.fingerprint {
			s.reply(in.reply, peer.KeyState_MISMATCH, nil)
			return
		}
		first.waiters[in.attempt] = struct{}{}
		first.awaits = append(first.awaits, in.reply)
		return
	}
	state, answer := s.lookup(now, in.key, in.fingerprint)
	if state == peer.KeyState_RESERVED {
		// The first attempt ended at a former owner, or has not claimed the
		// key. This one was not sent and is not sent later.
		state = peer.KeyState_NOT_RUN
		s.markEnded(now, in.attempt)
	}
	s.reply(in.reply, state, answer)
}

// forget drops a caller that has gone.
func (s *shard) forget(in forgetInput) {
	first := s.running[in.key]
	if first == nil {
		return
	}
	same := func(id replyID) bool { return id == in.reply }
	first.awaits = slices.DeleteFunc(first.awaits, same)
	first.claims = slices.DeleteFunc(first.claims, same)
}

// end removes the running attempt and tells those who wait for it.
func (s *shard) end(k key, first *running, state peer.KeyState, answer *peer.KeptAnswer) {
	delete(s.running, k)
	for _, id := range first.claims {
		s.reply(id, state, nil)
	}
	for _, id := range first.awaits {
		s.reply(id, state, answer)
	}
}

// endNotRun ends an attempt that was not and will not be sent, and with it all
// attempts that wait for it.
func (s *shard) endNotRun(now time.Time, k key, first *running) {
	s.markEnded(now, first.attempt)
	for attempt := range first.waiters {
		s.markEnded(now, attempt)
	}
	s.end(k, first, peer.KeyState_NOT_RUN, nil)
}

func (s *shard) markEnded(now time.Time, attempt string) {
	until := now.Add(s.limits.endedFor)
	s.ended[attempt] = until
	s.endedOrder = append(s.endedOrder, endedAttempt{attempt: attempt, until: until})
}

// expire ends attempts whose entry VM did not finish them in time.
func (s *shard) expire(now time.Time) {
	if now.Before(s.nextExpiry) {
		return
	}
	s.nextExpiry = now.Add(time.Second)
	for len(s.endedOrder) > 0 && !now.Before(s.endedOrder[0].until) {
		if oldest := s.endedOrder[0]; !now.Before(s.ended[oldest.attempt]) {
			delete(s.ended, oldest.attempt)
		}
		s.endedOrder = s.endedOrder[1:]
	}
	for k, first := range s.running {
		if now.Before(first.expires) {
			continue
		}
		s.event("attempt_expired", nil)
		if first.phase == attemptClaimed {
			s.end(k, first, peer.KeyState_UNKNOWN, nil)
		} else {
			s.endNotRun(now, k, first)
		}
	}
	s.answers.evict(now)
	s.sweep(now)
}

// sweep removes the expired records from the index. Going through all of them
// now and then takes less memory than a list of the keys by their age.
func (s *shard) sweep(now time.Time) {
	if now.Before(s.nextSweep) {
		return
	}
	s.nextSweep = now.Add(s.limits.keep / 24)
	for k, known := range s.index {
		if s.isExpired(now, known) {
			delete(s.index, k)
		}
	}
}

// refuseWaiting answers the claims that wait for a write. Their attempts end
// here, so a write that takes effect later grants nothing.
func (s *shard) refuseWaiting(now time.Time) {
	refuse := func(waiting []claimant) {
		for _, c := range waiting {
			first := s.claiming(c)
			if first == nil {
				continue
			}
			for _, id := range first.claims {
				s.reply(id, peer.KeyState_STORE_UNAVAILABLE, nil)
			}
			first.claims = nil
			s.endNotRun(now, c.key, first)
		}
	}
	if s.write != nil {
		refuse(s.write.claims)
	}
	refuse(s.pending)
	s.pending = nil
}

// claiming returns the running attempt of a claimant that still waits.
func (s *shard) claiming(c claimant) *running {
	if first := s.running[c.key]; first != nil && first.attempt == c.attempt && first.phase == attemptClaiming {
		return first
	}
	return nil
}

// setDown is entered when the store fails or does not answer in time. New keys
// are refused until a probe succeeds.
func (s *shard) setDown(now time.Time, err error) {
	if !s.down {
		s.event("store_unavailable", err)
	}
	s.down = true
	s.refuseWaiting(now)
}

func (s *shard) failed(now time.Time, err error) {
	backoff := min(s.limits.refuseMin<<min(s.failures, 10), s.limits.refuseMax)
	s.failures++
	s.retryAt = now.Add(backoff)
	s.setDown(now, err)
	if s.phase == phaseReleasing {
		s.reset()
	}
}

func (s *shard) succeeded() {
	if s.down {
		s.event("store_available", nil)
	}
	s.down, s.failures, s.retryAt = false, 0, time.Time{}
}

// lostOwnership forgets the shard after another owner has written to it.
func (s *shard) lostOwnership(now time.Time, err error) {
	s.event("fenced", err)
	s.dismiss(func(*running) bool { return true })
	s.reset()
	s.notBefore = now.Add(s.limits.retakeAfter)
}

// dismiss sends those who wait to the new owner.
func (s *shard) dismiss(which func(*running) bool) {
	for k, first := range s.running {
		if which(first) {
			s.end(k, first, peer.KeyState_NOT_OWNER, nil)
		}
	}
}

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
		for k, first := range s.running {
			if first.phase == attemptClaiming && inFlight[k] {
				for _, id := range first.awaits {
					s.reply(id, peer.KeyState_NOT_OWNER, nil)
				}
				first.awaits = nil
				continue
			}
			s.end(k, first, peer.KeyState_NOT_OWNER, nil)
		}
	case phaseLoading, phaseTaking:
		s.reset()
	}
}

// errFenced is the reason of a step down.
var errFenced = errors.Wrap(infrastructure.ErrConflict, "another owner has written")
