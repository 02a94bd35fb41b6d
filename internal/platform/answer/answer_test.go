package answer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Guards against a malformed header section that is accepted, also if it arrives in parts.
func TestHeaders(t *testing.T) {
	datadriven.RunTest(t, "testdata/headers", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			line = strings.TrimSpace(line)
			text := unquote(t, line)
			var whole header
			_, want := whole.check([]byte(text))
			for cut := range len(text) {
				var h header
				_, got := h.check([]byte(text[:cut]))
				if got == nil {
					_, got = h.check([]byte(text[cut:]))
				}
				if fmt.Sprint(got) != fmt.Sprint(want) {
					t.Errorf("%s: in two parts, the first of %d bytes: got %v, want %v", line, cut, got, want)
				}
			}
			if want != nil {
				fmt.Fprintf(&out, "%s\n    %v\n", line, want)
			} else if whole.part != body {
				fmt.Fprintf(&out, "%s\n    the end of the header section is missing\n", line)
			}
		}
		return out.String()
	})
}

func unquote(t *testing.T, text string) string {
	s, err := strconv.Unquote(`"` + text + `"`)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// server answers each request on a connection with the next text. It closes the
// connection after the last one.
type server struct {
	address  string
	arrivals atomic.Int64
}

func newServer(t *testing.T, texts ...string) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &server{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for _, text := range texts {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					s.arrivals.Add(1)
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(c, text)
				}
			}()
		}
	}()
	return s
}

// Guards against a malformed answer that net/http accepts, or whose request it repeats.
func TestTransport(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
	for _, test := range []struct {
		name, text string
		want       ErrorKind // "" if the answer is sound
	}{
		{"length", sound, ""},
		{"no-length", "HTTP/1.1 200 OK\r\n\r\ngood", ""},
		{"after-1xx", "HTTP/1.1 103 Early Hints\r\n\r\n" + sound, ""},
		{"status-000", "HTTP/1.1 000 Nothing\r\nContent-Length: 4\r\n\r\ngood", ErrorStatusCode},
		{"status-101", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\ngood", ErrorStatusCode},
		{"version", "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\ngood", ErrorStatusLine},
		{"first-byte", "\x00" + sound, ErrorStatusLine},
		{"blank-in-name", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX Other: y\r\n\r\ngood", ErrorField},
		{"blank-before-colon", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", ErrorField},
		{"chunks-in-1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", ErrorFraming},
		{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n4\r\ngood\r\n0\r\nX: y\r\n\r\n", ""},
		{"blank-in-trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\nX Other: y\r\n\r\n", ErrorField},
		{"after-1xx-blank", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX : y\r\nContent-Length: 4\r\n\r\ngood", ErrorField},
	} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reused=%v", test.name, reused), func(t *testing.T) {
				texts, want := []string{test.text}, int64(1)
				if reused {
					texts, want = []string{sound, test.text}, 2
				}
				s, counts := newServer(t, texts...), new(Counts)
				client := &http.Client{Transport: NewTransport(&http.Transport{}, counts)}
				defer client.CloseIdleConnections()
				got, err := "", error(nil)
				for range texts {
					got, err = get(client, "http://"+s.address)
				}
				var refused *Error
				errors.As(err, &refused)
				switch {
				case test.want == "" && (err != nil || got != "good"):
					t.Errorf("got %q, %v, want the answer", got, err)
				case test.want != "" && (refused == nil || refused.Kind != test.want):
					t.Errorf("got %q, %v, want an error of kind %s", got, err, test.want)
				case test.want != "" && counts.Snapshot()[test.want] != 1:
					t.Errorf("refused answers: got %v, want one of kind %s", counts.Snapshot(), test.want)
				}
				if got := s.arrivals.Load(); got != want {
					t.Errorf("arrivals: got %d, want %d", got, want)
				}
			})
		}
	}
}

func get(client *http.Client, url string) (string, error) {
	resp, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// Guards against the first part of an answer without a length that looks complete, since
// its connection was reset while the request was being sent.
func TestResetDuringUpload(t *testing.T) {
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
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	counts := new(Counts)
	client := &http.Client{Transport: NewTransport(&http.Transport{}, counts)}
	for range 20 {
		resp, err := client.Post("http://"+l.Addr().String(), "text/plain", strings.NewReader(strings.Repeat("x", 8<<20)))
		if err != nil {
			continue // the reset came before the answer was read
		}
		got, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			t.Errorf("got %q as a complete answer, want an error", got)
		}
	}
}
