// Package boottime reads a clock that counts the time during which the machine
// was suspended. The monotonic clock of package time does not, so an authority
// that ends by it would outlive a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, suspension included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has the clock since 2.6.39; without it no lease can be trusted.
		panic("boottime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
