package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendedTime returns how long the machine has been suspended since it started: what
// CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC, less the time between the two readings.
func suspendedTime() (time.Duration, bool) {
	var monotonic, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0, false
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), true
}
