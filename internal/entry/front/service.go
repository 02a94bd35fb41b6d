package front

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quetzalhook"
	"quetzalhook/internal/entry/meter"
	"quetzalhook/internal/entry/relay"
)

const (
	// serviceTokens is the predicted work of one call to a service, in tokens.
	serviceTokens = 16
	// maxIdempotencyKey bounds the caller's key in bytes.
	maxIdempotencyKey = 255
	// finishTimeout bounds the write of an outcome after the caller has gone.
	finishTimeout = 10 * time.Second
)

// ServiceModel is the name under which the policy knows a service.
func ServiceModel(name string) quetzalhook.Model { return quetzalhook.Model("service:" + name) }

// service serves a call to a plain service.
func (x *exchange) service() error {
	body, err := x.body(defaultServiceBody)
	if err != nil {
		return err
	}
	safe := x.r.Method == http.MethodGet || x.r.Method == http.MethodHead
	if x.route.Repeatable || safe {
		response, err := x.callService(body, "", true)
		if err != nil {
			return err
		}
		x.respond(response, false)
		return nil
	}
	return x.once(body)
}

// once runs a call that may not be repeated.
func (x *exchange) once(body []byte) error {
	journal := x.front.deps.Journal
	if journal == nil {
		return notRun(http.StatusServiceUnavailable, "journal-unavailable", "calls that may not be repeated cannot be recorded", shortRetry)
	}
	key := x.r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKey {
		return notRun(http.StatusBadRequest, "bad-idempotency-key", "the Idempotency-Key is over 255 bytes", 0)
	}
	if key == "" {
		key = rand.Text()
	}
	claim, err := journal.Claim(x.ctx, quetzalhook.JournalCall{
		Customer: x.owner.Customer, Route: x.route.Path, Key: key, Fingerprint: x.fingerprint(body),
	})
	if err != nil {
		return x.claimFailure(err)
	}
	switch claim.State {
	case quetzalhook.JournalReplay:
		var response relay.ServiceResponse
		if err := cbor.Unmarshal(claim.Response, &response); err != nil {
			return unknown(http.StatusInternalServerError, "journal-broken", "the stored response cannot be read")
		}
		x.respond(response, true)
		return nil
	case quetzalhook.JournalUnknown:
		return &Error{
			Op: "claim", Kind: "outcome-unknown", Status: http.StatusConflict, Outcome: quetzalhook.OutcomeUnknown, RetryAfter: shortRetry,
			Message: "an earlier call with this key was sent and its outcome is not known yet",
		}
	case quetzalhook.JournalMismatch:
		return notRun(http.StatusUnprocessableEntity, "key-reused", "the Idempotency-Key was used with another request", 0)
	}
	return x.runClaimed(claim, body)
}

// JournalError is implemented by errors of a journal that tell whether the
// claim may have been recorded.
type JournalError interface {
	error
	Outcome() quetzalhook.Outcome
}

func (x *exchange) claimFailure(err error) error {
	var e JournalError
	if errors.As(err, &e) && e.Outcome() == quetzalhook.OutcomeUnknown {
		return unknown(http.StatusServiceUnavailable, "journal-unavailable", err.Error())
	}
	return notRun(http.StatusServiceUnavailable, "journal-unavailable", err.Error(), shortRetry)
}

// runClaimed sends a claimed call and stores its outcome. The caller gets the
// answer first: while the store is down, storing takes long, and a caller that
// has its answer does not repeat the call.
func (x *exchange) runClaimed(claim quetzalhook.JournalClaim, body []byte) error {
	journal := x.front.deps.Journal
	response, err := x.callService(body, claim.ID, false)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), finishTimeout)
	defer cancel()
	if err != nil {
		if x.sent.Load() {
			journal.Abandon(claim)
		} else if releaseErr := journal.Release(ctx, claim); releaseErr != nil {
			x.log().WithField("error", releaseErr).Warn("claim not released; repeats will be told that the outcome is unknown")
		}
		return err
	}
	stored, err := cbor.Marshal(response)
	if err != nil {
		journal.Abandon(claim)
		return unknown(http.StatusInternalServerError, "journal-broken", err.Error())
	}
	x.respond(response, false)
	if err := journal.Finish(ctx, claim, stored); err != nil {
		x.log().WithField("error", err).Warn("outcome not stored; repeats will be told that it is unknown")
	}
	return nil
}

func (x *exchange) callService(body []byte, operation string, repeatable bool) (relay.ServiceResponse, error) {
	call := relay.ServiceCall{
		Request: quetzalhook.Request{
			ID: x.id, Customer: x.owner.Customer, Class: x.class, Model: ServiceModel(x.route.Service),
			PromptTokens: serviceTokens, MaxTokens: 1, Region: x.front.deps.Region(), Repeatable: repeatable,
		},
		Method: x.r.Method, Path: x.r.URL.RequestURI(), Header: x.r.Header, Body: body, Guard: x.guard(), OperationID: operation,
	}
	ticket, err := x.front.deps.Broker.Submit(x.ctx, call.Request)
	if err != nil {
		return relay.ServiceResponse{}, notRun(http.StatusServiceUnavailable, "stopping", "the host is stopping", shortRetry)
	}
	response, err := x.front.deps.Relay.Service(ticket, call)
	if err == nil {
		x.front.deps.Usage(Usage{Customer: x.owner.Customer, Class: x.class.Name(), PromptTokens: serviceTokens})
	}
	return response, err
}

func (x *exchange) fingerprint(body []byte) []byte {
	h := sha256.New()
	h.Write([]byte(x.r.Method + " " + x.r.URL.RequestURI() + "\n"))
	h.Write(body)
	return []byte(hex.EncodeToString(h.Sum(nil)))
}

// respond writes the whole response to the caller at once.
func (x *exchange) respond(response relay.ServiceResponse, replayed bool) {
	for name, values := range response.Header {
		x.w.Header()[name] = values
	}
	if replayed {
		x.w.Header().Set(HeaderReplayed, "true")
	}
	x.w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	x.w.WriteHeader(response.Status)
	_, _ = x.w.Write(response.Body)
	_ = http.NewResponseController(x.w).Flush()
	took := x.front.deps.Clock.Now().Sub(x.start)
	x.front.deps.Meter.Served(meter.Result{Customer: x.owner.Customer, Class: x.class, FirstToken: took})
	x.log().WithField("status", response.Status).WithField("replayed", replayed).Info("service call served")
}
