package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"quetzalhook"
	"quetzalhook/internal/bench/measure"
	"quetzalhook/internal/bench/workload"
	"quetzalhook/internal/standin/engine"
	"quetzalhook/internal/state/invariant"
)

// newTestClient returns a client of one host, which handles all requests except
// GET /v1/hosts with h.
func newTestClient(t *testing.T, h http.HandlerFunc) (*Client, *invariant.Registry) {
	t.Helper()
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"hosts":[{"address":%q}],"lifetime-ms":60000}`, address)
	})
	mux.HandleFunc("/", h)
	r := invariant.New(nil)
	c := New(Settings{
		Hosts: []string{address}, Invariants: r, Collector: measure.New(),
		Keys:   func(quetzalhook.CustomerID) string { return "k" },
		Region: func(workload.Arrival) string { return "r" },
	})
	t.Cleanup(func() { _ = c.Close() })
	return c, r
}

func arrival(class string) workload.Arrival {
	for _, w := range workload.All() {
		if c, ok := w.Class(quetzalhook.ClassName(class)); ok {
			return workload.Arrival{ID: "a-1", Class: c, Model: w.Model, OutputTokens: 4}
		}
	}
	return workload.Arrival{}
}

// Guards against a client that accepts a response with a missing, repeated or
// foreign token as complete, or rejects a complete one.
func TestChatVerified(t *testing.T) {
	a := arrival("daily-summary")
	body, _ := newChat(a)
	prompt := engine.PromptText(body.Messages)
	for name, test := range map[string]struct {
		tokens     []int
		prompt     string
		status     measure.Status
		violations int64
	}{
		"whole":    {[]int{0, 1, 2, 3}, prompt, measure.Served, 0},
		"short":    {[]int{0, 1, 2}, prompt, measure.Unknown, 1},
		"repeated": {[]int{0, 1, 1, 2, 3}, prompt, measure.Unknown, 1},
		"skipped":  {[]int{0, 2, 3}, prompt, measure.Unknown, 1},
		"foreign":  {[]int{0, 1, 2, 3}, "other", measure.Unknown, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c, r := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
				for _, i := range test.tokens {
					fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", engine.Token(test.prompt, i))
				}
				fmt.Fprint(w, "data: [DONE]\n\n")
			})
			if got, want := c.Do(t.Context(), a, 0).Status, test.status; got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
			if got, want := r.Violations(), test.violations; got != want {
				t.Errorf("violations: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against an order that is not retried after a broken connection, or
// retried with another Idempotency-Key.
func TestOrderRepeated(t *testing.T) {
	var calls atomic.Int64
	c, _ := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		if got, want := r.Header.Get("Idempotency-Key"), "a-1"; got != want {
			t.Errorf("key: got %q, want %q", got, want)
		}
		var body map[string]string
		_ = json.NewDecoder(r.Body).Decode(&body)
		if calls.Add(1) < 3 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusCreated)
		fmt.Fprintf(w, `{"order-id":%q}`, body["order-id"])
	})
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	if got, want := c.Do(ctx, arrival("pitch-booking"), 0).Status, measure.Served; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
}

// Guards against missed violations: an error response that says not-run although
// a stand-in ran the request, an order that ran twice, and a refused order that
// ran.
func TestVerify(t *testing.T) {
	c, r := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":{"kind":"overload","outcome":"not-run","request-id":"r-1"}}`)
	})
	if got, want := c.Do(t.Context(), arrival("permit-question"), 0).Status, measure.Refused; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
	c.orders = []order{{id: "o-1", status: measure.Served}, {id: "o-2", status: measure.Refused}}
	var report measure.Report
	c.Verify(Records{Runs: map[string]int{"r-1": 1}, Orders: map[string]int{"o-1": 2, "o-2": 1}}, &report)
	if got, want := r.Violations(), int64(3); got != want {
		t.Errorf("violations: got %d, want %d: %v", got, want, r.Details())
	}
	if got, want := report.Orders, (measure.Orders{Run: 2, RunTwice: 1}); got != want {
		t.Errorf("orders: got %+v, want %+v", got, want)
	}
}
