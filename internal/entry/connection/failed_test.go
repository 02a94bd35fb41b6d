package connection

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"quetzalhook"
)

// Guards against a host that does not tell that it reaches no upstream.
func TestPoolCountsFailedDials(t *testing.T) {
	p := NewPool(quetzalhook.ClockFunc(time.Now))
	defer func() { _ = p.Close() }()
	u := newUpstream(t)
	u.close()
	target := Target{ID: "u", Address: u.listener.Addr().String()}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for _, ctx := range []context.Context{t.Context(), canceled, t.Context()} {
		if _, err := p.Do(ctx, target, &Request{Method: http.MethodGet, URI: "/", Host: "h"}); err == nil {
			t.Fatal("got no error from an upstream that is gone")
		}
	}
	if got, want := fmt.Sprint(p.Failed()), "map[refused:2]"; got != want {
		t.Errorf("failed: got %s, want %s", got, want)
	}
}
