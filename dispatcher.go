package quetzalhook

import (
	"context"
	"time"
)

// Refusal is the error of a request that was refused before any part of it ran.
type Refusal struct {
	Kind RefuseKind
	// RetryAfter is how long the caller should wait before it tries again; 0
	// means that it is not known.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Refusal) Error() string { return "request refused: " + string(e.Kind) }

// Attempt tells the caller to send its request to an upstream.
type Attempt struct {
	Upstream Upstream
	// Urgency is the priority of the request at its engine; 0 is served first.
	Urgency int
	// Source is the address of an engine from which cached parts of the prompt
	// are fetched; empty for none. SourceID, SourceZone, SourceRegion and SourceStarted
	// describe that engine; all but the region are empty if the leader does not tell them.
	Source        string
	SourceID      UpstreamID
	SourceZone    Zone
	SourceRegion  Region
	SourceStarted int64
	// Cold reports that the attempt was counted against the rate of a cold upstream.
	// It must be sent before SendBy, or not at all.
	Cold   bool
	SendBy time.Time
}

// AttemptEnd describes how an attempt ended and what its answer told about the
// upstream.
type AttemptEnd struct {
	End     End
	Verdict Verdict
	// Tokens is the number of output tokens received.
	Tokens int
	// Lost reports that the upstream could not be reached, or that its connection broke:
	// it may have ended and started again.
	Lost bool
	// Unsent reports that no byte of the request was sent: the upstream has not seen it.
	Unsent bool
	// NoPath reports that the attempt failed while this host reaches no upstreams: the
	// upstream has not failed.
	NoPath bool
	// Relieved reports that this host has ended the attempt, since the memory of the
	// upstream was short: the upstream has not failed.
	Relieved bool
}

// Ticket is the handle of a submitted request. Its methods may be called by one
// goroutine only.
type Ticket interface {
	// Next waits until an upstream is assigned. Its error is a *Refusal, or the
	// cause of ctx if that ends first.
	Next(ctx context.Context) (Attempt, error)
	// Observe reports what the header of an answer tells about the upstream of
	// the current attempt.
	Observe(v Verdict)
	// Progress reports the output tokens received on the current attempt.
	Progress(tokens int)
	// End ends the current attempt, or the request if there is none. After
	// EndNotSent and EndBroken the caller may ask for another attempt, or calls
	// Close.
	End(e AttemptEnd)
	// Close releases the request; it must be called once.
	Close()
}

// Dispatcher decides when and on which upstream each request runs.
type Dispatcher interface {
	Submit(ctx context.Context, r Request) Ticket
}
