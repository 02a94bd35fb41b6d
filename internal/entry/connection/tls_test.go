package connection

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"quetzalhook"
)

// Guards against a connection to a host that is used without TLS, not reused, or reported as
// one to an upstream; and against a request that is sent on one which the host has closed.
func TestTLSConnection(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(r.RemoteAddr))
	}))
	s.StartTLS()
	defer s.Close()
	dialed := 0
	p := NewPool(quetzalhook.ClockFunc(time.Now), WithDialed(func(Target, error) { dialed++ }))
	defer func() { _ = p.Close() }()
	target := Target{ID: "host", Address: s.Listener.Addr().String(), TLS: &tls.Config{InsecureSkipVerify: true}}
	for i, reused := range []bool{false, true, false} {
		if i == 2 {
			s.CloseClientConnections()
			g := p.groups[target.key()]
			for isIdle(g.idle[0].Conn) { // until the close has arrived
				time.Sleep(time.Millisecond)
			}
		}
		resp, err := p.Do(t.Context(), target, &Request{Method: "GET", URI: "/", Host: "h"})
		if err != nil {
			t.Fatal(err)
		}
		if resp.Reused != reused {
			t.Errorf("request %d: reused: got %v, want %v", i, resp.Reused, reused)
		}
		resp.Discard()
	}
	if dialed != 0 {
		t.Errorf("reported connections: got %d, want none", dialed)
	}
	target.TLS = &tls.Config{}
	target.ID = "unverified"
	if _, err := p.Do(t.Context(), target, &Request{Method: "GET", URI: "/", Host: "h"}); err == nil {
		t.Error("got a response of a host whose certificate is not verified")
	}
}
