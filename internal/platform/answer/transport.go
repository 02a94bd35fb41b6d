package answer

import (
	"context"
	"io"
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
	c := conn.Load()
	switch {
	case c == nil: // not connected, or a connection with TLS
		return resp, err
	case err == nil:
		resp.Body = &trailerBody{ReadCloser: resp.Body, response: resp, conn: c}
		return resp, nil
	case c.Refused() != nil:
		return nil, c.Refused() // net/http reports what it could not parse without the rest
	}
	return nil, err
}

// trailerBody is the body of a response, whose trailer it checks.
type trailerBody struct {
	io.ReadCloser
	response *http.Response
	conn     *Conn
}

// Read implements io.Reader.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if refused := b.conn.CheckTrailer(b.response.Trailer); refused != nil {
			err = refused
		}
	}
	return n, err
}
