package soak

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// memoryInterval is the time between two looks at the memory of the hosts.
const memoryInterval = 100 * time.Millisecond

// checkMemory checks the resident memory of all hosts that are running.
func (s *system) checkMemory() {
	for _, h := range s.hosts {
		if mb := h.residentMB(); mb > 0 {
			s.checker.CheckMemory(h.name, mb)
		}
	}
}

// residentMB returns the resident memory of the process in MB, or 0 if it is not
// running.
func (h *host) residentMB() int {
	h.mu.Lock()
	c, exited := h.command, h.exited
	h.mu.Unlock()
	if c == nil {
		return 0
	}
	select {
	case <-exited: // another process may have its number by now
		return 0
	default:
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}
