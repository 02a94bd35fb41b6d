package response

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Guards against an invalid header section that is accepted, also if it arrives in parts.
func TestHeaders(t *testing.T) {
	eachLine(t, "testdata/headers", func(text string) string {
		var whole header
		_, want := whole.check([]byte(text))
		for cut := range len(text) {
			var h header
			_, got := h.check([]byte(text[:cut]))
			if got == nil {
				_, got = h.check([]byte(text[cut:]))
			}
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("%q: in two parts, the first of %d bytes: got %v, want %v", text, cut, got, want)
			}
		}
		switch {
		case want != nil:
			return want.Error()
		case whole.part != body:
			return "the end of the header section is missing"
		}
		return "valid"
	})
}

// Guards against an invalid response that net/http accepts, or whose request it retries.
func TestTransport(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
	eachLine(t, "testdata/transport", func(text string) string {
		fresh, reused := get(t, text), get(t, valid, text)
		if fresh != reused {
			t.Errorf("%q: on a new connection: got %s, on a reused one %s", text, fresh, reused)
		}
		return fresh
	})
}

// eachLine calls f for each line of each test in a file, and compares what it returns.
func eachLine(t *testing.T, path string, f func(text string) string) {
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			text, err := strconv.Unquote(`"` + strings.TrimSpace(line) + `"`)
			if err != nil {
				t.Fatal(err)
			}
			out.WriteString(f(text) + "\n")
		}
		return out.String()
	})
}

// get requests each of the texts from a server that sends them on one connection. It
// describes the last response, the counts of invalid ones, and retries.
func get(t *testing.T, texts ...string) string {
	arrivals := make(chan struct{}, 10)
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		for _, text := range texts {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			arrivals <- struct{}{}
			_, _ = io.WriteString(c, text)
		}
	})
	counts := new(Counts)
	client := &http.Client{Transport: NewTransport(&http.Transport{}, counts)}
	defer client.CloseIdleConnections()
	var data []byte
	var err error
	for range texts {
		var resp *http.Response
		if resp, err = client.Get("http://" + address); err == nil {
			data, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
	}
	var invalid *Error
	if errors.As(err, &invalid) {
		return fmt.Sprintf("%s, counts: %v, retries: %d", invalid.Kind, counts.Snapshot(), len(arrivals)-len(texts))
	}
	return fmt.Sprintf("%q %v, retries: %d", data, err, len(arrivals)-len(texts))
}

// serve calls handle for each connection and closes it, which resets it if data is unread.
func serve(t *testing.T, handle func(c net.Conn, r *bufio.Reader)) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				handle(c, bufio.NewReader(c))
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a partial response without a length that looks complete because the
// connection was reset while the request was being sent.
func TestResetDuringUpload(t *testing.T) {
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(20 * time.Millisecond)
	})
	client := &http.Client{Transport: NewTransport(&http.Transport{}, nil)}
	for range 20 {
		resp, err := client.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("x", 8<<20)))
		if err != nil {
			continue // the reset came before the response was read
		}
		if got, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("got %q as a complete response, want an error", got)
		}
		_ = resp.Body.Close()
	}
}

// Guards against a request that this host ends and that counts as reset by the upstream.
func TestCanceledUpload(t *testing.T) {
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = c.(*net.TCPConn).CloseWrite()
		<-t.Context().Done()
	})
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	request := []byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 16777216\r\n\r\n" + strings.Repeat("x", 16<<20))
	counts := new(Counts)
	c := NewConn(raw, counts)
	c.ExpectHeader(nil)
	go func() { _, _ = c.Write(request) }()
	head := make([]byte, len("HTTP/1.1 200 OK\r\n\r\npart"))
	if _, err := io.ReadFull(c, head); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(50*time.Millisecond, func() { _ = c.Close() })
	if _, err := c.Read(head); !errors.Is(err, net.ErrClosed) || len(counts.Snapshot()) > 0 {
		t.Errorf("got %v, counts %v, want %v and no counts", err, counts.Snapshot(), net.ErrClosed)
	}
}
