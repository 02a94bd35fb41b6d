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

// endEvents holds the event of the state chart for each way in which an attempt
// ends.
var endEvents = map[quetzalhook.End]chart.Event{
	quetzalhook.EndFinished:   "finish",
	quetzalhook.EndNotSent:    "not-sent",
	quetzalhook.EndBroken:     "break",
	quetzalhook.EndCallerGone: "caller-gone",
	quetzalhook.EndCancelled:  "cancelled",
}

// cancelEvents holds the event of the state chart for each reason for which the
// policy cancels an attempt.
var cancelEvents = map[quetzalhook.CancelCause]chart.Event{
	quetzalhook.CausePreempted: "preempt",
	quetzalhook.CauseMoved:     "move",
	quetzalhook.CauseLate:      "expire",
}
