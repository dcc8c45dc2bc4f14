package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now gives the time as a source that duties ask.
type Now func() time.Time

// Boot reads the boot clock, which goes on while the VM is suspended and is
// never set; its zero means nothing, only differences do.
func Boot() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Unix())
}
