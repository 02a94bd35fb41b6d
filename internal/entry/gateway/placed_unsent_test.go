package gateway

import (
	"context"
	"testing"
	"time"

	"quetzalhook"
)

// endRecorder records the ends of attempts that callers seem to have given up.
type endRecorder struct {
	quetzalhook.Dispatcher
	ends []quetzalhook.AttemptEnd
}

type endTicket struct {
	quetzalhook.Ticket
	recorder *endRecorder
}

func (d *endRecorder) Submit(ctx context.Context, r quetzalhook.Request) quetzalhook.Ticket {
	return endTicket{d.Dispatcher.Submit(ctx, r), d}
}

func (t endTicket) End(e quetzalhook.AttemptEnd) {
	if e.End == quetzalhook.EndCallerGone {
		t.recorder.ends = append(t.recorder.ends, e)
	}
	t.Ticket.End(e)
}

// Guards against an attempt that was placed when its host lost its paths, was not sent, and
// makes the next one a retry.
func TestPlacedAtCutOffIsUnsent(t *testing.T) {
	env := newTestEnvironment(t)
	defer env.close()
	ctx, cancel := context.WithCancel(context.Background())
	recorder := &endRecorder{Dispatcher: env}
	env.gateway.deps.Reaching = func() context.Context { return ctx }
	env.gateway.deps.Peers, env.gateway.deps.Dispatcher = peerList{}, recorder
	time.AfterFunc(100*time.Millisecond, cancel)
	env.runScript(t, "upstream a "+ok+"\noffer late-a a\n"+sendOrder)
	if len(recorder.ends) != 1 || !recorder.ends[0].Unsent {
		t.Errorf("got %+v, want one attempt that was not sent", recorder.ends)
	}
}
