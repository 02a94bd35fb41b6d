package broker

import (
	"quetzalhook"
	"quetzalhook/internal/state/chart"
)

// Events of the state chart of a request.
const (
	eventSubmit = chart.Event("submit")
	eventStart  = chart.Event("start")
	eventRefuse = chart.Event("refuse")
)

// endEvents maps how an attempt ended to the event of the state chart.
var endEvents = map[quetzalhook.End]chart.Event{
	quetzalhook.EndFinished:   "finish",
	quetzalhook.EndNotSent:    "not-sent",
	quetzalhook.EndBroken:     "break",
	quetzalhook.EndCallerGone: "caller-gone",
	quetzalhook.EndCancelled:  "cancelled",
}

// cancelEvents maps why the policy cancelled an attempt to the event of the
// state chart.
var cancelEvents = map[quetzalhook.CancelCause]chart.Event{
	quetzalhook.CausePreempted: "preempt",
	quetzalhook.CauseMoved:     "move",
	quetzalhook.CauseLate:      "expire",
}
