package front

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strings"

	"quetzalhook"
	"quetzalhook/internal/entry/relay"
)

// errWithdrawn is the cause of a request's context when its key is
// withdrawn.
var errWithdrawn = errors.New("the key was withdrawn")

var keyStatus = map[quetzalhook.KeyErrorKind]int{
	quetzalhook.KeyUnknown:    http.StatusUnauthorized,
	quetzalhook.KeyWithdrawn:  http.StatusUnauthorized,
	quetzalhook.KeyNotCurrent: http.StatusServiceUnavailable,
}

// authenticate finds the owner of the request's key. The customer comes from
// the key alone.
func (x *exchange) authenticate() error {
	scheme, secret, _ := strings.Cut(x.r.Header.Get("Authorization"), " ")
	secret = strings.TrimSpace(secret)
	if !strings.EqualFold(scheme, "Bearer") || secret == "" {
		return notRun(http.StatusUnauthorized, "no-key", "an Authorization header with a bearer key is required", 0)
	}
	owner, err := x.front.deps.Keys.Lookup(x.r.Context(), secret)
	if err != nil {
		return keyFailure(err)
	}
	x.secret, x.owner = secret, owner
	if named := x.r.Header.Get(HeaderCustomer); named != "" && named != string(owner.Customer) {
		return notRun(http.StatusForbidden, "wrong-customer", "the key belongs to another customer than the Customer header names", 0)
	}
	return x.findSecret()
}

func keyFailure(err error) error {
	var e *quetzalhook.KeyError
	if !errors.As(err, &e) {
		return notRun(http.StatusServiceUnavailable, "keys-unavailable", err.Error(), shortRetry)
	}
	retry := shortRetry
	if e.Kind != quetzalhook.KeyNotCurrent {
		retry = 0
	}
	return notRun(keyStatus[e.Kind], string(e.Kind), e.Error(), retry)
}

// findSecret refuses a request that repeats its key outside the
// Authorization header. The body is checked where it is read.
func (x *exchange) findSecret() error {
	query, err := url.QueryUnescape(x.r.URL.RawQuery)
	if err != nil {
		return notRun(http.StatusBadRequest, "bad-query", "the query is not correctly escaped", 0)
	}
	if relay.ContainsSecret(x.secret, x.r.URL.Path, query) {
		return keyInRequest()
	}
	for name, values := range x.r.Header {
		if name != "Authorization" && relay.ContainsSecret(x.secret, values...) {
			return keyInRequest()
		}
	}
	return nil
}

func keyInRequest() error {
	return notRun(http.StatusBadRequest, "key-in-request", "the key may only be in the Authorization header", 0)
}

// watchKey returns a context that ends when the key is withdrawn.
func (x *exchange) watchKey() (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(x.r.Context())
	withdrawn, release := x.front.deps.Keys.Withdrawn(x.owner.Key)
	go func() {
		defer release()
		select {
		case <-withdrawn:
			cancel(errWithdrawn)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}
