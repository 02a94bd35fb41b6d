package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a response that is cut without an error because it is too long.
func TestReadAll(t *testing.T) {
	for _, test := range []struct {
		text string
		want ErrorKind
	}{{"", ""}, {"1234", ""}, {"12345", ErrorTooLong}} {
		data, err := ReadAll(strings.NewReader(test.text), 4)
		var e *Error
		errors.As(err, &e)
		switch {
		case test.want == "" && (err != nil || string(data) != test.text):
			t.Errorf("%q: got %q and %v, want all of it", test.text, data, err)
		case test.want != "" && (e == nil || e.Kind != test.want):
			t.Errorf("%q: got %v, want %s", test.text, err, test.want)
		}
	}
}

// Guards against a budget that is exceeded, or that shrinks with each response.
func TestClientReturnsWhatItReserves(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 8<<20))
	}))
	defer server.Close()
	b := NewBudget(0, 0) // minBudget
	client := b.Client(&http.Transport{})
	for range 20 {
		resp, err := client.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		var e *Error
		if !errors.As(err, &e) || e.Kind != ErrorNoMemory {
			t.Errorf("body of 8 MB: got %v, want %s", err, ErrorNoMemory)
		}
		_ = resp.Body.Close()
		_ = resp.Body.Close()
	}
	if !b.TryReserve(minBudget) {
		t.Error("budget after all responses: got less than all of it")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if resp, err := client.Do(must(http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil))); err == nil {
		_ = resp.Body.Close()
		t.Error("call without free memory: got a response, want it to wait until its context ends")
	}
}

func must(r *http.Request, err error) *http.Request {
	if err != nil {
		panic(err)
	}
	return r
}
