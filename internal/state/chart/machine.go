package chart

import (
	"sync"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
)

// Machine is one running instance of a chart. It is safe for concurrent use.
type Machine struct {
	chart *Chart
	inv   quetzalhook.Invariants
	id    string

	mu    sync.Mutex
	state State
}

// NewMachine returns a machine in the chart's initial state. The id identifies
// the machine in reported violations.
func (c *Chart) NewMachine(id string, inv quetzalhook.Invariants) *Machine {
	return &Machine{chart: c, inv: inv, id: id, state: c.initial}
}

// State returns the current state.
func (m *Machine) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Fire applies an event and moves the machine to the state that follows. If the
// current state does not accept the event, the state is unchanged and the error
// is an *Error of KindIllegalTransition.
func (m *Machine) Fire(event Event) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	to, ok := m.chart.Next(m.state, event)
	if !ok {
		m.inv.Check(invariant.LegalTransition, false,
			"chart", m.chart.name, "id", m.id, "state", m.state, "event", event)
		return &Error{Op: "fire", Kind: KindIllegalTransition, Chart: m.chart.name, State: m.state, Event: event}
	}
	m.inv.Check(invariant.LegalTransition, true)
	m.state = to
	return nil
}

// IsFinal reports whether the machine is in a final state.
func (m *Machine) IsFinal() bool { return m.chart.IsFinal(m.State()) }
