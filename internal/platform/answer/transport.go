package answer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.Transport that refuses malformed answers. It does not check those
// on connections with TLS.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that sends with t, which it changes. Refused answers
// are added to counts, which may be nil.
func NewTransport(t *http.Transport, counts *Counts) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c, counts), nil
	}
	return &Transport{Transport: t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[Conn]
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.ExpectHeader(nil)
			conn.Store(c)
		}
	}})
	resp, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err == nil {
		return resp, nil
	}
	if c := conn.Load(); c != nil && c.Refused() != nil {
		err = c.Refused() // net/http reports what it could not parse without the rest
	}
	return nil, err
}
