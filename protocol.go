package quetzalhook

import (
	"net/http"
	"time"
)

// PromptPart is one part of a prompt that requests may share.
type PromptPart struct {
	// Hash identifies the part.
	Hash   uint64
	Tokens int
}

// Inbound is what a caller says of its request, apart from method, path and
// body.
type Inbound struct {
	ID RequestID
	// Key is the caller's key; empty if there is none.
	Key string
	// Patience is how long the caller waits for the answer; 0 if it does not say.
	Patience time.Duration
	Model    Model
	// PromptTokens is the length of the prompt, MaxTokens the bound on the
	// output; 0 if not known.
	PromptTokens int
	MaxTokens    int
	// LengthHint is the caller's estimate of the output in tokens; 0 for none.
	LengthHint int
	// Parts lists the parts of the prompt in order.
	Parts []PromptPart
	// LastEvent is the last event of an earlier stream that the caller has, from
	// which the stream goes on; empty for a new stream.
	LastEvent string
}

// Outbound is what a host tells an upstream of a request.
type Outbound struct {
	Customer CustomerID
	Upstream UpstreamID
	// Patience is how long the caller still waits.
	Patience time.Duration
	// Urgency orders requests at an engine; 0 goes first.
	Urgency int
	// HasUrgency is set for requests to engines.
	HasUrgency bool
	// LastEvent is the last event that the caller has, from which another
	// upstream goes on; empty for a new stream.
	LastEvent string
	// Source is the address of an engine from which held parts of the prompt are
	// fetched; empty for none.
	Source string
	// Memory tells where the memory of a moved run is, as Mover returns it; empty
	// for a new run.
	Memory string
}

// Verdict is what the header of an answer tells of a request.
type Verdict struct {
	// NotRun reports that the upstream did not run the request and never will.
	NotRun bool
	// Failed reports that the upstream took the request and answered with a
	// failure of its own.
	Failed bool
	// Moved reports that another upstream has the address by now.
	Moved bool
	// HasLoad is set if the upstream tells its load.
	HasLoad bool
	Running int
	Waiting int
	Slots   int
}

// Protocol translates the headers of requests and answers.
type Protocol interface {
	// Decode reads what a caller says.
	Decode(h http.Header) (Inbound, error)
	// Forward returns the caller's headers without those that concern one
	// connection only, its key, and those that only a host may set.
	Forward(h http.Header) http.Header
	// Encode adds what a host tells an upstream to the forwarded headers.
	Encode(h http.Header, o Outbound)
	// Answers reports whether an answer belongs to a request.
	Answers(h http.Header, id RequestID) bool
	// Judge reads what the header of an answer tells.
	Judge(status int, h http.Header) Verdict
	// Return returns the headers of an answer that the caller receives.
	Return(h http.Header) http.Header
}
