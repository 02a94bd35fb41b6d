package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
)

// directory is a list of addresses that tests set.
type directory struct {
	mu      sync.Mutex
	members map[quetzalhook.HostID]string
}

func (d *directory) set(host quetzalhook.HostID, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members[host] = address
}

func (d *directory) Members() []quetzalhook.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []quetzalhook.Member
	for host, address := range d.members {
		list = append(list, quetzalhook.Member{Host: host, PeerAddress: address})
	}
	return list
}

func start(t testing.TB, host quetzalhook.HostID, d *directory, secret string) *Service {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	settings := Settings{Host: host, Listen: "127.0.0.1:0", Secret: []byte(secret), Directory: d}
	s, err := NewService(settings, quetzalhook.ClockFunc(time.Now), log)
	if err == nil {
		s.Handle("echo", func(_ context.Context, from quetzalhook.HostID, body []byte) ([]byte, error) {
			return append([]byte(from+": "), body...), nil
		})
		s.Handle("fail", func(context.Context, quetzalhook.HostID, []byte) ([]byte, error) { return nil, errors.New("no") })
		err = s.Start(t.Context())
	}
	if err != nil {
		t.Fatal(err)
	}
	d.set(host, s.Address())
	return s
}

func closeAll(t testing.TB, services ...*Service) {
	t.Helper()
	for _, s := range services {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	}
}

func kindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// Guards against calls that lose their body, sender or error, against accepting
// hosts with another secret or name, and against a Close that does not wait or
// leaves calls pending.
func TestCall(t *testing.T) {
	d := &directory{members: make(map[quetzalhook.HostID]string)}
	a, b := start(t, "a", d, "secret"), start(t, "b", d, "secret")
	stranger := start(t, "stranger", d, "other secret")
	big := bytes.Repeat([]byte("x"), 1<<20)
	got, err := a.Call(t.Context(), "b", "echo", big)
	if want := append([]byte("a: "), big...); !bytes.Equal(got, want) || err != nil {
		t.Errorf("echo: got %d bytes, %v, want %d", len(got), err, len(want))
	}
	d.set("not-b", b.Address())
	for _, c := range []struct {
		caller *Service
		host   quetzalhook.HostID
		kind   string
		want   ErrorKind
	}{
		{a, "b", "fail", ErrorHandler},
		{a, "b", "none", ErrorNoHandler},
		{a, "nobody", "echo", ErrorUnreachable},
		{a, "stranger", "echo", ErrorUnreachable},
		{a, "not-b", "echo", ErrorUnreachable},
		{stranger, "b", "echo", ErrorUnreachable},
	} {
		if _, err := c.caller.Call(t.Context(), c.host, c.kind, nil); kindOf(err) != c.want {
			t.Errorf("%s to %s: got %v, want %s", c.kind, c.host, err, c.want)
		}
	}
	b.Block(func(quetzalhook.HostID) bool { return true })
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := a.Call(ctx, "b", "echo", nil); kindOf(err) != ErrorTimeout {
		t.Errorf("blocked: got %v, want %s", err, ErrorTimeout)
	}
	b.Block(nil)
	closeAll(t, b)
	restarted := start(t, "b", d, "secret")
	if _, err := a.Call(t.Context(), "b", "echo", nil); err != nil {
		t.Errorf("after a restart: got %v", err)
	}
	closeAll(t, a, restarted, stranger)
}

// relay forwards datagrams between callers and one host. From muteFlows on, it
// drops all datagrams of the flows that were open at that time.
type relay struct {
	conn   *net.UDPConn
	target *net.UDPAddr
	wg     sync.WaitGroup

	mu    sync.Mutex
	flows map[string]*net.UDPConn
	muted map[string]bool
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{conn: conn, target: to, flows: make(map[string]*net.UDPConn), muted: make(map[string]bool)}
	r.wg.Go(r.forward)
	return r
}

func (r *relay) forward() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := r.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if out := r.flow(from); out != nil && !r.isMuted(from) {
			_, _ = out.Write(buffer[:n])
		}
	}
}

func (r *relay) flow(from *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.flows[from.String()]
	if out != nil {
		return out
	}
	out, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	r.flows[from.String()] = out
	r.wg.Go(func() {
		buffer := make([]byte, 2048)
		for {
			n, err := out.Read(buffer)
			if err != nil {
				return
			}
			if !r.isMuted(from) {
				_, _ = r.conn.WriteToUDP(buffer[:n], from)
			}
		}
	})
	return out
}

func (r *relay) isMuted(from *net.UDPAddr) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.muted[from.String()]
}

func (r *relay) muteFlows() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for from := range r.flows {
		r.muted[from] = true
	}
}

func (r *relay) close() {
	_ = r.conn.Close()
	r.mu.Lock()
	for _, out := range r.flows {
		_ = out.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// Guards against calls that keep using a connection after it has gone silent.
func TestSilentConnection(t *testing.T) {
	d := &directory{members: make(map[quetzalhook.HostID]string)}
	a, b := start(t, "a", d, "secret"), start(t, "b", d, "secret")
	r := newRelay(t, b.Address())
	d.set("b", r.conn.LocalAddr().String())
	if _, err := a.Call(t.Context(), "b", "echo", nil); err != nil {
		t.Fatal(err)
	}
	r.muteFlows()
	begin := time.Now()
	for {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		_, err := a.Call(ctx, "b", "echo", nil)
		cancel()
		if err == nil {
			break
		}
		// Up to 1 s until the next ping, 2 s for its answer, and 1 s more.
		if limit := pingInterval + pingTimeout + time.Second; time.Since(begin) > limit {
			t.Fatalf("no answer for %s: %v", limit, err)
		}
	}
	closeAll(t, a, b)
	r.close()
}

// BenchmarkCall measures calls of 100 bytes on an open connection.
func BenchmarkCall(b *testing.B) {
	d := &directory{members: make(map[quetzalhook.HostID]string)}
	x, y := start(b, "x", d, "secret"), start(b, "y", d, "secret")
	body := make([]byte, 100)
	for b.Loop() {
		if _, err := x.Call(b.Context(), "y", "echo", body); err != nil {
			b.Fatal(err)
		}
	}
	closeAll(b, x, y)
}
