package broker

import (
	"quetzalhook"
	"quetzalhook/internal/state/chart"
)

// Events of the request's state chart.
const (
	eventSubmit = chart.Event("submit")
	eventStart  = chart.Event("start")
	eventRefuse = chart.Event("refuse")
)

var endEvents = map[quetzalhook.End]chart.Event{
	quetzalhook.EndFinished:   "finish",
	quetzalhook.EndNotSent:    "not-sent",
	quetzalhook.EndBroken:     "break",
	quetzalhook.EndCallerGone: "leave",
	quetzalhook.EndCancelled:  "cancelled",
}

var cancelEvents = map[quetzalhook.CancelCause]chart.Event{
	quetzalhook.CausePreempted: "preempt",
	quetzalhook.CauseMoved:     "move",
	quetzalhook.CauseLate:      "doom",
}
