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

// Guard carries what is checked right before a request is sent.
type Guard struct {
	// Secret is the caller's key, which must not reach an upstream.
	Secret string
	// Key identifies the secret.
	Key quetzalhook.KeyID
	// Sent is set before the first byte of a request may leave the host.
	Sent *atomic.Bool
	// Written is set when net/http has written the headers of a request. It
	// serves only to check what callers are told by Sent.
	Written *atomic.Bool
}

// trace notes when a connection is at hand, from where on bytes may leave.
func (g Guard) trace(ctx context.Context, connected *atomic.Bool) context.Context {
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

// check runs right before a send: the key must still belong to the customer,
// and must be in no part of the request. A request that fails is not sent.
func (r *Relay) check(g Guard, customer quetzalhook.CustomerID, req *http.Request, body []byte) error {
	if err := r.checkOwner(req.Context(), g, customer); err != nil {
		return err
	}
	found := ContainsSecret(g.Secret, req.URL.String(), string(body))
	for _, values := range req.Header {
		found = found || ContainsSecret(g.Secret, values...)
	}
	r.invariants.Check(invariant.KeyNotForwarded, !found, "path", req.URL.Path)
	if found {
		return &Error{Op: "send", Kind: KindSecret, Outcome: quetzalhook.OutcomeNotRun}
	}
	return nil
}

func (r *Relay) checkOwner(ctx context.Context, g Guard, customer quetzalhook.CustomerID) error {
	if r.keys == nil {
		return nil
	}
	owner, err := r.keys.Lookup(ctx, g.Secret)
	if err != nil {
		return &Error{Op: "send", Kind: KindKey, Outcome: quetzalhook.OutcomeNotRun, Err: err}
	}
	same := owner.Customer == customer
	r.invariants.Check(invariant.KeyOwner, same, "customer", customer, "owner", owner.Customer)
	if !same {
		return &Error{Op: "send", Kind: KindKey, Outcome: quetzalhook.OutcomeNotRun, Err: errors.New("the key belongs to another customer")}
	}
	return nil
}

// ContainsSecret reports whether any text holds the secret.
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
