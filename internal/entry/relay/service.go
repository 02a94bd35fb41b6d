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
	// HeaderOperationID is the header that identifies a call that may not be
	// repeated. It is not named Idempotency-Key, since net/http retries
	// requests with that header on its own.
	HeaderOperationID = "Operation-Id"

	// maxServiceResponse limits the response of a service in bytes, so that it
	// fits into a stored outcome.
	maxServiceResponse = 512 << 10
	serviceTimeout     = 10 * time.Second
)

// forwardedHeaders are the request headers that are passed on to a service.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type"}

// returnedHeaders are the response headers that are passed on to a caller.
var returnedHeaders = []string{"Content-Type", "Content-Language", "ETag", "Last-Modified", "Location", "Cache-Control"}

// ServiceCall is one call to a service that is not an engine.
type ServiceCall struct {
	Request quetzalhook.Request
	Method  string
	Path    string // including the query
	Header  http.Header
	Body    []byte
	Guard
	// OperationID identifies a call that may not be repeated.
	OperationID string
}

// ServiceResponse is the response of a service.
type ServiceResponse struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
}

// Service runs a submitted service call to its end. A call that may not be
// repeated is sent again only if the first attempt is known not to have been
// sent.
func (r *Relay) Service(t *broker.Ticket, call ServiceCall) (ServiceResponse, error) {
	for {
		attempt, err := t.Next()
		if err != nil {
			return ServiceResponse{}, r.endWaiting(t, err)
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

// callService sends the call to the upstream of the attempt and reads the
// response. If that belongs to another call, callService waits until the call
// that received the response to this one delivers it.
func (r *Relay) callService(attempt *broker.Attempt, call ServiceCall) (ServiceResponse, error) {
	clients := r.pool.get(attempt.Upstream)
	if clients == nil {
		return ServiceResponse{}, &Error{Op: "service", Kind: KindNotSent, Outcome: quetzalhook.OutcomeNotRun, Err: errors.New("upstream is not configured")}
	}
	// A call that may not be repeated continues after its caller disconnects, until
	// the host stops, so that its outcome becomes known and a repeat gets the same
	// response.
	parent := attempt.Context()
	if !call.Request.Repeatable {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithTimeout(parent, serviceTimeout)
	defer cancel()
	defer context.AfterFunc(attempt.Context(), func() {
		if errors.Is(context.Cause(attempt.Context()), ErrStopped) {
			cancel()
		}
	})()
	var connected atomic.Bool
	ctx = call.traceSend(ctx, &connected)
	req, err := r.newServiceRequest(ctx, "http://"+clients.upstream.Address, call)
	if err != nil {
		return ServiceResponse{}, err
	}
	client := clients.fresh
	if call.Request.Repeatable {
		client = clients.pooled
	} else if err := r.checkNotSent(call); err != nil {
		return ServiceResponse{}, err
	}
	redelivered := r.pending.add(call.Request.ID)
	defer r.pending.remove(call.Request.ID)
	resp, err := client.Do(req)
	if err != nil && !connected.Load() {
		return ServiceResponse{}, &Error{Op: "service", Kind: KindNotSent, Outcome: quetzalhook.OutcomeNotRun, Err: err}
	}
	if err != nil {
		clients.pooled.CloseIdleConnections()
		return ServiceResponse{}, &Error{Op: "service", Kind: KindBroken, Outcome: quetzalhook.OutcomeUnknown, Err: err}
	}
	defer resp.Body.Close()
	response, err := readServiceResponse(resp)
	if err != nil || answersRequest(resp, call.Request.ID) {
		return response, err
	}
	r.pending.deliver(quetzalhook.RequestID(resp.Header.Get(HeaderRequestID)), response)
	select {
	case response = <-redelivered:
		return response, nil
	case <-ctx.Done():
		return ServiceResponse{}, wrongRequestError(call.Request.ID, resp)
	}
}

// checkNotSent returns an error if a call that may not be repeated was sent
// before. It runs right before the send.
func (r *Relay) checkNotSent(call ServiceCall) error {
	alreadySent := call.Sent != nil && call.Sent.Load()
	r.invariants.Check(invariant.AtMostOnce, !alreadySent, "request", call.Request.ID, "path", call.Path)
	if alreadySent {
		return &Error{Op: "service", Kind: KindSentBefore, Outcome: quetzalhook.OutcomeUnknown, Err: errors.New("the call was sent before")}
	}
	return nil
}

// newServiceRequest builds the HTTP request of a call and checks it with
// checkSend.
func (r *Relay) newServiceRequest(ctx context.Context, base string, call ServiceCall) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.GetBody = nil
	for _, name := range forwardedHeaders {
		copyHeader(req.Header, call.Header, name)
	}
	req.Header.Set(HeaderRequestID, string(call.Request.ID))
	if call.OperationID != "" {
		req.Header.Set(HeaderOperationID, call.OperationID)
	}
	return req, r.checkSend(call.Guard, call.Request.Customer, req, call.Body)
}

// readServiceResponse reads a response of limited size and keeps the headers
// that are passed on.
func readServiceResponse(resp *http.Response) (ServiceResponse, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceResponse+1))
	if err == nil && len(body) > maxServiceResponse {
		err = errors.Errorf("the response is over %d bytes", maxServiceResponse)
	}
	if err != nil {
		return ServiceResponse{}, &Error{Op: "service", Kind: KindBroken, Outcome: quetzalhook.OutcomeUnknown, Err: err}
	}
	header := make(http.Header)
	for _, name := range returnedHeaders {
		copyHeader(header, resp.Header, name)
	}
	return ServiceResponse{Status: resp.StatusCode, Header: header, Body: body}, nil
}

func copyHeader(to, from http.Header, name string) {
	for _, value := range from.Values(name) {
		to.Add(name, value)
	}
}
