package owner

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/scheduler/execution"
)

const (
	// ackWait is how long a loop waits for ends to be committed before it asks
	// the worker again.
	ackWait = 100 * time.Millisecond
	// retryWait is the pause after a call that a worker did not answer.
	retryWait = 200 * time.Millisecond
	// startsUnderWay is how many starts wait for their answers at once. A worker
	// answers within some milliseconds; when the processor cannot keep up, more
	// starts would only run into their timeouts, and holds with them.
	startsUnderWay = 128
)

// rounds decides whenever something has changed, and every tick.
func (t *term) rounds(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		case <-ticker.C:
		}
		started := time.Now()
		t.round(ctx)
		wait(ctx, nil, pauseAfter(time.Since(started)))
	}
}

// pauseAfter is the pause after a round that took so long. Long rounds are made
// rarer, so that they leave the processor to holds and starts.
func pauseAfter(took time.Duration) time.Duration {
	return min(max(roundGap, roundRest*took), tick)
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
	t.core.LimitStarts(max(startsUnderWay-int(t.starting.Load()), 0))
	orders := t.core.Round(started, now)
	questions := t.core.Questions(now)
	t.ensureLoopsLocked(ctx)
	dirty := t.core.Dirty()
	holders, changed := t.core.UnrecordedHolders()
	if changed {
		left := map[string]time.Duration{}
		for _, id := range holders {
			left[id] = t.core.LeaseBound()
		}
		t.recordHoldersLocked(left)
	}
	t.mu.Unlock()
	for _, s := range orders.Starts {
		t.starting.Add(1)
		t.order(func() {
			t.sendStart(ctx, s)
			if t.starting.Add(-1) == startsUnderWay/2 {
				t.kick()
			}
		})
	}
	for _, s := range orders.Stops {
		t.order(func() { t.sendStop(ctx, s) })
	}
	for _, p := range orders.Paces {
		t.order(func() { t.sendPace(ctx, p) })
	}
	for _, q := range questions {
		t.order(func() { t.ask(ctx, q) })
	}
	if dirty || changed {
		t.kickWriter()
	}
	t.metrics.round.Record(time.Since(started))
}

// order carries out an order beside others.
func (t *term) order(f func()) {
	t.orders.Add(1)
	go func() {
		defer t.orders.Done()
		f()
	}()
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// holdLoop is the goroutine that holds one worker. Its fields are guarded by
// the term's mutex.
type holdLoop struct {
	wake chan struct{}
	// idle is set while there is no reason to call the worker, acknowledging
	// while ends wait to be committed.
	idle, acknowledging bool
}

// ensureLoopsLocked starts a hold loop for each worker that needs one, and
// wakes the idle ones that have something to do.
func (t *term) ensureLoopsLocked(ctx context.Context) {
	for _, id := range t.core.WorkersToHold() {
		l, ok := t.loops[id]
		if !ok {
			l = &holdLoop{wake: make(chan struct{}, 1)}
			t.loops[id] = l
			go t.holdWorker(ctx, id, l)
		}
		if l.idle {
			l.idle = false
			poke(l.wake)
		}
	}
}

// wakeAcknowledgedLocked wakes the loops whose ends are all committed.
func (t *term) wakeAcknowledgedLocked() {
	for id, l := range t.loops {
		if l.acknowledging && !t.core.Unsettled(id) {
			l.acknowledging = false
			poke(l.wake)
		}
	}
}

// holdWorker extends the leases on one worker and reads its lists, one call
// after the other, until the worker is gone.
func (t *term) holdWorker(ctx context.Context, id string, l *holdLoop) {
	for ctx.Err() == nil {
		t.mu.Lock()
		if !t.core.Knows(id) {
			delete(t.loops, id)
			t.mu.Unlock()
			return
		}
		var hold execution.Hold
		due := false
		authorized := t.authorizedLocked()
		if authorized {
			hold, due = t.core.HoldFor(id, boottime.Now())
		}
		l.idle = authorized && !due
		t.mu.Unlock()
		switch {
		case due:
			t.hold(ctx, hold, l)
		case authorized:
			wait(ctx, l.wake, idleWait)
		default:
			wait(ctx, l.wake, tick)
		}
	}
}

// idleWait is how long the loop of an idle worker sleeps when nothing wakes it.
const idleWait = 2 * time.Second

func (t *term) hold(ctx context.Context, hold execution.Hold, l *holdLoop) {
	sent := boottime.Now()
	callCtx, cancel := context.WithTimeout(ctx, hold.Wait+callTimeout)
	report, err := t.options.Workers.Hold(callCtx, hold, t.held.Fence)
	cancel()
	if err != nil {
		t.fenced(err)
		if ctx.Err() == nil {
			t.mu.Lock()
			t.core.HoldFailed(hold.Worker.ID, boottime.Now())
			t.mu.Unlock()
			t.kick()
			t.metrics.scope.Counter("hold_failures_total").Inc(1)
			t.options.Log.Debug().Str("event", "hold_failed").Str("worker", hold.Worker.ID).Err(err).Msg("")
		}
		wait(ctx, nil, retryWait)
		return
	}
	t.mu.Lock()
	t.core.HoldDone(hold, report, sent, boottime.Now())
	l.acknowledging = t.core.Unsettled(hold.Worker.ID)
	pause := l.acknowledging
	t.mu.Unlock()
	t.kick()
	if pause {
		wait(ctx, l.wake, ackWait)
	}
}

// wait returns when wake is signalled, after d, or when ctx ends.
func wait(ctx context.Context, wake chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// fenced ends the ownership if an answer shows a later owner.
func (t *term) fenced(err error) {
	if errors.Is(err, ErrFenced) {
		t.end(errors.WithStack(ErrFenced))
	}
}

func (t *term) sendStart(ctx context.Context, s execution.Start) {
	result := execution.NotStarted
	if t.authorized() {
		started := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		var err error
		result, err = t.options.Workers.Start(callCtx, s, t.held.Fence)
		cancel()
		t.metrics.startCall.Record(time.Since(started))
		t.fenced(err)
	}
	t.metrics.scope.Tagged(map[string]string{"result": result.String()}).Counter("starts_total").Inc(1)
	t.mu.Lock()
	t.core.StartDone(s, result, boottime.Now())
	t.mu.Unlock()
	if result != execution.Started {
		t.kick()
	}
}

func (t *term) sendStop(ctx context.Context, s execution.Stop) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	err := t.options.Workers.Stop(callCtx, s, t.held.Fence)
	cancel()
	t.fenced(err)
	t.options.Log.Info().Str("event", "run_stopped").Str("item", s.Item.String()).Int64("run", s.Run.Run).Str("worker", s.Worker.ID).
		AnErr("error", err).Msg("")
	t.mu.Lock()
	t.core.StopDone(s, err == nil, boottime.Now())
	t.mu.Unlock()
}

func (t *term) sendPace(ctx context.Context, p execution.Pace) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := t.options.Workers.Pace(callCtx, p, t.held.Fence)
	t.fenced(err)
	t.options.Log.Info().Str("event", "run_paced").Str("item", p.Item.String()).Int64("run", p.Run.Run).Str("worker", p.Worker.ID).
		Int("percent", p.Percent).AnErr("error", err).Msg("")
}

func (t *term) ask(ctx context.Context, q execution.Question) {
	callCtx, cancel := context.WithTimeout(ctx, 10*callTimeout)
	defer cancel()
	tickets, validity, err := t.options.Advisor.Advise(callCtx, q)
	if err != nil {
		t.options.Log.Warn().Str("event", "advice_failed").Str("step", q.Step.String()).Err(err).Msg("")
		tickets = nil
	}
	t.mu.Lock()
	t.core.Answered(q, tickets, validity, boottime.Now())
	t.mu.Unlock()
	t.kick()
}

// trace writes one line for each decision.
func (t *term) trace(e execution.Event) {
	switch e.Name {
	case "run_placed":
		t.metrics.placement.Record(e.Took)
	case "job_completed":
		t.metrics.job.Record(e.Took)
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
	if e.Service != "" {
		entry = entry.Str("service", e.Service)
	}
	if e.Reason != "" {
		entry = entry.Str("reason", e.Reason)
	}
	if e.Detail != "" {
		entry = entry.Str("detail", e.Detail)
	}
	if e.Took > 0 {
		entry = entry.Str("took_ms", strconv.FormatInt(e.Took.Milliseconds(), 10))
	}
	entry.Msg("")
	t.metrics.scope.Tagged(map[string]string{"event": e.Name, "reason": e.Reason}).Counter("decisions_total").Inc(1)
}
