package node

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quetzalhook/internal/entry/setting"
)

// Guards against a stop that cuts off requests on connections that were opened before.
func TestStopAnswersNewConnections(t *testing.T) {
	const (
		callers = 100
		pause   = 5 * time.Millisecond // at most, between connection and request
	)
	certificate, key, roots := selfSigned(t)
	for name, wrap := range map[string]func(net.Conn) net.Conn{
		"plain": func(c net.Conn) net.Conn { return c },
		"tls":   func(c net.Conn) net.Conn { return tls.Client(c, &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"}) },
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestCluster(t, 100).start("a", func(s *setting.Settings) {
				s.HostsLifetime = 100 * time.Millisecond
				if name == "tls" {
					s.Certificate, s.PrivateKey = certificate, key
				}
			})
			var sent, unanswered atomic.Int64
			var wg sync.WaitGroup
			for i := range callers {
				random := rand.New(rand.NewPCG(1, uint64(i)))
				wg.Go(func() {
					for {
						raw, err := net.Dial("tcp", n.Address())
						if err != nil {
							return // the host has stopped
						}
						c := wrap(raw)
						sent.Add(1)
						time.Sleep(time.Duration(random.Int64N(int64(pause))))
						_, _ = fmt.Fprint(c, "GET /v1/hosts HTTP/1.1\r\nHost: h\r\n\r\n")
						if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
							_ = resp.Body.Close()
						} else {
							unanswered.Add(1)
						}
						_ = raw.Close()
					}
				})
			}
			if err := n.Stop(context.WithoutCancel(t.Context())); err != nil {
				t.Errorf("stop: got %v, want no error", err)
			}
			wg.Wait()
			t.Logf("%d requests", sent.Load())
			if got, want := unanswered.Load(), int64(0); got != want {
				t.Errorf("requests without an answer: got %d of %d, want %d", got, sent.Load(), want)
			}
		})
	}
}

// Guards against requests that get no answer because the time for a stop has passed.
func TestStopAnswersOpenRequests(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		slots string
		sent  int64 // to the engine, after the stream
		want  int
	}{{"slots: 1", 0, http.StatusServiceUnavailable}, {"slots: 8", 1, http.StatusGatewayTimeout}} {
		t.Run(test.slots, func(t *testing.T) {
			c := newTestCluster(t, 100)
			c.document = strings.Replace(c.document, "slots: 8", test.slots, 1)
			n := c.start("a")
			c.configure(n)
			before := c.engine.Stats().Requests
			stream := c.chat(n, 2000)
			if stream == nil {
				t.Fatal("no response")
			}
			defer stream.Body.Close()
			status := make(chan int, 1)
			go func() {
				resp := c.post(n, "/v1/chat/completions", c.secret, `{"model":"m","messages":[{"role":"user","content":"x"}],"metadata":{"output_tokens":2000}}`)
				if resp == nil {
					status <- 0
					return
				}
				_ = resp.Body.Close()
				status <- resp.StatusCode
			}()
			c.await("second request", func() bool { return n.broker.Open() == 2 && c.engine.Stats().Requests == before+1+test.sent })
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if err := n.Stop(ctx); err == nil {
				t.Error("stop: got no error, want one")
			}
			if got := <-status; got != test.want {
				t.Errorf("status: got %d, want %d", got, test.want)
			}
			if body, _ := io.ReadAll(stream.Body); !strings.Contains(string(body), `"kind":"stopping"`) {
				t.Errorf("stream: got %d bytes without the error, want it at the end", len(body))
			}
		})
	}
}
