// Package boottime reads a clock that also advances while the machine is
// suspended. The monotonic clock of package time does not, so a lease measured
// with it would still look valid after a suspension in which it expired.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including the time suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39. Without it the expiry of leases
		// cannot be determined safely.
		panic("boottime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
