package soak

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"

	"quetzalhook"
)

// Names of environment variables that redirector.txt reads.
const (
	redirectFrom = "SOAK_REDIRECT_FROM"
	redirectTo   = "SOAK_REDIRECT_TO"
)

// redirector is the source of a file of package connection that redirects connections.
//
//go:embed redirector.txt
var redirector []byte

// buildRedirected builds the quetzalhook program into a directory, with dialers that
// redirect connections to the upstreams as the environment says, and returns its path. All
// hosts know an upstream by the same address, and by the source address of a connection
// they do not differ either. The working directory must be in the module.
func buildRedirected(ctx context.Context, directory string) (string, error) {
	fail := func(err error) (string, error) {
		return "", &Error{Op: "build", Kind: ErrorSetup, Err: err}
	}
	const declaration = "func NewDialer() *net.Dialer {"
	dir, err := exec.CommandContext(ctx, "go", "list", "-f", "{{.Dir}}", "quetzalhook/internal/entry/connection").CombinedOutput()
	if err != nil {
		return fail(fmt.Errorf("%w: %s", err, dir))
	}
	dial := filepath.Join(string(bytes.TrimSpace(dir)), "dial.go")
	source, err := os.ReadFile(dial)
	if err != nil {
		return fail(err)
	}
	if bytes.Count(source, []byte(declaration)) != 1 {
		return fail(fmt.Errorf("%s does not declare %q", dial, declaration))
	}
	overlay := struct{ Replace map[string]string }{map[string]string{
		dial: filepath.Join(directory, "dial.go"), filepath.Join(filepath.Dir(dial), "redirector.go"): filepath.Join(directory, "redirector.go"),
	}}
	list, err := json.Marshal(overlay)
	if err != nil {
		return fail(err)
	}
	for name, data := range map[string][]byte{
		"dial.go": bytes.Replace(source, []byte("NewDialer()"), []byte("newDialer()"), 1), "redirector.go": redirector, "overlay.json": list,
	} {
		if err := os.WriteFile(filepath.Join(directory, name), data, 0o600); err != nil {
			return fail(err)
		}
	}
	program := filepath.Join(directory, "quetzalhook")
	out, err := exec.CommandContext(ctx, "go", "build", "-overlay", filepath.Join(directory, "overlay.json"), "-o", program, "quetzalhook/cmd/quetzalhook").CombinedOutput()
	if err != nil {
		return fail(fmt.Errorf("%w: %s", err, out))
	}
	return program, nil
}

// addLinks starts a proxy of the connections of each host to an upstream, if hosts can be
// partitioned. They listen on the address of the host.
func (s *system) addLinks(u *upstream) error {
	if !s.hasPartitions() {
		return nil
	}
	_, port, err := net.SplitHostPort(u.entry.Address)
	if err != nil {
		return &Error{Op: "links", Kind: ErrorSetup, Err: err}
	}
	for _, h := range s.hosts {
		p, err := NewProxy(net.JoinHostPort(h.ip, port), u.entry.Address)
		if err != nil {
			return err
		}
		if err := h.addLink(u.entry.ID, p); err != nil {
			return err
		}
	}
	return nil
}

// removeLinks closes the proxies of the connections to an upstream.
func (s *system) removeLinks(u *upstream) {
	for _, h := range s.hosts {
		h.mu.Lock()
		p := h.links[u.entry.ID]
		delete(h.links, u.entry.ID)
		h.mu.Unlock()
		if p != nil {
			_ = p.Close()
		}
	}
}

// addLink adds a proxy, which takes part in the partition of the host.
func (h *host) addLink(id quetzalhook.UpstreamID, p *Proxy) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.links == nil {
		h.links = make(map[quetzalhook.UpstreamID]*Proxy)
	}
	h.links[id] = p
	if h.partition == "" {
		return nil
	}
	return p.Partition(h.partition)
}

func (h *host) isPartitioned() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.partition != ""
}

// partitionLinks partitions the host from all upstreams.
func (h *host) partitionLinks(how Partition) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.partition = how
	for _, p := range h.links {
		if err := p.Partition(how); err != nil {
			return err
		}
	}
	return nil
}

// rejoinLinks ends the partition of the host.
func (h *host) rejoinLinks() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.partition = ""
	for _, p := range h.links {
		if err := p.Rejoin(); err != nil {
			return err
		}
	}
	return nil
}
