package caller

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook/internal/entry/budget"
)

func quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// bodyServer serves requests that are read with a Memory of limit bytes.
type bodyServer struct {
	memory  *Memory
	conns   *Conns
	server  *http.Server
	address string
	results chan error // of ReadBody
}

func startBodyServer(t *testing.T, limit int64, connections int, limits Limits) *bodyServer {
	t.Helper()
	s := &bodyServer{memory: NewMemory(budget.Plan{Memory: limit}, quiet()), results: make(chan error, 1000)}
	s.conns = NewConns(func() Limits { return limits }, WithMemory(s.memory, connections))
	s.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := s.memory.Open(r.Header.Get("Customer"), time.Minute)
		defer h.Close()
		err := h.Reserve(r.Context().Done(), budget.Requests, RequestMemory)
		if err == nil {
			_, err = h.ReadBody(w, r, 1<<20)
		}
		s.results <- err
		var e *Error
		if r.URL.Path == "/panic" {
			panic(http.ErrAbortHandler)
		}
		if errors.As(err, &e) && e.Kind == ErrorNoMemory {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	s.conns.Attach(s.server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	go func() { _ = s.server.Serve(s.conns.Listen(l)) }() // ends when the server is closed
	t.Cleanup(func() {
		_ = s.server.Close()
		_ = s.memory.Close()
	})
	return s
}

func (s *bodyServer) send(t *testing.T, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, text) // the server may have closed the connection
	return c
}

func post(path string, declared, sent int, more string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n%s", path, declared, more, strings.Repeat("x", sent))
}

// Guards against a limit of headers that no header section keeps because it is the largest number.
func TestLargestHeaderLimit(t *testing.T) {
	s := startBodyServer(t, 4<<20, 0, Limits{HeaderBytes: math.MaxInt})
	c := s.send(t, post("/", 10, 10, strings.Repeat("a: b\r\n", 200)))
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("request: got %v, %v, want status 200", resp, err)
	}
}

// Guards against memory that is not given back in one of the ways in which a request
// ends.
func TestEveryEndGivesBack(t *testing.T) {
	lines := strings.Repeat("a: b\r\n", 200)
	for _, test := range []struct {
		name, text string
		want       ErrorKind // of the body; "-" if the request does not reach the handler
	}{
		{"no-body", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", ""},
		{"complete", post("/", 1<<19, 1<<19, ""), ""},
		{"long-header", post("/", 10, 10, lines), ""},
		{"caller-gone", post("/", 1<<19, 1<<18, lines), ErrorBroken},
		{"too-large", post("/", 1<<20+1, 1<<20+1, ""), ErrorTooLarge},
		{"no-memory", post("/", 1<<20, 1<<20, "Customer: full\r\n"), ErrorNoMemory},
		{"handler-aborts", post("/panic", 1<<19, 1<<19, ""), ""},
		{"odd-chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcdeZZ", ErrorBroken},
		{"header-cut", "POST / HTTP/1.1\r\n" + lines, "-"},
		{"header-over-limit", "POST / HTTP/1.1\r\n" + strings.Repeat(lines, 100), "-"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startBodyServer(t, 4<<20, 0, Limits{HeaderBytes: 8 << 10})
			other := s.memory.Open("full", 0)
			if test.want == ErrorNoMemory {
				if err := other.Reserve(nil, budget.Bodies, 3<<20); err != nil {
					t.Fatal(err)
				}
			}
			c := s.send(t, test.text)
			if test.want == "" || test.want == ErrorNoMemory || test.want == ErrorTooLarge {
				_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
				_, _ = c.Read(make([]byte, 1)) // until the response
			}
			_ = c.Close()
			if test.want != "-" {
				var e *Error
				err := <-s.results
				if errors.As(err, &e); (e == nil) != (test.want == "") || e != nil && e.Kind != test.want {
					t.Errorf("body: got %v, want %q", err, test.want)
				}
			}
			other.Close()
			s.awaitEmpty(t)
		})
	}
}

// awaitEmpty waits until nothing is held.
func (s *bodyServer) awaitEmpty(t *testing.T) {
	t.Helper()
	held := int64(1)
	for end := time.Now().Add(10 * time.Second); held > 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		held = 0
		for _, n := range s.memory.Held() {
			held += n
		}
	}
	if held > 0 {
		t.Errorf("after the request: got %v held, want nothing", s.memory.Held())
	}
}

// Guards against callers that keep memory by a body that does not proceed: they give
// way to one that does.
func TestStalledBodyGivesWay(t *testing.T) {
	s := startBodyServer(t, 3<<20, 0, Limits{})
	for range 2 {
		defer s.send(t, post("/", 1<<20, 1<<20-1, "")).Close()
	}
	time.Sleep(budget.EvictAfter)
	defer s.send(t, post("/", 1<<20, 1<<20, "")).Close()
	first, second := <-s.results, <-s.results
	var e *Error
	if second != nil || !errors.As(first, &e) || e.Kind != ErrorNoMemory {
		t.Errorf("bodies: got %v and %v, want one that gives way and one that is complete", first, second)
	}
}

// Guards against idle connections that keep out a new one, and against a request in
// progress that is cut for it.
func TestTooManyConnections(t *testing.T) {
	const limit = 20
	s := startBodyServer(t, 4<<20, limit, Limits{IdleTime: time.Minute})
	active := s.send(t, post("/", 10, 5, ""))
	defer active.Close()
	for range 5 * limit {
		c := s.send(t, "")
		defer c.Close()
		time.Sleep(time.Millisecond)
	}
	c := s.send(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	defer c.Close()
	if got := readStatus(c); got != "HTTP/1.1 200" {
		t.Errorf("request beside silent connections: got %q, want it answered", got)
	}
	if got := s.conns.Open(); got > limit+limit/maxClosing {
		t.Errorf("open connections: got %d, want at most %d", got, limit+limit/maxClosing)
	}
	_, _ = io.WriteString(active, "xxxxx")
	if got := readStatus(active); got != "HTTP/1.1 200" {
		t.Errorf("request that was in progress: got %q, want it answered", got)
	}
}

func readStatus(c net.Conn) string {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	status := make([]byte, len("HTTP/1.1 200"))
	_, _ = io.ReadFull(c, status)
	return string(status)
}

// Guards against a header section that is kept open by a byte now and then.
func TestSlowHeader(t *testing.T) {
	s := startBodyServer(t, 4<<20, 0, Limits{HeaderTime: 300 * time.Millisecond})
	c := s.send(t, "GET / HTTP/1.1\r\n")
	defer c.Close()
	go func() {
		for {
			if _, err := io.WriteString(c, "a: b\r\n"); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("slow header: got an open connection after 10 s, want it closed")
	}
}

// scriptedConn is a connection on which data arrives in pieces.
type scriptedConn struct {
	net.Conn
	mu     sync.Mutex
	data   []byte
	piece  int
	taken  atomic.Int64
	closed chan struct{}
	once   sync.Once
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p[:min(len(p), c.piece)], c.data)
	c.data = c.data[n:]
	c.taken.Add(int64(n))
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

func (c *scriptedConn) Write(p []byte) (int, error) { return len(p), nil }
func (c *scriptedConn) Close() error                { c.once.Do(func() { close(c.closed) }); return nil }
func (c *scriptedConn) LocalAddr() net.Addr         { return &net.TCPAddr{} }
func (c *scriptedConn) RemoteAddr() net.Addr        { return &net.TCPAddr{} }

func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// oneListener accepts one connection.
type oneListener struct {
	conns chan net.Conn
	ctx   context.Context
}

func (l *oneListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}
func (l *oneListener) Close() error   { return nil }
func (l *oneListener) Addr() net.Addr { return &net.TCPAddr{} }

// FuzzHeader sends bytes before and in a header section, cut into pieces, and then the
// same part again and again. It guards against one of which the host reads more than the
// limit, or for which it keeps memory.
func FuzzHeader(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), []byte(""), 4096)
	f.Add([]byte("GET / HTTP/1.1\r\n"), []byte("a: b\r\n"), 7)
	f.Add([]byte(""), []byte("\r\n"), 1000)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"), []byte("\n"), 1)
	f.Add([]byte("GET /"), []byte("x"), 4096)
	f.Add([]byte("GET / HTTP/1.1\r\na: "), []byte("x"), 500)
	f.Fuzz(func(t *testing.T, start, part []byte, piece int) {
		const limit = 1 << 10
		const most = limit + 2*headSlop
		if len(start)+len(part) > most {
			return
		}
		data := append(bytes.Clone(start), bytes.Repeat(part, 1+20*most/max(len(part), 1))...)
		memory := NewMemory(budget.Plan{Memory: 1 << 20}, quiet())
		conns := NewConns(func() Limits { return Limits{HeaderBytes: limit} }, WithMemory(memory, 0))
		ctx, cancel := context.WithCancel(t.Context())
		c := &scriptedConn{data: data, piece: max(piece, 1), closed: make(chan struct{})}
		l := &oneListener{conns: make(chan net.Conn, 1), ctx: ctx}
		l.conns <- c
		var last atomic.Int64 // bytes read at the start of the latest header section
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if got := c.taken.Load() - last.Load(); got > most {
				t.Errorf("header section: got %d bytes read, want at most %d", got, most)
			}
			_, _ = io.Copy(io.Discard, r.Body)
			last.Store(c.taken.Load())
		}), ErrorLog: nil, ReadHeaderTimeout: time.Minute}
		conns.Attach(s)
		served := make(chan struct{})
		go func() {
			_ = s.Serve(conns.Listen(l))
			close(served)
		}()
		<-c.closed
		if got := c.taken.Load() - last.Load(); got > most {
			t.Errorf("last header section: got %d bytes read, want at most %d", got, most)
		}
		cancel()
		<-served
		for end := time.Now().Add(time.Second); memory.Held()["headers"] > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
		if got := memory.Held()["headers"]; got > 0 {
			t.Errorf("after the connection: got %d bytes held, want none", got)
		}
		_ = memory.Close()
	})
}
