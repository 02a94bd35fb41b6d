package gateway

import (
	"context"
	"runtime"
	"strings"
	"testing"
	"time"

	"quetzalhook/internal/entry/caller"
)

// Guards against requests that are taken too late to be completed, or refused too early.
func TestStopTakesOnlyWhatCanEnd(t *testing.T) {
	start := time.Unix(1000, 0)
	s := &Stop{Start: start, Away: start.Add(3 * time.Second), End: start.Add(7 * time.Second)}
	for _, test := range []struct {
		at, timeout time.Duration
		want        bool
	}{
		{0, time.Minute, true},
		{3*time.Second - 1, time.Minute, true},
		{3 * time.Second, time.Minute, false},
		{3 * time.Second, 4*time.Second - caller.EndTime, true},
		{3 * time.Second, 4*time.Second - caller.EndTime + 1, false},
		{6 * time.Second, 500 * time.Millisecond, true},
		{7 * time.Second, time.Millisecond, false},
	} {
		if got := s.takes(start.Add(test.at), test.timeout); got != test.want {
			t.Errorf("request of %v at %v: got %v, want %v", test.timeout, test.at, got, test.want)
		}
	}
}

// Guards against requests in a stop that get no answer.
func TestStopAnswersEveryRequest(t *testing.T) {
	const (
		body  = ` HTTP/1.1\r\nHost: h\r\nApi-Key: key\r\n\r\n`
		ok    = `HTTP/1.1 200 OK\r\nAnswer-Seal: s\r\nContent-Length: 2\r\n\r\nok`
		soon  = caller.EndTime + 300*time.Millisecond // before the timeouts of the routes
		event = `HTTP/1.1 200 OK\r\nAnswer-Seal: s\r\n\r\nid: 1\ndata: x\n\n | hold`
	)
	for _, test := range []struct {
		name, request, offer, step string
		away, end                  time.Duration
		want                       string
		ends                       string // of its attempts
	}{
		{"late and too long", "GET /lookup/1", "a", ok, 0, time.Second, "caller: 503 whole retry-after=0.001", ""},
		{"late and short", "POST /order/1", "a", ok, 0, time.Minute, "caller: 200 whole", "finished"},
		{"in time", "GET /lookup/1", "a", ok, time.Minute, time.Second, "caller: 200 whole", "finished"},
		{"waits at the end", "GET /lookup/1", "wait", "", time.Minute, soon, "caller: 503 whole retry-after=0.001", ""},
		{"waits while callers learn of other hosts", "GET /lookup/1", "wait", "", soon / 5, 2 * soon, "caller: 503 whole retry-after=0.001", ""},
		{"gets an upstream after that", "GET /lookup/1", "late-a", ok, soon / 5, soon, "caller: 503 whole retry-after=0.001", "caller-gone"},
		{"gets an upstream after that and is short", "POST /order/1", "late-a", ok, soon / 5, time.Minute, "caller: 200 whole", "finished"},
		{"runs at the end", "GET /lookup/1", "a", "hold", time.Minute, soon, "caller: 504 whole", "caller-gone"},
		{"stream without an event at the end", "GET /chat/1", "a", `HTTP/1.1 200 OK\r\nAnswer-Seal: s\r\n\r\n | hold`, time.Minute, soon, "caller: 504 whole", "caller-gone"},
		{"stream at the end", "GET /chat/1", "a", event, time.Minute, soon, "caller: 200 cut", "caller-gone"},
	} {
		t.Run(test.name, func(t *testing.T) {
			env := newTestEnvironment(t)
			env.upstreams["a"] = newScriptedUpstream(t)
			env.upstreams["a"].steps, env.offers = []string{test.step}, []string{test.offer}
			now := time.Now()
			env.gateway.Drain(Stop{Start: now, Away: now.Add(test.away), End: now.Add(test.end)})
			response := make(chan string, 1)
			go func() { response <- env.send(t, test.request+body, "") }()
			for env.gateway.callers.CloseUnused() == 0 && len(response) == 0 {
				runtime.Gosched()
			}
			_ = env.server.Listener.Close()
			ctx, cancel := context.WithDeadline(t.Context(), now.Add(test.end))
			defer cancel()
			_ = env.gateway.CloseConns(ctx)
			_ = env.server.Config.Close()
			got, took := <-response, time.Since(now)
			if test.away < test.end && took > test.away+soon/2 {
				t.Errorf("answer: got it after %v, want it within %v", took, test.away+soon/2)
			}
			if !strings.HasPrefix(got, test.want+" ") || strings.Contains(got, " 50") != strings.Contains(got, string(ErrorStopping)) {
				t.Errorf("got %q, want %q", got, test.want)
			}
			env.close()
			if got := strings.Join(env.ends, " "); got != test.ends {
				t.Errorf("attempts: got %q, want %q", got, test.ends)
			}
		})
	}
}
