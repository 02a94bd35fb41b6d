package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quetzalhook/internal/record/routing"
)

// Guards against a request that runs while its kept connection is closed.
func TestCloseWhileRequestBegins(t *testing.T) {
	const (
		callers = 200
		rounds  = 10
		spread  = 2 * time.Millisecond // of the requests, before and after the closing
		rest    = 30 * time.Millisecond
	)
	for _, test := range []struct {
		name        string
		idleTimeout time.Duration
	}{{"stop", time.Minute}, {"idle-timeout", rest}} {
		t.Run(test.name, func(t *testing.T) {
			var cut, crossed int64
			for round := range rounds {
				env := newTestEnvironment(t)
				table := testTable()
				table.Limits = routing.Limits{BodyBytes: 100, IdleTimeout: test.idleTimeout}
				env.setTable(table)
				env.upstreams["a"] = newScriptedUpstream(t)
				env.offers = slices.Repeat([]string{"a"}, 2*callers)
				env.upstreams["a"].steps = slices.Repeat([]string{`HTTP/1.1 200 OK\r\nAnswer-Seal: s\r\nContent-Length: 2\r\n\r\nok`}, 2*callers)
				var unanswered [callers]atomic.Bool
				var rested, wg sync.WaitGroup
				start := make(chan struct{})
				rested.Add(callers)
				for i := range callers {
					pause := time.Duration(rand.New(rand.NewPCG(uint64(round), uint64(i))).Int64N(int64(2 * spread)))
					wg.Go(func() {
						c, err := net.Dial("tcp", env.server.Listener.Addr().String())
						if err != nil {
							t.Error(err)
							rested.Done()
							return
						}
						defer c.Close()
						r := bufio.NewReader(c)
						if !roundTrip(c, r, fmt.Sprintf("first-%d.", i)) {
							t.Errorf("caller %d: first request: got no answer", i)
						}
						idle := time.After(rest - spread + pause)
						rested.Done()
						if test.name == "stop" {
							<-start
							idle = time.After(pause)
						}
						<-idle
						unanswered[i].Store(!roundTrip(c, r, fmt.Sprintf("second-%d.", i)))
					})
				}
				rested.Wait()
				close(start)
				if test.name == "stop" {
					<-time.After(spread)
					_ = env.server.Listener.Close()
					if err := env.gateway.CloseConns(t.Context()); err != nil {
						t.Errorf("close the connections: got %v, want nil", err)
					}
				}
				wg.Wait()
				env.close()
				received := strings.Join(env.upstreams["a"].received, "\n")
				for i := range unanswered {
					if !unanswered[i].Load() {
						continue
					}
					crossed++
					if strings.Contains(received, fmt.Sprintf("second-%d.", i)) {
						cut++
					}
				}
			}
			t.Logf("%d of %d requests met a closed connection", crossed, rounds*callers)
			if cut > 0 {
				t.Errorf("requests passed on whose callers got no answer: got %d of %d, want 0", cut, rounds*callers)
			}
		})
	}
}

// roundTrip sends a request and reports whether its whole response arrived.
func roundTrip(c net.Conn, r *bufio.Reader, id string) bool {
	fmt.Fprintf(c, "GET /open/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\n", id)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	return err == nil && string(body) == "ok"
}
