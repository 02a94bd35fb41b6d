// Package boottime reads CLOCK_BOOTTIME.
//
// Leases and other terms are measured with it because Go's monotonic clock
// stops while a machine is suspended: a holder that slept would believe in a
// term that has long ended.
package boottime

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Clock is a quetzalhook.Clock over CLOCK_BOOTTIME. Its times count from the
// start of the machine; only their differences mean anything.
type Clock struct{}

// New returns the clock, or an error if the kernel does not have it.
func New() (Clock, error) {
	if _, err := read(); err != nil {
		return Clock{}, errors.Wrap(err, "read CLOCK_BOOTTIME")
	}
	return Clock{}, nil
}

// Now returns the time since the machine started as a time after the Unix
// epoch.
func (Clock) Now() time.Time {
	t, err := read()
	if err != nil {
		// New has read the clock, so the kernel supports it; a later failure
		// would make every lease unsafe.
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
