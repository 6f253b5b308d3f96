package owner

import (
	"context"
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/boottime"
	"dotterelhead.example/dotterelhead/job"
	"dotterelhead.example/dotterelhead/scheduler/execution"
)

// A crash of a worker and a network cut looked the same in the log.
func TestFailureReasonTellsACrashFromACut(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{
		{syscall.ECONNREFUSED, "connection_refused"},
		{syscall.ECONNRESET, "connection_closed"},
		{io.EOF, "connection_closed"},
		{context.DeadlineExceeded, "no_answer"},
		{ErrNotExecuted, "call_rejected"},
		{io.ErrShortBuffer, "call_failed"},
	} {
		if got := failureReason(errors.Wrap(c.err, "hold")); got != c.want {
			t.Errorf("reason of %v is %q, want %q", c.err, got, c.want)
		}
	}
}

// pausedCalls stand for calls during which the process is paused: it learns of their time
// limit much later.
type pausedCalls struct{ Workers }

func (pausedCalls) Hold(ctx context.Context, _ execution.Hold) (execution.Report, error) {
	<-ctx.Done()
	time.Sleep(pauseNoticed + 100*time.Millisecond)
	return execution.Report{}, ctx.Err()
}

// An owner that was paused took all workers to be silent whose answers it had not read in
// time, dropped the runs of those whose leases were over by then and started them elsewhere.
func TestWorkerIsNotSilentBecauseTheOwnerWasPaused(t *testing.T) {
	tm, _ := termWithJob(t, job.Step{})
	tm.options.Workers = pausedCalls{}
	tm.hold(context.Background(), execution.Hold{Worker: execution.Worker{ID: "w1", StartMillis: 1}}, &holdLoop{})
	if starts := tm.roundOrders().Starts; len(starts) != 1 {
		t.Errorf("starts %v, want one on the worker, which counts as silent", starts)
	}
}

// Guards against a later lifetime that forgets its ends: after a pause of the owner, in
// which the worker may have started again, the next hold acknowledged ends once more.
func TestInterruptedHoldIsNotFollowedByAnAcknowledgement(t *testing.T) {
	tm, _ := termWithJob(t, job.Step{})
	tm.reported("w1", execution.Report{Ended: []execution.EndedItem{{Number: 1, Run: execution.Run{Item: job.ItemID{Job: "unknown"}, Number: 1}}}})
	nextHold := func() execution.Hold {
		tm.mu.Lock()
		defer tm.mu.Unlock()
		tm.core.MarkCommitted(nil)
		h, _ := tm.core.HoldFor("w1", boottime.Now())
		return h
	}
	hold := nextHold()
	tm.options.Workers = pausedCalls{}
	tm.hold(context.Background(), hold, &holdLoop{})
	if next := nextHold(); hold.AcknowledgedEnd != 1 || next.AcknowledgedEnd != 0 {
		t.Errorf("ends up to %d are acknowledged, and after the pause up to %d, want 1 and 0", hold.AcknowledgedEnd, next.AcknowledgedEnd)
	}
	tm.reported("w1", execution.Report{})
	if next := nextHold(); next.AcknowledgedEnd != 1 {
		t.Errorf("ends up to %d are acknowledged once the worker has answered, want 1", next.AcknowledgedEnd)
	}
}

// lateAnswers stand for answers that arrive in time, but that this process reads late.
type lateAnswers struct {
	Workers
	after time.Duration
}

func (w lateAnswers) Hold(ctx context.Context, _ execution.Hold) (execution.Report, error) {
	select {
	case <-ctx.Done():
		return execution.Report{}, ctx.Err()
	case <-time.After(w.after):
		return execution.Report{StartMillis: 1, Clock: time.Minute}, nil
	}
}

// Guards against work that starts again after its end was listed: an owner that was short of
// processor time gave up calls whose answers had arrived, took the workers to be silent, and
// their runs to be lost once the leases were over.
func TestWorkerIsNotSilentBecauseTheOwnerRunsLate(t *testing.T) {
	for _, c := range []struct {
		lag    time.Duration
		silent bool
	}{{0, true}, {50 * time.Millisecond, false}} {
		tm, _ := termWithJob(t, job.Step{})
		tm.options.Workers = lateAnswers{after: callTimeout + 100*time.Millisecond}
		tm.lag.observe(c.lag, boottime.Now())
		tm.hold(context.Background(), execution.Hold{Worker: execution.Worker{ID: "w1", StartMillis: 1}}, &holdLoop{})
		if starts := tm.roundOrders().Starts; (len(starts) == 0) != c.silent {
			t.Errorf("with a lag of %v: starts %v, want none only without a lag", c.lag, starts)
		}
	}
}

// Guards against time limits that stay long after a pause, and against ones that outlast a
// lease: a worker that was cut off would get work for as long.
func TestAllowanceForLagIsBoundedAndEnds(t *testing.T) {
	var m lagMeter
	m.observe(20*time.Millisecond, time.Hour)
	if got := m.allowance(time.Hour + lagWindow); got != waitsPerCall*20*time.Millisecond {
		t.Errorf("allowance %v a window later", got)
	}
	m.observe(3*time.Second, time.Hour+lagWindow)
	if got := m.allowance(time.Hour + lagWindow); got != maxLagAllowance {
		t.Errorf("allowance %v after a pause, want %v", got, maxLagAllowance)
	}
	if got := m.allowance(time.Hour + 3*lagWindow); got != 0 {
		t.Errorf("allowance %v two windows after the pause, want none", got)
	}
}
