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
	// serviceTokens is the assumed work of one service call, in tokens.
	serviceTokens = 16
	// maxIdempotencyKey limits the length of an Idempotency-Key, in bytes.
	maxIdempotencyKey = 255
	// storeTimeout limits the time to store an outcome in the journal or to
	// release a claim. Neither ends when the caller disconnects.
	storeTimeout = 10 * time.Second
)

// ServiceModel returns the model name that represents a service in the policy.
func ServiceModel(name string) quetzalhook.Model { return quetzalhook.Model("service:" + name) }

// service serves a call to a service that is not an engine.
func (x *exchange) service() error {
	body, err := x.body(maxServiceBody)
	if err != nil {
		return err
	}
	x.parsed()
	safe := x.r.Method == http.MethodGet || x.r.Method == http.MethodHead
	if x.route.Repeatable || safe {
		response, err := x.callService(body, "", true)
		if err != nil {
			return err
		}
		x.writeResponse(response, false)
		return nil
	}
	return x.callOnce(body)
}

// callOnce serves a call that may not be repeated: it claims the call in the
// journal and sends it, or writes the stored response of an earlier call.
func (x *exchange) callOnce(body []byte) error {
	journal := x.front.deps.Journal
	if journal == nil {
		return notRunError(http.StatusServiceUnavailable, "journal-unavailable", "calls that may not be repeated cannot be recorded", defaultRetryAfter)
	}
	key := x.r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKey {
		return notRunError(http.StatusBadRequest, "bad-idempotency-key", "the Idempotency-Key is over 255 bytes", 0)
	}
	if key == "" {
		key = rand.Text()
	}
	claim, err := journal.Claim(x.ctx, quetzalhook.JournalCall{
		Customer: x.identity.Customer, Route: x.route.Path, Key: key, Fingerprint: x.fingerprint(body),
	})
	if err != nil {
		return x.claimError(err)
	}
	switch claim.State {
	case quetzalhook.JournalReplay:
		var response relay.ServiceResponse
		if err := cbor.Unmarshal(claim.Response, &response); err != nil {
			return unknownOutcomeError(http.StatusInternalServerError, "journal-broken", "the stored response cannot be read")
		}
		x.writeResponse(response, true)
		return nil
	case quetzalhook.JournalUnknown:
		return &Error{
			Op: "claim", Kind: "outcome-unknown", Status: http.StatusConflict, Outcome: quetzalhook.OutcomeUnknown, RetryAfter: defaultRetryAfter,
			Message: "an earlier call with this key was sent and its outcome is not known yet",
		}
	case quetzalhook.JournalMismatch:
		return notRunError(http.StatusUnprocessableEntity, "key-reused", "the Idempotency-Key was used with another request", 0)
	}
	return x.runClaimed(claim, body)
}

// JournalError is implemented by errors of a journal that tell whether the
// claim may have been recorded.
type JournalError interface {
	error
	Outcome() quetzalhook.Outcome
}

// claimError returns the error for a claim that the journal failed to record.
func (x *exchange) claimError(err error) error {
	var e JournalError
	if errors.As(err, &e) && e.Outcome() == quetzalhook.OutcomeUnknown {
		return unknownOutcomeError(http.StatusServiceUnavailable, "journal-unavailable", err.Error())
	}
	return notRunError(http.StatusServiceUnavailable, "journal-unavailable", err.Error(), defaultRetryAfter)
}

// runClaimed sends a claimed call and stores its outcome. The response is
// written to the caller first: storing takes long while the store is down, and
// a caller that has the response does not repeat the call.
func (x *exchange) runClaimed(claim quetzalhook.JournalClaim, body []byte) error {
	journal := x.front.deps.Journal
	response, err := x.callService(body, claim.ID, false)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), storeTimeout)
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
		return unknownOutcomeError(http.StatusInternalServerError, "journal-broken", err.Error())
	}
	x.writeResponse(response, false)
	if err := journal.Finish(ctx, claim, stored); err != nil {
		x.log().WithField("error", err).Warn("outcome not stored; repeats will be told that it is unknown")
	}
	return nil
}

// callService submits the call to the broker, sends it and, if it succeeded,
// records its usage. A call that may not be repeated has an operation ID.
func (x *exchange) callService(body []byte, operation string, repeatable bool) (relay.ServiceResponse, error) {
	call := relay.ServiceCall{
		Request: quetzalhook.Request{
			ID: x.id, Customer: x.identity.Customer, Class: x.class, Model: ServiceModel(x.route.Service),
			PromptTokens: serviceTokens, MaxTokens: 1, Region: x.front.deps.Region(), Repeatable: repeatable,
		},
		Method: x.r.Method, Path: x.r.URL.RequestURI(), Header: x.r.Header, Body: body, Guard: x.guard(), OperationID: operation,
	}
	ticket, err := x.front.deps.Broker.Submit(x.ctx, call.Request)
	if err != nil {
		return relay.ServiceResponse{}, notRunError(http.StatusServiceUnavailable, "stopping", "the host is stopping", defaultRetryAfter)
	}
	response, err := x.front.deps.Relay.Service(ticket, call)
	if err == nil {
		x.front.deps.RecordUsage(Usage{Customer: x.identity.Customer, Class: x.class.Name(), PromptTokens: serviceTokens})
	}
	return response, err
}

// fingerprint returns a hash of the method, the URI and the body, by which the
// journal recognises an Idempotency-Key that is used with another request.
func (x *exchange) fingerprint(body []byte) []byte {
	h := sha256.New()
	h.Write([]byte(x.r.Method + " " + x.r.URL.RequestURI() + "\n"))
	h.Write(body)
	return []byte(hex.EncodeToString(h.Sum(nil)))
}

// writeResponse writes the response to the caller and flushes it, and records
// the call's metrics.
func (x *exchange) writeResponse(response relay.ServiceResponse, replayed bool) {
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
	elapsed := x.front.deps.Clock.Now().Sub(x.start)
	x.front.deps.Meter.Served(meter.Result{Customer: x.identity.Customer, Class: x.class, FirstToken: elapsed})
	x.log().WithField("status", response.Status).WithField("replayed", replayed).Info("service call served")
}
