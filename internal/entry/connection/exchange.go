package connection

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxStrays bounds the answers to other requests that are read before the
	// own one.
	maxStrays = 4
	// maxStrayBody bounds the body of such an answer in bytes.
	maxStrayBody = 1 << 20
	// finishTimeout bounds how long a body that is read to its end waits for the
	// request to be written whole.
	finishTimeout = 100 * time.Millisecond
)

// Request is what to send.
type Request struct {
	Method string
	// URI is the path with query, as it goes into the request line.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh asks for a new connection. An idle one may be gone without notice,
	// which leaves the outcome of a request unknown.
	Fresh bool
	// Answers reports whether an answer belongs to the request; nil means that
	// every answer does.
	Answers func(http.Header) bool
}

// Response is an answer whose body has not been read.
type Response struct {
	Status int
	Header http.Header
	// Length is that of the body, or -1 if it is not known.
	Length int64
	// Body returns io.EOF only after the complete body. Close it; closing it
	// earlier drops the connection.
	Body io.ReadCloser
	// Reused reports that the connection had carried other requests before.
	Reused bool
}

// exchange is one request on one connection.
type exchange struct {
	pool    *Pool
	target  Target
	conn    *conn
	reused  bool
	written chan error // result of writing the request
	stop    func() bool
	once    sync.Once
}

// Do sends a request and returns the answer once its header has arrived. The
// connection is closed when ctx ends, also while the body is read.
func (p *Pool) Do(ctx context.Context, t Target, r *Request) (*Response, error) {
	c, err := p.get(ctx, t, r.Fresh)
	if err != nil {
		return nil, err
	}
	x := &exchange{pool: p, target: t, conn: c, reused: c.uses > 0, written: make(chan error, 1)}
	c.uses++
	x.stop = context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	if ctx.Err() != nil {
		x.end(false, 0)
		return nil, &Error{Op: "send", Kind: ErrorNotSent, Upstream: t.ID, Err: ctx.Err()}
	}
	go x.write(r)
	resp, err := x.read(r)
	if err != nil {
		x.end(false, 0)
		if ctx.Err() != nil {
			err = errors.Wrap(context.Cause(ctx), err.Error())
		}
		return nil, &Error{Op: "answer", Kind: ErrorBroken, Upstream: t.ID, Reused: x.reused, Err: err}
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Reused: x.reused,
		Body: &body{exchange: x, response: resp},
	}, nil
}

// write sends the request. The upstream may answer meanwhile.
func (x *exchange) write(r *Request) {
	var head bytes.Buffer
	head.Grow(1024 + len(r.Body))
	head.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&head) // a buffer takes every write
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	head.Write(r.Body)
	_, err := x.conn.Write(head.Bytes())
	x.written <- err
}

// read returns the answer to the request. It skips interim answers, and
// complete answers to other requests.
func (x *exchange) read(r *Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	for range maxStrays {
		resp, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Answers == nil || r.Answers(resp.Header) {
			return resp, nil
		}
		if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errors.New("the connection ends with the answer to another request")
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBody)); err != nil {
			return nil, errors.Wrap(err, "answer to another request")
		}
	}
	return nil, errors.Errorf("%d answers to other requests", maxStrays)
}

// end gives the connection back, or closes it.
func (x *exchange) end(reusable bool, limit time.Duration) {
	x.once.Do(func() {
		live := x.stop()
		if !reusable || !live || x.conn.reader.Buffered() > 0 {
			x.pool.discard(x.target.key(), x.conn)
			return
		}
		x.pool.put(x.target.key(), x.conn, limit)
	})
}

// finished reports whether the whole request was written.
func (x *exchange) finished() bool {
	timer := time.NewTimer(finishTimeout)
	defer timer.Stop()
	select {
	case err := <-x.written:
		return err == nil
	case <-timer.C:
		return false
	}
}

// body is the body of an answer.
type body struct {
	exchange *exchange
	response *http.Response
	ended    bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if err == nil {
		return n, nil
	}
	if err != io.EOF {
		b.exchange.end(false, 0)
		return n, &Error{Op: "answer", Kind: ErrorBroken, Upstream: b.exchange.target.ID, Reused: b.exchange.reused, Err: err}
	}
	if !b.ended {
		b.ended = true
		// An answer that ends with its connection leaves nothing to reuse.
		framed := b.response.ContentLength >= 0 || len(b.response.TransferEncoding) > 0
		reusable := framed && !b.response.Close && b.exchange.finished()
		b.exchange.end(reusable, keepAliveLimit(b.response.Header.Get("Keep-Alive")))
	}
	return n, io.EOF
}

// Close implements io.Closer. Before the end of the body it closes the
// connection.
func (b *body) Close() error {
	b.exchange.end(false, 0)
	return nil
}
