package front

import (
	"errors"
	"net/http"
	"time"

	"quetzalhook/internal/entry/budget"
	"quetzalhook/internal/entry/caller"
)

const (
	// bodyTime is the longest time in which a body may arrive: the largest one does so
	// at 70 KB/s.
	bodyTime = 2 * time.Minute
	// parseFactor is the memory that the text of a body takes while it is parsed, as a
	// multiple of its size: copies as a string, decoded, and encoded again. Of these,
	// keptFactor remain until the end of the request.
	parseFactor = 5
	keptFactor  = 2
	// nodeMemory is what a JSON value takes while it is parsed, besides its text.
	nodeMemory = 64
	// parseShare is the part of the memory, as 1/parseShare, that is reserved at most
	// for parsing one body. Two large ones are then not parsed at the same time.
	parseShare = 3
)

// reserveParsing reserves memory for parsing a body. One with too many values for the
// memory of the host is refused: a few MB of text can take hundreds when decoded.
func (x *exchange) reserveParsing(parts [][]byte) error {
	size, nodes := countJSON(parts)
	limit := x.front.deps.Memory.Limit()
	if limit > 0 && nodeMemory*nodes > limit/2 {
		return notRunError(http.StatusRequestEntityTooLarge, "body-too-complex", "the body has too many values", 0)
	}
	n := parseFactor*size + nodeMemory*nodes
	if limit > 0 {
		n = min(n, limit/parseShare)
	}
	x.parseMemory, x.keptMemory = n, min(keptFactor*size, n)
	if err := x.holding.Reserve(x.r.Context().Done(), budget.Bodies, n); err != nil {
		return x.bodyError(err)
	}
	return nil
}

// parsed returns the memory that only parsing took.
func (x *exchange) parsed() {
	x.holding.Release(budget.Bodies, x.parseMemory-x.keptMemory)
}

// countJSON returns the bytes of a text and the number of JSON values in it, counted by
// what separates and encloses them.
func countJSON(parts [][]byte) (size, nodes int64) {
	inString, escaped := false, false
	for _, part := range parts {
		size += int64(len(part))
		for _, c := range part {
			switch {
			case escaped:
				escaped = false
			case inString && c == '\\':
				escaped = true
			case c == '"':
				inString = !inString
			case !inString && (c == ',' || c == ':' || c == '[' || c == '{'):
				nodes++
			}
		}
	}
	return size, nodes
}

// bodyError returns the error for a request whose body was not read or has no memory.
// It has not run.
func (x *exchange) bodyError(err error) error {
	var e *caller.Error
	if !errors.As(err, &e) {
		e = &caller.Error{Kind: caller.ErrorBroken, Err: err}
	}
	switch e.Kind {
	case caller.ErrorNoMemory:
		x.w.Header().Set("Connection", "close") // the rest of the body is not read
		return notRunError(http.StatusServiceUnavailable, string(e.Kind), "the host has no memory for the request", e.RetryAfter)
	case caller.ErrorSlow:
		return notRunError(http.StatusRequestTimeout, string(e.Kind), "the body did not arrive in time", 0)
	case caller.ErrorTooLarge:
		return notRunError(http.StatusRequestEntityTooLarge, "body-too-large", "the body is over the limit", 0)
	}
	return notRunError(http.StatusBadRequest, "body-broken", "the body cannot be read: "+err.Error(), 0)
}
