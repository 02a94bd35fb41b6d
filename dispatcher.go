package quetzalhook

import (
	"context"
	"time"
)

// Refusal is the error of a request that is refused before any part of it ran.
type Refusal struct {
	Kind RefuseKind
	// RetryAfter is when the caller should come back; 0 says nothing.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Refusal) Error() string { return "request refused: " + string(e.Kind) }

// Attempt is one upstream for a request.
type Attempt struct {
	Upstream Upstream
	// Urgency orders the request at its engine; 0 goes first.
	Urgency int
	// Source is the address of an engine from which held parts of the prompt are
	// fetched; empty for none.
	Source string
}

// AttemptEnd tells how an attempt ended and what it showed of the upstream.
type AttemptEnd struct {
	End     End
	Verdict Verdict
	// Tokens is the number of output tokens received.
	Tokens int
}

// Ticket is a submitted request. Its methods are called by one goroutine.
type Ticket interface {
	// Next waits for an upstream. It returns a *Refusal, or the cause of ctx if
	// that ends first.
	Next(ctx context.Context) (Attempt, error)
	// Observe reports what the beginning of an answer shows of the upstream of the
	// current attempt.
	Observe(v Verdict)
	// Progress reports the output tokens received on the current attempt.
	Progress(tokens int)
	// End ends the current attempt, or the request if there is none. After
	// EndNotSent and EndBroken the caller may ask for another attempt, or calls
	// Close.
	End(e AttemptEnd)
	// Close forgets the request; it must be called once.
	Close()
}

// Dispatcher decides which upstream runs a request and when.
type Dispatcher interface {
	Submit(ctx context.Context, r Request) Ticket
}
