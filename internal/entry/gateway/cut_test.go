package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against an answer that its upstream has cut, with or without another one behind
// it, and that looks whole to the caller.
func TestCutAnswers(t *testing.T) {
	const (
		events  = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
		head    = "HTTP/1.1 200 OK\r\nRequest-Id: i1\r\nAnswer-Seal: s\r\nX-Other: value\r\n"
		last    = "HTTP/1.1 200 OK\r\nX-Other: value\r\nContent-Length: 4\r\nAnswer-Seal: s\r\nRequest-Id: i1\r\n\r\ngood"
		another = "HTTP/1.1 200 OK\r\nRequest-Id: i2\r\nAnswer-Seal: s2\r\nContent-Length: 5\r\n\r\nother"
		failure = "HTTP/1.1 500 Failed\r\nRequest-Id: i1\r\nAnswer-Seal: s3\r\nContent-Length: 3\r\n\r\nbad"
	)
	chunked := func(body string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	for _, answer := range []struct{ name, path, text, body string }{
		{"length", "/order/", head + "Content-Length: 4\r\n\r\ngood", "good"},
		{"length-first", "/order/", last, "good"},
		{"chunks", "/order/", head + chunked("good"), "good"},
		{"no-length", "/order/", head + "\r\ngood", "good"},
		{"line-feeds", "/order/", strings.ReplaceAll(head+"Content-Length: 4\r\n\r\ngood", "\r", ""), "good"},
		{"after-103", "/order/", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + head + "Content-Length: 4\r\n\r\ngood", "good"},
		{"failure", "/order/", strings.ReplaceAll(failure, "s3", "s"), "bad"},
		{"stream-length", "/chat/", fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(events), events), events},
		{"stream-chunks", "/chat/", head + chunked(events), events},
		{"stream-no-length", "/chat/", head + "\r\n" + events, events},
	} {
		for _, behind := range []struct {
			name, text string
			reset      bool
		}{{"close", "", false}, {"reset", "", true}, {"another", another, false}, {"failure", failure, false}, {"same", answer.text, false}} {
			t.Run(answer.name+"/"+behind.name, func(t *testing.T) {
				env := newTestEnvironment(t)
				defer env.close()
				var cut atomic.Int64
				env.upstreams["a"] = newScriptedUpstream(t)
				env.upstreams["a"].answerAll = func(c net.Conn) {
					_, _ = io.WriteString(c, answer.text[:cut.Load()]+behind.text)
					if behind.reset {
						_ = c.(*net.TCPConn).SetLinger(0)
					}
				}
				headEnd := strings.LastIndex(answer.text, "\r\n\r\n") + len("\r\n\r\n")
				for n := range len(answer.text) {
					cut.Store(int64(n))
					switch inBody := n >= headEnd; {
					case inBody && strings.HasSuffix(answer.name, "no-length") && !behind.reset:
						continue // nothing tells this from a shorter answer
					case inBody && behind.text != "":
						continue // the bytes behind it take the place of the rest
					}
					env.mu.Lock()
					env.offers = []string{"a"}
					env.mu.Unlock()
					got := env.askWhole(t, answer.path+"1")
					if got == "" || got == "500 bad s3" {
						continue
					}
					// Behind nothing, or a whole informational response, the second answer is whole.
					if isWhole := n == 0 || n == strings.Index(answer.text, "HTTP/1.1 200"); behind.name != "same" || !isWhole {
						t.Errorf("cut after %d bytes, %q: got the whole answer %q, want none", n, answer.text[max(n-20, 0):n], got)
					}
				}
			})
		}
	}
}

// askWhole sends a request with the ID i1 and returns the status, the body and the seal
// of the answer, or "" if it is not whole or has no seal.
func (env *testEnvironment) askWhole(t *testing.T, path string) string {
	resp, body, err := env.ask(t, path, "")
	if err != nil || resp.Header.Get("Answer-Seal") == "" {
		return ""
	}
	return fmt.Sprintf("%d %s %s", resp.StatusCode, body, strings.Join(resp.Header.Values("Answer-Seal"), ","))
}

// ask sends a request with the ID i1 and a body. Without an answer, the status is 0.
func (env *testEnvironment) ask(t *testing.T, path, upload string) (*http.Response, []byte, error) {
	c, err := net.Dial("tcp", env.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: i1\r\nApi-Key: key\r\nContent-Length: %d\r\n\r\n%s", path, len(upload), upload)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return &http.Response{}, nil, err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}
