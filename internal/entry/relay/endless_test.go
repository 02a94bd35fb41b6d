package relay_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"quetzalhook"
)

// Guards against an upstream whose answer has no end and takes all memory of the host.
func TestEndlessAnswers(t *testing.T) {
	for _, test := range []struct{ name, head, part string }{
		{"object", `{"choices":[{"message":{"content":"`, "x"},
		{"stream", "", `data: {"id":"a","choices":[{"index":0,"delta":{"content":"` + strings.Repeat("x", 64<<10) + `"}}]}` + "\n\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			const most = 64 << 20 // bytes that the upstream may send before it is cut off
			var sent atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				chunk := []byte(strings.Repeat(test.part, 1+(64<<10)/len(test.part)))
				_, err := w.Write([]byte(test.head))
				for err == nil && sent.Load() < most {
					_, err = w.Write(chunk)
					sent.Add(int64(len(chunk)))
				}
			}))
			defer server.Close()
			h := newHarness(t, []quetzalhook.Upstream{{
				ID: "u", Address: server.Listener.Addr().String(), Models: []quetzalhook.Model{testModel}, Slots: 4,
			}})
			body := chatBody(test.name == "stream", 5)
			if test.name == "object" {
				body = strings.Replace(body, `"stream"`, `"n":2,"stream"`, 1)
			}
			done := make(chan error, 1)
			go func() { done <- h.chat(body, httptest.NewRecorder()) }()
			select {
			case err := <-done:
				if err == nil {
					t.Error("answer without end: got it whole, want an error")
				}
			case <-time.After(15 * time.Second):
				t.Error("answer without end: got no error within 15 s")
			}
			server.Close()
			if got := sent.Load(); got >= most {
				t.Errorf("bytes of an answer without end: got %d MB, want less than %d MB", got>>20, most>>20)
			}
		})
	}
}
