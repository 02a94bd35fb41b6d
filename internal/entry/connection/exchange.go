package connection

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxResponses bounds the responses that are read from a connection while those to
	// other requests are skipped.
	maxResponses = 4
	// maxSkippedBody bounds the body of a skipped response in bytes.
	maxSkippedBody = 1 << 20
	// maxResponseHeader bounds a response header in bytes, so that an upstream that
	// sends without end cannot exhaust the memory.
	maxResponseHeader = 64 << 10
	// maxDiscardedBody and discardTimeout bound the body that Response.Discard reads
	// to keep a connection.
	maxDiscardedBody = 16 << 10
	discardTimeout   = 20 * time.Millisecond
	// requestWriteTimeout bounds how long, after the end of the response body, to wait
	// until the request is completely written.
	requestWriteTimeout = 100 * time.Millisecond
)

// Request is a request to an upstream.
type Request struct {
	Method string
	// URI is the path with the query, as written in the request line.
	URI    string
	Host   string
	Header http.Header
	// Body holds the parts of the body. They are not copied, and must not change until
	// the connection is closed or idle again.
	Body [][]byte
	// Fresh requires a new connection. The upstream may have closed an idle one
	// unnoticed, which would leave the outcome of the request unknown.
	Fresh bool
	// SentOn lists the numbers of the connections on which this request was sent
	// before. They are not used for it again, because a second copy of the answer
	// to the earlier attempt could not be told from the answer to this one.
	SentOn []int64
	// SendBy is the time after which the request must not be sent; zero for none.
	SendBy time.Time
	// ID identifies the request, and AnswerID returns the ID that the header of a
	// response names, or "". Only a response that names the request is accepted: any
	// other may be a copy of an earlier one, or no response at all. A request without
	// an ID gets a new connection and a response without one. If AnswerID is nil,
	// every response is accepted.
	ID       string
	AnswerID func(http.Header) string
}

// isUnnamed reports whether the request has no ID that its response could name.
func (r *Request) isUnnamed() bool { return r.AnswerID != nil && r.ID == "" }

// Response is a response whose body has not been read.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is not known.
	Length int64
	// Framed reports that the body has a length or is chunked. Otherwise it ends with
	// its connection, and its end does not show that it is complete.
	Framed bool
	// Body returns io.EOF only after the complete body. The caller must close it. If
	// it is closed before io.EOF, the connection is closed too.
	Body io.ReadCloser
	// Reused reports that the connection had been used for other requests before.
	Reused bool
	// Connection is the number of the connection, unique in the pool.
	Connection int64

	body *body
}

// Reserve reserves memory for keeping n bytes of the response until the body is closed.
// It returns false if the open responses take all memory that they may. A Response that
// is not from a Pool has no bound.
func (r *Response) Reserve(n int64) bool {
	if r.body == nil {
		return true
	}
	if !r.body.exchange.pool.budget.TryReserve(n) {
		return false
	}
	r.body.reserved.Add(n)
	return true
}

// exchange is a request and its response on a connection.
type exchange struct {
	pool    *Pool
	ctx     context.Context // of the request; its end closes the connection
	target  Target
	conn    *conn
	reused  bool
	oneUse  bool       // a later request must not get a copy of this response
	written chan error // result of writing the request
	// cancelClose ends the watch that closes the connection when the context ends. It
	// returns false if the connection was closed already.
	cancelClose func() bool
	once        sync.Once
}

// Do sends a request and returns the response once its header has arrived. When ctx
// ends, the connection is closed, even while the body is read. Errors are of type
// *Error.
func (p *Pool) Do(ctx context.Context, t Target, r *Request) (*Response, error) {
	c, err := p.get(ctx, t, r)
	if err != nil {
		return nil, err
	}
	if !r.SendBy.IsZero() && p.clock.Now().After(r.SendBy) {
		p.discard(t.key(), c)
		return nil, &Error{Op: "send", Kind: ErrorLate, Upstream: t.ID, Err: errors.New("the connection was not ready in time")}
	}
	x := &exchange{pool: p, ctx: ctx, target: t, conn: c, reused: c.uses > 0, oneUse: r.isUnnamed(), written: make(chan error, 1)}
	c.uses++
	x.cancelClose = context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	if ctx.Err() != nil {
		x.finish(false, 0)
		return nil, &Error{Op: "send", Kind: ErrorNotSent, Upstream: t.ID, Local: true, Err: ctx.Err()}
	}
	go x.write(r)
	resp, err := x.read(r)
	if err != nil {
		local := isLocal(ctx, err)
		x.finish(false, 0)
		if ctx.Err() != nil {
			err = errors.Wrap(context.Cause(ctx), err.Error())
		}
		return nil, &Error{Op: "answer", Kind: ErrorBroken, Upstream: t.ID, Reused: x.reused, Connection: c.number, Local: local, Err: err}
	}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	b := &body{exchange: x, response: resp, framed: framed}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Framed: framed, Reused: x.reused, Connection: c.number,
		Body: b, body: b,
	}, nil
}

// write sends the request and then reports the result to x.written. It runs in a
// goroutine, since the upstream may respond before it has read the request.
func (x *exchange) write(r *Request) {
	var head bytes.Buffer
	head.Grow(1024)
	head.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&head) // bytes.Buffer returns no error
	length := 0
	for _, part := range r.Body {
		length += len(part)
	}
	if length > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	head.WriteString("\r\n")
	message := append(net.Buffers{head.Bytes()}, r.Body...) // WriteTo changes the list
	x.written <- x.conn.checked.WriteBuffers(&message)
}

// read returns the response to the request. It skips informational responses (1xx)
// and complete responses to other requests.
func (x *exchange) read(r *Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	defer x.conn.allowance.unlimit()
	for range maxResponses {
		x.conn.allowance.limitHeader()
		buffered, _ := x.conn.reader.Peek(x.conn.reader.Buffered()) // cannot fail
		x.conn.checked.ExpectHeader(buffered)
		resp, err := http.ReadResponse(x.conn.reader, request)
		if invalid := x.conn.checked.Err(); invalid != nil {
			return nil, invalid
		}
		if err != nil {
			if x.conn.allowance.isUsedUp() {
				return nil, errors.Errorf("the response header is over %d bytes, or one of too many long ones", maxResponseHeader)
			}
			return nil, err
		}
		if hasStatusLine(resp) {
			return nil, errors.New("the response header was cut, and another response follows")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if isAnswer(r, resp.Header) {
			return resp, nil
		}
		if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errors.New("the connection ends with the response to another request")
		}
		x.conn.allowance.unlimit()
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBody))
		if err != nil {
			return nil, errors.Wrap(err, "read response to another request")
		}
		if n == maxSkippedBody {
			return nil, errors.Errorf("the response to another request has a body of %d bytes or more", maxSkippedBody)
		}
	}
	return nil, errors.Errorf("no response to the request among the first %d on the connection", maxResponses)
}

// statusLine matches the start of a response.
var statusLine = regexp.MustCompile(`HTTP/\d\.\d \d{3}`)

// hasStatusLine reports whether a line of the header contains the start of another
// response: the upstream has cut the header, and both look like one.
func hasStatusLine(resp *http.Response) bool {
	if statusLine.MatchString(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// isAnswer reports whether the response with the header h is for the request.
func isAnswer(r *Request, h http.Header) bool {
	return r.AnswerID == nil || r.AnswerID(h) == r.ID
}

// Discard drops the body. It keeps the connection if the rest of a short body
// arrives within discardTimeout, and closes it otherwise.
func (r *Response) Discard() {
	timer := time.AfterFunc(discardTimeout, func() { _ = r.Body.Close() })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardedBody))
	_ = r.Body.Close()
}

// finish returns a reusable connection to the pool, which keeps it idle for at most
// limit, and closes any other. Only the first call has an effect.
func (x *exchange) finish(reusable bool, limit time.Duration) {
	x.once.Do(func() {
		isOpen := x.cancelClose()
		x.conn.allowance.release()
		if !reusable || !isOpen || x.conn.reader.Buffered() > 0 {
			x.pool.discard(x.target.key(), x.conn)
			return
		}
		x.pool.put(x.target.key(), x.conn, limit)
	})
}

// requestWritten reports whether the request was completely written. It waits for at
// most requestWriteTimeout.
func (x *exchange) requestWritten() bool {
	timer := time.NewTimer(requestWriteTimeout)
	defer timer.Stop()
	select {
	case err := <-x.written:
		return err == nil
	case <-timer.C:
		return false
	}
}

// body is the body of a response. At its end it returns the connection to the pool.
type body struct {
	exchange *exchange
	response *http.Response
	framed   bool
	atEOF    bool
	reserved atomic.Int64 // see Response.Reserve
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF && !b.atEOF {
		err = cmp.Or(b.exchange.conn.checked.CheckTrailer(b.response.Trailer), err)
	}
	if err != io.EOF {
		b.exchange.finish(false, 0)
		return n, &Error{
			Op: "answer", Kind: ErrorBroken, Upstream: b.exchange.target.ID, Reused: b.exchange.reused, Connection: b.exchange.conn.number,
			Local: isLocal(b.exchange.ctx, err), Err: err,
		}
	}
	if !b.atEOF {
		b.atEOF = true
		// The end of a response that is not framed is the end of its connection, which
		// cannot be reused.
		reusable := b.framed && !b.response.Close && !b.exchange.oneUse && b.exchange.requestWritten()
		b.exchange.finish(reusable, keepAliveTimeout(b.response.Header.Get("Keep-Alive")))
	}
	return n, io.EOF
}

// Close implements io.Closer. Before the end of the body, it also closes the
// connection.
func (b *body) Close() error {
	b.exchange.pool.budget.Release(b.reserved.Swap(0))
	b.exchange.finish(false, 0)
	return nil
}
