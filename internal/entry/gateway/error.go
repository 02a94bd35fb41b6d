package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"quetzalhook"
)

// ErrorKind is the machine-readable reason of a failure.
type ErrorKind string

const (
	// ErrorNoTable reports that the host has no routing table yet.
	ErrorNoTable ErrorKind = "no-configuration"
	// ErrorNoRoute reports that no route matches.
	ErrorNoRoute ErrorKind = "no-route"
	// ErrorKey reports a missing or unknown key.
	ErrorKey ErrorKind = "unknown-key"
	// ErrorRequest reports a request that cannot be read.
	ErrorRequest ErrorKind = "bad-request"
	// ErrorTooLarge reports a request over the limits.
	ErrorTooLarge ErrorKind = "too-large"
	// ErrorRefused reports a refusal by the dispatcher.
	ErrorRefused ErrorKind = "refused"
	// ErrorTimeout reports that the route's timeout or the caller's patience
	// ended.
	ErrorTimeout ErrorKind = "timeout"
	// ErrorBroken reports that the upstream failed after the request was sent.
	ErrorBroken ErrorKind = "upstream-broken"
	// ErrorCallerGone reports that the caller left.
	ErrorCallerGone ErrorKind = "caller-gone"
)

// Error is the error type of this package: what a caller is told.
type Error struct {
	Op         string
	Kind       ErrorKind
	Status     int
	Message    string
	RetryAfter time.Duration
	// Err is the cause; callers are not told of it.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	s := e.Op + ": " + string(e.Kind) + ": " + e.Message
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// errorBody is the JSON body of a failure.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind      ErrorKind             `json:"kind"`
	Message   string                `json:"message"`
	Outcome   quetzalhook.Outcome   `json:"outcome"`
	RequestID quetzalhook.RequestID `json:"request-id,omitempty"`
}

// promises reports whether a status states that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func writeError(w http.ResponseWriter, e *Error, id quetzalhook.RequestID) {
	outcome := quetzalhook.OutcomeNotRun
	if e.Status >= http.StatusInternalServerError && !promises(e.Status) {
		outcome = quetzalhook.OutcomeUnknown
	}
	body, err := json.Marshal(errorBody{Error: errorDetail{Kind: e.Kind, Message: e.Message, Outcome: outcome, RequestID: id}})
	if err != nil {
		body = nil // the status tells enough
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(body)
}
