package dispatching

import (
	"math"
	"time"
)

// offeredTime is the time constant of the offered load.
const offeredTime = 2 * time.Second

// offeredLoad is a moving average of the work that arrives, in seconds of run
// time per second: by Little's law the slots that keep up with it.
type offeredLoad struct {
	value float64
	last  time.Time
}

func (l *offeredLoad) at(now time.Time) float64 {
	return l.value * math.Exp(-now.Sub(l.last).Seconds()/offeredTime.Seconds())
}

func (l *offeredLoad) add(now time.Time, work time.Duration) {
	l.value = l.at(now) + work.Seconds()/offeredTime.Seconds()
	l.last = now
}
