package claims

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/claims/chunk"
	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/peer"
)

// errSlow is the reason for refusing keys while a store call hangs.
var errSlow = errors.New("the store has not answered in time")

func (s *shard) acquire(now time.Time) {
	if s.phase != phaseIdle || now.Before(s.notBefore) {
		return
	}
	s.reset()
	s.phase = phaseLoading
}

// advance asks for the next store call, if none is in flight, and for the next
// time to look again.
func (s *shard) advance(now time.Time) {
	if since, waiting := s.waitingSince(); waiting && !s.down {
		if limit := since.Add(s.limits.settleWithin); now.Before(limit) {
			s.wakeAt(limit)
		} else {
			s.setDown(now, errSlow)
		}
	}
	if s.phase == phaseIdle {
		return
	}
	if len(s.running) > 0 || len(s.endedOrder) > 0 || s.answers.size > 0 {
		s.wakeAt(s.nextExpiry)
	}
	if len(s.index) > 0 {
		s.wakeAt(s.nextSweep)
	}
	if s.call != nil {
		return
	}
	if now.Before(s.retryAt) {
		s.wakeAt(s.retryAt)
		return
	}
	switch {
	case s.phase == phaseLoading:
		s.emit(now, &storeCall{kind: callList, after: s.after, limit: s.limits.listPage})
	case s.write != nil:
		s.advanceWrite(now)
	case s.phase == phaseTaking:
		s.out.wantsPermit = true
	case s.phase == phaseReleasing:
		s.advanceRelease()
	default:
		s.advanceOwner(now)
	}
}

// waitingSince returns since when callers may be waiting for the store.
func (s *shard) waitingSince() (time.Time, bool) {
	if s.write != nil {
		return s.write.begun, true
	}
	return s.callBegun, s.call != nil && s.phase == phaseLoading
}

func (s *shard) wakeAt(t time.Time) {
	if s.out.wake.IsZero() || t.Before(s.out.wake) {
		s.out.wake = t
	}
}

func (s *shard) emit(now time.Time, call *storeCall) {
	call.life, s.callBegun = s.life, now
	s.call, s.out.call = call, call
}

func (s *shard) advanceWrite(now time.Time) {
	switch s.write.stage {
	case stagePut:
		s.out.wantsPermit = true
	case stageRead:
		s.emit(now, &storeCall{kind: callGet, key: chunkKey(s.prefix, s.write.image.number)})
	case stageVerify:
		s.emit(now, &storeCall{kind: callList, after: chunkKey(s.prefix, s.write.image.number), limit: 1})
	}
}

func (s *shard) advanceRelease() {
	if len(s.dirty) > 0 {
		s.out.wantsPermit = true
		return
	}
	s.event("released", nil)
	s.reset()
}

func (s *shard) advanceOwner(now time.Time) {
	if s.down {
		s.emit(now, &storeCall{kind: callGet, key: chunkKey(s.prefix, s.open.number)})
		return
	}
	if len(s.pending) > 0 || s.deletionDue(now) {
		s.out.wantsPermit = true
		return
	}
	if s.canDelete() {
		s.wakeAt(s.deletionTime())
	}
	if len(s.dirty) > 0 {
		if due := s.dirtySince.Add(s.limits.markDelay); now.Before(due) {
			s.wakeAt(due)
		} else {
			s.out.wantsPermit = true
		}
	}
}

// canDelete reports whether there is a sealed chunk that is not the last chunk.
func (s *shard) canDelete() bool {
	return len(s.sealed) > 1 || len(s.sealed) == 1 && s.openVersion != 0
}

// deletionTime is when all records of the oldest chunk have expired.
func (s *shard) deletionTime() time.Time {
	return time.Unix(int64(s.sealed[0].newest)+1, 0).Add(s.limits.keep)
}

func (s *shard) deletionDue(now time.Time) bool {
	return s.canDelete() && !now.Before(s.deletionTime())
}

// permit makes the write that was waiting for its turn.
func (s *shard) permit(now time.Time) {
	if s.call != nil || now.Before(s.retryAt) || s.phase < phaseTaking {
		return
	}
	if s.write == nil && s.phase == phaseOwner && s.deletionTurn && s.deletionDue(now) {
		s.delete(now)
		return
	}
	if s.write == nil {
		s.form(now)
	}
	// Deletions take turns with batches: under steady load there is always a
	// batch to write, and chunks would pile up.
	s.deletionTurn = true
	if s.write == nil && s.phase == phaseOwner && s.deletionDue(now) {
		s.delete(now)
		return
	}
	if s.write == nil || s.write.stage != stagePut {
		return
	}
	s.emit(now, &storeCall{
		kind: callPut, key: chunkKey(s.prefix, s.write.image.number),
		value: s.write.value, expected: s.write.expected,
	})
}

func (s *shard) delete(now time.Time) {
	oldest := s.sealed[0]
	s.deletionTurn = false
	s.emit(now, &storeCall{kind: callDelete, key: chunkKey(s.prefix, oldest.number), expected: oldest.version})
}

// form collects the waiting claims and marks into a write of the open chunk.
func (s *shard) form(now time.Time) {
	w := &write{expected: s.openVersion, begun: now, image: image{
		number: s.open.number, owner: s.entry, incarnation: s.incarnation, epoch: s.epoch,
		records: make([]keyRecord, 0, len(s.open.records)+min(len(s.pending)+len(s.dirty), s.limits.batchRecords)),
	}}
	slots := make(map[key]int, cap(w.image.records))
	put := func(r keyRecord) {
		if slot, ok := slots[r.key]; ok {
			w.image.records[slot] = r
			return
		}
		slots[r.key] = len(w.image.records)
		w.image.records = append(w.image.records, r)
	}
	for _, r := range s.open.records {
		if !s.isExpired(now, r.record) {
			put(r)
		}
	}
	if s.phase != phaseTaking {
		s.formClaims(now, w, put)
		s.formMarks(w, put)
		if len(w.claims)+len(w.marks) == 0 {
			return
		}
	}
	w.image.sealed = len(w.image.records) >= s.limits.chunkRecords
	s.sequence++
	w.image.sequence = s.sequence
	value, err := w.image.encode()
	if err != nil {
		// Encoding fails only on invalid records, which form does not make.
		s.event("encode_failed", err)
		return
	}
	w.value = value
	s.write = w
}

func (s *shard) formClaims(now time.Time, w *write, put func(keyRecord)) {
	taken := 0
	for _, c := range s.pending {
		if len(w.claims) == s.limits.batchRecords {
			break
		}
		taken++
		first := s.claiming(c)
		if first == nil {
			continue
		}
		c.record = record{fingerprint: first.fingerprint, attempt: attemptHash(c.attempt), claimed: unixSeconds(now)}.in(w.image.number)
		put(keyRecord{key: c.key, record: c.record})
		w.claims = append(w.claims, c)
	}
	s.pending = slices.Delete(s.pending, 0, taken)
}

func (s *shard) formMarks(w *write, put func(keyRecord)) {
	claimed := make(map[key]bool, len(w.claims))
	for _, c := range w.claims {
		claimed[c.key] = true
	}
	taken := 0
	for _, k := range s.dirty {
		if len(w.claims)+len(w.marks) >= s.limits.batchRecords {
			break
		}
		taken++
		known, ok := s.index[k]
		switch {
		case claimed[k]:
			// The new claim of the key replaces the mark.
			w.replaced = append(w.replaced, k)
		case ok:
			put(keyRecord{key: k, record: known.in(w.image.number)})
			w.marks = append(w.marks, k)
		}
	}
	s.dirty = slices.Delete(s.dirty, 0, taken)
}

// result takes the result of the store call in flight.
func (s *shard) result(now time.Time, in resultInput) {
	call := s.call
	s.call = nil
	if call == nil || call.life != s.life {
		return
	}
	switch {
	case s.phase == phaseLoading:
		s.loaded(now, in)
	case call.kind == callDelete:
		s.deleted(now, in)
	case s.write == nil:
		s.probed(now, in)
	case call.kind == callPut:
		s.written(now, in)
	case call.kind == callGet:
		s.readBack(now, in)
	default:
		s.verified(now, in)
	}
}

// loaded takes a page of chunks at a takeover.
func (s *shard) loaded(now time.Time, in resultInput) {
	if in.err != nil {
		s.failed(now, in.err)
		return
	}
	for _, document := range in.list {
		next, err := decodeImage(s.prefix, document.Key, document.Value)
		if err != nil {
			// Serving without the records of a chunk could run a key twice.
			s.failed(now, err)
			return
		}
		if s.tailVersion != 0 && !s.passTail() {
			return
		}
		if next.sealed {
			s.applySealed(now, next, document.Version)
		} else {
			s.open, s.tailVersion = next, document.Version
		}
		s.after = document.Key
	}
	s.succeeded()
	if len(in.list) < s.limits.listPage {
		s.phase = phaseTaking
		s.openVersion, s.tailVersion = s.tailVersion, 0
		if s.openVersion == 0 {
			s.open = image{number: s.applied + 1, epoch: s.epoch}
		}
		s.epoch = max(s.epoch, s.open.epoch) + 1
	}
}

// passTail is called when a chunk follows one that was read as not sealed. It
// was sealed meanwhile, so it is read again; passTail then returns false. A
// chunk that still is not sealed was left behind by an owner that created it
// after its deletion; its records are taken over as they are.
func (s *shard) passTail() bool {
	tail, version := s.open, s.tailVersion
	s.open, s.tailVersion = image{}, 0
	if s.reread != tail.number {
		s.reread = tail.number
		s.restartLoad()
		return false
	}
	s.event("stale_chunk", nil)
	s.applySealed(time.Time{}, tail, version)
	return true
}

// restartLoad reads again from the last chunk that was sealed when read.
func (s *shard) restartLoad() {
	s.phase = phaseLoading
	s.open, s.openVersion, s.tailVersion = image{}, 0, 0
	s.after = ""
	if s.applied > 0 {
		s.after = chunkKey(s.prefix, s.applied)
	}
}

func (s *shard) applySealed(now time.Time, sealed image, version int64) {
	s.apply(now, sealed)
	s.applied = max(s.applied, sealed.number)
	s.epoch = max(s.epoch, sealed.epoch)
	s.sealed = append(s.sealed, summary(sealed, version))
}

// apply enters the records of a chunk into the index. Chunks are applied in
// their order.
func (s *shard) apply(now time.Time, from image) {
	for _, r := range from.records {
		if r.is(chunk.State_NOT_RUN) || s.isExpired(now, r.record) {
			delete(s.index, r.key)
		} else {
			s.index[r.key] = r.record
		}
	}
}

func summary(sealed image, version int64) sealedChunk {
	result := sealedChunk{number: sealed.number, version: version}
	for _, r := range sealed.records {
		result.newest = max(result.newest, r.claimed)
	}
	return result
}

func (s *shard) deleted(now time.Time, in resultInput) {
	switch {
	case errors.Is(in.err, infrastructure.ErrUnavailable):
		s.failed(now, in.err)
		return
	case errors.Is(in.err, infrastructure.ErrUnknown):
		return
	case in.err != nil && !errors.Is(in.err, infrastructure.ErrNotFound):
		s.event("delete_failed", in.err)
	}
	s.sealed = slices.Delete(s.sealed, 0, 1)
}

// probed takes the result of a read that tests whether the store is back.
func (s *shard) probed(now time.Time, in resultInput) {
	missing := errors.Is(in.err, infrastructure.ErrNotFound)
	switch {
	case in.err != nil && !missing:
		s.failed(now, in.err)
	case in.value.Version != s.openVersion:
		s.lostOwnership(now, errFenced)
	default:
		s.succeeded()
	}
}

func (s *shard) written(now time.Time, in resultInput) {
	w := s.write
	w.lostReads = 0
	switch {
	case in.err == nil:
		s.tookEffect(now, in.version)
	case errors.Is(in.err, infrastructure.ErrConflict), errors.Is(in.err, infrastructure.ErrNotFound):
		// The conflict may be with an earlier try of this very write.
		w.stage = stageRead
	case errors.Is(in.err, infrastructure.ErrUnavailable) && !w.unsettled:
		s.failed(now, in.err)
		s.withdraw(now, w)
	case errors.Is(in.err, infrastructure.ErrUnavailable):
		w.stage = stageRead
		s.failed(now, in.err)
	default:
		w.unsettled = true
		w.stage = stageRead
	}
}

// withdraw drops a write that had no effect for certain.
func (s *shard) withdraw(now time.Time, w *write) {
	s.write = nil
	for _, k := range slices.Concat(w.marks, w.replaced) {
		s.setDirty(now, k)
	}
}

// readBack settles a write whose answer was lost.
func (s *shard) readBack(now time.Time, in resultInput) {
	w := s.write
	missing := errors.Is(in.err, infrastructure.ErrNotFound)
	if in.err != nil && !missing {
		s.readFailed(now, w, in.err)
		return
	}
	if in.value.Version == w.expected {
		// It did not take effect, but may do so later unless this version
		// is replaced: the same bytes are sent again.
		w.stage = stagePut
		return
	}
	if !missing {
		found, err := decodeImage(s.prefix, in.value.Key, in.value.Value)
		if err != nil {
			s.failed(now, err)
			return
		}
		if found.incarnation == s.incarnation && found.sequence == w.image.sequence {
			s.tookEffect(now, in.value.Version)
			return
		}
	}
	s.fenced(now)
}

// readFailed repeats a read whose answer was lost before it counts as a sign
// that the store is down: single losses are ordinary.
func (s *shard) readFailed(now time.Time, w *write, err error) {
	if errors.Is(err, infrastructure.ErrUnknown) && w.lostReads < s.limits.lostReads {
		w.lostReads++
		return
	}
	s.failed(now, err)
}

func (s *shard) fenced(now time.Time) {
	if s.phase != phaseTaking {
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

// verified takes the list of chunks after the created one. There are none,
// unless this owner slept so long that the chunk had been written, sealed and
// deleted by others.
func (s *shard) verified(now time.Time, in resultInput) {
	switch {
	case in.err != nil:
		s.readFailed(now, s.write, in.err)
	case len(in.list) > 0:
		s.fenced(now)
	default:
		s.commit(now)
	}
}

// commit takes over a write that took effect and grants its claims.
func (s *shard) commit(now time.Time) {
	w := s.write
	s.write = nil
	s.succeeded()
	if s.phase == phaseTaking {
		s.phase = phaseOwner
		s.event("taken", nil)
		s.apply(now, w.image)
	} else {
		s.commitClaims(now, w)
		s.commitMarks(w)
	}
	s.open, s.openVersion = w.image, w.version
	if w.image.sealed {
		s.sealed = append(s.sealed, summary(w.image, w.version))
		s.open, s.openVersion = image{number: w.image.number + 1}, 0
	}
}

func (s *shard) commitClaims(now time.Time, w *write) {
	for _, c := range w.claims {
		first := s.claiming(c)
		if first == nil {
			// The claimant was refused while the write was on its way, so its
			// request is not sent and the key is free again.
			s.index[c.key] = c.record.with(chunk.State_NOT_RUN)
			s.setDirty(now, c.key)
			continue
		}
		s.index[c.key] = c.record
		first.phase = attemptClaimed
		for _, id := range first.claims {
			s.reply(id, peer.KeyState_CLAIMED, nil)
		}
		first.claims = nil
	}
}

func (s *shard) commitMarks(w *write) {
	for _, k := range w.marks {
		known, ok := s.index[k]
		switch {
		case !ok:
		case known.is(chunk.State_NOT_RUN):
			delete(s.index, k)
		default:
			s.index[k] = known.in(w.image.number)
		}
	}
}
