package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a partial response without a length that looks complete because the
// connection was reset while the request was being sent.
func TestResetDuringUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: i1\r\nAnswer-Seal: s\r\n"
	upload := strings.Repeat("x", 8<<20)
	for _, test := range []struct {
		name, head  string
		wait        time.Duration // from the answer to the reset
		readsUpload bool          // the upstream reads the upload and closes in good order
		isWhole     bool
	}{
		{"reset", head, 0, false, false},
		{"reset-later", head, 30 * time.Millisecond, false, false},
		{"length-reset", head + "Content-Length: 15\r\n", 30 * time.Millisecond, false, true},
		{"whole", head, 0, true, true},
		{"whole-after-103", "HTTP/1.1 103 Early Hints\r\n\r\n" + head, 0, true, true},
	} {
		for _, path := range []string{"/open/", "/lookup/", "/order/", "/chat/"} {
			t.Run(test.name+path, func(t *testing.T) {
				const body = "id: 1\ndata: x\n\n"
				env := newTestEnvironment(t)
				defer env.close()
				env.table.Limits.BodyBytes = int64(len(upload))
				for i := range env.table.Routes {
					env.table.Routes[i].Timeout = 10 * time.Second
				}
				env.upstreams["a"] = newScriptedUpstream(t)
				env.upstreams["a"].answerEarly = func(c net.Conn, rest io.Reader) {
					_, _ = io.WriteString(c, test.head+"\r\n"+body)
					if test.readsUpload {
						_, _ = io.Copy(io.Discard, rest)
						return
					}
					time.Sleep(test.wait)
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				want := "502 whole=true"
				switch {
				case test.isWhole:
					want = "200 whole=true"
				case path == "/chat/":
					want = "200 whole=false" // behind the event
				}
				for range 6 {
					env.mu.Lock()
					env.offers = []string{"a"}
					env.mu.Unlock()
					resp, answer, err := env.ask(t, path+"1", upload)
					got := fmt.Sprintf("%d whole=%v", resp.StatusCode, err == nil)
					if got != want || resp.StatusCode == http.StatusOK && string(answer) != body {
						t.Errorf("got %s %q, want %s", got, answer, want)
					}
				}
			})
		}
	}
}
