package caller_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/entry/caller"
	"quetzalhook/internal/entry/gateway"
	"quetzalhook/internal/record/routing"
)

// noTable is a gateway's source of tables before the first one is known: all
// requests are answered with 503.
type noTable struct{}

func (noTable) Table() (*routing.Table, <-chan struct{}) { return nil, nil }

type ignored struct{}

func (ignored) Served(quetzalhook.Class, quetzalhook.CustomerID, time.Duration, time.Duration, int) {}

func (ignored) Failed(quetzalhook.Class, quetzalhook.CustomerID, string) {}

// noHeaders is a protocol that a gateway without a table does not use.
type noHeaders struct{ quetzalhook.Protocol }

func discard() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// Guards against requests that are cut off without an answer at a planned stop:
// their connections wait in the kernel's queue when the listener is closed, or they
// are read after the stop has begun, which http.Server.Shutdown does not answer.
func TestDrainListener(t *testing.T) {
	l, err := caller.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const callers = 50
	var conns []net.Conn
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		conns = append(conns, c)
	}
	g := gateway.New(gateway.Deps{Tables: noTable{}, Protocol: noHeaders{}, Observer: ignored{}, Clock: quetzalhook.ClockFunc(time.Now), Log: discard()})
	server := &http.Server{Handler: g}
	g.Attach(server)
	defer func() { _ = server.Close() }()
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	if err := l.Drain(t.Context().Done()); err != nil {
		t.Errorf("drain: got %v, want nil", err)
	}
	if err := g.CloseConns(t.Context()); err != nil {
		t.Errorf("close the connections: got %v, want nil", err)
	}
	if err := <-served; !errors.Is(err, net.ErrClosed) {
		t.Errorf("serve: got %v, want the listener closed", err)
	}
	for i, c := range conns {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("caller %d of %d: got %v, want an answer", i, callers, err)
		}
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("connection after the stop: got one, want it refused")
	}
}
