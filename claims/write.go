package claims

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/claims/chunk"
	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/peer"
)

// errStoreTimeout is the reason for refusing keys while a store call hangs.
var errStoreTimeout = errors.New("the store did not respond in time")

func (s *shard) acquire(now time.Time) {
	if s.phase != phaseIdle || now.Before(s.acquireNotBefore) {
		return
	}
	s.reset()
	s.phase = phaseLoading
}

// advance requests the next store call, if none is in progress, and the next tick.
func (s *shard) advance(now time.Time) {
	if since, waiting := s.waitingSince(); waiting && !s.storeDown {
		if limit := since.Add(s.limits.maxStoreWait); now.Before(limit) {
			s.scheduleTick(limit)
		} else {
			s.setStoreDown(now, errStoreTimeout)
		}
	}
	if s.phase == phaseIdle {
		return
	}
	if len(s.running) > 0 || len(s.endedOrder) > 0 || s.answers.size > 0 {
		s.scheduleTick(s.nextExpiry)
	}
	if len(s.index) > 0 {
		s.scheduleTick(s.nextSweep)
	}
	if s.call != nil {
		return
	}
	if now.Before(s.retryAt) {
		s.scheduleTick(s.retryAt)
		return
	}
	switch {
	case s.phase == phaseLoading:
		s.startCall(now, &storeCall{kind: callList, after: s.listAfter, limit: s.limits.listPage})
	case s.write != nil:
		s.advanceWrite(now)
	case s.phase == phaseFencing:
		s.out.wantsToken = true
	case s.phase == phaseReleasing:
		s.advanceRelease()
	default:
		s.advanceOwner(now)
	}
}

// waitingSince returns the time since when callers may have been waiting for the
// store, and whether any may be waiting.
func (s *shard) waitingSince() (time.Time, bool) {
	if s.write != nil {
		return s.write.started, true
	}
	return s.callStarted, s.call != nil && s.phase == phaseLoading
}

func (s *shard) scheduleTick(t time.Time) {
	if s.out.nextTick.IsZero() || t.Before(s.out.nextTick) {
		s.out.nextTick = t
	}
}

func (s *shard) startCall(now time.Time, call *storeCall) {
	call.resets, s.callStarted = s.resets, now
	s.call, s.out.call = call, call
}

func (s *shard) advanceWrite(now time.Time) {
	switch s.write.stage {
	case stagePut:
		s.out.wantsToken = true
	case stageRead:
		s.startCall(now, &storeCall{kind: callGet, key: chunkKey(s.prefix, s.write.content.number)})
	case stageVerify:
		s.startCall(now, &storeCall{kind: callList, after: chunkKey(s.prefix, s.write.content.number), limit: 1})
	}
}

func (s *shard) advanceRelease() {
	if len(s.dirty) > 0 {
		s.out.wantsToken = true
		return
	}
	s.event("released", nil)
	s.reset()
}

func (s *shard) advanceOwner(now time.Time) {
	if s.storeDown {
		s.startCall(now, &storeCall{kind: callGet, key: chunkKey(s.prefix, s.openChunk.number)})
		return
	}
	if len(s.pending) > 0 || s.deletionDue(now) {
		s.out.wantsToken = true
		return
	}
	if s.canDelete() {
		s.scheduleTick(s.deletionTime())
	}
	if len(s.dirty) > 0 {
		if due := s.dirtySince.Add(s.limits.updateDelay); now.Before(due) {
			s.scheduleTick(due)
		} else {
			s.out.wantsToken = true
		}
	}
}

// canDelete reports whether there is a sealed chunk that is not the last chunk.
func (s *shard) canDelete() bool {
	return len(s.sealed) > 1 || len(s.sealed) == 1 && s.openVersion != 0
}

// deletionTime is when all records of the oldest chunk have expired.
func (s *shard) deletionTime() time.Time {
	return time.Unix(int64(s.sealed[0].newestClaimSeconds)+1, 0).Add(s.limits.retention)
}

func (s *shard) deletionDue(now time.Time) bool {
	return s.canDelete() && !now.Before(s.deletionTime())
}

// useToken uses a token of the rate limiter for the next write or deletion.
func (s *shard) useToken(now time.Time) {
	if s.call != nil || now.Before(s.retryAt) || s.phase < phaseFencing {
		return
	}
	if s.write == nil && s.phase == phaseOwner && s.deletionTurn && s.deletionDue(now) {
		s.delete(now)
		return
	}
	if s.write == nil {
		s.buildWrite(now)
	}
	// Deletions alternate with batches. Under steady load there is always a batch
	// to write, so chunks would otherwise accumulate.
	s.deletionTurn = true
	if s.write == nil && s.phase == phaseOwner && s.deletionDue(now) {
		s.delete(now)
		return
	}
	if s.write == nil || s.write.stage != stagePut {
		return
	}
	s.startCall(now, &storeCall{
		kind: callPut, key: chunkKey(s.prefix, s.write.content.number),
		value: s.write.value, expected: s.write.expected,
	})
}

// delete requests the deletion of the oldest sealed chunk.
func (s *shard) delete(now time.Time) {
	oldest := s.sealed[0]
	s.deletionTurn = false
	s.startCall(now, &storeCall{kind: callDelete, key: chunkKey(s.prefix, oldest.number), expected: oldest.version})
}

// buildWrite combines the pending claims and state updates into a write of the open
// chunk.
func (s *shard) buildWrite(now time.Time) {
	w := &write{expected: s.openVersion, started: now, content: chunkContent{
		number: s.openChunk.number, owner: s.entryID, incarnation: s.incarnation, epoch: s.epoch,
		records: make([]keyRecord, 0, len(s.openChunk.records)+min(len(s.pending)+len(s.dirty), s.limits.batchRecords)),
	}}
	positions := make(map[key]int, cap(w.content.records))
	add := func(r keyRecord) {
		if position, ok := positions[r.key]; ok {
			w.content.records[position] = r
			return
		}
		positions[r.key] = len(w.content.records)
		w.content.records = append(w.content.records, r)
	}
	for _, r := range s.openChunk.records {
		if !s.isExpired(now, r.record) {
			add(r)
		}
	}
	if s.phase != phaseFencing {
		s.addClaims(now, w, add)
		s.addUpdates(w, add)
		if len(w.claims)+len(w.updates) == 0 {
			return
		}
	}
	w.content.sealed = len(w.content.records) >= s.limits.chunkRecords
	s.sequence++
	w.content.sequence = s.sequence
	value, err := w.content.encode()
	if err != nil {
		// Encoding fails only on invalid records, which are never built here.
		s.event("encode_failed", err)
		return
	}
	w.value = value
	s.write = w
}

func (s *shard) addClaims(now time.Time, w *write, add func(keyRecord)) {
	taken := 0
	for _, c := range s.pending {
		if len(w.claims) == s.limits.batchRecords {
			break
		}
		taken++
		current := s.claimingAttempt(c)
		if current == nil {
			continue
		}
		c.record = record{fingerprint: current.fingerprint, attempt: attemptHash(c.attempt), claimedSeconds: unixSeconds(now)}.inChunk(w.content.number)
		add(keyRecord{key: c.key, record: c.record})
		w.claims = append(w.claims, c)
	}
	s.pending = slices.Delete(s.pending, 0, taken)
}

func (s *shard) addUpdates(w *write, add func(keyRecord)) {
	claimed := make(map[key]bool, len(w.claims))
	for _, c := range w.claims {
		claimed[c.key] = true
	}
	taken := 0
	for _, k := range s.dirty {
		if len(w.claims)+len(w.updates) >= s.limits.batchRecords {
			break
		}
		taken++
		recorded, ok := s.index[k]
		switch {
		case claimed[k]:
			// The new claim of the key supersedes the update.
			w.replacedUpdates = append(w.replacedUpdates, k)
		case ok:
			add(keyRecord{key: k, record: recorded.inChunk(w.content.number)})
			w.updates = append(w.updates, k)
		}
	}
	s.dirty = slices.Delete(s.dirty, 0, taken)
}

// handleResult processes the result of the store call in progress.
func (s *shard) handleResult(now time.Time, in resultInput) {
	call := s.call
	s.call = nil
	if call == nil || call.resets != s.resets {
		return
	}
	switch {
	case s.phase == phaseLoading:
		s.handleList(now, in)
	case call.kind == callDelete:
		s.handleDelete(now, in)
	case s.write == nil:
		s.handleProbe(now, in)
	case call.kind == callPut:
		s.handlePut(now, in)
	case call.kind == callGet:
		s.handleReadBack(now, in)
	default:
		s.handleVerify(now, in)
	}
}

// handleList processes a page of chunks at a takeover.
func (s *shard) handleList(now time.Time, in resultInput) {
	if in.err != nil {
		s.storeFailed(now, in.err)
		return
	}
	for _, document := range in.list {
		next, err := decodeChunk(s.prefix, document.Key, document.Value)
		if err != nil {
			// Serving without the records of a chunk could run a key twice.
			s.storeFailed(now, err)
			return
		}
		if s.unsealedVersion != 0 && !s.resolveUnsealed() {
			return
		}
		if next.sealed {
			s.applySealed(now, next, document.Version)
		} else {
			s.openChunk, s.unsealedVersion = next, document.Version
		}
		s.listAfter = document.Key
	}
	s.storeSucceeded()
	if len(in.list) < s.limits.listPage {
		s.phase = phaseFencing
		s.openVersion, s.unsealedVersion = s.unsealedVersion, 0
		if s.openVersion == 0 {
			s.openChunk = chunkContent{number: s.lastSealed + 1, epoch: s.epoch}
		}
		s.epoch = max(s.epoch, s.openChunk.epoch) + 1
	}
}

// resolveUnsealed is called when a chunk follows one that was read as not sealed.
// The former owner has usually sealed that one in the meantime, so it is read again
// and false is returned. A chunk that is still not sealed then was left behind by an
// owner that created it again after its deletion. Like a sealed chunk, it is not written
// again, and is deleted later. Its records are applied without regard to their expiry;
// lookup ignores those that have expired.
func (s *shard) resolveUnsealed() bool {
	unsealed, version := s.openChunk, s.unsealedVersion
	s.openChunk, s.unsealedVersion = chunkContent{}, 0
	if s.rereadChunk != unsealed.number {
		s.rereadChunk = unsealed.number
		s.restartLoad()
		return false
	}
	s.event("stale_chunk", nil)
	s.applySealed(time.Time{}, unsealed, version)
	return true
}

// restartLoad continues reading after the last sealed chunk that was applied.
func (s *shard) restartLoad() {
	s.phase = phaseLoading
	s.openChunk, s.openVersion, s.unsealedVersion = chunkContent{}, 0, 0
	s.listAfter = ""
	if s.lastSealed > 0 {
		s.listAfter = chunkKey(s.prefix, s.lastSealed)
	}
}

func (s *shard) applySealed(now time.Time, sealed chunkContent, version int64) {
	s.apply(now, sealed)
	s.lastSealed = max(s.lastSealed, sealed.number)
	s.epoch = max(s.epoch, sealed.epoch)
	s.sealed = append(s.sealed, newSealedChunk(sealed, version))
}

// apply adds the records of a chunk to the index. Chunks must be applied in the
// order of their numbers.
func (s *shard) apply(now time.Time, from chunkContent) {
	for _, r := range from.records {
		if r.hasState(chunk.State_NOT_RUN) || s.isExpired(now, r.record) {
			delete(s.index, r.key)
		} else {
			s.index[r.key] = r.record
		}
	}
}

func newSealedChunk(sealed chunkContent, version int64) sealedChunk {
	result := sealedChunk{number: sealed.number, version: version}
	for _, r := range sealed.records {
		result.newestClaimSeconds = max(result.newestClaimSeconds, r.claimedSeconds)
	}
	return result
}

// handleDelete processes the result of deleting the oldest chunk. If the response was
// lost, the chunk stays in the list and is deleted again. After another failure the
// chunk stays in the store until the next takeover of the shard lists it.
func (s *shard) handleDelete(now time.Time, in resultInput) {
	switch {
	case errors.Is(in.err, infrastructure.ErrUnavailable):
		s.storeFailed(now, in.err)
		return
	case errors.Is(in.err, infrastructure.ErrOutcomeUnknown):
		return
	case in.err != nil && !errors.Is(in.err, infrastructure.ErrNotFound):
		s.event("delete_failed", in.err)
	}
	s.sealed = slices.Delete(s.sealed, 0, 1)
}

// handleProbe processes the result of a read that tests whether the store is available
// again.
func (s *shard) handleProbe(now time.Time, in resultInput) {
	missing := errors.Is(in.err, infrastructure.ErrNotFound)
	switch {
	case in.err != nil && !missing:
		s.storeFailed(now, in.err)
	case in.value.Version != s.openVersion:
		s.lostOwnership(now, errFenced)
	default:
		s.storeSucceeded()
	}
}

func (s *shard) handlePut(now time.Time, in resultInput) {
	w := s.write
	w.lostReads = 0
	switch {
	case in.err == nil:
		s.tookEffect(now, in.version)
	case errors.Is(in.err, infrastructure.ErrConflict), errors.Is(in.err, infrastructure.ErrNotFound):
		// The conflict may be with an earlier transmission of the same write.
		w.stage = stageRead
	case errors.Is(in.err, infrastructure.ErrUnavailable) && !w.unsettled:
		s.storeFailed(now, in.err)
		s.abandonWrite(now, w)
	case errors.Is(in.err, infrastructure.ErrUnavailable):
		w.stage = stageRead
		s.storeFailed(now, in.err)
	default:
		w.unsettled = true
		w.stage = stageRead
	}
}

// abandonWrite drops a write that certainly had no effect. Its state updates are
// written later.
func (s *shard) abandonWrite(now time.Time, w *write) {
	s.write = nil
	for _, k := range slices.Concat(w.updates, w.replacedUpdates) {
		s.setDirty(now, k)
	}
}

// handleReadBack determines whether a write took effect whose response was lost or that
// met a conflict.
func (s *shard) handleReadBack(now time.Time, in resultInput) {
	w := s.write
	missing := errors.Is(in.err, infrastructure.ErrNotFound)
	if in.err != nil && !missing {
		s.readFailed(now, w, in.err)
		return
	}
	if in.value.Version == w.expected {
		// The write has not taken effect, but may do so later unless this version
		// is replaced, so the same bytes are sent again.
		w.stage = stagePut
		return
	}
	if !missing {
		found, err := decodeChunk(s.prefix, in.value.Key, in.value.Value)
		if err != nil {
			s.storeFailed(now, err)
			return
		}
		if found.incarnation == s.incarnation && found.sequence == w.content.sequence {
			s.tookEffect(now, in.value.Version)
			return
		}
	}
	s.handleConflict(now)
}

// readFailed lets a read whose response was lost be repeated, because single losses
// are normal. The store counts as down when more than maxLostReads responses are lost
// since the write was last sent.
func (s *shard) readFailed(now time.Time, w *write, err error) {
	if errors.Is(err, infrastructure.ErrOutcomeUnknown) && w.lostReads < s.limits.maxLostReads {
		w.lostReads++
		return
	}
	s.storeFailed(now, err)
}

// handleConflict is called when another owner has changed the chunk that the write was
// for. While the shard is being taken over, the former owner may still write, so the
// takeover reads the chunks again; later it means that another owner has taken over.
func (s *shard) handleConflict(now time.Time) {
	if s.phase != phaseFencing {
		s.lostOwnership(now, errFenced)
		return
	}
	s.write = nil
	s.restartLoad()
}

func (s *shard) tookEffect(now time.Time, version int64) {
	s.write.version = version
	if s.write.expected == 0 {
		s.write.stage = stageVerify
		return
	}
	s.commit(now)
}

// handleVerify processes the list of chunks after the one that was created. It is empty
// unless this owner was frozen for so long that other owners had already written,
// sealed and deleted the chunk.
func (s *shard) handleVerify(now time.Time, in resultInput) {
	switch {
	case in.err != nil:
		s.readFailed(now, s.write, in.err)
	case len(in.list) > 0:
		s.handleConflict(now)
	default:
		s.commit(now)
	}
}

// commit applies a write that took effect to the state of the shard and grants its
// claims.
func (s *shard) commit(now time.Time) {
	w := s.write
	s.write = nil
	s.storeSucceeded()
	if s.phase == phaseFencing {
		s.phase = phaseOwner
		s.event("taken", nil)
		s.apply(now, w.content)
	} else {
		s.commitClaims(now, w)
		s.commitUpdates(w)
	}
	s.openChunk, s.openVersion = w.content, w.version
	if w.content.sealed {
		s.sealed = append(s.sealed, newSealedChunk(w.content, w.version))
		s.openChunk, s.openVersion = chunkContent{number: w.content.number + 1}, 0
	}
}

func (s *shard) commitClaims(now time.Time, w *write) {
	for _, c := range w.claims {
		current := s.claimingAttempt(c)
		if current == nil {
			// The claim was refused while the write was in progress, so its
			// request is not sent and the key is free again.
			s.index[c.key] = c.record.withState(chunk.State_NOT_RUN)
			s.setDirty(now, c.key)
			continue
		}
		s.index[c.key] = c.record
		current.phase = attemptClaimed
		for _, id := range current.claimReplies {
			s.reply(id, peer.KeyState_CLAIMED, nil)
		}
		current.claimReplies = nil
	}
}

func (s *shard) commitUpdates(w *write) {
	for _, k := range w.updates {
		recorded, ok := s.index[k]
		switch {
		case !ok:
		case recorded.hasState(chunk.State_NOT_RUN):
			delete(s.index, k)
		default:
			s.index[k] = recorded.inChunk(w.content.number)
		}
	}
}
