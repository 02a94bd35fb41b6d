package quetzalhook

import (
	"net/http"
	"time"
)

// PromptPart is a part of a prompt that several requests may have in common.
type PromptPart struct {
	// Hash identifies the content of the part.
	Hash   uint64
	Tokens int
}

// SharedParts returns the parts that other requests may have in common: all but
// the last one, which belongs to the request or its session.
func SharedParts(parts []PromptPart) []PromptPart {
	return parts[:max(len(parts)-1, 0)]
}

// Inbound is what the headers of a caller's request contain.
type Inbound struct {
	ID RequestID
	// Key is the caller's key; empty if there is none.
	Key string
	// CallerTimeout is how long the caller waits for the answer; 0 means that it is
	// not known.
	CallerTimeout time.Duration
	Model         Model
	// PromptTokens is the length of the prompt in tokens, MaxTokens the caller's
	// bound on the output; 0 means that it is not known.
	PromptTokens int
	MaxTokens    int
	// LengthHint is the caller's estimate of the output in tokens; 0 for none.
	LengthHint int
	// Parts lists the parts of the prompt in order.
	Parts []PromptPart
	// LastEvent is the last event of an earlier stream that the caller received;
	// the stream continues after it. It is empty for a new stream.
	LastEvent string
	// Resumes is the ID of the request that began the stream which this one continues;
	// empty for a new stream, or if the caller does not name it.
	Resumes RequestID
}

// Outbound is what a host tells an upstream about a request, in headers.
type Outbound struct {
	Customer CustomerID
	Upstream UpstreamID
	// CallerTimeout is how much longer the caller waits.
	CallerTimeout time.Duration
	// Urgency is the priority of the request at an engine; 0 is served first.
	Urgency int
	// HasUrgency is set for requests to engines.
	HasUrgency bool
	// LastEvent is the last event that the caller received; the upstream
	// continues the stream after it. It is empty for a new stream.
	LastEvent string
	// Source is the address of an engine from which cached parts of the prompt
	// are fetched; empty for none.
	Source string
	// KVHandle is the engine and handle of the KV cache of a moved request, as
	// Mover returns it; empty if the request was not moved.
	KVHandle string
}

// Verdict is what the header of an answer tells about the request and the
// upstream.
type Verdict struct {
	// NotRun reports that the upstream did not run the request and never will.
	NotRun bool
	// Sealed reports that the answer has the mark with which upstreams vouch for what
	// they made. A success without it is not passed on.
	Sealed bool
	// Failed reports that the upstream accepted the request and answered with an
	// internal error.
	Failed bool
	// Moved reports that a different upstream uses the address now.
	Moved bool
	// HasLoad is set if the answer contains the load of the upstream: Running,
	// Waiting and Slots.
	HasLoad bool
	Running int
	Waiting int
	Slots   int
	// WorkTime is how long work takes on the upstream's machine now, as a multiple of
	// the usual time; 0 means that the answer does not tell.
	WorkTime float64
	// ColdFor is how long the upstream stays slow after its start; 0 means that it is
	// not, or that the answer does not tell.
	ColdFor time.Duration
	// RateLimit is the number of requests per second that the upstream takes from all
	// hosts together; 0 means that the answer names no limit.
	RateLimit float64
	// Leaving reports that the upstream leaves and takes no new requests.
	Leaving bool
	// Pause is how long the upstream wants no requests from this host; 0 for none.
	Pause time.Duration
	// PauseText is the value that names the pause, if it was cut or is no number.
	PauseText string
}

// Protocol reads and writes the headers of requests and answers.
type Protocol interface {
	// Decode reads the headers of a caller's request.
	Decode(h http.Header) (Inbound, error)
	// Forward returns the caller's headers without those that apply to one
	// connection only, its key, and those that only a host may set.
	Forward(h http.Header) http.Header
	// PeerHeaders returns the caller's headers without those that apply to one connection
	// only, for a host to which the request is forwarded.
	PeerHeaders(h http.Header) http.Header
	// Encode adds the headers for o to the forwarded headers.
	Encode(h http.Header, o Outbound)
	// AnswerID returns the ID of the request that an answer belongs to; empty if the
	// answer names none.
	AnswerID(h http.Header) RequestID
	// ParseAnswer returns what the status and the headers of an answer tell about the
	// request and the upstream.
	ParseAnswer(status int, h http.Header) Verdict
	// IsEventField reports whether an event of a streamed answer may have a line of
	// this name and value, besides the fields of the event-stream format.
	IsEventField(name, value []byte) bool
	// AnswerHeaders returns the headers of an answer that are forwarded to the caller.
	AnswerHeaders(h http.Header) http.Header
}
