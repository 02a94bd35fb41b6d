package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"quetzalhook"
)

// testProtocol is a Protocol with header names of its own, so that these tests
// do not depend on a platform.
type testProtocol struct{}

var _ quetzalhook.Protocol = testProtocol{}

var (
	connectionHeaders = []string{"Connection", "Transfer-Encoding", "Content-Length"}
	hostHeaders       = []string{"Api-Key", "Customer", "Upstream", "Urgency", "Timeout-Ms", "Source"}
)

func (testProtocol) Decode(h http.Header) (quetzalhook.Inbound, error) {
	in := quetzalhook.Inbound{ID: quetzalhook.RequestID(h.Get("Request-Id")), Key: h.Get("Api-Key"), LastEvent: h.Get("Last-Event-Id"), Resumes: quetzalhook.RequestID(h.Get("Resumes"))}
	if text := h.Get("Timeout-Ms"); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil {
			return in, err
		}
		in.CallerTimeout = time.Duration(ms) * time.Millisecond
	}
	return in, nil
}

func (testProtocol) Forward(h http.Header) http.Header {
	kept := without(h, append(slices.Clone(connectionHeaders), hostHeaders...))
	for _, name := range h["Connection"] {
		kept.Del(name)
	}
	return kept
}

func (testProtocol) AnswerHeaders(h http.Header) http.Header { return without(h, connectionHeaders) }

func (testProtocol) PeerHeaders(h http.Header) http.Header { return without(h, connectionHeaders) }

func without(h http.Header, names []string) http.Header {
	kept := h.Clone()
	for _, name := range names {
		kept.Del(name)
	}
	return kept
}

func (testProtocol) Encode(h http.Header, o quetzalhook.Outbound) {
	h.Set("Upstream", string(o.Upstream))
	h.Set("Timeout-Ms", strconv.FormatInt(o.CallerTimeout.Milliseconds(), 10))
	if o.Customer != "" {
		h.Set("Customer", string(o.Customer))
	}
	if o.Source != "" {
		h.Set("Source", o.Source)
	}
	if o.HasUrgency {
		h.Set("Urgency", strconv.Itoa(o.Urgency))
	}
	if o.KVHandle != "" {
		h.Set("Kv-Handle", o.KVHandle)
	}
	if o.LastEvent != "" {
		h.Set("Last-Event-Id", o.LastEvent)
	}
}

func (testProtocol) AnswerID(h http.Header) quetzalhook.RequestID {
	return quetzalhook.RequestID(h.Get("Request-Id"))
}

func (testProtocol) ParseAnswer(status int, h http.Header) quetzalhook.Verdict {
	moved := status == http.StatusMisdirectedRequest
	pause, _ := strconv.Atoi(h.Get("Pause-Ms"))
	return quetzalhook.Verdict{
		Moved: moved, NotRun: moved || h.Get("Not-Run") != "", Sealed: h.Get("Answer-Seal") != "", Pause: time.Duration(pause) * time.Millisecond,
	}
}

func (testProtocol) IsEventField(name, _ []byte) bool { return string(name) == "weights" }
