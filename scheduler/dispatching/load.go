package dispatching

import (
	"math"
	"time"
)

// offeredLoadTime is the time constant of the moving average of the offered
// load.
const offeredLoadTime = 2 * time.Second

// offeredLoad is a moving average of the arriving work, in seconds of run time
// per second. By Little's law this is the number of slots that the work keeps
// busy.
type offeredLoad struct {
	value float64
	last  time.Time
}

func (l *offeredLoad) at(now time.Time) float64 {
	return l.value * math.Exp(-now.Sub(l.last).Seconds()/offeredLoadTime.Seconds())
}

func (l *offeredLoad) add(now time.Time, work time.Duration) {
	l.value = l.at(now) + work.Seconds()/offeredLoadTime.Seconds()
	l.last = now
}
