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

// errWithdrawn is the cause of a request's context that ended because the key
// was withdrawn.
var errWithdrawn = errors.New("the key was withdrawn")

// keyStatus maps the reason for which a key was refused to the HTTP status.
var keyStatus = map[quetzalhook.KeyErrorKind]int{
	quetzalhook.KeyUnknown:    http.StatusUnauthorized,
	quetzalhook.KeyWithdrawn:  http.StatusUnauthorized,
	quetzalhook.KeyNotCurrent: http.StatusServiceUnavailable,
}

// authenticate looks up the key of the request and sets its secret and
// identity. The customer is determined by the key alone; a Customer header must
// agree with it.
func (x *exchange) authenticate() error {
	scheme, secret, _ := strings.Cut(x.r.Header.Get("Authorization"), " ")
	secret = strings.TrimSpace(secret)
	if !strings.EqualFold(scheme, "Bearer") || secret == "" {
		return notRunError(http.StatusUnauthorized, "no-key", "an Authorization header with a bearer key is required", 0)
	}
	owner, err := x.front.deps.Keys.Lookup(x.r.Context(), secret)
	if err != nil {
		return keyLookupError(err)
	}
	x.secret, x.identity = secret, owner
	if named := x.r.Header.Get(HeaderCustomer); named != "" && named != string(owner.Customer) {
		return notRunError(http.StatusForbidden, "wrong-customer", "the key belongs to another customer than the Customer header names", 0)
	}
	return x.checkNoSecret()
}

// keyLookupError returns the error for a failed lookup of a key.
func keyLookupError(err error) error {
	var e *quetzalhook.KeyError
	if !errors.As(err, &e) {
		return notRunError(http.StatusServiceUnavailable, "keys-unavailable", err.Error(), defaultRetryAfter)
	}
	retry := defaultRetryAfter
	if e.Kind != quetzalhook.KeyNotCurrent {
		retry = 0
	}
	return notRunError(keyStatus[e.Kind], string(e.Kind), e.Error(), retry)
}

// checkNoSecret returns an error if the path, the query or a header other than
// Authorization contains the key. The body is checked when it is read.
func (x *exchange) checkNoSecret() error {
	query, err := url.QueryUnescape(x.r.URL.RawQuery)
	if err != nil {
		return notRunError(http.StatusBadRequest, "bad-query", "the query is not correctly escaped", 0)
	}
	if relay.ContainsSecret(x.secret, x.r.URL.Path, query) {
		return keyInRequestError()
	}
	for name, values := range x.r.Header {
		if name != "Authorization" && relay.ContainsSecret(x.secret, values...) {
			return keyInRequestError()
		}
	}
	return nil
}

func keyInRequestError() error {
	return notRunError(http.StatusBadRequest, "key-in-request", "the key may only be in the Authorization header", 0)
}

// watchKey returns a context that ends with the request, when the key is withdrawn or
// at the end of a stop, and a function that releases it.
func (x *exchange) watchKey() (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(x.r.Context())
	withdrawn, release := x.front.deps.Keys.Withdrawn(x.identity.Key)
	go func() {
		defer release()
		select {
		case <-withdrawn:
			cancel(errWithdrawn)
		case <-x.front.ended.Done():
			cancel(relay.ErrStopped)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}
