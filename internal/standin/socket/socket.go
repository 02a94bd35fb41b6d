// Package socket holds what all stand-ins share on the network side: a
// listener that can crash and come back, connections that go silent, and a
// record of the request ids and caller keys that reached the stand-in.
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

// Server wraps the handler of a stand-in. It works behind any listener;
// Listen opens one that a crash closes.
type Server struct {
	next http.Handler
	done chan struct{}

	mu      sync.Mutex
	conns   map[string]*connection // by remote address
	secrets map[string]int         // watched caller keys and their sightings
	runs    map[string]int         // requests by X-Request-Id
	crashed chan struct{}          // closed while the stand-in is down
	address string
	server  *http.Server
	closed  bool
	serving sync.WaitGroup
}

// connection is one client connection; silent is closed once it stops
// answering.
type connection struct {
	silent chan struct{}
}

// New returns a server of next.
func New(next http.Handler) *Server {
	return &Server{
		next:    next,
		done:    make(chan struct{}),
		conns:   make(map[string]*connection),
		secrets: make(map[string]int),
		runs:    make(map[string]int),
		crashed: make(chan struct{}),
	}
}

// Listen serves on address, such as 127.0.0.1:0, and returns the address in
// use.
func (s *Server) Listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second, ConnState: s.forget}
	server := s.server
	s.serving.Go(func() { _ = server.Serve(l) })
	return s.address, nil
}

// forget drops a closed connection, whose address may be used again.
func (s *Server) forget(c net.Conn, state http.ConnState) {
	if state == http.StateClosed {
		s.mu.Lock()
		delete(s.conns, c.RemoteAddr().String())
		s.mu.Unlock()
	}
}

// ServeHTTP records the request and passes it on unless a fault applies.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, crashed := s.enter(r.RemoteAddr)
	if !s.await(r, c, crashed) {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.record(r, body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.next.ServeHTTP(&writer{ResponseWriter: w, server: s, request: r, conn: c, crashed: crashed}, r)
}

func (s *Server) enter(remote string) (*connection, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.conns[remote]
	if c == nil {
		c = &connection{silent: make(chan struct{})}
		s.conns[remote] = c
	}
	return c, s.crashed
}

// await blocks on a silent connection until its client gives up and returns
// whether the connection may be used.
func (s *Server) await(r *http.Request, c *connection, crashed chan struct{}) bool {
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

func (s *Server) record(r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id := r.Header.Get("X-Request-Id"); id != "" && r.Method == http.MethodPost {
		s.runs[id]++
	}
	for key := range s.secrets {
		if carries(r, body, key) {
			s.secrets[key]++
		}
	}
}

// carries reports whether key occurs in the request.
func carries(r *http.Request, body []byte, key string) bool {
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

// WatchSecrets adds caller keys that no request may carry.
func (s *Server) WatchSecrets(keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range keys {
		if k != "" {
			s.secrets[k] += 0
		}
	}
}

// SawSecret returns how many requests carried key in a header, query,
// trailer or body, and false if the key was not watched.
func (s *Server) SawSecret(key string) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.secrets[key]
	return n, ok
}

// Runs returns how many POST requests came with each X-Request-Id.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

// Silence makes every connection known now stop answering; new connections
// work.
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

// Crash closes all connections and the listener.
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

// Restart ends a crash and listens on the same address again.
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

// isCrashed reports whether the stand-in is down. The caller holds s.mu.
func (s *Server) isCrashed() bool {
	select {
	case <-s.crashed:
		return true
	default:
		return false
	}
}

// Close closes all connections and waits for the listener.
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

// writer stops writing once its connection is silent or crashed.
type writer struct {
	http.ResponseWriter
	server  *Server
	request *http.Request
	conn    *connection
	crashed chan struct{}
}

// Write implements io.Writer.
func (w *writer) Write(p []byte) (int, error) {
	if !w.server.await(w.request, w.conn, w.crashed) {
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the connection.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
