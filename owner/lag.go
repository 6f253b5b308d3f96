package owner

import (
	"context"
	"sync"
	"time"

	"dotterelhead.example/dotterelhead/boottime"
)

const (
	// lagWindow is how long a delay of this process counts: two of the longest pauses
	// between calls to a worker that does not answer, and a call.
	lagWindow = time.Second
	// waitsPerCall is how often a call waits for the processor: to open a connection, to
	// use and to write it, to read the answer, and to return it.
	waitsPerCall = 6
	// maxLagAllowance bounds what is added to the time limit of a call. A hold then takes
	// less than the 2 s after which the lease of a worker is not extended any more.
	maxLagAllowance = time.Second
)

// lagMeter holds how late this process ran lately after a timer was due. Each step of
// a call waits about as long for the processor, so that an answer which has arrived is read
// late. An owner that then takes the worker to be silent starts work again that is done.
type lagMeter struct {
	mu sync.Mutex
	// since is when the present window began. current and previous are the longest delays
	// in it and in the one before.
	since             time.Duration
	current, previous time.Duration
}

func (m *lagMeter) advance(now time.Duration) {
	switch windows := (now - m.since) / lagWindow; {
	case windows >= 2:
		m.since, m.current, m.previous = now, 0, 0
	case windows == 1:
		m.since, m.current, m.previous = m.since+lagWindow, 0, m.current
	}
}

// observe records that this process ran late by a duration.
func (m *lagMeter) observe(late, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.current = max(m.current, late)
}

// longest returns the longest delay within the last one to two windows.
func (m *lagMeter) longest(now time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	return max(m.current, m.previous)
}

// allowance returns by how much the time limits of calls are longer than what the worker
// and the network take.
func (m *lagMeter) allowance(now time.Duration) time.Duration {
	return min(waitsPerCall*m.longest(now), maxLagAllowance)
}

// callTimeoutNow returns how long a call to a worker may take at present, apart from the
// time that the worker is asked to wait.
func (t *term) callTimeoutNow() time.Duration {
	return callTimeout + t.lag.allowance(boottime.Now())
}

// waitMeasured waits for d or until ctx ends, and records how late this process goes on.
func (t *term) waitMeasured(ctx context.Context, d time.Duration) {
	from := boottime.Now()
	wait(ctx, nil, d)
	now := boottime.Now()
	t.lag.observe(now-from-d, now)
}
