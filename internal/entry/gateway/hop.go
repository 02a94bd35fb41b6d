package gateway

import (
	"net/http"
	"strconv"
	"time"

	"quetzalhook"
)

// Headers between hosts, of a forwarded request and its response. They never reach an
// upstream or a caller.
const (
	headerHopTimeout   = "Quetzalhook-Hop-Timeout" // what is left of the time, in ms
	headerHopTable     = "Quetzalhook-Hop-Table"   // oldest version of the table that may serve it
	headerHopAttempts  = "Quetzalhook-Hop-Attempts"
	headerHopRepeat    = "Quetzalhook-Hop-Repeat"
	headerHopCounted   = "Quetzalhook-Hop-Counted"
	headerHopBuild     = "Quetzalhook-Hop-Build"
	headerHopLastEvent = "Quetzalhook-Hop-Last-Event"
	headerHopOutcome   = "Quetzalhook-Hop-Outcome"
	headerHopKind      = "Quetzalhook-Hop-Kind"
	headerHopRuns      = "Quetzalhook-Hop-Runs" // upstreams that may have begun to run the request
)

// hopMargin is the part of the time left that a host keeps for itself, so that the answer
// of the other host arrives in time; hopShare bounds it as a share.
const (
	hopMargin = 50 * time.Millisecond
	hopShare  = 0.1
)

// hop is what a host tells another one of a request that it forwards.
type hop struct {
	timeout   time.Duration     // for the answer
	table     int64             // version by which the request was accepted
	attempts  int               // bound on the upstreams that may run the request; 0 for that of the route
	repeat    bool              // an upstream has got the request before
	counted   bool              // its usage was counted
	build     quetzalhook.Build // that must answer; empty for any
	lastEvent string            // after which a begun stream goes on; empty if the stream has not begun
}

// write adds the hop to the headers of a request.
func (p hop) write(h http.Header) {
	h.Set(headerHopTimeout, strconv.FormatInt(max(p.timeout.Milliseconds(), 1), 10))
	h.Set(headerHopTable, strconv.FormatInt(p.table, 10))
	h.Set(headerHopAttempts, strconv.Itoa(p.attempts))
	for name, value := range map[string]string{
		headerHopRepeat: formatFlag(p.repeat), headerHopCounted: formatFlag(p.counted), headerHopBuild: string(p.build), headerHopLastEvent: p.lastEvent,
	} {
		h.Del(name)
		if value != "" {
			h.Set(name, value)
		}
	}
}

func formatFlag(b bool) string {
	if b {
		return "1"
	}
	return ""
}

// takeHop removes the hop from the headers of a request and returns it, or false if they
// hold none.
func takeHop(h http.Header) (hop, bool) {
	ms, err := strconv.ParseInt(h.Get(headerHopTimeout), 10, 64)
	table, _ := strconv.ParseInt(h.Get(headerHopTable), 10, 64) // absent from hosts that do not tell it
	attempts, attemptsErr := strconv.Atoi(h.Get(headerHopAttempts))
	p := hop{
		timeout: time.Duration(ms) * time.Millisecond, table: table, attempts: attempts, repeat: h.Get(headerHopRepeat) != "", counted: h.Get(headerHopCounted) != "",
		build: quetzalhook.Build(h.Get(headerHopBuild)), lastEvent: h.Get(headerHopLastEvent),
	}
	for _, name := range []string{headerHopTimeout, headerHopTable, headerHopAttempts, headerHopRepeat, headerHopCounted, headerHopBuild, headerHopLastEvent} {
		h.Del(name)
	}
	return p, err == nil && attemptsErr == nil && ms > 0
}

// hopEnd is what the other host tells of the response to a forwarded request.
type hopEnd struct {
	// outcome is outcomeAnswer for the response of an upstream. Otherwise the response is
	// an error of the host, of a kind.
	outcome quetzalhook.Outcome
	kind    ErrorKind
	build   quetzalhook.Build // of the upstream that began the answer
	runs    int               // upstreams that may have begun to run the request so far
}

// outcomeAnswer marks the response of an upstream.
const outcomeAnswer quetzalhook.Outcome = "answer"

func (e hopEnd) write(h http.Header) {
	h.Set(headerHopOutcome, string(e.outcome))
	if e.kind != "" {
		h.Set(headerHopKind, string(e.kind))
	}
	if e.build != "" {
		h.Set(headerHopBuild, string(e.build))
	}
	h.Set(headerHopRuns, strconv.Itoa(e.runs))
}

// takeHopEnd removes the hopEnd from the headers of a response.
func takeHopEnd(h http.Header) hopEnd {
	e := hopEnd{outcome: quetzalhook.Outcome(h.Get(headerHopOutcome)), kind: ErrorKind(h.Get(headerHopKind)), build: quetzalhook.Build(h.Get(headerHopBuild))}
	e.runs, _ = strconv.Atoi(h.Get(headerHopRuns)) // absent from hosts that do not tell it
	for _, name := range []string{headerHopOutcome, headerHopKind, headerHopBuild, headerHopRuns} {
		h.Del(name)
	}
	return e
}

// PeerHandler returns the handler for requests that other hosts forward to this one. Their
// connections must be authenticated.
func (g *Gateway) PeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p, ok := takeHop(r.Header)
		if !ok {
			hopEnd{outcome: quetzalhook.OutcomeNotRun, kind: ErrorRequest}.write(w.Header())
			writeError(w, &Error{Op: "accept", Kind: ErrorRequest, Status: http.StatusServiceUnavailable, Message: "the request was not forwarded by a host"}, "")
			return
		}
		g.serve(w, r, &p)
	})
}

// applyHop applies what the host that has forwarded the request has told.
func (x *exchange) applyHop() {
	x.usageCounted = x.hop.counted
	if x.hop.lastEvent != "" {
		x.inbound.Resumes, x.inbound.LastEvent = x.streamID(), x.hop.lastEvent
	}
	x.startBuild = x.hop.build
}

// writeHop marks the response as that of an upstream, if the request was forwarded.
func (x *exchange) writeHop() {
	if x.hop == nil {
		return
	}
	h := x.w.Header()
	hopEnd{outcome: outcomeAnswer, build: x.attempt.Upstream.Build, runs: x.runs}.write(h)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // the server does not set one
	}
}
