package front_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/entry/broker"
	"quetzalhook/internal/entry/front"
	"quetzalhook/internal/entry/meter"
	"quetzalhook/internal/entry/relay"
	"quetzalhook/internal/record/configuration"
	"quetzalhook/internal/standin/engine"
	"quetzalhook/internal/standin/service"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/traffic/baseline"
)

const document = `
zones: [{name: z, region: r}]
classes:
  - {name: question, tier: 0, ttft-target: 1s}
  - {name: review, tier: 2, must-finish: true, floor-share: 0.1}
  - {name: order, tier: 1}
customers:
  - {name: a, weight: 1, classes: [question], default-class: question}
  - {name: b, weight: 1, classes: [question, review], default-class: review}
models: [{name: m}]
upstreams:
  - {name: e, kind: engine, address: 127.0.0.1:1, zone: z, models: [m], slots: 4, token-rate: 100, prefill-rate: 1000}
  - {name: s, kind: service, service: orders, address: 127.0.0.1:2, zone: z, slots: 4}
routes:
  - {path: /v1/chat/completions, kind: chat, repeatable: true}
  - {path: /orders, kind: service, service: orders, class: order, open: true}
keys: {currency-limit: 10s}
retention: {journal: 1h}
`

// fakeKeyRing is a KeyRing in memory.
type fakeKeyRing struct {
	mu        sync.Mutex
	owners    map[string]quetzalhook.CustomerID
	withdrawn map[string]chan struct{}
}

func newFakeKeyRing() *fakeKeyRing {
	r := &fakeKeyRing{owners: map[string]quetzalhook.CustomerID{"key-of-a": "a", "key-of-b": "b"}, withdrawn: make(map[string]chan struct{})}
	for secret := range r.owners {
		r.withdrawn[secret] = make(chan struct{})
	}
	return r
}

func (r *fakeKeyRing) Lookup(_ context.Context, secret string) (quetzalhook.Identity, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	owner, ok := r.owners[secret]
	if !ok {
		return quetzalhook.Identity{}, &quetzalhook.KeyError{Kind: quetzalhook.KeyUnknown}
	}
	return quetzalhook.Identity{Key: quetzalhook.KeyID(secret), Customer: owner}, nil
}

func (r *fakeKeyRing) Withdrawn(id quetzalhook.KeyID) (<-chan struct{}, func()) {
	return r.withdrawn[string(id)], func() {}
}

func (r *fakeKeyRing) CheckOpen(quetzalhook.KeyID) {}

func (r *fakeKeyRing) withdraw(secret string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.owners, secret)
	close(r.withdrawn[secret])
}

// fakeJournal is a CallJournal in memory.
type fakeJournal struct {
	mu    sync.Mutex
	calls map[string]*journalEntry
}

type journalEntry struct {
	fingerprint string
	response    []byte
}

func (j *fakeJournal) Claim(_ context.Context, c quetzalhook.JournalCall) (quetzalhook.JournalClaim, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	id := string(c.Customer) + " " + c.Route + " " + c.Key
	e, ok := j.calls[id]
	switch {
	case !ok:
		j.calls[id] = &journalEntry{fingerprint: string(c.Fingerprint)}
		return quetzalhook.JournalClaim{State: quetzalhook.JournalClaimed, ID: id}, nil
	case e.fingerprint != string(c.Fingerprint):
		return quetzalhook.JournalClaim{State: quetzalhook.JournalMismatch}, nil
	case e.response == nil:
		return quetzalhook.JournalClaim{State: quetzalhook.JournalUnknown}, nil
	}
	return quetzalhook.JournalClaim{State: quetzalhook.JournalReplay, Response: e.response}, nil
}

func (j *fakeJournal) Finish(_ context.Context, c quetzalhook.JournalClaim, response []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls[c.ID].response = response
	return nil
}

func (j *fakeJournal) Abandon(quetzalhook.JournalClaim) {}

func (j *fakeJournal) Release(_ context.Context, c quetzalhook.JournalClaim) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.calls, c.ID)
	return nil
}

// testHost is a Front with one stand-in engine and one stand-in service, which
// imitate upstreams.
type testHost struct {
	t       *testing.T
	server  *httptest.Server
	keys    *fakeKeyRing
	inv     *invariant.Registry
	engine  *engine.Engine
	service *service.Service
	broker  *broker.Broker
}

func newTestHost(t *testing.T) *testHost {
	t.Helper()
	h := &testHost{t: t, keys: newFakeKeyRing(), inv: invariant.New(nil), engine: engine.New(engine.WithTokenRate(500)), service: service.New()}
	doc, err := configuration.Parse([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	upstreams := doc.UpstreamsFrom("z")
	for i := range upstreams {
		upstreams[i].Address = h.listen(upstreams[i].Kind)
		if upstreams[i].Kind == quetzalhook.KindService {
			upstreams[i].Models = []quetzalhook.Model{front.ServiceModel("orders")}
		}
	}
	clock := quetzalhook.ClockFunc(time.Now)
	h.broker = broker.New(baseline.New(1), clock)
	pool := relay.NewPool()
	pool.Set(upstreams)
	h.broker.SetUpstreams(upstreams)
	log := logrus.New()
	log.SetOutput(io.Discard)
	h.server = httptest.NewServer(front.New(front.Deps{
		Broker: h.broker, Relay: relay.New(h.broker, pool, h.inv, relay.WithKeys(h.keys)), Keys: h.keys,
		Journal: &fakeJournal{calls: make(map[string]*journalEntry)}, Document: func() *configuration.Document { return doc },
		Hosts: func(quetzalhook.Region) []front.HostAddress {
			return []front.HostAddress{{Address: "127.0.0.1:1", Zone: "z"}}
		},
		RecordUsage: func(front.Usage) {}, Meter: meter.New(), Invariants: h.inv, Clock: clock, Log: log,
		Region: func() quetzalhook.Region { return "r" }, HostsLifetime: time.Second,
	}))
	t.Cleanup(func() {
		h.server.Close()
		_ = h.broker.Close()
		_ = pool.Close()
		_ = h.engine.Close()
		_ = h.service.Close()
	})
	return h
}

func (h *testHost) listen(kind quetzalhook.UpstreamKind) string {
	h.t.Helper()
	listen := h.engine.Listen
	if kind == quetzalhook.KindService {
		listen = h.service.Listen
	}
	address, err := listen("127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	return address
}

// request sends the request that a test script describes and returns a summary
// of the response.
func (h *testHost) request(d *datadriven.TestData) string {
	method, path := http.MethodPost, "/v1/chat/completions"
	d.MaybeScanArgs(h.t, "method", &method)
	d.MaybeScanArgs(h.t, "path", &path)
	var body io.Reader = strings.NewReader(d.Input)
	if d.HasArg("chunked") {
		body = io.MultiReader(body)
	}
	req, err := http.NewRequestWithContext(context.Background(), method, h.server.URL+path, body)
	if err != nil {
		h.t.Fatal(err)
	}
	for _, arg := range d.CmdArgs {
		if len(arg.Vals) > 0 && strings.Contains("Authorization Request-Class Customer Idempotency-Key X-Custom", arg.Key) {
			req.Header.Set(arg.Key, strings.Join(arg.Vals, " "))
		}
	}
	if key := ""; d.MaybeScanArgs(h.t, "key", &key) {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		h.t.Fatal(err)
	}
	return summarize(resp, data)
}

// summarize returns the status and either the kind and outcome of an error, or
// whether the response was replayed and its content type.
func summarize(resp *http.Response, data []byte) string {
	var failure front.ErrorBody
	if json.Unmarshal(data, &failure) == nil && failure.Error.Kind != "" {
		if failure.Error.RequestID == "" {
			return "no request id"
		}
		return fmt.Sprintf("%d %s %s\n", resp.StatusCode, failure.Error.Kind, failure.Error.Outcome)
	}
	replayed := ""
	if resp.Header.Get(front.HeaderReplayed) != "" {
		replayed = " replayed"
	}
	return fmt.Sprintf("%d%s %s\n", resp.StatusCode, replayed, resp.Header.Get("Content-Type"))
}

// Guards against requests that crash the host, are accepted without a valid
// key, or are refused without an error kind and the correct outcome.
func TestRequests(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		h := newTestHost(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "request":
				return h.request(d)
			case "requests-at-upstreams":
				return fmt.Sprintf("engine %d service %d\n", h.engine.Stats().Requests, len(h.service.RequestCounts()))
			case "oversized":
				d.Input = strings.Repeat("x", 9<<20)
				return h.request(d)
			}
			d.Fatalf(t, "unknown command")
			return ""
		})
		if got, want := h.inv.Violations(), int64(0); got != want {
			t.Errorf("violations: got %d, want %d: %v", got, want, h.inv.Details())
		}
	})
}

// Guards against a stream that continues after its key was withdrawn, and
// against telling its caller that the request did not run.
func TestWithdrawalEndsStream(t *testing.T) {
	h := newTestHost(t)
	body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}],"metadata":{"output_tokens":5000}}`
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, h.server.URL+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer key-of-a")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	start := make([]byte, 64)
	if _, err := io.ReadFull(resp.Body, start); err != nil {
		t.Fatal(err)
	}
	h.keys.withdraw("key-of-a")
	rest, err := io.ReadAll(resp.Body)
	if err == nil || strings.Contains(string(rest), "[DONE]") {
		t.Errorf("stream: got a regular end, want a broken one")
	}
	if got, want := strings.Contains(string(rest), `"kind":"withdrawn-key"`), true; got != want {
		t.Errorf("error event: got %v, want %v", got, want)
	}
	if got, want := strings.Contains(string(rest), `"outcome":"unknown"`), true; got != want {
		t.Errorf("outcome unknown after the send: got %v, want %v in %q", got, want, rest)
	}
	if got, want := h.inv.Violations(), int64(0); got != want {
		t.Errorf("violations: got %d, want %d: %v", got, want, h.inv.Details())
	}
}

// Guards against a slot that stays occupied after its caller disconnected.
func TestCallerGoneFreesSlot(t *testing.T) {
	h := newTestHost(t)
	ctx, cancel := context.WithCancel(context.Background())
	body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}],"metadata":{"output_tokens":5000}}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.server.URL+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer key-of-a")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	resp.Body.Close()
	waitCtx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	if err := h.broker.Wait(waitCtx); err != nil {
		t.Errorf("open requests: got %d, want 0: %v", h.broker.Open(), err)
	}
}
