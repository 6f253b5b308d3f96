package execution

import (
	"slices"
	"time"

	"pgregory.net/rapid"
)

// pause lets the owner stand still for some time, and returns how long.
func (s *simulation) pause(point string) time.Duration {
	if !s.pauses || s.healthy || rapid.IntRange(0, 19).Draw(s.t, "pause "+point) < 19 {
		return 0
	}
	d := time.Duration(rapid.IntRange(1, int(simMaxPause/time.Millisecond)).Draw(s.t, "pause")) * time.Millisecond
	s.advance(d)
	return d
}

// send sends a start that was ordered some time ago. The owner checks orders again before
// it sends them, which matters after a pause.
func (s *simulation) send(st Start, ago time.Duration) {
	if !s.core.StartWanted(st) {
		s.core.StartWithdrawn(st, s.now)
		return
	}
	s.core.StartSent(st, s.now)
	s.orderedAt[st.Run] = s.now - ago
	w := s.workers[st.Worker.ID]
	outcome := s.outcome("outcome of a start")
	if w.backAt > 0 || st.Worker.StartMillis < w.StartMillis {
		// The worker has crashed already, but the owner cannot know this.
		s.item(st.Item).possibleCrashes++
		s.item(st.Item).outsideCrashes++
	}
	switch {
	case w.backAt > 0:
		s.core.StartDone(st, StartUnknown, s.now)
	case w.silent || outcome == 0:
		w.unanswered[st.Item] = true
		s.core.StartDone(st, StartUnknown, s.now)
	case outcome == 1:
		w.unanswered[st.Item] = true
		at := s.now + time.Duration(rapid.IntRange(100, 8000).Draw(s.t, "late by"))*time.Millisecond
		s.lateOrders = append(s.lateOrders, lateOrder{at: at, start: st, fence: s.term, to: w, startMillis: w.StartMillis})
		slices.SortStableFunc(s.lateOrders, func(a, b lateOrder) int { return int(a.at - b.at) })
		s.core.StartDone(st, StartUnknown, s.now)
	case outcome == 2:
		s.start(w, st, s.term, false, ago)
		s.core.StartDone(st, StartUnknown, s.now)
	default:
		s.core.StartDone(st, s.start(w, st, s.term, false, ago), s.now)
	}
}

func (s *simulation) hold(w *simWorker) {
	h, ok := s.core.HoldFor(w.ID, s.now)
	if ok {
		s.pause("before a hold")
	}
	switch {
	case ok && w.backAt > 0:
		s.core.HoldFailed(w.ID, "connection_refused", s.now)
	case ok && w.silent:
		s.core.HoldFailed(w.ID, "no_answer", s.now)
	}
	if !ok || w.unreachable() || s.term < w.fence {
		return
	}
	w.fence = s.term
	if h.Deadline > 0 {
		s.extendLease(w, h.Deadline)
	}
	for number, u := range w.unacknowledged {
		if number <= h.AcknowledgedEnd {
			u.end.acknowledged, u.end.acknowledgedAt = true, s.now
			s.check(u.item)
			delete(w.unacknowledged, number)
		}
	}
	w.ended = slices.DeleteFunc(w.ended, func(e EndedItem) bool { return e.Number <= h.AcknowledgedEnd })
	report := Report{Clock: s.clock(w), StartMillis: w.StartMillis, Ended: slices.Clone(w.ended)}
	for _, r := range sortedRuns(w.running) {
		w.listed[r] = true
		takes := simRunTime
		if s.longRunning(r.Item) {
			takes = s.startup
		}
		report.Running = append(report.Running, RunningItem{Run: r, Percent: min(int(s.now-w.running[r])*100/int(takes), 100)})
	}
	sent := s.now
	s.advance(time.Millisecond)
	s.pause("after a hold")
	if !s.calm && rapid.IntRange(0, 19).Draw(s.t, "answer to a hold") == 0 {
		s.core.HoldFailed(w.ID, "connection_closed", s.now)
		return
	}
	s.core.HoldDone(h, report, sent, s.now)
}

// outcome draws the outcome of a call: 0 to 2 stand for calls without an answer.
func (s *simulation) outcome(label string) int {
	if s.calm {
		return 9
	}
	return rapid.IntRange(0, 9).Draw(s.t, label)
}
