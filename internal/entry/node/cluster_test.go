package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/entry/setting"
	"quetzalhook/internal/standin/cloud"
	"quetzalhook/internal/standin/engine"
	"quetzalhook/internal/standin/socket"
	"quetzalhook/platform"
)

const (
	testKey      = "operator-key-0123456789"
	testDocument = `
zones: [{name: z, region: r}]
classes: [{name: question, tier: 0, ttft-target: 5s}]
customers: [{name: a, weight: 1, classes: [question], default-class: question}]
models: [{name: m}]
upstreams:
  - {name: e, kind: engine, address: %s, zone: z, models: [m], slots: 8, token-rate: 100, prefill-rate: 8000}
routes: [{path: /v1/chat/completions, kind: chat, repeatable: true}]
keys: {currency-limit: 10s}
retention: {journal: 1h}
`
)

// world is a platform and one engine; hosts are started by the tests.
type world struct {
	t        *testing.T
	engine   *engine.Engine
	cloud    *cloud.Cloud
	platform string
	document string
	seeds    []string
	secret   string
	client   *http.Client
	scheme   string
}

func newWorld(t *testing.T, tokenRate float64) *world {
	t.Helper()
	w := &world{t: t, engine: engine.New(engine.WithTokenRate(tokenRate), engine.WithModels("m")), cloud: cloud.New(), scheme: "http"}
	address, err := w.engine.Listen("127.0.0.1:0")
	w.must(err)
	w.document = fmt.Sprintf(testDocument, address)
	server := socket.New(w.cloud.Handler())
	w.platform, err = server.Listen("127.0.0.1:0")
	w.must(err)
	w.client = &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		w.client.CloseIdleConnections()
		_ = w.engine.Close()
		_ = server.Close()
	})
	return w
}

func (w *world) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// start starts a host and ends it with the test.
func (w *world) start(name string, opts ...func(*setting.Settings)) *Node {
	w.t.Helper()
	s := setting.Settings{
		Host: quetzalhook.HostID(name), Zone: "z", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", Hosts: 2, Platform: w.platform,
		PeerSecret: "peer-secret-0123456789", OperatorKey: testKey, Policy: setting.PolicyOwn,
		HostsLifetime: 500 * time.Millisecond, BillingWindow: time.Hour, Seeds: w.seeds,
	}
	for _, opt := range opts {
		opt(&s)
	}
	n, err := New(s, platform.NewStore(w.platform, logrus.StandardLogger()), nil)
	w.must(err)
	w.must(n.Start(w.t.Context()))
	w.t.Cleanup(n.Kill)
	w.seeds = append(w.seeds, n.fleet.members.Address())
	return n
}

// configure confirms the document on a host, issues a key and waits until the
// host serves it.
func (w *world) configure(n *Node) {
	w.t.Helper()
	var plan struct{ ID string }
	w.await("plan", func() bool { return w.operate(n, "/operator/plans", w.document, &plan) })
	w.await("confirm", func() bool { return w.operate(n, "/operator/plans/"+plan.ID+"/confirm", "", nil) })
	var key struct{ Secret string }
	w.await("key", func() bool { return w.operate(n, "/operator/keys", `{"customer":"a"}`, &key) })
	w.secret = key.Secret
	w.await("service", func() bool { return w.status(n) == http.StatusOK })
}

func (w *world) operate(n *Node, path, body string, result any) bool {
	resp := w.post(n, path, testKey, body)
	if resp == nil {
		return false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode >= http.StatusMultipleChoices {
		return false
	}
	return result == nil || json.Unmarshal(data, result) == nil
}

// post returns the response, or nil after an error.
func (w *world) post(n *Node, path, key, body string) *http.Response {
	w.t.Helper()
	req, err := http.NewRequestWithContext(w.t.Context(), http.MethodPost, w.scheme+"://"+n.Address()+path, strings.NewReader(body))
	w.must(err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := w.client.Do(req)
	if err != nil {
		return nil
	}
	return resp
}

func (w *world) chat(n *Node, tokens int) *http.Response {
	w.t.Helper()
	body := fmt.Sprintf(`{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}],"metadata":{"output_tokens":%d}}`, tokens)
	return w.post(n, "/v1/chat/completions", w.secret, body)
}

// status sends a short request and returns its status, 0 after an error.
func (w *world) status(n *Node) int {
	resp := w.chat(n, 1)
	if resp == nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// await repeats a condition until it holds, for at most 12 s.
func (w *world) await(what string, holds func() bool) {
	w.t.Helper()
	w.awaitFor(12*time.Second, what, holds)
}

// awaitFor repeats a condition until it holds, for at most limit.
func (w *world) awaitFor(limit time.Duration, what string, holds func() bool) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.t.Context(), limit)
	defer cancel()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			w.t.Fatalf("%s: not within %s", what, limit)
		}
	}
}

// tokens reads a streamed answer and returns its text and whether it ended as
// a complete one does.
func tokens(r io.Reader) (text string, done bool) {
	var b strings.Builder
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return b.String(), true
		}
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal(data, &c) == nil && len(c.Choices) > 0 {
			b.WriteString(c.Choices[0].Delta.Content)
		}
	}
	return b.String(), false
}

func wantText(n int) string {
	return engine.Answer(engine.PromptText([]engine.Message{{Role: "user", Content: "x"}}), n)
}

// checkCounts fails the test if the host counted a violation, or no check of
// the named invariant.
func (w *world) checkCounts(n *Node, name string) {
	w.t.Helper()
	for _, c := range n.Invariants().Counts() {
		if c.Name == name && c.Checked == 0 {
			w.t.Errorf("%s: got no check, want at least one", name)
		}
	}
	if got, want := n.Invariants().Violations(), int64(0); got != want {
		w.t.Errorf("violations: got %d, want %d: %v", got, want, n.Invariants().Details())
	}
}

// smallWindow returns a transport whose connections buffer little on the
// caller's side.
func smallWindow() *http.Transport {
	return &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if tcp, ok := conn.(*net.TCPConn); ok {
			err = tcp.SetReadBuffer(64 << 10)
		}
		return conn, err
	}}
}
