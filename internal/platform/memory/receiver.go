package memory

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"quetzalhook"
)

// Receiver is the platform's end of orders and usage reports. It takes them
// from all simulated hosts and notes what no correct set of hosts does: fencing
// numbers that decrease, which is what two commanders look like, and reports
// of a window with different bytes.
type Receiver struct {
	mu       sync.Mutex
	checks   bool // refuses old fencing numbers
	lose     int
	down     bool
	hosts    map[quetzalhook.HostID]quetzalhook.HostStatus
	fencing  uint64
	effects  []string
	reports  map[string]string
	findings []string
}

// NewReceiver returns a receiver. With checksFencing it refuses old fencing
// numbers, otherwise it takes them and notes a finding.
func NewReceiver(checksFencing bool) *Receiver {
	return &Receiver{
		checks: checksFencing, reports: make(map[string]string),
		hosts: make(map[quetzalhook.HostID]quetzalhook.HostStatus),
	}
}

// SetFaults loses the answers of the next orders and reports, or refuses all.
func (r *Receiver) SetFaults(loseAnswers int, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lose, r.down = loseAnswers, down
}

// SetHost replaces an entry of the list of hosts.
func (r *Receiver) SetHost(h quetzalhook.HostStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts[h.Host] = h
}

// Hosts returns the list of hosts.
func (r *Receiver) Hosts() []quetzalhook.HostStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []quetzalhook.HostStatus
	for _, id := range slices.Sorted(maps.Keys(r.hosts)) {
		list = append(list, r.hosts[id])
	}
	return list
}

// Order takes an order from a host.
func (r *Receiver) Order(from quetzalhook.HostID, o quetzalhook.UpstreamOrder) error {
	return r.take(from, o.Fencing, func() { r.effects = append(r.effects, o.ID) })
}

// Report takes a usage report from a host.
func (r *Receiver) Report(from quetzalhook.HostID, window string, fencing uint64, body []byte) error {
	return r.take(from, fencing, func() {
		if before, ok := r.reports[window]; ok && before != string(body) {
			r.findings = append(r.findings, fmt.Sprintf("%s from %s: %s after %s", window, from, body, before))
		}
		r.reports[window] = string(body)
	})
}

func (r *Receiver) take(from quetzalhook.HostID, fencing uint64, effect func()) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return storeError("receive", "", quetzalhook.StoreUnavailable)
	}
	if fencing < r.fencing {
		if r.checks {
			return storeError("receive", "", quetzalhook.StoreConflict)
		}
		r.findings = append(r.findings, fmt.Sprintf("fencing number %d after %d from %s", fencing, r.fencing, from))
	}
	r.fencing = max(r.fencing, fencing)
	effect()
	if r.lose > 0 {
		r.lose--
		return storeError("receive", "", quetzalhook.StoreUnknown)
	}
	return nil
}

// Effects returns the identifiers of the orders that took effect.
func (r *Receiver) Effects() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.effects)
}

// Reports returns the newest body of each window.
func (r *Receiver) Reports() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.reports)
}

// Findings returns what was wrong.
func (r *Receiver) Findings() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.findings)
}
