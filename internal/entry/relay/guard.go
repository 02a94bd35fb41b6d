package relay

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
)

// Guard holds the caller's key, which is checked right before each send, and
// flags that record how far sending got.
type Guard struct {
	// Secret is the caller's key, which must not reach an upstream.
	Secret string
	// Key is the ID of the key.
	Key quetzalhook.KeyID
	// Sent is set when a connection is available, before the first byte of a
	// request can be sent.
	Sent *atomic.Bool
	// Written is set when net/http has written the headers of a request. It is
	// used only to check the outcome that callers are told.
	Written *atomic.Bool
}

// traceSend returns a context for an HTTP request that sets connected and Sent
// when a connection is available, and Written when the headers are written.
func (g Guard) traceSend(ctx context.Context, connected *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			connected.Store(true)
			if g.Sent != nil {
				g.Sent.Store(true)
			}
		},
		WroteHeaders: func() {
			if g.Written != nil {
				g.Written.Store(true)
			}
		},
	})
}

// checkSend runs right before a send. It returns an error if the key no longer
// belongs to the customer or if any part of the request contains the key; the
// request must then not be sent.
func (r *Relay) checkSend(g Guard, customer quetzalhook.CustomerID, req *http.Request, body []byte) error {
	if err := r.checkOwner(req.Context(), g, customer); err != nil {
		return err
	}
	found := ContainsSecret(g.Secret, req.URL.String(), string(body))
	for _, values := range req.Header {
		found = found || ContainsSecret(g.Secret, values...)
	}
	r.invariants.Check(invariant.KeyNotForwarded, !found, "path", req.URL.Path)
	if found {
		return &Error{Op: "send", Kind: KindKeyInRequest, Outcome: quetzalhook.OutcomeNotRun}
	}
	return nil
}

// checkOwner looks up the key again and returns an error if it is refused or
// belongs to another customer.
func (r *Relay) checkOwner(ctx context.Context, g Guard, customer quetzalhook.CustomerID) error {
	if r.keys == nil {
		return nil
	}
	owner, err := r.keys.Lookup(ctx, g.Secret)
	if err != nil {
		return &Error{Op: "send", Kind: KindKeyRefused, Outcome: quetzalhook.OutcomeNotRun, Err: err}
	}
	same := owner.Customer == customer
	r.invariants.Check(invariant.KeyOwner, same, "customer", customer, "owner", owner.Customer)
	if !same {
		return &Error{Op: "send", Kind: KindKeyRefused, Outcome: quetzalhook.OutcomeNotRun, Err: errors.New("the key belongs to another customer")}
	}
	return nil
}

// ContainsSecret reports whether any of the texts contains the secret. An empty
// secret is never found.
func ContainsSecret(secret string, texts ...string) bool {
	if secret == "" {
		return false
	}
	for _, text := range texts {
		if strings.Contains(text, secret) {
			return true
		}
	}
	return false
}
