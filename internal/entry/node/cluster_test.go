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

// testCluster is a cluster of hosts, which tests start, with a stand-in platform and
// one engine.
type testCluster struct {
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

func newTestCluster(t *testing.T, tokenRate float64) *testCluster {
	t.Helper()
	c := &testCluster{t: t, engine: engine.New(engine.WithTokenRate(tokenRate), engine.WithModels("m")), cloud: cloud.New(), scheme: "http"}
	address, err := c.engine.Listen("127.0.0.1:0")
	c.must(err)
	c.document = fmt.Sprintf(testDocument, address)
	server := socket.New(c.cloud.Handler())
	c.platform, err = server.Listen("127.0.0.1:0")
	c.must(err)
	c.client = &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		c.client.CloseIdleConnections()
		_ = c.engine.Close()
		_ = server.Close()
	})
	return c
}

// must fails the test if err is not nil.
func (c *testCluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// start starts a host and kills it at the end of the test.
func (c *testCluster) start(name string, opts ...func(*setting.Settings)) *Node {
	c.t.Helper()
	s := setting.Settings{
		Host: quetzalhook.HostID(name), Zone: "z", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", Hosts: 2, Platform: c.platform,
		PeerSecret: "peer-secret-0123456789", OperatorKey: testKey, Policy: setting.PolicyOwn,
		HostsLifetime: 500 * time.Millisecond, BillingWindow: time.Hour, Seeds: c.seeds,
	}
	for _, opt := range opts {
		opt(&s)
	}
	n, err := New(s, platform.NewStore(c.platform, logrus.StandardLogger()), nil)
	c.must(err)
	c.must(n.Start(c.t.Context()))
	c.t.Cleanup(n.Kill)
	c.seeds = append(c.seeds, n.fleet.members.Address())
	return n
}

// configure puts the test's configuration in force with operator requests to n, issues
// a key and waits until n serves a request with it.
func (c *testCluster) configure(n *Node) {
	c.t.Helper()
	var plan struct{ ID string }
	c.await("plan", func() bool { return c.postOperator(n, "/operator/plans", c.document, &plan) })
	c.await("confirm", func() bool { return c.postOperator(n, "/operator/plans/"+plan.ID+"/confirm", "", nil) })
	var key struct{ Secret string }
	c.await("key", func() bool { return c.postOperator(n, "/operator/keys", `{"customer":"a"}`, &key) })
	c.secret = key.Secret
	c.await("service", func() bool { return c.chatStatus(n) == http.StatusOK })
}

// postOperator posts a request with the operator key and decodes the response into
// result unless it is nil. It reports whether that succeeded.
func (c *testCluster) postOperator(n *Node, path, body string, result any) bool {
	resp := c.post(n, path, testKey, body)
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

// post posts a request with a key and returns the response, or nil after an error.
func (c *testCluster) post(n *Node, path, key, body string) *http.Response {
	c.t.Helper()
	req, err := http.NewRequestWithContext(c.t.Context(), http.MethodPost, c.scheme+"://"+n.Address()+path, strings.NewReader(body))
	c.must(err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.client.Do(req)
	if err != nil {
		return nil
	}
	return resp
}

// chat sends a streaming chat request for a number of output tokens and returns the
// response, or nil after an error.
func (c *testCluster) chat(n *Node, tokens int) *http.Response {
	c.t.Helper()
	body := fmt.Sprintf(`{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}],"metadata":{"output_tokens":%d}}`, tokens)
	return c.post(n, "/v1/chat/completions", c.secret, body)
}

// chatStatus sends a chat request for one token and returns the HTTP status, or 0 after
// an error.
func (c *testCluster) chatStatus(n *Node) int {
	resp := c.chat(n, 1)
	if resp == nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// await waits for at most 12 s until a condition holds.
func (c *testCluster) await(what string, holds func() bool) {
	c.t.Helper()
	c.awaitFor(12*time.Second, what, holds)
}

// awaitFor checks a condition repeatedly until it holds, and fails the test after
// limit.
func (c *testCluster) awaitFor(limit time.Duration, what string, holds func() bool) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), limit)
	defer cancel()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			c.t.Fatalf("%s: did not happen within %s", what, limit)
		}
	}
}

// readStream reads a streamed response. It returns the text and whether the stream
// ended with [DONE].
func readStream(r io.Reader) (text string, done bool) {
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
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal(data, &chunk) == nil && len(chunk.Choices) > 0 {
			b.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return b.String(), false
}

// wantText returns the n tokens of text that the stand-in engine generates for chat.
func wantText(n int) string {
	return engine.Answer(engine.PromptText([]engine.Message{{Role: "user", Content: "x"}}), n)
}

// checkCounts fails the test if the host counted a violation of any invariant, or no
// check of the named invariant.
func (c *testCluster) checkCounts(n *Node, name string) {
	c.t.Helper()
	for _, count := range n.Invariants().Counts() {
		if count.Name == name && count.Checked == 0 {
			c.t.Errorf("%s: got no check, want at least one", name)
		}
	}
	if got, want := n.Invariants().Violations(), int64(0); got != want {
		c.t.Errorf("violations: got %d, want %d: %v", got, want, n.Invariants().Details())
	}
}

// smallWindow returns a transport whose connections have a small receive buffer.
func smallWindow() *http.Transport {
	return &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if tcp, ok := conn.(*net.TCPConn); ok {
			err = tcp.SetReadBuffer(64 << 10)
		}
		return conn, err
	}}
}
