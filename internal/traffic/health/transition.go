package health

import (
	"quetzalhook/internal/state/chart"
	"quetzalhook/internal/state/invariant"
)

// Events of the upstream's state chart.
const (
	eventSuspect = chart.Event("suspect")
	eventEject   = chart.Event("eject")
	eventProbe   = chart.Event("probe")
	eventRecover = chart.Event("recover")
	eventLose    = chart.Event("lose")
)

// names are the chart's names of the states.
var names = map[State]chart.State{
	Healthy: "ready", Suspect: "suspect", Ejected: "ejected", Probing: "probing", Gone: "gone",
}

var states = func() map[chart.State]State {
	byName := make(map[chart.State]State, len(names))
	for s, name := range names {
		byName[name] = s
	}
	return byName
}()

// upstreamChart returns the chart of an upstream, which is part of the
// program, so that it always loads.
func upstreamChart() *chart.Chart {
	c, err := chart.Load(chart.Upstream)
	if err != nil {
		panic("health: " + err.Error())
	}
	return c
}

// move changes the state of t as the chart says. An event that the state does
// not accept changes nothing and counts as a violation.
func (m *Monitor) move(t *Target, event chart.Event) {
	next, ok := m.chart.Next(names[t.state], event)
	if m.invariants != nil {
		m.invariants.Check(invariant.LegalTransition, ok,
			"chart", chart.Upstream, "id", t.id, "state", names[t.state], "event", event)
	}
	if ok {
		t.state = states[next]
	}
}
