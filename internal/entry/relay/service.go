package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/entry/broker"
	"quetzalhook/internal/state/invariant"
)

const (
	// HeaderOperationID carries the identity of a call that may not be
	// repeated. It is not named Idempotency-Key, since net/http repeats
	// requests with that header on its own.
	HeaderOperationID = "Operation-Id"

	// maxServiceResponse bounds the response of a service in bytes, so that it
	// fits a stored outcome.
	maxServiceResponse = 512 << 10
	serviceTimeout     = 10 * time.Second
)

// forwardHeaders are the caller's headers that a service receives.
var forwardHeaders = []string{"Accept", "Accept-Language", "Content-Type"}

// returnHeaders are the service's headers that a caller receives.
var returnHeaders = []string{"Content-Type", "Content-Language", "ETag", "Last-Modified", "Location", "Cache-Control"}

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	Request quetzalhook.Request
	Method  string
	Path    string // with query
	Header  http.Header
	Body    []byte
	Guard
	// OperationID identifies a call that may not be repeated.
	OperationID string
}

// ServiceResponse is the answer of a service.
type ServiceResponse struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
}

// Service runs a submitted call to a service to its end. A call that may not
// be repeated is sent again only if the first try provably was not sent.
func (r *Relay) Service(t *broker.Ticket, call ServiceCall) (ServiceResponse, error) {
	for {
		attempt, err := t.Next()
		if err != nil {
			return ServiceResponse{}, r.notStarted(t, err)
		}
		resp, err := r.callService(attempt, call)
		if err == nil {
			r.broker.End(t, quetzalhook.EndFinished)
			return resp, nil
		}
		var e *Error
		if !errors.As(err, &e) {
			e = &Error{Op: "service", Kind: KindBroken, Outcome: quetzalhook.OutcomeUnknown, Err: err}
		}
		switch {
		case e.Kind == KindNotSent:
			r.broker.End(t, quetzalhook.EndNotSent)
		case e.Kind == KindBroken && call.Request.Repeatable:
			r.broker.End(t, quetzalhook.EndBroken)
		case e.Kind == KindBroken:
			r.broker.End(t, quetzalhook.EndBroken)
			return ServiceResponse{}, e
		default:
			r.broker.End(t, quetzalhook.EndCallerGone)
			return ServiceResponse{}, e
		}
	}
}

func (r *Relay) callService(attempt *broker.Attempt, call ServiceCall) (ServiceResponse, error) {
	target := r.pool.get(attempt.Upstream)
	if target == nil {
		return ServiceResponse{}, &Error{Op: "service", Kind: KindNotSent, Outcome: quetzalhook.OutcomeNotRun, Err: errors.New("upstream is not configured")}
	}
	// A call that may not be repeated goes on when its caller leaves, so that
	// its outcome becomes known and a repeat gets the first answer.
	parent := attempt.Context()
	if !call.Request.Repeatable {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithTimeout(parent, serviceTimeout)
	defer cancel()
	var connected atomic.Bool
	ctx = call.trace(ctx, &connected)
	req, err := r.serviceRequest(ctx, "http://"+target.upstream.Address, call)
	if err != nil {
		return ServiceResponse{}, err
	}
	client := target.fresh
	if call.Request.Repeatable {
		client = target.pooled
	} else if err := r.checkFirst(call); err != nil {
		return ServiceResponse{}, err
	}
	letter := r.waiting.open(call.Request.ID)
	defer r.waiting.close(call.Request.ID)
	resp, err := client.Do(req)
	if err != nil && !connected.Load() {
		return ServiceResponse{}, &Error{Op: "service", Kind: KindNotSent, Outcome: quetzalhook.OutcomeNotRun, Err: err}
	}
	if err != nil {
		target.pooled.CloseIdleConnections()
		return ServiceResponse{}, &Error{Op: "service", Kind: KindBroken, Outcome: quetzalhook.OutcomeUnknown, Err: err}
	}
	defer resp.Body.Close()
	answer, err := readService(resp)
	if err != nil || namesRequest(resp, call.Request.ID) {
		return answer, err
	}
	r.waiting.deliver(quetzalhook.RequestID(resp.Header.Get(HeaderRequestID)), answer)
	select {
	case answer = <-letter:
		return answer, nil
	case <-ctx.Done():
		return ServiceResponse{}, errCrossed(call.Request.ID, resp)
	}
}

// checkFirst checks right before a send that a call that may not be repeated
// was not sent before, and stops it otherwise.
func (r *Relay) checkFirst(call ServiceCall) error {
	again := call.Sent != nil && call.Sent.Load()
	r.invariants.Check(invariant.AtMostOnce, !again, "request", call.Request.ID, "path", call.Path)
	if again {
		return &Error{Op: "service", Kind: KindSentBefore, Outcome: quetzalhook.OutcomeUnknown, Err: errors.New("the call was sent before")}
	}
	return nil
}

func (r *Relay) serviceRequest(ctx context.Context, base string, call ServiceCall) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.GetBody = nil
	for _, name := range forwardHeaders {
		copyHeader(req.Header, call.Header, name)
	}
	req.Header.Set(HeaderRequestID, string(call.Request.ID))
	if call.OperationID != "" {
		req.Header.Set(HeaderOperationID, call.OperationID)
	}
	return req, r.check(call.Guard, call.Request.Customer, req, call.Body)
}

func readService(resp *http.Response) (ServiceResponse, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceResponse+1))
	if err == nil && len(body) > maxServiceResponse {
		err = errors.Errorf("the response is over %d bytes", maxServiceResponse)
	}
	if err != nil {
		return ServiceResponse{}, &Error{Op: "service", Kind: KindBroken, Outcome: quetzalhook.OutcomeUnknown, Err: err}
	}
	header := make(http.Header)
	for _, name := range returnHeaders {
		copyHeader(header, resp.Header, name)
	}
	return ServiceResponse{Status: resp.StatusCode, Header: header, Body: body}, nil
}

func copyHeader(to, from http.Header, name string) {
	for _, value := range from.Values(name) {
		to.Add(name, value)
	}
}
