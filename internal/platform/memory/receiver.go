package memory

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"quetzalhook"
)

// Receiver simulates the platform's API for orders and usage reports. All
// simulated hosts send to it. It records two violations that correct hosts never
// cause: a fencing token lower than an earlier one, which shows that two hosts
// hold the same duty, and two reports of one window with different bytes.
type Receiver struct {
	mu            sync.Mutex
	rejectsStale  bool // rejects old fencing tokens
	answersToLose int  // number of next calls whose response is lost
	down          bool
	hosts         map[quetzalhook.HostID]quetzalhook.HostStatus
	fencing       uint64            // highest fencing token so far
	appliedOrders []string          // IDs of the orders that took effect
	reports       map[string]string // latest report by window
	violations    []string
}

// NewReceiver returns a receiver. With checksFencing it rejects calls with an old
// fencing token, otherwise it accepts them and records a violation.
func NewReceiver(checksFencing bool) *Receiver {
	return &Receiver{
		rejectsStale: checksFencing, reports: make(map[string]string),
		hosts: make(map[quetzalhook.HostID]quetzalhook.HostStatus),
	}
}

// SetFaults makes the receiver lose the responses to the next loseAnswers orders
// and reports, and reject all calls while down is true.
func (r *Receiver) SetFaults(loseAnswers int, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answersToLose, r.down = loseAnswers, down
}

// SetHost adds or replaces an entry of the host list.
func (r *Receiver) SetHost(h quetzalhook.HostStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts[h.Host] = h
}

// Hosts returns the host list, sorted by ID.
func (r *Receiver) Hosts() []quetzalhook.HostStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []quetzalhook.HostStatus
	for _, id := range slices.Sorted(maps.Keys(r.hosts)) {
		list = append(list, r.hosts[id])
	}
	return list
}

// Order handles an order from a host.
func (r *Receiver) Order(from quetzalhook.HostID, o quetzalhook.UpstreamOrder) error {
	return r.accept(from, o.Fencing, func() { r.appliedOrders = append(r.appliedOrders, o.ID) })
}

// Report handles a usage report from a host.
func (r *Receiver) Report(from quetzalhook.HostID, window string, fencing uint64, body []byte) error {
	return r.accept(from, fencing, func() {
		if before, ok := r.reports[window]; ok && before != string(body) {
			r.violations = append(r.violations, fmt.Sprintf("%s from %s: %s after %s", window, from, body, before))
		}
		r.reports[window] = string(body)
	})
}

// accept runs effect for a call unless the call is rejected because of a fault or
// its fencing token.
func (r *Receiver) accept(from quetzalhook.HostID, fencing uint64, effect func()) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return storeError("receive", "", quetzalhook.StoreUnavailable)
	}
	if fencing < r.fencing {
		if r.rejectsStale {
			return storeError("receive", "", quetzalhook.StoreConflict)
		}
		r.violations = append(r.violations, fmt.Sprintf("fencing token %d after %d from %s", fencing, r.fencing, from))
	}
	r.fencing = max(r.fencing, fencing)
	effect()
	if r.answersToLose > 0 {
		r.answersToLose--
		return storeError("receive", "", quetzalhook.StoreUnknown)
	}
	return nil
}

// AppliedOrders returns the IDs of the orders that took effect, in order.
func (r *Receiver) AppliedOrders() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.appliedOrders)
}

// Reports returns the latest usage report of each window.
func (r *Receiver) Reports() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.reports)
}

// Violations returns descriptions of the violations recorded so far.
func (r *Receiver) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}
