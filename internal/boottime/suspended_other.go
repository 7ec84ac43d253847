//go:build !linux

package boottime

import "time"

// suspendedTime is not known here.
func suspendedTime() (time.Duration, bool) { return 0, false }
