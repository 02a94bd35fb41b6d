package isolator

import (
	"context"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/quarantine"
)

// ticket is a submitted request whose prompt has parts that others may share. It
// implements quetzalhook.Ticket.
type ticket struct {
	quetzalhook.Ticket
	isolator *Isolator
	parts    []quarantine.Part
	// upstream and firstEvent, which is zero before the first event, belong to the
	// current attempt.
	upstream   quetzalhook.Upstream
	firstEvent time.Time
	// answered is set once an engine has answered for startTime, or completely; a later
	// failure does not concern the prompt.
	answered bool
}

// startTime is the time after the first event for which an engine that crashes may
// have crashed because of the request. Some events may arrive before the crash.
const startTime = 500 * time.Millisecond

// Submit implements quetzalhook.Dispatcher.
func (i *Isolator) Submit(ctx context.Context, r quetzalhook.Request) quetzalhook.Ticket {
	next := i.settings.Next.Submit(ctx, r)
	parts := quarantine.SharedParts(r)
	if len(parts) == 0 {
		return next
	}
	// A stream that moves to another engine has an answer that has
	// begun before.
	return &ticket{Ticket: next, isolator: i, parts: parts, answered: r.Moving}
}

// Next implements quetzalhook.Ticket.
func (t *ticket) Next(ctx context.Context) (quetzalhook.Attempt, error) {
	if err := t.isolator.awaitProbe(ctx, t); err != nil {
		return quetzalhook.Attempt{}, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if refusal := t.isolator.wait(t, cancel); refusal != nil {
		return quetzalhook.Attempt{}, refusal
	}
	a, err := t.Ticket.Next(ctx)
	refusal := t.isolator.endWait(t)
	switch {
	case err != nil:
		return a, err
	case refusal != nil:
		t.Ticket.End(quetzalhook.AttemptEnd{End: quetzalhook.EndNotSent})
		return quetzalhook.Attempt{}, refusal
	}
	t.upstream, t.firstEvent = a.Upstream, time.Time{}
	return a, nil
}

// wait adds a ticket to those that cancel is called for when a new quarantine
// matches, or returns the refusal if one matches already.
func (i *Isolator) wait(t *ticket, cancel context.CancelCauseFunc) *quetzalhook.Refusal {
	now := i.clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	if refusal := i.match(now, t.parts); refusal != nil {
		i.refused++
		return refusal
	}
	i.waiting[t] = cancel
	return nil
}

// endWait removes a waiting ticket, and returns the refusal if a quarantine has
// matched meanwhile.
func (i *Isolator) endWait(t *ticket) *quetzalhook.Refusal {
	now := i.clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.waiting, t)
	refusal := i.match(now, t.parts)
	if refusal != nil {
		i.refused++
	}
	return refusal
}

// Progress implements quetzalhook.Ticket.
func (t *ticket) Progress(tokens int) {
	t.Ticket.Progress(tokens)
	switch now := t.isolator.clock.Now(); {
	case t.answered:
	case t.firstEvent.IsZero():
		t.firstEvent = now
	case now.Sub(t.firstEvent) >= startTime:
		t.markAnswered()
	}
}

// isStarting reports whether the current attempt has no event yet, or only for less
// than startTime.
func (t *ticket) isStarting() bool {
	return t.firstEvent.IsZero() || t.isolator.clock.Now().Sub(t.firstEvent) < startTime
}

func (t *ticket) markAnswered() {
	if !t.answered {
		t.answered = true
		t.isolator.addAnswer(t.parts)
	}
}

// End implements quetzalhook.Ticket.
func (t *ticket) End(e quetzalhook.AttemptEnd) {
	t.Ticket.End(e)
	switch {
	case e.Verdict.Failed || e.Relieved || e.NoPath:
	case e.End == quetzalhook.EndFinished:
		t.markAnswered()
	case e.End == quetzalhook.EndBroken && !t.answered && t.isStarting():
		t.isolator.addFailure(t.upstream, t.parts)
	}
}
