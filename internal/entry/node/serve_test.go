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

// Guards against a planned stop that cuts a slow stream, refuses callers that
// still use an older list of hosts, or stays in that list.
func TestStopWaitsForSlowStream(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 100)
	n := w.start("a")
	w.configure(n)
	other := w.start("b")
	w.await("second host", func() bool { return w.status(other) == http.StatusOK })
	const length = 300 // 3 s at 100 tokens/s, beyond the lifetime of the list
	resp := w.chat(n, length)
	if resp == nil {
		t.Fatal("no response")
	}
	defer resp.Body.Close()
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop(context.WithoutCancel(t.Context())) }()
	w.await("leave the list", func() bool { return !slices.Contains(w.hosts(n), n.Address()) })
	if got, want := w.status(n), http.StatusOK; got != want {
		t.Errorf("request by an older list: got status %d, want %d", got, want)
	}
	text, done := tokens(resp.Body)
	if got, want := text, wantText(length); got != want || !done {
		t.Errorf("stream: got %d bytes (done %t), want %d", len(got), done, len(want))
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: got %v, want no error", err)
	}
	if got, want := w.status(n), 0; got != want {
		t.Errorf("request after the stop: got status %d, want no connection", got)
	}
	w.checkCounts(n, invariant.GracefulStop)
}

// Guards against a check of graceful-stop that cannot fail: a stop that runs
// out of time cuts the stream and must count as a violation.
func TestStopOutOfTimeIsCounted(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 100)
	n := w.start("a")
	w.configure(n)
	resp := w.chat(n, 2000)
	if resp == nil {
		t.Fatal("no response")
	}
	defer resp.Body.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if err := n.Stop(ctx); err == nil {
		t.Error("stop: got no error, want one")
	}
	for _, c := range n.Invariants().Counts() {
		if want := int64(1); c.Name == invariant.GracefulStop && c.Violated != want {
			t.Errorf("violations of %s: got %d, want %d", c.Name, c.Violated, want)
		}
	}
}

// hosts returns the addresses that a host tells callers.
func (w *world) hosts(n *Node) []string {
	resp, err := w.client.Get(w.scheme + "://" + n.Address() + "/v1/hosts")
	if err != nil {
		return []string{n.Address()}
	}
	defer resp.Body.Close()
	var body front.HostsBody
	w.must(json.NewDecoder(resp.Body).Decode(&body))
	var list []string
	for _, h := range body.Hosts {
		list = append(list, h.Address)
	}
	return list
}

// Guards against a listener with TLS that does not offer HTTP/2, or whose stop
// cuts an HTTP/2 stream.
func TestTLSWithHTTP2(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 100)
	certificate, key, pool := selfSigned(t)
	w.client = &http.Client{Transport: &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{RootCAs: pool}}}
	w.scheme = "https"
	n := w.start("a", func(s *setting.Settings) { s.Certificate, s.PrivateKey = certificate, key })
	w.configure(n)
	const length = 250
	resp := w.chat(n, length)
	if resp == nil {
		t.Fatal("no response")
	}
	defer resp.Body.Close()
	if got, want := resp.ProtoMajor, 2; got != want {
		t.Errorf("protocol: got HTTP/%d, want HTTP/%d", got, want)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop(context.WithoutCancel(t.Context())) }()
	if text, done := tokens(resp.Body); text != wantText(length) || !done {
		t.Errorf("stream: got %d bytes (done %t), want %d", len(text), done, len(wantText(length)))
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: got %v, want no error", err)
	}
	w.checkCounts(n, invariant.WholeAnswer)
}

// selfSigned writes a certificate for loopback and its key to files.
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

// Guards against a slow reader that loses tokens, makes the host send the
// request to an engine again, or is cut off as if the engine were silent.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 40_000)
	n := w.start("a")
	w.configure(n)
	before := w.engine.Stats().Requests
	w.client = &http.Client{Transport: smallWindow()}
	const length = 22_000 // about 5 MB; the sockets between host and caller held about 4 MB
	resp := w.chat(n, length)
	if resp == nil {
		t.Fatal("no response")
	}
	defer resp.Body.Close()
	// The engine stands still for longer than the stall timeout of 1 s once
	// the sockets are full.
	last, since := int64(0), time.Now()
	// The stand-in makes one token for each time that its timer wakes it: 22,000
	// took 2.5 s in one run and more than 12 s in others.
	w.awaitFor(40*time.Second, "a writer that waits for the reader", func() bool {
		if now := w.engine.Stats().GeneratedTokens; now != last {
			last, since = now, time.Now()
		}
		return time.Since(since) > 1500*time.Millisecond
	})
	if got := n.front.Open(); got == 0 {
		t.Error("the whole answer fits the sockets, want a writer that waits for the reader")
	}
	if text, done := tokens(resp.Body); text != wantText(length) || !done {
		t.Errorf("stream: got %d bytes (done %t), want %d", len(text), done, len(wantText(length)))
	}
	if got, want := w.engine.Stats().Requests-before, int64(1); got != want {
		t.Errorf("requests at the engine: got %d, want %d", got, want)
	}
	w.checkCounts(n, invariant.WholeAnswer)
}

// Guards against a host that cannot start while the platform is down: it gets
// configuration and keys from a peer and serves.
func TestStartWhilePlatformIsDown(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1000)
	first := w.start("a")
	w.configure(first)
	w.cloud.Store().SetFaults(memory.Faults{Outage: true})
	second := w.start("b")
	w.await("configuration from a peer", func() bool { return second.Version() == first.Version() })
	w.await("service without the platform", func() bool { return w.status(second) == http.StatusOK })
	w.checkCounts(second, invariant.ConfigForward)
}

// Guards against hosts that take each other for stopping while none of them
// can serve, as before the first configuration or when keys are not current:
// each would then take all duties of the fleet, such as watching the store.
func TestUnreadyHostsKeepDuties(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1000)
	first, second := w.start("a"), w.start("b")
	w.await("the other host", func() bool {
		members := first.fleet.peers.Members()
		return len(members) == 1 && members[0].Unready
	})
	if got, want := len(first.fleet.live()), 1; got != want {
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
	w.configure(first)
	w.await("a list of both hosts", func() bool { return len(second.hosts("")) == 2 })
}
