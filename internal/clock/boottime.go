package clock

import (
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// Boottime returns the time since the host started. Unlike the monotonic clock
// of package time it advances while the host is suspended, which makes it
// suitable for leases.
func Boottime() time.Duration { return read(unix.CLOCK_BOOTTIME) }

// Monotonic returns the time since the host started without that in which it was suspended. What
// is under way between two processes of the host stands still with it, so that this clock tells
// how old it is.
func Monotonic() time.Duration { return read(unix.CLOCK_MONOTONIC) }

func read(id int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		// The call fails only for a clock that the kernel does not have.
		panic("clock: no clock " + strconv.Itoa(int(id)) + ": " + err.Error())
	}
	return time.Duration(ts.Nano())
}
