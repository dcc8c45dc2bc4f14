package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the current time of a clock.
type Now func() time.Time

// Boot reads the boot clock, which keeps running while the VM is suspended and is
// never set. Its zero has no meaning, only differences have.
func Boot() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Unix())
}
