package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boottime returns the time since the host started. Unlike the monotonic clock
// of package time it advances while the host is suspended, which makes it
// suitable for leases.
func Boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only for a clock that the kernel does not have.
		panic("clock: no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
