package relay_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/entry/broker"
	"quetzalhook/internal/entry/relay"
	"quetzalhook/internal/standin/engine"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/traffic/baseline"
)

const (
	testModel  = "m"
	testSecret = "qk-0123456789abcdef"
	testPrompt = "which permit do I need for the fair"
)

// harness is a relay with its broker, connected to test engines or services.
type harness struct {
	t            *testing.T
	policy       quetzalhook.Policy
	relayOptions []relay.Option
	broker       *broker.Broker
	relay        *relay.Relay
	inv          *invariant.Registry
	sent         atomic.Bool

	onAnswer func(*relay.Answer) // called with the answer of each chat request; may be nil
}

// harnessOption sets one property of a harness.
type harnessOption func(*harness)

func withPolicy(p quetzalhook.Policy) harnessOption { return func(h *harness) { h.policy = p } }

func withRelay(opts ...relay.Option) harnessOption { return func(h *harness) { h.relayOptions = opts } }

func newHarness(t *testing.T, upstreams []quetzalhook.Upstream, opts ...harnessOption) *harness {
	t.Helper()
	h := &harness{t: t, inv: invariant.New(nil), policy: baseline.New(1)}
	for _, opt := range opts {
		opt(h)
	}
	h.broker = broker.New(h.policy, quetzalhook.ClockFunc(time.Now))
	pool := relay.NewPool()
	pool.Set(upstreams)
	h.relay = relay.New(h.broker, pool, h.inv, h.relayOptions...)
	h.broker.SetUpstreams(upstreams)
	t.Cleanup(func() {
		_ = h.broker.Close()
		_ = pool.Close()
	})
	return h
}

func engineUpstream(t *testing.T, e *engine.Engine, name string) quetzalhook.Upstream {
	t.Helper()
	address, err := e.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return quetzalhook.Upstream{
		ID: quetzalhook.UpstreamID(name), Address: address, Models: []quetzalhook.Model{testModel}, Slots: 4,
	}
}

func (h *harness) chat(body string, w http.ResponseWriter) error {
	h.t.Helper()
	chat, err := relay.ParseChat([]byte(body))
	if err != nil {
		return err
	}
	call := relay.Call{
		Request: quetzalhook.Request{ID: "r1", Customer: "c", Model: chat.Model(), PromptTokens: chat.PromptTokens(), Repeatable: true},
		Chat:    chat,
		Answer:  relay.NewAnswer(w, "r1", chat, time.Now),
		Guard:   relay.Guard{Secret: testSecret, Sent: &h.sent},
	}
	if h.onAnswer != nil {
		h.onAnswer(call.Answer)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	ticket, err := h.broker.Submit(ctx, call.Request)
	if err != nil {
		h.t.Fatal(err)
	}
	return h.relay.Chat(ticket, call)
}

func chatBody(stream bool, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"user","content":%q}],"metadata":{"output_tokens":%d}}`,
		testModel, stream, testPrompt, tokens)
}

func wantAnswer(tokens int) string {
	return engine.Answer(engine.PromptText([]engine.Message{{Role: "user", Content: testPrompt}}), tokens)
}

func messageContent(t *testing.T, body []byte) string {
	t.Helper()
	var c struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	if err := json.Unmarshal(body, &c); err != nil || len(c.Choices) != 1 {
		t.Fatalf("answer %q: %v", body, err)
	}
	return c.Choices[0].Message.Content
}

// hookWriter calls hook before the write that brings countdown to zero.
type hookWriter struct {
	*httptest.ResponseRecorder
	countdown int
	hook      func()
}

func (w *hookWriter) Write(p []byte) (int, error) {
	if w.countdown--; w.countdown == 0 {
		w.hook()
	}
	return w.ResponseRecorder.Write(p)
}

func (w *hookWriter) SetWriteDeadline(time.Time) error { return nil }

func streamText(body *bytes.Buffer) (text string, done bool) {
	var b strings.Builder
	for line := range strings.Lines(body.String()) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return b.String(), true
		}
		var c struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			b.WriteString(c.Choices[0].Delta.Content)
		}
	}
	return b.String(), false
}

// Guards against an answer that is cut off or has repeated tokens after its
// engine crashes or stops sending in the middle of a stream.
func TestChatResumesMidStream(t *testing.T) {
	tests := []struct {
		name   string
		faults engine.Faults
	}{
		{name: "crash", faults: engine.Faults{Crash: true}},
		{name: "silent connection", faults: engine.Faults{Silent: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second := engine.New(engine.WithTokenRate(400)), engine.New(engine.WithTokenRate(400))
			h := newHarness(t, []quetzalhook.Upstream{engineUpstream(t, first, "a"), engineUpstream(t, second, "b")},
				withRelay(relay.WithStallTimeouts(300*time.Millisecond, 300*time.Millisecond)))
			w := &hookWriter{ResponseRecorder: httptest.NewRecorder(), countdown: 20}
			w.hook = func() {
				for _, e := range []*engine.Engine{first, second} {
					if e.Stats().GeneratedTokens > 0 {
						_ = e.SetFaults(tt.faults)
					}
				}
			}
			if err := h.chat(chatBody(true, 60), w); err != nil {
				t.Fatal(err)
			}
			text, done := streamText(w.Body)
			if got, want := text, wantAnswer(60); got != want || !done {
				t.Errorf("answer: got %q (done %v), want %q", got, done, want)
			}
			if first.Stats().Requests == 0 || second.Stats().Requests == 0 {
				t.Errorf("requests: got %d and %d, want both engines used", first.Stats().Requests, second.Stats().Requests)
			}
			if got, want := h.inv.Violations(), int64(0); got != want {
				t.Errorf("violations: got %d, want %d: %v", got, want, h.inv.Details())
			}
		})
	}
}

// Guards against an answer with several choices that is continued from the text of
// the first one only: the caller would take it for complete.
func TestChatWithChoicesIsNotResumed(t *testing.T) {
	first, second := engine.New(engine.WithTokenRate(400)), engine.New(engine.WithTokenRate(400))
	h := newHarness(t, []quetzalhook.Upstream{engineUpstream(t, first, "a"), engineUpstream(t, second, "b")})
	w := &hookWriter{ResponseRecorder: httptest.NewRecorder(), countdown: 20}
	w.hook = func() {
		for _, e := range []*engine.Engine{first, second} {
			if e.Stats().GeneratedTokens > 0 {
				_ = e.SetFaults(engine.Faults{Crash: true})
			}
		}
	}
	body := strings.Replace(chatBody(true, 60), `{"model"`, `{"n":2,"model"`, 1)
	if err := h.chat(body, w); err == nil {
		t.Error("error of a broken answer with two choices: got nil, want one")
	}
	if _, done := streamText(w.Body); done {
		t.Error("end of the stream: got [DONE], want none")
	}
	if first.Stats().Requests > 0 && second.Stats().Requests > 0 {
		t.Error("engines asked: got both, want one")
	}
}

// Guards against a slow caller being mistaken for a silent engine, which would
// waste the tokens already generated.
func TestChatSlowReader(t *testing.T) {
	first, second := engine.New(engine.WithTokenRate(2000)), engine.New(engine.WithTokenRate(2000))
	h := newHarness(t, []quetzalhook.Upstream{engineUpstream(t, first, "a"), engineUpstream(t, second, "b")},
		withRelay(relay.WithStallTimeouts(100*time.Millisecond, 100*time.Millisecond)))
	w := &hookWriter{ResponseRecorder: httptest.NewRecorder(), countdown: 5}
	w.hook = func() { <-time.After(300 * time.Millisecond) }
	if err := h.chat(chatBody(true, 20), w); err != nil {
		t.Fatal(err)
	}
	if got, want := first.Stats().Requests+second.Stats().Requests, int64(1); got != want {
		t.Errorf("requests at the engines: got %d, want %d", got, want)
	}
}

// Guards against a usage event that the caller did not ask for, which some
// clients treat as malformed, and against a missing one.
func TestChatUsageEvent(t *testing.T) {
	h := newHarness(t, []quetzalhook.Upstream{engineUpstream(t, engine.New(engine.WithTokenRate(2000)), "a")})
	for _, asked := range []bool{false, true} {
		body := strings.Replace(chatBody(true, 3), "{", fmt.Sprintf(`{"stream_options":{"include_usage":%v},`, asked), 1)
		w := &hookWriter{ResponseRecorder: httptest.NewRecorder()}
		if err := h.chat(body, w); err != nil {
			t.Fatal(err)
		}
		if got, want := strings.Contains(w.Body.String(), `"completion_tokens":3`), asked; got != want {
			t.Errorf("usage event with include_usage %v: got %v, want %v", asked, got, want)
		}
	}
}

// Guards against wrongly assembled answers for callers that ask for no stream
// and get one JSON object.
func TestChatWhole(t *testing.T) {
	h := newHarness(t, []quetzalhook.Upstream{engineUpstream(t, engine.New(engine.WithTokenRate(2000)), "a")})
	w := httptest.NewRecorder()
	if err := h.chat(chatBody(false, 30), &hookWriter{ResponseRecorder: w}); err != nil {
		t.Fatal(err)
	}
	if got, want := messageContent(t, w.Body.Bytes()), wantAnswer(30); got != want {
		t.Errorf("answer: got %q, want %q", got, want)
	}
}

// Guards against a key that reaches an upstream, even if escape sequences hide
// it, and against an error that wrongly says that the request may have run.
func TestChatKeepsSecret(t *testing.T) {
	e := engine.New()
	h := newHarness(t, []quetzalhook.Upstream{engineUpstream(t, e, "a")})
	escaped := strings.Replace(testSecret, "q", `\u0071`, 1)
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":"%s"}]}`, escaped)
	err := h.chat(body, httptest.NewRecorder())
	var relayErr *relay.Error
	if !errors.As(err, &relayErr) || relayErr.Kind != relay.KindKeyInRequest {
		t.Fatalf("error: got %v, want kind %s", err, relay.KindKeyInRequest)
	}
	if got, want := e.Stats().Requests, int64(0); got != want {
		t.Errorf("requests at the engine: got %d, want %d", got, want)
	}
	if h.sent.Load() {
		t.Error("sent: got true, want false")
	}
}

func (h *harness) service(id string, repeatable bool) (relay.ServiceResponse, error) {
	return h.serviceIn(context.Background(), id, repeatable)
}

func (h *harness) serviceIn(ctx context.Context, id string, repeatable bool) (relay.ServiceResponse, error) {
	call := relay.ServiceCall{
		Request: quetzalhook.Request{ID: quetzalhook.RequestID(id), Model: testModel, Repeatable: repeatable},
		Method:  http.MethodPost, Path: "/bookings", Body: []byte("body of " + id), Guard: relay.Guard{Secret: testSecret, Sent: new(atomic.Bool)},
	}
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	ticket, err := h.broker.Submit(ctx, call.Request)
	if err != nil {
		return relay.ServiceResponse{}, err
	}
	return h.relay.Service(ticket, call)
}

func serviceUpstream(t *testing.T, h http.HandlerFunc) quetzalhook.Upstream {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return quetzalhook.Upstream{
		ID: "s", Address: strings.TrimPrefix(s.URL, "http://"), Models: []quetzalhook.Model{testModel}, Slots: 8,
	}
}

// resendingPolicy starts a broken request again even if it may not be repeated.
type resendingPolicy struct{ quetzalhook.Policy }

func (p resendingPolicy) End(now time.Time, id quetzalhook.RequestID, end quetzalhook.End) []quetzalhook.Action {
	if end == quetzalhook.EndBroken {
		return []quetzalhook.Action{{Kind: quetzalhook.ActionStart, Request: id, Upstream: "s"}}
	}
	return p.Policy.End(now, id, end)
}

// Guards against a call that may not be repeated being sent again after its
// connection broke: by the policy, by the relay, or by net/http, which retries
// some requests that fail on a reused connection.
func TestServiceSentOnce(t *testing.T) {
	var runs atomic.Int64
	upstream := serviceUpstream(t, func(http.ResponseWriter, *http.Request) {
		if runs.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	})
	h := newHarness(t, []quetzalhook.Upstream{upstream}, withPolicy(resendingPolicy{baseline.New(1)}))
	if _, err := h.service("r1", false); err != nil {
		t.Fatal(err)
	}
	_, err := h.service("r2", false)
	var e *relay.Error
	if !errors.As(err, &e) || e.Outcome != quetzalhook.OutcomeUnknown {
		t.Errorf("error: got %v, want outcome unknown", err)
	}
	if got, want := runs.Load(), int64(2); got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
	if got, want := h.inv.Violations(), int64(0); got != want {
		t.Errorf("violations: got %d, want %d: %v", got, want, h.inv.Details())
	}
}

// Guards against a call that may not be repeated and ends with its caller, or does not
// end with a stop, so that its caller gets no answer.
func TestServiceOutlivesCaller(t *testing.T) {
	for _, cause := range []error{context.Canceled, relay.ErrStopped} {
		ctx, cancel := context.WithCancelCause(t.Context())
		h := newHarness(t, []quetzalhook.Upstream{serviceUpstream(t, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the server notices the end of the connection afterwards
			cancel(cause)
			select {
			case <-r.Context().Done():
			case <-time.After(300 * time.Millisecond):
			}
		})})
		_, err := h.serviceIn(ctx, "r1", false)
		var e *relay.Error
		stopped := errors.As(err, &e) && e.Outcome == quetzalhook.OutcomeUnknown
		if want := cause == relay.ErrStopped; stopped != want || !want && err != nil {
			t.Errorf("%v: got %v, want an error of unknown outcome: %t", cause, err, want)
		}
	}
}

// Guards against responses delivered to the wrong request when a service swaps
// the responses of two connections.
func TestServiceAnswersCrossed(t *testing.T) {
	type arrival struct {
		id   string
		swap chan string
	}
	arrivals := make(chan arrival, 2)
	h := newHarness(t, []quetzalhook.Upstream{serviceUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		a := arrival{id: r.Header.Get(relay.HeaderRequestID), swap: make(chan string, 1)}
		arrivals <- a
		other := <-a.swap
		w.Header().Set(relay.HeaderRequestID, other)
		_, _ = fmt.Fprint(w, "answer to "+other)
	})})
	go func() {
		a, b := <-arrivals, <-arrivals
		a.swap <- b.id
		b.swap <- a.id
	}()
	type result struct{ got, want string }
	results := make(chan result, 2)
	for _, id := range []string{"r1", "r2"} {
		go func() {
			resp, err := h.service(id, false)
			got := string(resp.Body)
			if err != nil {
				got = err.Error()
			}
			results <- result{got: got, want: "answer to " + id}
		}()
	}
	for range 2 {
		if r := <-results; r.got != r.want {
			t.Errorf("answer: got %q, want %q", r.got, r.want)
		}
	}
}
