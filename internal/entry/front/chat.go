package front

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"quetzalhook"
	"quetzalhook/internal/entry/meter"
	"quetzalhook/internal/entry/relay"
)

// chat serves a chat-completions request.
func (x *exchange) chat() error {
	if x.r.Method != http.MethodPost {
		return notRun(http.StatusMethodNotAllowed, "method", "use POST", 0)
	}
	body, err := x.body(defaultChatBody)
	if err != nil {
		return err
	}
	request, err := relay.ParseChat(body)
	if err != nil {
		return err
	}
	if !x.hasModel(request.Model()) {
		return notRun(http.StatusNotFound, "unknown-model", "the model is not configured: "+string(request.Model()), 0)
	}
	answer := relay.NewAnswer(x.w, string(x.id), request, x.front.deps.Clock.Now)
	x.w = &streamWriter{ResponseWriter: x.w, answer: answer}
	call := relay.Call{Request: x.request(request), Chat: request, Answer: answer, Guard: x.guard()}
	ticket, err := x.front.deps.Broker.Submit(x.ctx, call.Request)
	if err != nil {
		return notRun(http.StatusServiceUnavailable, "stopping", "the host is stopping", shortRetry)
	}
	err = x.front.deps.Relay.Chat(ticket, call)
	x.account(call, answer, err)
	return err
}

func (x *exchange) guard() relay.Guard {
	return relay.Guard{Secret: x.secret, Key: x.owner.Key, Sent: &x.sent, Written: &x.written}
}

func (x *exchange) request(c *relay.ChatRequest) quetzalhook.Request {
	return quetzalhook.Request{
		ID: x.id, Customer: x.owner.Customer, Class: x.class, Model: c.Model(), PromptTokens: c.PromptTokens(),
		MaxTokens: x.outputBound(c), Prefixes: c.Prefixes(), PrefixTokens: c.PrefixTokens(),
		Region: x.front.deps.Region(), Repeatable: true,
	}
}

// outputBound returns the longest output in tokens that the caller or the
// model's context allows; 0 means no bound.
func (x *exchange) outputBound(c *relay.ChatRequest) int {
	bound := c.MaxTokens()
	for _, m := range x.doc.Models {
		if m.Name != string(c.Model()) || m.ContextTokens == 0 {
			continue
		}
		if room := max(m.ContextTokens-c.PromptTokens(), 1); bound == 0 || room < bound {
			bound = room
		}
	}
	return bound
}

// account records metrics and usage of a chat request.
func (x *exchange) account(call relay.Call, answer *relay.Answer, err error) {
	usage := Usage{
		Customer: x.owner.Customer, Class: x.class.Name(), PromptTokens: call.Request.PromptTokens, OutputTokens: answer.Tokens(),
	}
	if err != nil {
		usage.PromptTokens, usage.OutputTokens, usage.WastedTokens = 0, 0, answer.Tokens()
	}
	if x.sent.Load() {
		x.front.deps.Usage(usage)
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
		Customer: x.owner.Customer, Class: x.class, FirstToken: ttft, Gap: gap, Tokens: answer.Tokens(),
	})
	x.log().WithField("tokens", answer.Tokens()).WithField("ttft-ms", ttft.Milliseconds()).Info("request served")
}

// body reads the request's body and refuses one that holds the key.
func (x *exchange) body(limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, notRun(http.StatusRequestEntityTooLarge, "body-too-large", "the body is over the limit", 0)
	}
	if err != nil {
		return nil, notRun(http.StatusBadRequest, "body-broken", "the body cannot be read: "+err.Error(), 0)
	}
	if relay.ContainsSecret(x.secret, string(body)) {
		return nil, keyInRequest()
	}
	for _, values := range x.r.Trailer {
		if relay.ContainsSecret(x.secret, values...) {
			return nil, keyInRequest()
		}
	}
	return body, x.findEscapedSecret(body)
}

// findEscapedSecret refuses a JSON body whose escape sequences spell the key.
func (x *exchange) findEscapedSecret(body []byte) error {
	if !bytes.Contains(body, []byte{'\\'}) {
		return nil // without escape sequences the search of the body was enough
	}
	var v any
	if json.Unmarshal(body, &v) != nil {
		return nil
	}
	plain, err := json.Marshal(v)
	if err == nil && relay.ContainsSecret(x.secret, string(plain)) {
		return keyInRequest()
	}
	return nil
}

func (x *exchange) hasModel(m quetzalhook.Model) bool {
	for _, have := range x.doc.Models {
		if have.Name == string(m) {
			return true
		}
	}
	return false
}

// streamWriter tells whether an answer has begun.
type streamWriter struct {
	http.ResponseWriter
	answer *relay.Answer
}

func (s *streamWriter) opened() bool { return s.answer.Opened() }

// Unwrap lets http.ResponseController reach the connection.
func (s *streamWriter) Unwrap() http.ResponseWriter { return s.ResponseWriter }
