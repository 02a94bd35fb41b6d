package relay_test

import (
	"errors"
	"net/http"
	"sync/atomic"
	"testing"

	"quetzalhook"
	"quetzalhook/internal/entry/relay"
	"quetzalhook/internal/platform/response"
)

// Guards against an invalid response of a service that reaches a caller, or whose request,
// which may run once, is sent again.
func TestInvalidResponses(t *testing.T) {
	for _, header := range []string{"HTTP/1.1 000 Nothing", "HTTP/1.1 600 Odd", "HTTP/1.1 200 OK\r\nX Other: y", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked"} {
		t.Run(header, func(t *testing.T) {
			var arrivals atomic.Int64
			upstreams := []quetzalhook.Upstream{serviceUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
				arrivals.Add(1)
				if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
					_, _ = c.Write([]byte(header + "\r\nX-Request-Id: r1\r\n\r\n" + `{"choices":[]}`))
					_ = c.Close()
				}
			})}
			got, err := newHarness(t, upstreams).service("r1", false)
			var e *relay.Error
			if !errors.As(err, &e) || e.Kind != relay.KindBroken || e.Outcome != quetzalhook.OutcomeUnknown || response.Explain(err) == "" {
				t.Errorf("got %v, %v, want the error of an invalid response", got, err)
			}
			if got := arrivals.Load(); got != 1 {
				t.Errorf("arrivals: got %d, want 1", got)
			}
		})
	}
}
