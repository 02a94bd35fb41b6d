package response

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.Transport that rejects invalid responses. It does not check
// responses received over TLS.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport based on t, which it modifies. Invalid responses are
// added to counts, which may be nil.
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
	case c == nil: // no connection, or TLS
		return resp, err
	case err == nil:
		resp.Body = &trailerBody{ReadCloser: resp.Body, response: resp, conn: c}
		return resp, nil
	case c.Err() != nil:
		return nil, c.Err() // more precise than the error of net/http
	}
	return nil, err
}

// trailerBody is a response body that checks the trailer section at EOF.
type trailerBody struct {
	io.ReadCloser
	response *http.Response
	conn     *Conn
}

// Read implements io.Reader.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = cmp.Or(b.conn.CheckTrailer(b.response.Trailer), err)
	}
	return n, err
}
