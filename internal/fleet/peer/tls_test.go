package peer

import (
	"crypto/tls"
	"io"
	"net"
	"testing"
	"time"

	"quetzalhook"
)

// Guards against connections besides those of calls that are accepted from a program that is
// no host, or opened to another host than was meant.
func TestPlainTLS(t *testing.T) {
	secret, other := []byte("secret"), []byte("other")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	identityOf := func(host quetzalhook.HostID, secret []byte) identity {
		id, err := newIdentity(host, secret)
		if err != nil {
			t.Fatal(err)
		}
		return id
	}
	for _, c := range []struct {
		name   string
		client *tls.Config
		ok     bool
	}{
		{"host", identityOf("b", secret).plainConfig("a"), true},
		{"other secret", identityOf("b", other).plainConfig("a"), false},
		{"another host was meant", identityOf("b", secret).plainConfig("c"), false},
		{"no certificate", &tls.Config{InsecureSkipVerify: true}, false},
	} {
		accepted := make(chan error, 1)
		go func() { accepted <- acceptByte(l, identityOf("a", secret).plainConfig("")) }()
		err := sendByte(l.Addr().String(), c.client)
		if acceptErr := <-accepted; (err == nil && acceptErr == nil) != c.ok {
			t.Errorf("%s: got %v and %v, want a connection: %v", c.name, err, acceptErr, c.ok)
		}
	}
}

// acceptByte accepts a connection and reads a byte.
func acceptByte(l net.Listener, config *tls.Config) error {
	c, err := tls.NewListener(l, config).Accept()
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = io.ReadFull(c, make([]byte, 1))
	return err
}

// sendByte opens a connection and writes a byte.
func sendByte(address string, config *tls.Config) error {
	c, err := tls.DialWithDialer(&net.Dialer{Timeout: 5 * time.Second}, "tcp", address, config)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte{1})
	return err
}
