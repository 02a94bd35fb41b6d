package node

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quetzalhook/internal/entry/setting"
)

// Guards against a planned stop that cuts off requests on connections which were opened
// before the host refused them.
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
