package owner

import (
	"context"
	"io"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/scheduler/execution"
)

const (
	// unsettledWait is how long a hold loop waits before it calls a worker again
	// that would answer at once: ended runs on it have to be committed to the
	// store before they can be acknowledged, or the state of some of its runs is
	// not known yet.
	unsettledWait = 100 * time.Millisecond
	// retryWait is the pause after a call that a worker did not answer. For one that has
	// never answered this owner and holds no lease it doubles up to maxRetryWait: the
	// registry may have many entries whose addresses nothing answers.
	retryWait    = 200 * time.Millisecond
	maxRetryWait = 2 * time.Second
	// pauseNoticed is how long after its time limit a call to a worker may fail and still
	// tell that the worker does not answer. After that, this process did not run, or could
	// not read the answer for lack of processor time.
	pauseNoticed = time.Second
	// maxPendingStarts bounds the starts that wait for their answers. A worker
	// answers within a few milliseconds; when the CPU cannot keep up, more starts
	// would only time out, and the holds with them.
	maxPendingStarts = 128
	// maxFirstCalls bounds the calls in progress to workers that this owner has not
	// contacted. 3,003 workers that answer within 2 ms take 100 ms.
	maxFirstCalls = 64
)

// rounds runs a decision round whenever something has changed, and at least
// about every tick.
func (t *term) rounds(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.roundSignal:
		case <-ticker.C:
		}
		started := time.Now()
		t.round(ctx)
		t.waitMeasured(ctx, pauseAfter(time.Since(started)))
	}
}

// pauseAfter returns the pause after a round that took the given time. Long
// rounds run less often, so that they leave the CPU to holds and starts.
func pauseAfter(took time.Duration) time.Duration {
	return min(max(roundGap, roundPauseFactor*took), tick)
}

func (t *term) round(ctx context.Context) {
	started := time.Now()
	t.mu.Lock()
	if !t.authorizedLocked() {
		t.mu.Unlock()
		return
	}
	t.setManifestLocked()
	now := boottime.Now()
	t.core.LimitStarts(max(maxPendingStarts-int(t.pendingStarts.Load()), 0))
	orders := t.core.Round(started, now)
	adviceRequests := t.core.AdviceRequests(now)
	t.ensureHoldLoopsLocked(ctx, now)
	dirty := t.core.Dirty()
	changed := t.recordChangedHoldersLocked()
	changed = t.recordHorizonLocked() || changed
	t.mu.Unlock()
	for _, s := range orders.Starts {
		t.pendingStarts.Add(1)
		t.goCall(func() {
			t.sendStart(ctx, s)
			// The pending starts may have kept rounds from placing work.
			if t.pendingStarts.Add(-1) == maxPendingStarts/2 {
				t.wakeRounds()
			}
		})
	}
	for _, s := range orders.Stops {
		t.goCall(func() { t.sendStop(ctx, s) })
	}
	for _, p := range orders.Paces {
		t.goCall(func() { t.sendPace(ctx, p) })
	}
	for _, q := range adviceRequests {
		t.goCall(func() { t.askAdvisor(ctx, q) })
	}
	if dirty || changed {
		t.wakeWriter()
	}
	t.metrics.round.Record(time.Since(started))
}

// goCall makes a call to a worker or to the advisor in a goroutine of its own.
func (t *term) goCall(f func()) {
	t.pendingCalls.Add(1)
	go func() {
		defer t.pendingCalls.Done()
		f()
	}()
}

// signal wakes the receiver of c, whose buffer holds one signal, without
// blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// holdLoop is the state of the goroutine that sends the hold calls to one
// worker. Its fields are guarded by the term's mutex.
type holdLoop struct {
	wake chan struct{}
	// unsettled is set while the next call waits for up to unsettledWait.
	unsettled bool
	// unanswered counts the calls to a worker that has never answered this owner.
	unanswered int
}

// retryWaitLocked returns the pause after a call that a worker did not answer.
func (t *term) retryWaitLocked(id string, l *holdLoop) time.Duration {
	if !t.core.NeverAnswered(id, boottime.Now()) {
		l.unanswered = 0
		return retryWait
	}
	l.unanswered = min(l.unanswered+1, 10)
	return min(retryWait<<(l.unanswered-1), maxRetryWait)
}

// ensureHoldLoopsLocked starts a hold loop for each worker that needs one.
func (t *term) ensureHoldLoopsLocked(ctx context.Context, now time.Duration) {
	for _, id := range t.core.WorkersToHold(now) {
		if t.holdLoops[id] == nil {
			l := &holdLoop{wake: make(chan struct{}, 1)}
			t.holdLoops[id] = l
			go t.holdWorker(ctx, id, l)
		}
	}
}

// wakeSettledLocked wakes the hold loops that need not wait for unsettledWait any
// longer.
func (t *term) wakeSettledLocked() {
	for id, l := range t.holdLoops {
		if l.unsettled && !t.core.NeedsImmediateAnswer(id) {
			l.unsettled = false
			signal(l.wake)
		}
	}
}

// holdWorker sends hold calls to one worker, one after the other, until there is
// no reason to call it. A hold extends the leases on the worker and returns its
// running and ended items. Thousands of workers may be idle: their loops end, as each
// would take a stack of 8 kB.
func (t *term) holdWorker(ctx context.Context, id string, l *holdLoop) {
	for ctx.Err() == nil {
		t.mu.Lock()
		var hold execution.Hold
		due := false
		authorized := t.authorizedLocked()
		if authorized {
			hold, due = t.core.HoldFor(id, boottime.Now())
		}
		ended := authorized && !due || !t.core.HasWorker(id)
		if ended {
			delete(t.holdLoops, id)
		}
		t.mu.Unlock()
		if due {
			t.hold(ctx, hold, l)
		}
		if ended {
			return
		}
		if !due {
			wait(ctx, l.wake, tick)
		}
	}
}

// callHold makes a hold call. A worker that this owner has not contacted is called once
// there is a place in firstCalls: with all of 3,003 workers called at once, a new owner had
// no time to renew its lease.
func (t *term) callHold(ctx context.Context, hold execution.Hold) (report execution.Report, sent, limit time.Duration, err error) {
	t.mu.Lock()
	contacted := t.core.Contacted(hold.Worker.ID)
	t.mu.Unlock()
	if !contacted {
		select {
		case t.firstCalls <- struct{}{}:
			defer func() { <-t.firstCalls }()
		case <-ctx.Done():
			return report, boottime.Now(), 0, ctx.Err()
		}
	}
	sent, limit = boottime.Now(), hold.LongPollTimeout+t.callTimeoutNow()
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	report, err = t.options.Workers.Hold(callCtx, hold)
	return report, sent, limit, err
}

func (t *term) hold(ctx context.Context, hold execution.Hold, l *holdLoop) {
	report, sent, limit, err := t.callHold(ctx, hold)
	if errors.Is(err, context.DeadlineExceeded) && boottime.Now()-sent > limit+pauseNoticed {
		t.mu.Lock()
		t.core.HoldInterrupted(hold.Worker.ID, boottime.Now())
		t.mu.Unlock()
		t.options.Log.Debug().Str("event", "hold_interrupted").Str("worker", hold.Worker.ID).Dur("took", boottime.Now()-sent).Msg("")
		return
	}
	if err != nil {
		t.endIfWorkerFenced(err, hold.Worker.ID, hold.Fence)
		pause := retryWait
		if ctx.Err() == nil {
			t.mu.Lock()
			t.core.HoldFailed(hold.Worker.ID, failureReason(err), boottime.Now())
			pause = t.retryWaitLocked(hold.Worker.ID, l)
			t.mu.Unlock()
			t.wakeRounds()
			t.metrics.scope.Counter("hold_failures_total").Inc(1)
			entry := t.options.Log.Debug()
			if failureReason(err) == callFailed {
				// Only the text of the error tells these failures apart.
				entry = t.options.Log.Info()
			}
			entry.Str("event", "hold_failed").Str("worker", hold.Worker.ID).Err(err).Msg("")
		}
		wait(ctx, nil, pause)
		return
	}
	t.mu.Lock()
	t.core.HoldDone(hold, report, sent, boottime.Now())
	l.unsettled = t.core.NeedsImmediateAnswer(hold.Worker.ID)
	pause := l.unsettled
	t.mu.Unlock()
	t.wakeRounds()
	if pause {
		wait(ctx, l.wake, unsettledWait)
	}
}

// failureReason says, for the log, how a call to a worker failed. A worker whose
// process has ended refuses or resets connections; one that is cut off or hangs
// does not answer.
func failureReason(err error) string {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return execution.ConnectionRefused
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, io.EOF), errors.Is(err, syscall.EPIPE):
		return execution.ConnectionClosed
	case errors.Is(err, context.DeadlineExceeded):
		return "no_answer"
	case errors.Is(err, ErrNotExecuted), errors.Is(err, ErrFenced):
		return "call_rejected"
	}
	return callFailed
}

// callFailed is the reason of failures that no other reason describes.
const callFailed = "call_failed"

// wait returns when wake is signalled, after d, or when ctx ends. wake may be
// nil.
func wait(ctx context.Context, wake chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// endIfFenced ends the ownership if the error of a call shows that there is a
// later owner.
func (t *term) endIfFenced(err error) {
	if errors.Is(err, ErrFenced) {
		t.end(errors.WithStack(ErrFenced))
	}
}

// endIfWorkerFenced is endIfFenced for a call to a worker with the given fencing token.
// A call that was meant for a former lifetime of the worker is rejected because of this
// owner's own calls to the present one.
func (t *term) endIfWorkerFenced(err error, worker string, fence int64) {
	t.mu.Lock()
	superseded := fence < t.core.FenceOf(worker)
	t.mu.Unlock()
	if !superseded {
		t.endIfFenced(err)
	}
}

func (t *term) sendStart(ctx context.Context, s execution.Start) {
	t.mu.Lock()
	authorized, wanted := t.authorizedLocked(), t.core.StartWanted(s)
	if wanted {
		t.core.StartSent(s, boottime.Now())
	} else {
		t.core.StartWithdrawn(s, boottime.Now())
	}
	t.mu.Unlock()
	if !wanted {
		t.wakeRounds()
		return
	}
	result := execution.NotStarted
	if authorized {
		started := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, t.callTimeoutNow())
		var err error
		result, err = t.options.Workers.Start(callCtx, s)
		cancel()
		t.metrics.startCall.Record(time.Since(started))
		t.endIfWorkerFenced(err, s.Worker.ID, s.Fence)
	}
	t.metrics.scope.Tagged(map[string]string{"result": result.String()}).Counter("starts_total").Inc(1)
	t.mu.Lock()
	t.core.StartDone(s, result, boottime.Now())
	t.mu.Unlock()
	if result != execution.Started {
		t.wakeRounds()
	}
}

func (t *term) sendStop(ctx context.Context, s execution.Stop) {
	t.mu.Lock()
	authorized, allowed := t.authorizedLocked(), t.core.StopAllowed(s, boottime.Now())
	if !authorized || !allowed {
		t.core.StopPostponed(s)
	}
	t.mu.Unlock()
	if !allowed {
		t.options.Log.Info().Str("event", "stop_postponed").Str("item", s.Item.String()).Int64("run", s.Run.Number).Str("worker", s.Worker.ID).
			Str("reason", s.Reason).Str("detail", s.Detail).Msg("")
	}
	if !authorized || !allowed {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, t.callTimeoutNow())
	err := t.options.Workers.Stop(callCtx, s)
	cancel()
	t.endIfWorkerFenced(err, s.Worker.ID, s.Fence)
	t.options.Log.Info().Str("event", "run_stopped").Str("item", s.Item.String()).Int64("run", s.Run.Number).Str("worker", s.Worker.ID).
		Str("reason", s.Reason).Str("detail", s.Detail).AnErr("error", err).Msg("")
	t.mu.Lock()
	t.core.StopDone(s, err == nil, boottime.Now())
	t.mu.Unlock()
}

func (t *term) sendPace(ctx context.Context, p execution.Pace) {
	if !t.authorized() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, t.callTimeoutNow())
	defer cancel()
	err := t.options.Workers.Pace(callCtx, p)
	t.endIfWorkerFenced(err, p.Worker.ID, p.Fence)
	t.options.Log.Info().Str("event", "run_paced").Str("item", p.Item.String()).Int64("run", p.Run.Number).Str("worker", p.Worker.ID).
		Int("percent", p.Percent).AnErr("error", err).Msg("")
}

func (t *term) askAdvisor(ctx context.Context, q execution.AdviceRequest) {
	callCtx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	tickets, validity, err := t.options.Advisor.Advise(callCtx, q)
	if err != nil {
		t.options.Log.Warn().Str("event", "advice_failed").Str("step", q.Step.String()).Int64("timeout_ms", q.Timeout.Milliseconds()).Err(err).Msg("")
		tickets = nil
	}
	t.mu.Lock()
	t.core.AdviceReceived(q, tickets, validity, boottime.Now())
	t.mu.Unlock()
	t.wakeRounds()
}

// trace logs one line for each decision and counts it.
func (t *term) trace(e execution.Event) {
	switch e.Name {
	case "run_placed":
		t.metrics.placement.Record(e.Took)
	case "job_completed":
		t.metrics.job.Record(e.Took)
	case "run_ended":
		t.logIfDiscarded(e)
		if e.Expected > 0 {
			t.metrics.runTimeRatio.RecordValue(float64(e.Took) / float64(e.Expected))
		}
	}
	entry := t.options.Log.Info().Str("event", e.Name)
	if e.Job != "" {
		entry = entry.Str("job", e.Job)
	}
	if e.Item != "" {
		entry = entry.Str("item", e.Item).Int64("run", e.Run)
	}
	if e.Worker != "" {
		entry = entry.Str("worker", e.Worker)
	}
	if e.VM != "" {
		entry = entry.Str("vm", e.VM)
	}
	if e.Service != "" {
		entry = entry.Str("service", e.Service)
	}
	if e.Organisation != "" {
		entry = entry.Str("organisation", e.Organisation)
	}
	if e.Reason != "" {
		entry = entry.Str("reason", e.Reason)
	}
	if e.End > 0 {
		entry = entry.Int64("end", e.End).Str("effect", e.Effect)
	}
	if e.Detail != "" {
		entry = entry.Str("detail", e.Detail)
	}
	if e.Expected > 0 {
		entry = entry.Int64("expected_ms", e.Expected.Milliseconds())
	}
	if e.Took > 0 {
		entry = entry.Str("took_ms", strconv.FormatInt(e.Took.Milliseconds(), 10))
	}
	entry.Msg("")
	t.metrics.scope.Tagged(map[string]string{"event": e.Name, "reason": e.Reason}).Counter("decisions_total").Inc(1)
}

// logIfDiscarded logs an end of a job whose progress cannot be read. Nothing keeps it once
// it is acknowledged.
func (t *term) logIfDiscarded(e execution.Event) {
	if id, _, _ := strings.Cut(e.Item, "."); t.unreadable[id] {
		t.options.Log.Warn().Str("event", "end_discarded").Str("item", e.Item).Int64("run", e.Run).Str("worker", e.Worker).
			Str("reason", e.Reason).Int64("end", e.End).Msg("")
	}
}
