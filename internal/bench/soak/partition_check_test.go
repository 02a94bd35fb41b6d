package soak

import (
	"slices"

	"quetzalhook"
)

// runPartition runs the commands of the test data about partitions, and reports whether
// the fields are one of them.
func (d *driver) runPartition(f []string) bool {
	switch f[0] {
	case "partition", "rejoin": // host...
		for _, h := range f[1:] {
			if f[0] == "partition" {
				d.checker.HostPartitioned(d.now, quetzalhook.HostID(h))
			} else {
				d.checker.HostRejoined(d.now, quetzalhook.HostID(h))
			}
		}
	case "tries": // host served count [disturbed]
		host := quetzalhook.HostID(f[1])
		served, count := d.number(f[2]), d.number(f[3])
		for i := range count {
			d.checker.FirstTryEnded(d.now, host, i < served, !slices.Contains(f, "disturbed"))
		}
	case "end-run":
		d.checker.CheckPartitions()
	default:
		return false
	}
	return true
}
