package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// Guards against a partition that does not look like one to the host, and against one that
// outlasts Rejoin.
func TestProxyPartition(t *testing.T) {
	for _, c := range []struct {
		how                Partition
		openFails, newFail string // as failure returns them, of open and of new connections
	}{
		{PartitionSilent, "timeout", "timeout"},
		{PartitionReset, "reset", "timeout"},
		{PartitionResetRefuse, "reset", "refused"},
		{PartitionRefuse, "", "refused"},
	} {
		t.Run(string(c.how), func(t *testing.T) {
			p := newEchoProxy(t)
			open := dialProxy(t, p)
			if got := failure(echo(open, echoTimeout)); got != "" {
				t.Fatalf("open connection: got %q, want no failure", got)
			}
			if err := p.Partition(c.how); err != nil {
				t.Fatal(err)
			}
			if got := failure(echo(open, echoTimeout)); got != c.openFails {
				t.Errorf("open connection in the partition: got %q, want %q", got, c.openFails)
			}
			conn, err := net.DialTimeout("tcp", p.Address(), echoTimeout)
			if got := failure(err); got != c.newFail {
				t.Errorf("new connection in the partition: got %q, want %q", got, c.newFail)
			}
			if err == nil {
				_ = conn.Close()
			}
			if err := p.Rejoin(); err != nil {
				t.Fatal(err)
			}
			if got := failure(echo(open, resendTimeout)); c.openFails != "reset" && got != "" {
				t.Errorf("open connection after the partition: got %q, want no failure", got)
			}
			if got := failure(echo(dialProxy(t, p), echoTimeout)); got != "" {
				t.Errorf("new connection after the partition: got %q, want no failure", got)
			}
		})
	}
}

const (
	echoTimeout = time.Second
	// resendTimeout exceeds the pause after which TCP resends what was lost for up to
	// twice echoTimeout.
	resendTimeout = 6 * time.Second
)

// newEchoProxy returns a proxy of a server that sends back what it receives.
func newEchoProxy(t *testing.T) *Proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	p, err := NewProxy("127.0.0.1:0", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Close() })
	return p
}

func dialProxy(t *testing.T, p *Proxy) net.Conn {
	c, err := net.DialTimeout("tcp", p.Address(), echoTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echo sends a byte and receives one.
func echo(c net.Conn, timeout time.Duration) error {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// failure names the failure of a connection; it is empty for none.
func failure(err error) string {
	var timeout net.Error
	switch {
	case err == nil:
		return ""
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return "reset"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "timeout"
	}
	return err.Error()
}

// Guards against scripts with partitions that differ between two runs, and against partitions
// in the scripts of other kinds.
func TestAddPartitions(t *testing.T) {
	only := []string{"partition-one", "partition-half", "partition-zone", "kill"}
	for seed := range uint64(20) {
		script := addPartitions(nil, seed, 40*time.Second, only)
		if got, want := fmt.Sprint(addPartitions(nil, seed, 40*time.Second, only)), fmt.Sprint(script); got != want {
			t.Fatalf("seed %d: got %s, want %s", seed, got, want)
		}
		for i, f := range script {
			if f.duration < minPartition || f.duration > maxPartition || i > 0 && f.at < script[i-1].at+script[i-1].duration+stableWindow {
				t.Errorf("seed %d: got %v, want partitions of %v to %v, %v apart", seed, script, minPartition, maxPartition, stableWindow)
			}
		}
	}
	if got := addPartitions(nil, 1, 40*time.Second, nil); len(got) > 0 {
		t.Errorf("got %v in a run of all kinds, want none unless they are named", got)
	}
}

// Guards against hosts that refuse what other hosts could serve while they reach no upstream.
func TestPartitionedHostsServe(t *testing.T) {
	r := runSoak(t, Settings{Seed: 7101, Hosts: 6, Callers: 48, Length: 6 * time.Second, Kinds: []string{"partition-half/silent"}}, CheckPartition)
	for _, p := range r.Partitions {
		t.Logf("hosts %v: %d of %d first tries served, others: %d of %d", p.Hosts, p.Served, p.Sent, p.OthersServed, p.Others)
	}
}
