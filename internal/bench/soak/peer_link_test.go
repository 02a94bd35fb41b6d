package soak

import (
	"bytes"
	"net"
	"testing"
	"time"
)

// Guards against a link that does not limit the rate, or changes or loses datagrams while
// it is not full.
func TestLinkLimitsRate(t *testing.T) {
	server, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	link, err := NewLink("127.0.0.1:0", server.LocalAddr().String(), 10)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = link.Close() })
	client, err := net.Dial("udp4", link.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	deadline := time.Now().Add(5 * time.Second)
	for _, c := range []net.Conn{client, server} {
		if err := c.SetDeadline(deadline); err != nil {
			t.Fatal(err)
		}
	}

	const count, size = 60, 1000
	begin := time.Now()
	for i := range count {
		if _, err := client.Write(bytes.Repeat([]byte{byte(i)}, size)); err != nil {
			t.Fatal(err)
		}
	}
	buffer := make([]byte, maxDatagramSize)
	for i := range count {
		n, from, err := server.ReadFromUDP(buffer)
		if err != nil {
			t.Fatalf("datagram %d: %v", i, err)
		}
		if want := bytes.Repeat([]byte{byte(i)}, size); !bytes.Equal(buffer[:n], want) {
			t.Fatalf("datagram %d: got %d bytes of %d, want %d of %d", i, n, buffer[0], size, i)
		}
		if _, err := server.WriteToUDP(buffer[:n], from); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := time.Since(begin), time.Duration(count*size*8/10)*time.Microsecond; got < want {
		t.Errorf("%d datagrams of %d bytes: got %v, want %v at least", count, size, got, want)
	}
	for i := range count {
		n, err := client.Read(buffer)
		if err != nil || n != size || buffer[0] != byte(i) {
			t.Fatalf("answer %d: got %d bytes of %d, %v", i, n, buffer[0], err)
		}
	}
}
