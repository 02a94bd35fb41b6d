package node

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"quetzalhook/internal/entry/front"
	"quetzalhook/internal/entry/setting"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// Guards against a graceful stop that interrupts a slow stream, refuses callers that
// still use an older list of hosts, or leaves the host in the list.
func TestStopWaitsForSlowStream(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 100)
	n := c.start("a")
	c.configure(n)
	other := c.start("b")
	c.await("second host", func() bool { return c.chatStatus(other) == http.StatusOK })
	const length = 300 // 3 s at 100 tokens/s, longer than the lifetime of the list
	resp := c.chat(n, length)
	if resp == nil {
		t.Fatal("no response")
	}
	defer resp.Body.Close()
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop(context.WithoutCancel(t.Context())) }()
	c.await("removal from the list of hosts", func() bool { return !slices.Contains(c.listedHosts(n), n.Address()) })
	if got, want := c.chatStatus(n), http.StatusOK; got != want {
		t.Errorf("request with an older list: got status %d, want %d", got, want)
	}
	text, done := readStream(resp.Body)
	if got, want := text, wantText(length); got != want || !done {
		t.Errorf("stream: got %d bytes (done %t), want %d", len(got), done, len(want))
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: got %v, want no error", err)
	}
	if got, want := c.chatStatus(n), 0; got != want {
		t.Errorf("request after the stop: got status %d, want no connection", got)
	}
	c.checkCounts(n, invariant.GracefulStop)
}

// Guards against a check of the invariant graceful-stop that cannot fail: a stop that
// times out aborts the stream, which must count as a violation.
func TestStopOutOfTimeIsCounted(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 100)
	n := c.start("a")
	c.configure(n)
	resp := c.chat(n, 2000)
	if resp == nil {
		t.Fatal("no response")
	}
	defer resp.Body.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if err := n.Stop(ctx); err == nil {
		t.Error("stop: got no error, want one")
	}
	for _, count := range n.Invariants().Counts() {
		if want := int64(1); count.Name == invariant.GracefulStop && count.Violated != want {
			t.Errorf("violations of %s: got %d, want %d", count.Name, count.Violated, want)
		}
	}
}

// listedHosts returns the addresses in the list of hosts that n returns to callers, or
// the address of n after an error.
func (c *testCluster) listedHosts(n *Node) []string {
	resp, err := c.client.Get(c.scheme + "://" + n.Address() + "/v1/hosts")
	if err != nil {
		return []string{n.Address()}
	}
	defer resp.Body.Close()
	var body front.HostsBody
	c.must(json.NewDecoder(resp.Body).Decode(&body))
	var list []string
	for _, h := range body.Hosts {
		list = append(list, h.Address)
	}
	return list
}

// Guards against a TLS listener that does not offer HTTP/2, and against a stop that
// interrupts an HTTP/2 stream.
func TestTLSWithHTTP2(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 100)
	certificate, key, pool := selfSigned(t)
	c.client = &http.Client{Transport: &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{RootCAs: pool}}}
	c.scheme = "https"
	n := c.start("a", func(s *setting.Settings) { s.Certificate, s.PrivateKey = certificate, key })
	c.configure(n)
	const length = 250
	resp := c.chat(n, length)
	if resp == nil {
		t.Fatal("no response")
	}
	defer resp.Body.Close()
	if got, want := resp.ProtoMajor, 2; got != want {
		t.Errorf("protocol: got HTTP/%d, want HTTP/%d", got, want)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop(context.WithoutCancel(t.Context())) }()
	if text, done := readStream(resp.Body); text != wantText(length) || !done {
		t.Errorf("stream: got %d bytes (done %t), want %d", len(text), done, len(wantText(length)))
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: got %v, want no error", err)
	}
	c.checkCounts(n, invariant.WholeAnswer)
}

// selfSigned writes a self-signed certificate for 127.0.0.1 and its key to files.
func selfSigned(t *testing.T) (certificate, key string, pool *x509.CertPool) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		BasicConstraintsValid: true, IsCA: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	write := func(name, kind string, data []byte) string {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	pool = x509.NewCertPool()
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool.AddCert(parsed)
	return write("certificate.pem", "CERTIFICATE", der), write("key.pem", "PRIVATE KEY", encoded), pool
}

// Guards against a caller that reads slowly and therefore loses tokens, makes the host
// retry the request, or is disconnected as if the engine had stalled.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 40_000)
	n := c.start("a")
	c.configure(n)
	before := c.engine.Stats().Requests
	c.client = &http.Client{Transport: smallWindow()}
	const length = 22_000 // about 5 MB; the sockets between host and caller buffer about 4 MB
	resp := c.chat(n, length)
	if resp == nil {
		t.Fatal("no response")
	}
	defer resp.Body.Close()
	// Once the socket buffers are full, the engine generates no token for longer than
	// the stall timeout of 1 s.
	last, since := int64(0), time.Now()
	// The stand-in engine generates one token each time its timer fires: 22,000 tokens
	// took 2.5 s in one run and more than 12 s in others.
	c.awaitFor(40*time.Second, "stream blocked by the reader", func() bool {
		if now := c.engine.Stats().GeneratedTokens; now != last {
			last, since = now, time.Now()
		}
		return time.Since(since) > 1500*time.Millisecond
	})
	if got := n.front.Open(); got == 0 {
		t.Error("the whole response fits into the socket buffers, want a stream blocked by the reader")
	}
	if text, done := readStream(resp.Body); text != wantText(length) || !done {
		t.Errorf("stream: got %d bytes (done %t), want %d", len(text), done, len(wantText(length)))
	}
	if got, want := c.engine.Stats().Requests-before, int64(1); got != want {
		t.Errorf("requests at the engine: got %d, want %d", got, want)
	}
	c.checkCounts(n, invariant.WholeAnswer)
}

// Guards against a host that cannot start during an outage of the platform: it must get
// the configuration and keys from another host and serve.
func TestStartWhilePlatformIsDown(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 1000)
	first := c.start("a")
	c.configure(first)
	c.cloud.Store().SetFaults(memory.Faults{Outage: true})
	second := c.start("b")
	c.await("configuration from another host", func() bool { return second.Version() == first.Version() })
	c.await("service without the platform", func() bool { return c.chatStatus(second) == http.StatusOK })
	c.checkCounts(second, invariant.ConfigForward)
}

// Guards against hosts that regard each other as draining while none of them can serve,
// such as before the first configuration or when keys are not current. Each host would
// then perform all tasks of the fleet that are meant for one or a few hosts, such as
// watching the store.
func TestUnreadyHostsKeepDuties(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 1000)
	first, second := c.start("a"), c.start("b")
	c.await("the other host", func() bool {
		members := first.fleet.peers.Members()
		return len(members) == 1 && members[0].Unready
	})
	if got, want := len(first.fleet.liveHosts()), 1; got != want {
		t.Errorf("hosts for duties: got %d, want %d", got, want)
	}
	if got, want := len(first.hosts("")), 0; got != want {
		t.Errorf("hosts for callers: got %d, want %d", got, want)
	}
	for _, h := range first.Status(t.Context()).Hosts {
		if got, want := h.State, "starting"; got != want {
			t.Errorf("state of %s: got %q, want %q", h.Host, got, want)
		}
	}
	c.configure(first)
	c.await("list of both hosts", func() bool { return len(second.hosts("")) == 2 })
}
