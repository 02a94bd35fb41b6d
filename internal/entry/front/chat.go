package front

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"quetzalhook"
	"quetzalhook/internal/entry/budget"
	"quetzalhook/internal/entry/caller"
	"quetzalhook/internal/entry/meter"
	"quetzalhook/internal/entry/relay"
)

// chat serves a chat completions request.
func (x *exchange) chat() error {
	if x.r.Method != http.MethodPost {
		return notRunError(http.StatusMethodNotAllowed, "method", "use POST", 0)
	}
	body, err := x.body(maxChatBody)
	if err != nil {
		return err
	}
	request, err := relay.ParseChat(body)
	x.parsed()
	if err != nil {
		return err
	}
	if !x.hasModel(request.Model()) {
		return notRunError(http.StatusNotFound, "unknown-model", "the model is not configured: "+string(request.Model()), 0)
	}
	answer := relay.NewAnswer(x.w, string(x.id), request, x.front.deps.Clock.Now)
	x.w = &streamWriter{ResponseWriter: x.w, answer: answer}
	call := relay.Call{Request: x.request(request), Chat: request, Answer: answer, Guard: x.guard()}
	ticket, err := x.front.deps.Broker.Submit(x.ctx, call.Request)
	if err != nil {
		return notRunError(http.StatusServiceUnavailable, "stopping", "the host is stopping", defaultRetryAfter)
	}
	err = x.front.deps.Relay.Chat(ticket, call)
	x.recordUsage(call, answer, err)
	return err
}

// guard returns what the relay checks and records for each send of this
// request.
func (x *exchange) guard() relay.Guard {
	return relay.Guard{Secret: x.secret, Key: x.identity.Key, Sent: &x.sent, Written: &x.written}
}

// request returns a chat request as the policy receives it.
func (x *exchange) request(c *relay.ChatRequest) quetzalhook.Request {
	return quetzalhook.Request{
		ID: x.id, Customer: x.identity.Customer, Class: x.class, Model: c.Model(), PromptTokens: c.PromptTokens(),
		MaxTokens: x.maxOutputTokens(c), Prefixes: c.Prefixes(), PrefixTokens: c.PrefixTokens(),
		Region: x.front.deps.Region(), Repeatable: true,
	}
}

// maxOutputTokens returns the maximum output in tokens under the caller's limit
// and the context length of the model; 0 means no limit.
func (x *exchange) maxOutputTokens(c *relay.ChatRequest) int {
	limit := c.MaxTokens()
	for _, m := range x.doc.Models {
		if m.Name != string(c.Model()) || m.ContextTokens == 0 {
			continue
		}
		if left := max(m.ContextTokens-c.PromptTokens(), 1); limit == 0 || left < limit {
			limit = left
		}
	}
	return limit
}

// recordUsage records the usage of a chat request if it was sent and, if it
// succeeded, its metrics. The output of a request that failed counts as wasted.
func (x *exchange) recordUsage(call relay.Call, answer *relay.Answer, err error) {
	usage := Usage{
		Customer: x.identity.Customer, Class: x.class.Name(), PromptTokens: call.Request.PromptTokens, OutputTokens: answer.Tokens(),
	}
	if err != nil {
		usage.PromptTokens, usage.OutputTokens, usage.WastedTokens = 0, 0, answer.Tokens()
	}
	if x.sent.Load() {
		x.front.deps.RecordUsage(usage)
	}
	if err != nil {
		return
	}
	ttft := answer.FirstToken().Sub(x.start)
	gap := time.Duration(0)
	if n := answer.Tokens(); n > 1 {
		gap = answer.LastToken().Sub(answer.FirstToken()) / time.Duration(n-1)
	}
	x.front.deps.Meter.Served(meter.Result{
		Customer: x.identity.Customer, Class: x.class, FirstToken: ttft, Gap: gap, Tokens: answer.Tokens(),
	})
	x.log().WithField("tokens", answer.Tokens()).WithField("ttft-ms", ttft.Milliseconds()).Info("request served")
}

// body reads the request body, up to limit bytes. It waits shortly for the memory that
// the body takes, also while it is parsed, and keeps it until parsed is called. It
// returns an error if the body or a trailer contains the key.
func (x *exchange) body(limit int64) ([]byte, error) {
	x.holding = x.front.deps.Memory.Open(string(x.identity.Customer), bodyTime)
	if err := x.holding.Reserve(x.r.Context().Done(), budget.Requests, caller.RequestMemory); err != nil {
		return nil, x.bodyError(err)
	}
	parts, err := x.holding.ReadBody(x.w, x.r, limit)
	if err != nil {
		return nil, x.bodyError(err)
	}
	if err := x.reserveParsing(parts); err != nil {
		return nil, err
	}
	body := bytes.Join(parts, nil)
	if relay.ContainsSecret(x.secret, string(body)) {
		return nil, keyInRequestError()
	}
	for _, values := range x.r.Trailer {
		if relay.ContainsSecret(x.secret, values...) {
			return nil, keyInRequestError()
		}
	}
	return body, x.checkNoEscapedSecret(body)
}

// checkNoEscapedSecret returns an error if a JSON body contains the key with
// some characters written as escape sequences.
func (x *exchange) checkNoEscapedSecret(body []byte) error {
	if !bytes.Contains(body, []byte{'\\'}) {
		return nil // without escape sequences the check of the raw body is enough
	}
	var v any
	if json.Unmarshal(body, &v) != nil {
		return nil
	}
	plain, err := json.Marshal(v)
	if err == nil && relay.ContainsSecret(x.secret, string(plain)) {
		return keyInRequestError()
	}
	return nil
}

// hasModel reports whether the configuration lists the model.
func (x *exchange) hasModel(m quetzalhook.Model) bool {
	for _, listed := range x.doc.Models {
		if listed.Name == string(m) {
			return true
		}
	}
	return false
}

// streamWriter is the ResponseWriter of a chat request. It tells exchange.fail
// whether the response header was already written.
type streamWriter struct {
	http.ResponseWriter
	answer *relay.Answer
}

func (s *streamWriter) headerWritten() bool { return s.answer.HeaderWritten() }

// Unwrap lets http.ResponseController reach the connection.
func (s *streamWriter) Unwrap() http.ResponseWriter { return s.ResponseWriter }
