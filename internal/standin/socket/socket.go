// Package socket implements the HTTP server of the simulated systems. It can
// close and reopen its listener to simulate a crash, make connections stop
// responding, and count requests by request ID and by the caller keys that they
// contain.
package socket

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Server wraps the handler of a simulated system. It can be used with any
// listener; only one opened by Listen is closed by Crash.
type Server struct {
	next http.Handler
	done chan struct{}

	mu            sync.Mutex
	conns         map[string]*connection // by remote address
	keyCounts     map[string]int         // requests that contained a watched caller key, by key
	requestCounts map[string]int         // POST requests by X-Request-Id
	crashed       chan struct{}          // closed while the server is crashed
	address       string
	server        *http.Server
	closed        bool
	serving       sync.WaitGroup
}

// connection is one client connection. silent is closed once the connection
// must not respond any more.
type connection struct {
	silent chan struct{}
}

// New returns a server that passes requests to next.
func New(next http.Handler) *Server {
	return &Server{
		next:          next,
		done:          make(chan struct{}),
		conns:         make(map[string]*connection),
		keyCounts:     make(map[string]int),
		requestCounts: make(map[string]int),
		crashed:       make(chan struct{}),
	}
}

// Listen opens a listener on address, such as 127.0.0.1:0, serves on it and
// returns its actual address.
func (s *Server) Listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second, ConnState: s.removeClosed}
	server := s.server
	s.serving.Go(func() { _ = server.Serve(l) })
	return s.address, nil
}

// removeClosed removes a connection when it is closed, because a later connection
// may have the same remote address.
func (s *Server) removeClosed(c net.Conn, state http.ConnState) {
	if state == http.StateClosed {
		s.mu.Lock()
		delete(s.conns, c.RemoteAddr().String())
		s.mu.Unlock()
	}
}

// ServeHTTP records the request and passes it to the wrapped handler. It aborts
// the request if the server has crashed, and does not respond on a silent
// connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, crashed := s.trackConnection(r.RemoteAddr)
	if !s.waitUsable(r, c, crashed) {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.recordRequest(r, body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.next.ServeHTTP(&faultWriter{ResponseWriter: w, server: s, request: r, conn: c, crashed: crashed}, r)
}

// trackConnection returns the connection with a remote address, added at its first
// request, and the channel that the next crash closes.
func (s *Server) trackConnection(remote string) (*connection, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.conns[remote]
	if c == nil {
		c = &connection{silent: make(chan struct{})}
		s.conns[remote] = c
	}
	return c, s.crashed
}

// waitUsable reports whether the connection may respond. On a silent connection it
// blocks until the client disconnects or the server crashes or closes, and returns
// false.
func (s *Server) waitUsable(r *http.Request, c *connection, crashed chan struct{}) bool {
	select {
	case <-crashed:
		return false
	case <-s.done:
		return false
	default:
	}
	select {
	case <-c.silent:
	default:
		return true
	}
	select {
	case <-r.Context().Done():
	case <-crashed:
	case <-s.done:
	}
	return false
}

// recordRequest counts the X-Request-Id of a POST request and the watched caller
// keys that any request contains.
func (s *Server) recordRequest(r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id := r.Header.Get("X-Request-Id"); id != "" && r.Method == http.MethodPost {
		s.requestCounts[id]++
	}
	for key := range s.keyCounts {
		if containsKey(r, body, key) {
			s.keyCounts[key]++
		}
	}
}

// containsKey reports whether key occurs in the body, URL, headers or trailers of
// the request.
func containsKey(r *http.Request, body []byte, key string) bool {
	if bytes.Contains(body, []byte(key)) || bytes.Contains([]byte(r.RequestURI), []byte(key)) ||
		bytes.Contains([]byte(r.RequestURI), []byte(url.QueryEscape(key))) {
		return true
	}
	for _, h := range []http.Header{r.Header, r.Trailer} {
		for name, values := range h {
			for _, v := range append(values, name) {
				if bytes.Contains([]byte(v), []byte(key)) {
					return true
				}
			}
		}
	}
	return false
}

// WatchSecrets adds caller keys to look for in requests; a caller's key must not
// be forwarded to an upstream.
func (s *Server) WatchSecrets(keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range keys {
		if k != "" {
			s.keyCounts[k] += 0
		}
	}
}

// SawSecret returns the number of requests that contained key in a header, query,
// trailer or body, and whether the key is watched.
func (s *Server) SawSecret(key string) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.keyCounts[key]
	return n, ok
}

// RequestCounts returns the number of POST requests by X-Request-Id.
func (s *Server) RequestCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	requestCounts := make(map[string]int, len(s.requestCounts))
	for id, n := range s.requestCounts {
		requestCounts[id] = n
	}
	return requestCounts
}

// Silence makes all connections that have sent a request so far stop responding.
// Later connections work.
func (s *Server) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		select {
		case <-c.silent:
		default:
			close(c.silent)
		}
	}
}

// Crash closes the listener that Listen opened and all its connections. With any
// other listener, requests are aborted until Restart.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isCrashed() || s.closed {
		return
	}
	close(s.crashed)
	if s.server != nil {
		_ = s.server.Close()
	}
	s.conns = make(map[string]*connection)
}

// Restart ends a crash and listens on the previous address again.
func (s *Server) Restart() error {
	s.mu.Lock()
	if !s.isCrashed() || s.closed {
		s.mu.Unlock()
		return nil
	}
	s.crashed = make(chan struct{})
	address := s.address
	s.mu.Unlock()
	if address == "" {
		return nil
	}
	_, err := s.Listen(address)
	return err
}

// isCrashed reports whether Crash was called without a Restart since. The caller
// holds s.mu.
func (s *Server) isCrashed() bool {
	select {
	case <-s.crashed:
		return true
	default:
		return false
	}
}

// Close closes the listener and all connections and waits until serving has ended.
func (s *Server) Close() error {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.done)
		if s.server != nil {
			_ = s.server.Close()
		}
	}
	s.mu.Unlock()
	s.serving.Wait()
	return nil
}

// faultWriter aborts the response once its connection is silent or the server has
// crashed.
type faultWriter struct {
	http.ResponseWriter
	server  *Server
	request *http.Request
	conn    *connection
	crashed chan struct{}
}

// Write implements io.Writer.
func (w *faultWriter) Write(p []byte) (int, error) {
	if !w.server.waitUsable(w.request, w.conn, w.crashed) {
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the underlying writer, which http.ResponseController needs.
func (w *faultWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
