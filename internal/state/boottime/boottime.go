// Package boottime provides a clock that reads CLOCK_BOOTTIME.
//
// Lease terms are measured with this clock because Go's monotonic clock stops
// while the machine is suspended: after a suspension, a host would still act as
// the holder of a lease that has expired.
package boottime

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Clock implements quetzalhook.Clock with CLOCK_BOOTTIME. Its times count from
// the boot of the machine, so only differences between them are meaningful.
type Clock struct{}

// New returns a clock, or an error if the kernel does not support
// CLOCK_BOOTTIME.
func New() (Clock, error) {
	if _, err := read(); err != nil {
		return Clock{}, errors.Wrap(err, "read CLOCK_BOOTTIME")
	}
	return Clock{}, nil
}

// Now returns the Unix epoch plus the time since the machine booted.
func (Clock) Now() time.Time {
	t, err := read()
	if err != nil {
		// The kernel supports the clock, since New has read it. Without the
		// clock, no lease is safe.
		panic("boottime: " + err.Error())
	}
	return t
}

func read() (time.Time, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Time{}, err
	}
	return time.Unix(ts.Unix()), nil
}
