package connection

import (
	"context"
	"net"
	"testing"
	"time"

	"quetzalhook"
)

// Guards against connections whose result is not reported, against one that is reported as
// failed although this host gave up, and against a connection that was opened for later
// requests and is not used.
func TestDialedIsReported(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	u := newUpstream(t)
	u.mu.Lock() // for the goroutine that accepts
	u.steps = []string{`HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n`}
	u.mu.Unlock()
	var got []string
	p := NewPool(quetzalhook.ClockFunc(time.Now), WithDialed(func(t Target, err error) {
		result := string(t.ID) + " opened"
		if err != nil {
			result = string(t.ID) + " failed"
		}
		got = append(got, result)
	}))
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	open := Target{ID: "open", Address: u.listener.Addr().String()}
	for _, c := range []struct {
		ctx    context.Context
		target Target
		ok     bool
	}{
		{t.Context(), open, true},
		{t.Context(), Target{ID: "closed", Address: closed.Addr().String()}, false},
		{gone, open, false},
	} {
		if err := p.Open(c.ctx, c.target); (err == nil) != c.ok {
			t.Errorf("open %s: got %v", c.target.ID, err)
		}
	}
	resp, err := p.Do(t.Context(), open, &Request{Method: "GET", URI: "/", Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	resp.Discard()
	_ = p.Close()
	u.close()
	if want := []string{"open opened", "closed failed"}; len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("reported: got %v, want %v", got, want)
	}
	if u.conns != 1 {
		t.Errorf("connections: got %d, want 1", u.conns)
	}
}
