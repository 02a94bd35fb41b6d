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

// chartStates maps each State to the name of its state in the chart.
var chartStates = map[State]chart.State{
	Healthy: "ready", Suspect: "suspect", Ejected: "ejected", Probing: "probing", Gone: "gone",
}

var statesByChart = func() map[chart.State]State {
	byName := make(map[chart.State]State, len(chartStates))
	for s, name := range chartStates {
		byName[name] = s
	}
	return byName
}()

// upstreamChart returns the state chart of an upstream. The chart is embedded in
// the program, so loading it fails only if the program is wrong.
func upstreamChart() *chart.Chart {
	c, err := chart.Load(chart.Upstream)
	if err != nil {
		panic("health: " + err.Error())
	}
	return c
}

// transition applies an event to the state of t as the chart defines. An event
// that the state does not accept changes nothing and counts as a violation of
// invariant.LegalTransition.
func (m *Monitor) transition(t *Target, event chart.Event) {
	next, ok := m.chart.Next(chartStates[t.state], event)
	if m.invariants != nil {
		m.invariants.Check(invariant.LegalTransition, ok,
			"chart", chart.Upstream, "id", t.id, "state", chartStates[t.state], "event", event)
	}
	if ok {
		t.state = statesByChart[next]
	}
}
