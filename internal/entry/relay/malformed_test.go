package relay_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"quetzalhook"
	"quetzalhook/internal/entry/relay"
	"quetzalhook/internal/platform/answer"
)

// Guards against a malformed answer of a service or an engine that reaches a caller, or
// whose request that may run once is sent again.
func TestMalformedAnswers(t *testing.T) {
	const object = `{"choices":[{"message":{"content":"x"}}]}`
	for _, test := range []struct{ name, text string }{
		{"status-000", "HTTP/1.1 000 Nothing\r\nRequest-Id: r1\r\nConnection: close\r\n\r\n" + object},
		{"status-600", "HTTP/1.1 600 Odd\r\nRequest-Id: r1\r\nConnection: close\r\n\r\n" + object},
		{"blank-in-name", "HTTP/1.1 200 OK\r\nX Other: y\r\nRequest-Id: r1\r\n\r\n" + object},
		{"blank-before-colon", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding : chunked\r\n\r\n" + object},
	} {
		t.Run(test.name, func(t *testing.T) {
			var arrivals atomic.Int64
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					request, err := http.ReadRequest(bufio.NewReader(c))
					if err == nil {
						arrivals.Add(1)
						_, _ = io.Copy(io.Discard, request.Body)
						_, _ = io.WriteString(c, test.text)
					}
					_ = c.Close()
				}
			}()
			upstreams := []quetzalhook.Upstream{{ID: "u", Address: l.Addr().String(), Models: []quetzalhook.Model{testModel}, Slots: 4}}
			response, err := newHarness(t, upstreams).service("r1", false)
			var e *relay.Error
			if !errors.As(err, &e) || e.Kind != relay.KindBroken || e.Outcome != quetzalhook.OutcomeUnknown || answer.Explain(err) == "" {
				t.Errorf("service: got %v, %v, want the error of a refused answer", response, err)
			}
			if got := arrivals.Load(); got != 1 {
				t.Errorf("calls that may run once: got %d arrivals, want 1", got)
			}
			w := httptest.NewRecorder()
			if err := newHarness(t, upstreams).chat(chatBody(true, 5), w); err == nil || w.Body.Len() > 0 {
				t.Errorf("chat: got %v and the body %q, want an error", err, w.Body)
			}
		})
	}
}
